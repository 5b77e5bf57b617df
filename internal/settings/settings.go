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
	maxList = 10000
	maxText = 1 << 20

	// connectTimeout is for settings that name none, or none that anything could connect in.
	connectTimeout decision.Micros = 1_000_000
)

// settings reads path=value pairs and collects what is wrong with them.
type settings struct {
	pairs map[string]string
	errs  []error
}

// Settings is what the decisions go by, and what only a real balancer needs: the names that lines and lists use
// for what the decisions number, and the limits of its sockets.
type Settings struct {
	Logic                 decision.Settings
	Classes, Zones, Kinds []string
	ConnectTimeout        decision.Micros
	TellsLoad, TellsDelay bool // what the decisions expect notes of: a connection's load, how long messages take
}

// ParseText reads path=value pairs, one a line. Unknown keys are ignored; every required key that is missing or
// unreadable is named in the error.
func ParseText(text []byte) (Settings, error) {
	s := settings{pairs: map[string]string{}}
	if len(text) > maxText {
		return Settings{}, fmt.Errorf("settings: %d bytes are over %d", len(text), maxText)
	}
	for i, line := range strings.Split(string(text), "\n") {
		if line = strings.TrimSpace(line); line == "" {
			continue
		}
		key, value, ok := strings.Cut(line, "=")
		if !ok {
			return Settings{}, fmt.Errorf("settings: line %d has no '='", i+1)
		}
		s.pairs[key] = value
	}
	return s.finish()
}

// ParseJSON reads the same settings from nested JSON.
func ParseJSON(text []byte) (Settings, error) {
	s := settings{pairs: map[string]string{}}
	if len(text) > maxText {
		return Settings{}, fmt.Errorf("settings: %d bytes are over %d", len(text), maxText)
	}
	root := gjson.ParseBytes(text)
	if !gjson.ValidBytes(text) || !root.IsObject() {
		return Settings{}, errors.New("settings: not a JSON object")
	}
	s.flatten("", root)
	return s.finish()
}

// flatten writes v as the wire's text would: lists of plain values joined with commas, lists of objects as a
// count and numbered items.
func (s *settings) flatten(path string, v gjson.Result) {
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
			s.pairs[path+".count"] = strconv.Itoa(len(items))
			for i, item := range items {
				s.flatten(fmt.Sprintf("%s.%d", path, i), item)
			}
			return
		}
		words := make([]string, len(items))
		for i, item := range items {
			words[i] = word(item)
		}
		s.pairs[path] = strings.Join(words, ",")
	case v.Type != gjson.Null:
		s.pairs[path] = word(v)
	}
}

var noSeparators = strings.NewReplacer(" ", "_", ",", "_")

func word(v gjson.Result) string {
	if v.Type == gjson.String {
		return noSeparators.Replace(v.Str)
	}
	return v.Raw
}

func (s *settings) finish() (Settings, error) {
	out := Settings{
		Logic:          s.read(),
		Zones:          s.list("dcs"),
		Kinds:          s.list("skus"),
		ConnectTimeout: cmp.Or(s.time("limits.connect_timeout", false, 0), connectTimeout),
		TellsLoad:      s.flag("specifics.tells_load"),
		TellsDelay:     s.flag("specifics.tells_delay"),
	}
	for i := range out.Logic.Classes {
		key := fmt.Sprintf("request_classes.%d.name", i)
		name := s.pairs[key]
		if name != "" && slices.Contains(out.Classes, name) { // the simulator's classes go by number
			s.bad(key, "%q is named twice", name)
		}
		out.Classes = append(out.Classes, name)
	}
	s.over0("limits.most_tries")
	if len(s.errs) > 0 {
		return out, fmt.Errorf("settings: %w", errors.Join(s.errs...))
	}
	return out, nil
}

func (s *settings) read() decision.Settings {
	out := decision.Settings{
		Rank:           int(s.num("rank", true, 0)),
		Balancers:      int(s.num("balancers", true, 1)),
		Zone:           int(s.num("zone", true, 0)),
		Zones:          len(s.list("dcs")),
		Ask:            s.word("discovery", "push", "push", "ask") == "ask",
		Pass:           s.word("specifics.mode", "proxy", "proxy", "pass") == "pass",
		LiveWeights:    s.pairs["weights"] == "live",
		TellsLoad:      s.flag("specifics.tells_load"),
		Tick:           s.time("tick", false, 1000),
		OverShareWorth: s.num("over_share_worth", false, 1),
		MostTries:      int(s.num("limits.most_tries", true, 1)),
		MostHeld:       int(s.num("limits.most_held", false, math.MaxInt32)),
		MayProbe:       s.flag("limits.probes"),
		MayCancel:      s.flag("limits.may_cancel"),
		MayHold:        s.flag("limits.retry_after"),
		MaxRetryAfter:  s.time("limits.max_retry_after", false, 0),
		AnswerSlack:    s.time("rules.answer_slack", false, 0),
		AskEvery:       s.time("rules.ask_every", false, 10_000_000),
		ColdFrom:       s.num("rules.cold_from", true, 0),
		Cold:           s.time("rules.cold", true, 0),
		DrainGrace:     s.time("rules.drain_grace", true, 0),
		TipAfter:       s.time("rules.tip_after", true, 0),
		Park:           s.time("specifics.park", false, 0),
		OverloadFactor: s.num("rules.overload_factor", true, 1),
		FeeCrossZone:   s.num("fees.cross_zone", false, 0),
		FeeMoves:       s.num("fees.moves", false, 0),
		FeeProbe:       s.num("fees.probe", false, 0),
		Columns:        s.list("stats.columns"),
	}
	out.Classes = s.classes()
	out.Tenants = s.tenants()
	return out
}

// classes are the request classes, each with its worth as a part of the highest.
func (s *settings) classes() (out []decision.Class) {
	aims := s.list("specifics.message_aim")
	most := 0.0
	for i := range s.count("request_classes", true) {
		c := s.class(i, aims)
		most = max(most, c.Worth)
		out = append(out, c)
	}
	for i := range out {
		if most > 0 {
			out[i].WorthPart = out[i].Worth / most
		}
	}
	return out
}

// tenants are the tenants with what each may have.
func (s *settings) tenants() (out []decision.Tenant) {
	quotas := s.list("specifics.tenant_quota_connections")
	for i := range s.count("tenants", false) {
		at := fmt.Sprintf("tenants.%d.", i)
		out = append(out, decision.Tenant{
			Portion: s.num(at+"portion", false, 0), QuotaPerS: s.num(at+"quota_per_s", false, 0),
			QuotaConnections: s.item("specifics.tenant_quota_connections", quotas, i),
		})
	}
	return out
}

func (s *settings) class(i int, aims []string) decision.Class {
	at := fmt.Sprintf("request_classes.%d.", i)
	c := decision.Class{
		Aim:        s.time(at+"slo", true, 0),
		Deadline:   s.time(at+"deadline", true, 0),
		Window:     s.time(at+"window", false, 0),
		Worth:      s.num(at+"worth", false, 1),
		Stream:     s.flag(at + "streaming"),
		MessageAim: decision.Micros(s.item("specifics.message_aim", aims, i)),
	}
	s.over0(at + "deadline")
	switch s.word(at+"effect", "", "read_like", "idempotency_key", "non_idempotent") {
	case "idempotency_key":
		c.Effect = decision.Keyed
		switch s.word(at+"key_scope", "", "all", "zone", "cell") {
		case "zone":
			c.Scope = decision.ScopeZone
		case "cell":
			c.Scope = decision.ScopeCell
		}
	case "non_idempotent":
		c.Effect = decision.Unsafe
	}
	return c
}

func (s *settings) bad(key, format string, args ...any) {
	s.errs = append(s.errs, fmt.Errorf("%s: "+format, append([]any{key}, args...)...))
}

// num reads a finite number that is not below zero.
func (s *settings) num(key string, required bool, otherwise float64) float64 {
	text, ok := s.pairs[key]
	if !ok {
		if required {
			s.bad(key, "missing")
		}
		return otherwise
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(v) || v < 0 || v > 1e15 {
		s.bad(key, "%q is not a number that can be used", text)
		return otherwise
	}
	return v
}

// over0 finds fault with a value that was given as 0: a request can't have no time, nor no attempt.
func (s *settings) over0(key string) {
	if f, err := strconv.ParseFloat(s.pairs[key], 64); err == nil && f == 0 { // below 0 is refused as a number
		s.bad(key, "%v is not over 0", s.pairs[key])
	}
}

func (s *settings) time(key string, required bool, otherwise decision.Micros) decision.Micros {
	return decision.Micros(s.num(key, required, float64(otherwise)))
}

func (s *settings) count(key string, required bool) int {
	n := s.num(key+".count", required, 0)
	if n > maxList {
		s.bad(key+".count", "%v is over %d", n, maxList)
		return 0
	}
	return int(n)
}

func (s *settings) flag(key string) bool {
	return s.word(key, "false", "true", "false") == "true"
}

// word reads one of the allowed words; a missing one is an error where there is no other value.
func (s *settings) word(key, otherwise string, allowed ...string) string {
	text, ok := s.pairs[key]
	if !ok {
		if otherwise == "" {
			s.bad(key, "missing")
		}
		return otherwise
	}
	for _, w := range allowed {
		if text == w {
			return w
		}
	}
	s.bad(key, "%q is none of %s", text, strings.Join(allowed, ", "))
	return otherwise
}

func (s *settings) list(key string) []string {
	if s.pairs[key] == "" {
		return nil
	}
	return strings.Split(s.pairs[key], ",")
}

// item reads the number at place i of a list that may be absent, or hold null where nothing is stated.
func (s *settings) item(key string, list []string, i int) float64 {
	if i >= len(list) || list[i] == "null" || list[i] == "" {
		return 0
	}
	v, err := strconv.ParseFloat(list[i], 64)
	if err != nil || math.IsNaN(v) || v < 0 || v > 1e15 {
		s.bad(key, "item %d, %q, is not a number that can be used", i, list[i])
		return 0
	}
	return v
}
