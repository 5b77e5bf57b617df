package decision

import "spurspread/decision/retry"

type (
	// Idempotency tells whether a request of a class may be executed more than once; see package retry.
	Idempotency = retry.Idempotency
	// DedupScope is the group of servers that discard each other's duplicates; see package retry.
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

// Class is a class of requests, with its latency objectives and the rules for its retries.
type Class struct {
	// LatencyObjective is the objective for the set-up of a connection. While set-ups take longer than a fraction of it
	// (maxMoveSetupShare), no connections of the class are moved to relieve servers.
	LatencyObjective Micros
	Deadline         Micros // time from arrival to final answer; the caller derives Request.TimeLeft from it
	Idempotency      Idempotency
	DedupScope       DedupScope // servers that discard each other's duplicates, for IdempotentWithKey
	DedupWindow      Micros     // time after the first attempt for which they do, for IdempotentWithKey
	Priority         float64    // weight among the classes, at least 0; takes effect through RelativePriority
	RelativePriority float64    // Priority over the highest Priority of all classes, 0 to 1
	Streaming        bool       // connections carry streams. Not used.

	// MessageLatencyObjective is the objective for one message on an established connection; 0 means none. A server
	// whose latency comes close to it or exceeds it gets fewer connections (latency.SlowThreshold) and loses some of
	// those that it has (latency.MoveThreshold).
	MessageLatencyObjective Micros
}

// RetryPolicy returns the policy for retries after an attempt that may have been executed.
func (c *Class) RetryPolicy() retry.Policy {
	return retry.Policy{Idempotency: c.Idempotency, DedupScope: c.DedupScope, DedupWindow: c.DedupWindow}
}

// Tenant is one customer with a share of the service. No decision depends on tenants yet.
type Tenant struct {
	Share           float64 // fraction of the service, 0 to 1
	RequestQuota    float64 // requests per second within its share, over all balancers
	ConnectionQuota float64 // established connections within its share, over all balancers; 0: unspecified
}

// Settings is the configuration of one Balancer. New and SettingsChanged do not validate it; the caller must. The
// stated defaults are those of the settings file. Fields marked "Not used" are accepted but have no effect on
// decisions.
type Settings struct {
	// Rank is this balancer's index among Balancers, from 0. Balancers of equal rank poll discovery at the same moments
	// and use the same slow-start grants twice.
	Rank int
	// Balancers is the number of balancers in the fleet, at least 1. Budgets that the fleet shares are divided by it: a
	// value that is too low overloads servers, one that is too high delays clients.
	Balancers int
	// Zone is the index of the home zone, whose servers are preferred, in the list of zones; see ServerEntry.Zone.
	Zone int
	// Zones is the number of zones in that list.
	Zones int

	// PollDiscovery is set if discovery must be polled; by default it pushes updates.
	PollDiscovery bool
	// Passthrough is set if the proxy only forwards packets, so that connections outlive it; default false. Every
	// balancer then selects the same server for a request's key, and set-ups are not limited.
	Passthrough bool
	// ReportsConnectionLoad is set if servers report the load of each connection; default false. Requests are then
	// placed by load instead of by number of connections, and overloaded servers are rebalanced.
	ReportsConnectionLoad bool
	// DynamicWeights is set if a listed weight is the server's cores divided by (1 + its connections per core). By
	// default a weight does not depend on use.
	DynamicWeights bool
	// ClockResolution is the resolution of the caller's clock; default 1 ms. Not used.
	ClockResolution Micros

	Classes           []Class
	Tenants           []Tenant
	OverQuotaPriority float64 // priority of requests over a tenant's quota; default 1. Not used.

	// MaxAttempts is the maximum number of attempts for one request, at least 1. More attempts mask more failures, but
	// add more load while servers fail.
	MaxAttempts int
	// MaxHeldRequests is the maximum number of requests that have not ended, whether they are held, connecting or
	// established; default unlimited. The caller enforces it.
	MaxHeldRequests int
	AllowProbes     bool // ProbeServer may be emitted; otherwise requests validate Unhealthy servers
	AllowCancel     bool // CancelAttempt may be emitted
	AllowRetryAfter bool // Reject.RetryAfter may be set
	// MaxRetryAfter is the maximum of Reject.RetryAfter; default 0, with which no time is stated.
	MaxRetryAfter Micros
	// AnswerTolerance is the time by which an answer may be late; default 0. Not used.
	AnswerTolerance Micros
	// PollInterval is the maximum time between two polls of discovery; default 10 s. A shorter one adds load to
	// discovery.
	PollInterval Micros

	// InitialCapacity is the fraction of its full capacity, 0 to 1, that a server is assumed to have when it starts. A
	// value that is too high overloads starting servers, one that is too low leaves them idle.
	InitialCapacity float64
	// WarmupTime is the time after its start at which a server has its full capacity.
	WarmupTime Micros
	// DrainGrace is the time after a draining server's change of state in discovery within which it may still get
	// attempts from balancers that have not learned of the change yet. The polling schedule may use all of this time
	// before the poll that brings the change. A balancer that knows of the change sends no more attempts.
	DrainGrace Micros
	// OverloadWindow is the time for which a starting server withstands OverloadFactor times its capacity. Both
	// determine the slow-start budget: smaller values protect servers, larger ones use them sooner.
	OverloadWindow Micros
	OverloadFactor float64
	ParkTime       Micros // default 0. Not used.

	// Costs, in the unit of Class.Priority.
	CrossZoneCost float64 // cost of a connection to another zone; default 0. Not used.
	MoveCost      float64 // cost of a move; default 0. Not used.
	ProbeCost     float64 // cost of a probe; default 0, which allows no probes for load reports

	// LoadReportColumns are the names of LoadReport.Values, in the same order.
	LoadReportColumns []string
}

// applySettings makes s apply to all further decisions. Requests keep the class that they arrived with.
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

// shortestMessageObjective returns the shortest MessageLatencyObjective of all classes, or 0 if none has one. A
// server's latency is compared with it, since metrics are not kept by class.
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

// loadsReported reports whether servers report the load of each connection.
func (b *Balancer) loadsReported() bool { return b.settings.ReportsConnectionLoad }
