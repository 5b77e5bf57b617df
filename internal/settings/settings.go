// Package settings reads what an instance is told at its start: from the text of the simulator's wire, or from the
// same object as nested JSON. Both go through one reader, so both programs decide by the same figures.
package settings

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"spurspread/decision"
	"strconv"
	"strings"

	"github.com/tidwall/gjson"
)

const (
	maxItems     = 10000
	maxTextBytes = 1 << 20

	// defaultConnectTimeout is for settings that name none, or none that anything could connect in.
	defaultConnectTimeout decision.Micros = 1_000_000
)

// parser reads path=value pairs and collects what is wrong with them.
type parser struct {
	values   map[string]string
	problems []error
}

// Settings is what the decisions go by, and what only a real balancer needs: the names that lines and lists use
// for what the decisions number, and the limits of its sockets.
type Settings struct {
	Decision                            decision.Settings
	ClassNames, ZoneNames, MachineTypes []string
	ConnectTimeout                      decision.Micros
	// what the decisions expect notes of: a connection's load, how long messages take
	ReportsLoad, ReportsDelay bool
}

// ParseText reads path=value pairs, one a line. Unknown keys are ignored; every required key that is missing or
// unreadable is named in the error.
func ParseText(text []byte) (Settings, error) {
	s := parser{values: map[string]string{}}
	if len(text) > maxTextBytes {
		return Settings{}, fmt.Errorf("settings: %d bytes are over %d", len(text), maxTextBytes)
	}
	for i, line := range strings.Split(string(text), "\n") {
		if line = strings.TrimSpace(line); line == "" {
			continue
		}
		key, value, ok := strings.Cut(line, "=")
		if !ok {
			return Settings{}, fmt.Errorf("settings: line %d has no '='", i+1)
		}
		s.values[key] = value
	}
	return s.build()
}

// ParseJSON reads the same settings from nested JSON.
func ParseJSON(text []byte) (Settings, error) {
	s := parser{values: map[string]string{}}
	if len(text) > maxTextBytes {
		return Settings{}, fmt.Errorf("settings: %d bytes are over %d", len(text), maxTextBytes)
	}
	root := gjson.ParseBytes(text)
	if !gjson.ValidBytes(text) || !root.IsObject() {
		return Settings{}, errors.New("settings: not a JSON object")
	}
	s.flatten("", root)
	return s.build()
}

// flatten writes v as the wire's text would: lists of plain values joined with commas, lists of objects as a
// count and numbered items.
func (s *parser) flatten(path string, v gjson.Result) {
	switch {
	case v.IsObject():
		if path != "" {
			path += "."
		}
		v.ForEach(func(key, item gjson.Result) bool {
			s.flatten(path+key.String(), item)
			return true
		})
	case v.IsArray():
		items := v.Array()
		if len(items) > 0 && items[0].IsObject() {
			s.values[path+".count"] = strconv.Itoa(len(items))
			for i, item := range items {
				s.flatten(fmt.Sprintf("%s.%d", path, i), item)
			}
			return
		}
		words := make([]string, len(items))
		for i, item := range items {
			words[i] = scalarText(item)
		}
		s.values[path] = strings.Join(words, ",")
	case v.Type != gjson.Null:
		s.values[path] = scalarText(v)
	}
}

var separatorReplacer = strings.NewReplacer(" ", "_", ",", "_")

func scalarText(v gjson.Result) string {
	if v.Type == gjson.String {
		return separatorReplacer.Replace(v.Str)
	}
	return v.Raw
}

func (s *parser) build() (Settings, error) {
	out := Settings{
		Decision:       s.decisionSettings(),
		ZoneNames:      s.list("dcs"),
		MachineTypes:   s.list("skus"),
		ConnectTimeout: cmp.Or(s.micros("limits.connect_timeout", false, 0), defaultConnectTimeout),
		ReportsLoad:    s.boolean("specifics.tells_load"),
		ReportsDelay:   s.boolean("specifics.tells_delay"),
	}
	for i := range out.Decision.Classes {
		key := fmt.Sprintf("request_classes.%d.name", i)
		name := s.values[key]
		if name != "" && slices.Contains(out.ClassNames, name) { // the simulator's classes go by number
			s.reject(key, "%q is named twice", name)
		}
		out.ClassNames = append(out.ClassNames, name)
	}
	s.requirePositive("limits.most_tries")
	if len(s.problems) > 0 {
		return out, fmt.Errorf("settings: %w", errors.Join(s.problems...))
	}
	return out, nil
}

func (s *parser) decisionSettings() decision.Settings {
	out := decision.Settings{
		Rank:                  int(s.number("rank", true, 0)),
		Balancers:             int(s.number("balancers", true, 1)),
		Zone:                  int(s.number("zone", true, 0)),
		Zones:                 len(s.list("dcs")),
		PollDiscovery:         s.oneOf("discovery", "push", "push", "ask") == "ask",
		Passthrough:           s.oneOf("specifics.mode", "proxy", "proxy", "pass") == "pass",
		DynamicWeights:        s.values["weights"] == "live",
		ReportsConnectionLoad: s.boolean("specifics.tells_load"),
		ClockResolution:       s.micros("tick", false, 1000),
		OverQuotaPriority:     s.number("over_share_worth", false, 1),
		MaxAttempts:           int(s.number("limits.most_tries", true, 1)),
		MaxHeldRequests:       int(s.number("limits.most_held", false, math.MaxInt32)),
		AllowProbes:           s.boolean("limits.probes"),
		AllowCancel:           s.boolean("limits.may_cancel"),
		AllowRetryAfter:       s.boolean("limits.retry_after"),
		MaxRetryAfter:         s.micros("limits.max_retry_after", false, 0),
		AnswerTolerance:       s.micros("rules.answer_slack", false, 0),
		PollInterval:          s.micros("rules.ask_every", false, 10_000_000),
		InitialCapacity:       s.number("rules.cold_from", true, 0),
		WarmupTime:            s.micros("rules.cold", true, 0),
		DrainGrace:            s.micros("rules.drain_grace", true, 0),
		OverloadWindow:        s.micros("rules.tip_after", true, 0),
		ParkTime:              s.micros("specifics.park", false, 0),
		OverloadFactor:        s.number("rules.overload_factor", true, 1),
		CrossZoneCost:         s.number("fees.cross_zone", false, 0),
		MoveCost:              s.number("fees.moves", false, 0),
		ProbeCost:             s.number("fees.probe", false, 0),
		LoadReportColumns:     s.list("stats.columns"),
	}
	out.Classes = s.requestClasses()
	out.Tenants = s.tenants()
	return out
}

// requestClasses are the request classes, each with its worth as a part of the highest.
func (s *parser) requestClasses() (out []decision.Class) {
	aims := s.list("specifics.message_aim")
	most := 0.0
	for i := range s.count("request_classes", true) {
		c := s.requestClass(i, aims)
		most = max(most, c.Priority)
		out = append(out, c)
	}
	for i := range out {
		if most > 0 {
			out[i].RelativePriority = out[i].Priority / most
		}
	}
	return out
}

// tenants are the tenants with what each may have.
func (s *parser) tenants() (out []decision.Tenant) {
	quotas := s.list("specifics.tenant_quota_connections")
	for i := range s.count("tenants", false) {
		at := fmt.Sprintf("tenants.%d.", i)
		out = append(out, decision.Tenant{
			Share: s.number(at+"portion", false, 0), RequestQuota: s.number(at+"quota_per_s", false, 0),
			ConnectionQuota: s.listNumber("specifics.tenant_quota_connections", quotas, i),
		})
	}
	return out
}

func (s *parser) requestClass(i int, aims []string) decision.Class {
	at := fmt.Sprintf("request_classes.%d.", i)
	c := decision.Class{
		LatencyObjective:        s.micros(at+"slo", true, 0),
		Deadline:                s.micros(at+"deadline", true, 0),
		DedupWindow:             s.micros(at+"window", false, 0),
		Priority:                s.number(at+"worth", false, 1),
		Streaming:               s.boolean(at + "streaming"),
		MessageLatencyObjective: decision.Micros(s.listNumber("specifics.message_aim", aims, i)),
	}
	s.requirePositive(at + "deadline")
	switch s.oneOf(at+"effect", "", "read_like", "idempotency_key", "non_idempotent") {
	case "idempotency_key":
		c.Idempotency = decision.IdempotentWithKey
		switch s.oneOf(at+"key_scope", "", "all", "zone", "cell") {
		case "zone":
			c.DedupScope = decision.ScopeZone
		case "cell":
			c.DedupScope = decision.ScopeCell
		}
	case "non_idempotent":
		c.Idempotency = decision.NonIdempotent
	}
	return c
}

func (s *parser) reject(key, format string, args ...any) {
	s.problems = append(s.problems, fmt.Errorf("%s: "+format, append([]any{key}, args...)...))
}

// number reads a finite number that is not below zero.
func (s *parser) number(key string, required bool, otherwise float64) float64 {
	text, ok := s.values[key]
	if !ok {
		if required {
			s.reject(key, "missing")
		}
		return otherwise
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(v) || v < 0 || v > 1e15 {
		s.reject(key, "%q is not a number that can be used", text)
		return otherwise
	}
	return v
}

// requirePositive finds fault with a value that was given as 0: a request can't have no time, nor no attempt.
func (s *parser) requirePositive(key string) {
	if f, err := strconv.ParseFloat(s.values[key], 64); err == nil && f == 0 { // below 0 is refused as a number
		s.reject(key, "%v is not over 0", s.values[key])
	}
}

func (s *parser) micros(key string, required bool, otherwise decision.Micros) decision.Micros {
	return decision.Micros(s.number(key, required, float64(otherwise)))
}

func (s *parser) count(key string, required bool) int {
	n := s.number(key+".count", required, 0)
	if n > maxItems {
		s.reject(key+".count", "%v is over %d", n, maxItems)
		return 0
	}
	return int(n)
}

func (s *parser) boolean(key string) bool {
	return s.oneOf(key, "false", "true", "false") == "true"
}

// oneOf reads one of the allowed words; a missing one is an error where there is no other value.
func (s *parser) oneOf(key, otherwise string, allowed ...string) string {
	text, ok := s.values[key]
	if !ok {
		if otherwise == "" {
			s.reject(key, "missing")
		}
		return otherwise
	}
	for _, w := range allowed {
		if text == w {
			return w
		}
	}
	s.reject(key, "%q is none of %s", text, strings.Join(allowed, ", "))
	return otherwise
}

func (s *parser) list(key string) []string {
	if s.values[key] == "" {
		return nil
	}
	return strings.Split(s.values[key], ",")
}

// listNumber reads the number at place i of a list that may be absent, or hold null where nothing is stated.
func (s *parser) listNumber(key string, list []string, i int) float64 {
	if i >= len(list) || list[i] == "null" || list[i] == "" {
		return 0
	}
	v, err := strconv.ParseFloat(list[i], 64)
	if err != nil || math.IsNaN(v) || v < 0 || v > 1e15 {
		s.reject(key, "item %d, %q, is not a number that can be used", i, list[i])
		return 0
	}
	return v
}
