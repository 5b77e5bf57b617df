package decision

import "spurspread/decision/retry"

type (
	// Idempotency says whether a request of a class may be executed twice; see package retry.
	Idempotency = retry.Idempotency
	// DedupScope names the servers that discard duplicates of a request; see package retry.
	DedupScope = retry.DedupScope
)

// The values of Idempotency and DedupScope.
const (
	Idempotent        = retry.Idempotent
	IdempotentWithKey = retry.IdempotentWithKey
	NonIdempotent     = retry.NonIdempotent
	ScopeAll          = retry.ScopeAll
	ScopeZone         = retry.ScopeZone
	ScopeCell         = retry.ScopeCell
)

// Class is one class of requests.
type Class struct {
	// LatencyObjective is for the set-up of a connection. While set-ups take long against it, nothing of the class
	// moves.
	LatencyObjective Micros
	Deadline         Micros // from a request's arrival to its final answer
	Idempotency      Idempotency
	DedupScope       DedupScope // servers that discard duplicates, for IdempotentWithKey
	DedupWindow      Micros     // how long they do so after the first attempt, for IdempotentWithKey
	Priority         float64    // weight among the classes, above or equal to 0; decides by RelativePriority
	RelativePriority float64    // Priority over the highest Priority of all classes, 0 to 1
	Streaming        bool       // the connections carry streams. Not used.

	// MessageLatencyObjective is for one message on an established connection; 0 where the class states none. A server
	// that exceeds it gets fewer connections and loses some of those it has.
	MessageLatencyObjective Micros
}

// RetryPolicy returns what the class allows after an attempt that may have executed.
func (c *Class) RetryPolicy() retry.Policy {
	return retry.Policy{Idempotency: c.Idempotency, DedupScope: c.DedupScope, DedupWindow: c.DedupWindow}
}

// Tenant is one customer with a share of the service. No decision depends on tenants yet.
type Tenant struct {
	Share           float64 // of the service, 0 to 1
	RequestQuota    float64 // requests a second within its share, over all balancers
	ConnectionQuota float64 // established connections within its share, over all balancers; 0 where not stated
}

// Settings is the configuration of one Balancer. It is checked by whoever reads it; New and SettingsChanged take it as
// it is. Defaults are those of the settings file. Fields marked "not used" are accepted and decide nothing.
type Settings struct {
	// Rank is this balancer's number among Balancers, from 0. Equal ranks poll discovery at the same moments and
	// use the same slow-start grants twice.
	Rank int
	// Balancers is the size of the fleet, at least 1. Budgets that the fleet shares are divided by it: too low a value
	// overloads servers, too high a value delays clients.
	Balancers int
	// Zone is the home zone, whose servers are preferred.
	Zone int
	// Zones is the number of zones.
	Zones int

	// PollDiscovery is true where discovery answers only when polled, false (default) where it pushes updates.
	PollDiscovery bool
	// Passthrough is true where packets pass through and connections outlive the balancer; default false. Servers are
	// then selected by the request's key, alike at every balancer, and no limit on set-ups applies.
	Passthrough bool
	// ReportsConnectionLoad is true where servers report the load of each connection; default false. Placement then
	// goes by load instead of by number of connections, and overloaded servers are rebalanced.
	ReportsConnectionLoad bool
	// DynamicWeights is true where a listed weight is the server's cores over 1 + connections for each core; default
	// false, a weight that does not change with use.
	DynamicWeights bool
	// ClockResolution is that of the caller's clock; default 1 ms. Not used.
	ClockResolution Micros

	Classes           []Class
	Tenants           []Tenant
	OverQuotaPriority float64 // priority of requests beyond a tenant's quota, default 1. Not used.

	// MaxAttempts bounds the attempts of one request, at least 1. More attempts mask more failures and add more load
	// while servers fail.
	MaxAttempts int
	// MaxHeldRequests bounds the requests that have not ended, whether they wait, connect or are established; default
	// unlimited. The caller enforces it.
	MaxHeldRequests int
	AllowProbes     bool // ProbeServer may be emitted; without it Unhealthy servers are validated by requests
	AllowCancel     bool // CancelAttempt may be emitted
	AllowRetryAfter bool // Reject.RetryAfter may be set
	// MaxRetryAfter bounds Reject.RetryAfter; default 0.
	MaxRetryAfter Micros
	// AnswerTolerance is how late an answer may be; default 0. Not used.
	AnswerTolerance Micros
	// PollInterval is the longest time between two polls of discovery; default 10 s. A shorter one loads discovery.
	PollInterval Micros

	// InitialCapacity is the part of its capacity, 0 to 1, that a server surely has when it starts. A value too high
	// overloads starting servers, one too low leaves them idle.
	InitialCapacity float64
	// WarmupTime is how long after its start a server has its full capacity.
	WarmupTime Micros
	// DrainGrace is how long after the update a draining server may still get attempts. None is sent then; the polling
	// schedule uses the grace as time for a poll.
	DrainGrace Micros
	// OverloadWindow is how long a starting server may be sent OverloadFactor times what it can take before it fails.
	// Both set the slow-start budget: smaller values protect servers, larger ones use them sooner.
	OverloadWindow Micros
	OverloadFactor float64
	ParkTime       Micros // default 0. Not used.

	// Costs, in the unit of Class.Priority.
	CrossZoneCost float64 // of a connection to another zone, default 0. Not used.
	MoveCost      float64 // of a move, default 0. Not used.
	ProbeCost     float64 // of a probe, default 0: probes for load reports are then never paid for

	// LoadReportColumns are the names of LoadReport.Values, in their order.
	LoadReportColumns []string
}

// applySettings makes s hold for all decisions from now on. Requests keep the class that they arrived with.
func (b *Balancer) applySettings(s Settings) {
	b.settings = s
	b.fleetShare = 1 / float64(max(s.Balancers, 1))
	b.loadModel.DynamicWeights = s.DynamicWeights
	b.loadModel.LoadsReported = s.ReportsConnectionLoad
	b.polling.Rank = s.Rank
	b.polling.Balancers = s.Balancers
	b.polling.MaxInterval = s.PollInterval
	b.polling.Grace = s.DrainGrace
}

// shortestMessageObjective returns the shortest MessageLatencyObjective of the classes, 0 where none states one.
// Latency of a server is measured against it, since metrics don't tell the class.
func (b *Balancer) shortestMessageObjective() Micros {
	shortest := Micros(0)
	for i := range b.settings.Classes {
		objective := b.settings.Classes[i].MessageLatencyObjective
		if objective > 0 && (shortest == 0 || objective < shortest) {
			shortest = objective
		}
	}
	return shortest
}

// loadsReported reports whether servers report the load of their connections.
func (b *Balancer) loadsReported() bool { return b.settings.ReportsConnectionLoad }
