// Package concurrency limits the set-ups of connections that one balancer has in flight, to all servers together. From
// the outcomes and latencies of set-ups it decides how many may be in flight, with which probability a new one is shed,
// and whether failures have a cause that all servers share. It also estimates how long a set-up takes.
//
// It does not know servers, requests or clocks. The owner reports the outcome of each set-up with Record and each shed
// one with RecordShed, and calls Decay once a tick. Latencies are microseconds, as float64.
package concurrency

// millisecond is a millisecond in the unit of latencies.
const millisecond = 1000.0

// Constants of the failure rate, an exponential average over the outcomes of set-ups.
const (
	// failureWeight is the weight of one outcome.
	failureWeight = 0.1
	// sharedFailureRate is the failure rate above which failures are assumed to have a cause that all servers share.
	sharedFailureRate = 0.5
)

// Constants of the set-up latency, an estimate of a quantile: each slower set-up multiplies it by quantileUp and each
// quicker one divides it by quantileDown, so that it settles where about two thirds of set-ups are quicker.
const (
	quantileUp   = 1.6
	quantileDown = 1.25
	minLatency   = 1 * millisecond
)

// Constants of load shedding; see ShedProbability.
const (
	// throttleRatio is the number of attempts allowed per established set-up.
	throttleRatio = 2.0
	// throttleFreeAttempts is the number of additional attempts that all balancers together may make within the memory
	// given by throttleDecay, so that they find out when set-ups succeed again.
	throttleFreeAttempts = 160.0
	// throttleDecay is the factor by which the counts decay per tick: at four ticks a second, a memory of 10 s.
	throttleDecay = 0.975
)

// Constants of the limit on set-ups in flight: additive increase, multiplicative decrease.
const (
	// slowSetupLatency is the set-up latency above which set-ups are assumed to wait for a resource that all servers
	// share. The limit decreases while the latency is above this value, and increases while it is below.
	slowSetupLatency = 200 * millisecond
	// limitDecrease is the factor applied for each set-up that ends while the latency is above slowSetupLatency.
	limitDecrease = 0.8
	// limitIncrease is the increment for each set-up that ends while the latency is not above it.
	limitIncrease = 1.0

	minLimit     = 2.0
	maxLimit     = 40.0
	initialLimit = 12.0
)

// Limiter holds the estimates and the limit. Its zero value is not usable; see NewLimiter.
type Limiter struct {
	// Limit is the number of set-ups that may be in flight, minLimit to maxLimit.
	Limit float64

	failureRate  float64 // 0 to 1
	setupLatency float64 // microseconds; about two thirds of recent set-ups were quicker
	attempts     float64 // set-ups that ended or were shed; decays
	established  float64 // set-ups that were established; decays
}

// NewLimiter returns the limiter of a balancer that has not made any set-up yet.
func NewLimiter() Limiter { return Limiter{Limit: initialLimit} }

// Outcome is the outcome of a set-up.
type Outcome uint8

// The outcomes.
const (
	Inconclusive Outcome = iota // says nothing about whether set-ups succeed, and is not counted
	Established
	Failed   // by an error inside a server, which says nothing about latency
	TimedOut // without an answer
)

// Record records the outcome of a set-up that took the given number of microseconds.
func (l *Limiter) Record(outcome Outcome, took float64) {
	switch outcome {
	case Established:
		l.failureRate -= l.failureRate * failureWeight
		l.attempts++
		l.established++
	case Failed, TimedOut:
		l.failureRate += (1 - l.failureRate) * failureWeight
		l.attempts++
	}
	if outcome == Established || outcome == TimedOut {
		l.observeLatency(took)
		l.adjustLimit()
	}
}

// RecordShed counts a set-up that was shed according to ShedProbability, as it is part of the demand.
func (l *Limiter) RecordShed() { l.attempts++ }

// observeLatency moves the estimate of the quantile. A mean would let a few hanging servers look like slow set-ups in
// general.
func (l *Limiter) observeLatency(took float64) {
	if took > l.setupLatency {
		l.setupLatency *= quantileUp
	} else {
		l.setupLatency /= quantileDown
	}
	l.setupLatency = max(l.setupLatency, minLatency)
}

// adjustLimit adjusts the limit on set-ups in flight to the set-up latency. Clients that reconnect all at once arrive
// faster than the shared resource that set-ups wait for can serve them. With all of them in flight, each would time out
// and be retried, and the resource would only serve set-ups that have already timed out.
func (l *Limiter) adjustLimit() {
	if l.setupLatency > slowSetupLatency {
		l.Limit = max(l.Limit*limitDecrease, minLimit)
	} else {
		l.Limit = min(l.Limit+limitIncrease, maxLimit)
	}
}

// Decay applies one tick, a quarter of a second, of decay to the counts of attempts and established set-ups.
func (l *Limiter) Decay() {
	l.attempts *= throttleDecay
	l.established *= throttleDecay
}

// SetupLatency returns the time, in microseconds, within which about two thirds of recent set-ups ended.
func (l *Limiter) SetupLatency() float64 { return l.setupLatency }

// FailuresShared reports whether set-ups fail for a reason that all servers share: their failure rate is above
// sharedFailureRate. While it is true the core demotes no server for error responses and timeouts (failed connects and
// repeated resets still demote), and retries no set-up, as retries would prolong the failures.
func (l *Limiter) FailuresShared() bool { return l.failureRate > sharedFailureRate }

// Allows reports whether one more set-up may be started while inFlight are in flight.
func (l *Limiter) Allows(inFlight int) bool { return float64(inFlight) < l.Limit }

// ShedProbability returns the probability, 0 to 1, with which a set-up is to be rejected rather than started
// (client-side adaptive throttling). fleetShare is this balancer's share of the fleet, above 0 to 1. Attempts beyond
// throttleRatio times the established ones, plus this balancer's share of throttleFreeAttempts, are shed. While hardly
// any set-up succeeds, further ones would only keep the servers from recovering.
func (l *Limiter) ShedProbability(fleetShare float64) float64 {
	excess := l.attempts - throttleRatio*l.established - throttleFreeAttempts*fleetShare
	return max(excess, 0) / (l.attempts + 1)
}
