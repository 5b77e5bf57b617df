// Package concurrency limits the set-ups of connections that one balancer has in flight, to all servers together. It
// observes how set-ups end and from that decides how many may be in flight, how likely a new one is shed,
// and whether failures have a cause that all servers share. It also estimates how long a set-up takes.
//
// It does not know servers, requests or clocks. The owner reports the outcome of each set-up to Record, each shed one
// to RecordShed, and calls Decay once a tick. Latencies are microseconds, as float64.
package concurrency

// millisecond in the unit of latencies.
const millisecond = 1000.0

// The failure rate, an exponential average over the outcomes of set-ups.
const (
	// failureWeight is the weight of one outcome.
	failureWeight = 0.1
	// sharedFailureRate is the failure rate above which failures are taken to have a cause that all servers share.
	sharedFailureRate = 0.5
)

// The set-up latency, an estimate of a quantile: it rises by quantileUp with each slower set-up and falls by
// quantileDown with each quicker one, so that it settles where about two thirds are quicker.
const (
	quantileUp   = 1.6
	quantileDown = 1.25
	minLatency   = 1 * millisecond
)

// Load shedding, see ShedProbability.
const (
	// throttleRatio is how many attempts are allowed for each that is established.
	throttleRatio = 2.0
	// throttleFreeAttempts is how many attempts more all balancers together may make, within the memory that
	// throttleDecay gives them, so that they find out when set-ups succeed again.
	throttleFreeAttempts = 160.0
	// throttleDecay is the factor by which counts decay per tick: at four ticks a second, a memory of 10 s.
	throttleDecay = 0.975
)

// The limit, in set-ups in flight: additive increase, multiplicative decrease.
const (
	// slowSetupLatency is the set-up latency above which set-ups are taken to wait for a resource that all servers
	// share. The limit decreases while latency is above, and increases while it is below.
	slowSetupLatency = 200 * millisecond
	// limitDecrease is the factor for each set-up that ends while latency is above.
	limitDecrease = 0.8
	// limitIncrease is the increment for each set-up that ends while latency is below.
	limitIncrease = 1.0

	minLimit     = 2.0
	maxLimit     = 40.0
	initialLimit = 12.0
)

// Limiter holds the estimates and the limit. Its zero value is not usable; see NewLimiter.
type Limiter struct {
	// Limit is how many set-ups may be in flight, minLimit to maxLimit.
	Limit float64

	failureRate  float64 // 0 to 1
	setupLatency float64 // microseconds; about two thirds of recent set-ups were quicker
	attempts     float64 // set-ups that ended or were shed; decays
	established  float64 // set-ups that were established; decays
}

// NewLimiter returns the limiter of a balancer that has not seen a set-up yet.
func NewLimiter() Limiter { return Limiter{Limit: initialLimit} }

// Outcome is how a set-up ended.
type Outcome uint8

// The outcomes.
const (
	Inconclusive Outcome = iota // it implies nothing about how set-ups go, and is not counted
	Established
	Failed   // by an error inside a server, which implies nothing about latency
	TimedOut // without an answer
)

// Record takes the outcome of a set-up that took so many microseconds.
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

// RecordShed counts a set-up that ShedProbability kept from being started: it shows the demand.
func (l *Limiter) RecordShed() { l.attempts++ }

// observeLatency moves the estimate of the quantile. A mean would take a few servers that hang for slow set-ups.
func (l *Limiter) observeLatency(took float64) {
	if took > l.setupLatency {
		l.setupLatency *= quantileUp
	} else {
		l.setupLatency /= quantileDown
	}
	l.setupLatency = max(l.setupLatency, minLatency)
}

// adjustLimit decides how many set-ups may be in flight, from the set-up latency. Clients that reconnect all at once
// outrun what set-ups wait for: with all of them in flight each would time out and be retried, so that the shared
// resource would only serve set-ups that nobody waits for any more.
func (l *Limiter) adjustLimit() {
	if l.setupLatency > slowSetupLatency {
		l.Limit = max(l.Limit*limitDecrease, minLimit)
	} else {
		l.Limit = min(l.Limit+limitIncrease, maxLimit)
	}
}

// Decay lets the counts of attempts and established set-ups decay by one tick, a quarter of a second.
func (l *Limiter) Decay() {
	l.attempts *= throttleDecay
	l.established *= throttleDecay
}

// SetupLatency returns the time, in microseconds, within which about two thirds of recent set-ups ended.
func (l *Limiter) SetupLatency() float64 { return l.setupLatency }

// FailuresShared decides that set-ups fail for a reason that all servers share: their failure rate is above
// sharedFailureRate. The core demotes no server for error responses and time-outs then (failed connects and repeated
// resets still demote), and retries no set-up, as retries would prolong the failures.
func (l *Limiter) FailuresShared() bool { return l.failureRate > sharedFailureRate }

// Allows decides whether one more set-up may be started while so many are in flight.
func (l *Limiter) Allows(inFlight int) bool { return float64(inFlight) < l.Limit }

// ShedProbability decides how likely a set-up is rejected rather than started, 0 to 1, at a balancer that is this part
// of the fleet (0 to 1): adaptive throttling at the client. Attempts beyond throttleRatio times those established, and
// beyond this balancer's part of the fleet's throttleFreeAttempts, are shed. While hardly any set-up succeeds, further
// ones would only keep the servers from recovering.
func (l *Limiter) ShedProbability(fleetShare float64) float64 {
	excess := l.attempts - throttleRatio*l.established - throttleFreeAttempts*fleetShare
	return max(excess, 0) / (l.attempts + 1)
}
