package settings

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"spurspread/decision"
)

// Keys that are read in more than one place, or that belong to lists.
const (
	keyClasses          = "request_classes"
	keyTenants          = "tenants"
	keyZoneNames        = "dcs"
	keyMaxAttempts      = "limits.most_tries"
	keyMessageObjective = "specifics.message_aim"
	keyConnectionQuota  = "specifics.tenant_quota_connections"
)

// Defaults of optional keys.
const (
	defaultClockResolution   decision.Micros = 1000
	defaultPollInterval      decision.Micros = 10_000_000
	defaultOverQuotaPriority                 = 1 // factor of the priority of requests beyond a tenant's quota
	defaultPriority                          = 1
	defaultMaxHeldRequests                   = math.MaxInt32
)

// settings translates all keys. It reads them in a fixed order; the error lists the problems in that order.
func (p *parser) settings() (Settings, error) {
	out := Settings{Decision: p.decisionSettings()}
	out.ZoneNames = p.list(keyZoneNames)
	out.MachineTypes = p.list("skus")
	out.ConnectTimeout = cmp.Or(p.optionalMicros("limits.connect_timeout", 0), defaultConnectTimeout)
	out.ReportsLoad = out.Decision.ReportsConnectionLoad
	out.ReportsMessageLatency = p.boolean("specifics.tells_delay")
	out.ClassNames = p.classNames(len(out.Decision.Classes))
	p.requirePositive(keyMaxAttempts)
	if len(p.problems) > 0 {
		return Settings{}, &InvalidError{Problems: p.problems}
	}
	return out, nil
}

// decisionSettings maps the platform's keys to the fields of decision.Settings. Times are in microseconds.
func (p *parser) decisionSettings() decision.Settings {
	return decision.Settings{
		Rank:                  int(p.requiredNumber("rank")),
		Balancers:             int(p.requiredNumber("balancers")),
		Zone:                  int(p.requiredNumber("zone")),
		Zones:                 len(p.list(keyZoneNames)),
		PollDiscovery:         p.oneOf("discovery", "push", "push", "ask") == "ask",
		Passthrough:           p.oneOf("specifics.mode", "proxy", "proxy", "pass") == "pass",
		DynamicWeights:        p.values["weights"] == "live",
		ReportsConnectionLoad: p.boolean("specifics.tells_load"),
		ClockResolution:       p.optionalMicros("tick", defaultClockResolution),
		OverQuotaPriority:     p.optionalNumber("over_share_worth", defaultOverQuotaPriority),
		MaxAttempts:           int(p.requiredNumber(keyMaxAttempts)),
		MaxHeldRequests:       int(p.optionalNumber("limits.most_held", defaultMaxHeldRequests)),
		AllowProbes:           p.boolean("limits.probes"),
		AllowCancel:           p.boolean("limits.may_cancel"),
		AllowRetryAfter:       p.boolean("limits.retry_after"),
		MaxRetryAfter:         p.optionalMicros("limits.max_retry_after", 0),
		AnswerTolerance:       p.optionalMicros("rules.answer_slack", 0),
		PollInterval:          p.optionalMicros("rules.ask_every", defaultPollInterval),
		InitialCapacity:       p.requiredNumber("rules.cold_from"),
		WarmupTime:            p.requiredMicros("rules.cold"),
		DrainGrace:            p.requiredMicros("rules.drain_grace"),
		OverloadWindow:        p.requiredMicros("rules.tip_after"),
		ParkTime:              p.optionalMicros("specifics.park", 0),
		OverloadFactor:        p.requiredNumber("rules.overload_factor"),
		CrossZoneCost:         p.optionalNumber("fees.cross_zone", 0),
		MoveCost:              p.optionalNumber("fees.moves", 0),
		ProbeCost:             p.optionalNumber("fees.probe", 0),
		LoadReportColumns:     p.list("stats.columns"),
		Classes:               p.requestClasses(),
		Tenants:               p.tenants(),
	}
}

// requestClasses reads the request classes, and sets the priority of each relative to the highest. If the highest is 0,
// all relative priorities are 0.
func (p *parser) requestClasses() []decision.Class {
	var classes []decision.Class
	objectives := p.list(keyMessageObjective)
	highest := 0.0
	for i := range p.requiredCount(keyClasses) {
		class := p.requestClass(i, objectives)
		highest = max(highest, class.Priority)
		classes = append(classes, class)
	}
	if highest > 0 {
		for i := range classes {
			classes[i].RelativePriority = classes[i].Priority / highest
		}
	}
	return classes
}

func (p *parser) requestClass(i int, messageObjectives []string) decision.Class {
	prefix := fmt.Sprintf("%s.%d.", keyClasses, i)
	class := decision.Class{
		LatencyObjective:        p.requiredMicros(prefix + "slo"),
		Deadline:                p.requiredMicros(prefix + "deadline"),
		DedupWindow:             p.optionalMicros(prefix+"window", 0),
		Priority:                p.optionalNumber(prefix+"worth", defaultPriority),
		Streaming:               p.boolean(prefix + "streaming"),
		MessageLatencyObjective: decision.Micros(p.listNumber(keyMessageObjective, messageObjectives, i)),
	}
	p.requirePositive(prefix + "deadline")
	switch p.requiredOneOf(prefix+"effect", "read_like", "idempotency_key", "non_idempotent") {
	case "idempotency_key":
		class.Idempotency = decision.IdempotentWithKey
		class.DedupScope = p.dedupScope(prefix + "key_scope")
	case "non_idempotent":
		class.Idempotency = decision.NonIdempotent
	}
	return class
}

func (p *parser) dedupScope(key string) (scope decision.DedupScope) {
	switch p.requiredOneOf(key, "all", "zone", "cell") {
	case "zone":
		scope = decision.ScopeZone
	case "cell":
		scope = decision.ScopeCell
	}
	return scope
}

// classNames reads the names of the first count classes. Names must differ, because a balancer finds a class by its
// name. The simulator's classes have no names; they are referred to by number.
func (p *parser) classNames(count int) []string {
	var names []string
	for i := range count {
		key := fmt.Sprintf("%s.%d.name", keyClasses, i)
		name := p.values[key]
		if name != "" && slices.Contains(names, name) {
			p.reject(key, ErrDuplicate, "class name %q is used twice", name)
		}
		names = append(names, name)
	}
	return names
}

// tenants reads the tenants, each with its share of the service and its quotas.
func (p *parser) tenants() []decision.Tenant {
	var tenants []decision.Tenant
	quotas := p.list(keyConnectionQuota)
	for i := range p.optionalCount(keyTenants) {
		prefix := fmt.Sprintf("%s.%d.", keyTenants, i)
		tenants = append(tenants, decision.Tenant{
			Share:           p.optionalNumber(prefix+"portion", 0),
			RequestQuota:    p.optionalNumber(prefix+"quota_per_s", 0),
			ConnectionQuota: p.listNumber(keyConnectionQuota, quotas, i),
		})
	}
	return tenants
}
