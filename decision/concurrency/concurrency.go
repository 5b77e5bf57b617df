// Package setups keeps how set-ups of connections went lately, at all servers together, and tells from it how many may
// be under way at once, how long one is to be given, whether the cause of failures is shared by all servers, and which
// part of what is asked is not worth beginning. It does not know servers, requests or clocks; spans are microseconds.
package concurrency

import "math"

const (
	millisecond = 1000.0

	failureWeight     = 0.1
	sharedFailureRate = 0.5 // of recent set-ups fail: the cause is shared

	quantileUp, quantileDown = 1.6, 1.25 // settle where about two thirds of set-ups are quicker
	minLatency               = 1 * millisecond

	// While set-ups fail, what is sent is so many times what comes to stand, and some to find out.
	throttleRatio        = 2.0
	throttleFreeAttempts = 160.0 // by all balancers together, in the memory
	throttleDecay        = 0.975 // a tick; a memory of 10 s

	// Set-ups at once.
	slowSetupLatency = 200 * millisecond // set-ups that take longer wait for something that all share: fewer at once
	limitDecrease    = 0.8               // for each that ends while they do
	limitIncrease    = 1.0               // for each that ends while they don't
	minLimit         = 2.0
	maxLimit         = 40.0
	initialLimit     = 12.0
)

// Limiter is how set-ups go. Its zero value is not usable; see New.
type Limiter struct {
	failureRate           float64 // part of recent set-ups that failed
	Limit                 float64 // how many may be under way
	setupLatency          float64 // two thirds of recent set-ups were quicker
	attempts, established float64 // set-ups that ended or were not begun, and those that stood; they fade
}

// NewLimiter returns the pace of a balancer that has seen no set-up yet.
func NewLimiter() Limiter { return Limiter{Limit: initialLimit} }

// Outcome is how a set-up ended.
type Outcome uint8

// The ends; Unheard says nothing of how set-ups go.
const (
	Inconclusive Outcome = iota
	Established          // it came to stand
	Failed               // inside a server
	TimedOut             // no answer came
)

// Record notes the end of a set-up that took so long.
func (p *Limiter) Record(end Outcome, took float64) {
	switch end {
	case Established:
		p.failureRate -= p.failureRate * failureWeight
		p.attempts, p.established = p.attempts+1, p.established+1
	case Failed, TimedOut:
		p.failureRate += (1 - p.failureRate) * failureWeight
		p.attempts++
	}
	if end == Established || end == TimedOut {
		p.observeLatency(took)
	}
}

// RecordShed notes one that was refused by Refuses.
func (p *Limiter) RecordShed() { p.attempts++ }

// observeLatency follows what two thirds take at most: a mean would take a few servers that hang for a slow store.
func (p *Limiter) observeLatency(took float64) {
	if took > p.setupLatency {
		p.setupLatency *= quantileUp
	} else {
		p.setupLatency /= quantileDown
	}
	p.setupLatency = max(p.setupLatency, minLatency)
	// A crowd that comes back outruns the store: tried all at once, each would take too long and be tried again, which
	// keeps the store busy with what nobody waits for any more.
	if p.setupLatency > slowSetupLatency {
		p.Limit = max(p.Limit*limitDecrease, minLimit)
	} else {
		p.Limit = min(p.Limit+limitIncrease, maxLimit)
	}
}

// Decay lets the memory of tries fade; it is called four times a second.
func (p *Limiter) Decay() {
	p.attempts, p.established = p.attempts*throttleDecay, p.established*throttleDecay
}

// SetupLatency is what two thirds of recent set-ups took at most.
func (p *Limiter) SetupLatency() float64 { return p.setupLatency }

// FailuresShared tells that so many set-ups fail that the cause must lie behind all servers: none is demoted for it, and
// nothing is tried twice, which would keep the cause alive.
func (p *Limiter) FailuresShared() bool { return p.failureRate > sharedFailureRate }

// Allows tells whether one more may begin while so many are under way.
func (p *Limiter) Allows(underWay int) bool { return float64(underWay) < p.Limit }

// ShedProbability is how likely a set-up is not to be begun, by a balancer that has this share of the fleet.
func (p *Limiter) ShedProbability(share float64) float64 {
	return math.Max(p.attempts-throttleRatio*p.established-throttleFreeAttempts*share, 0) / (p.attempts + 1)
}
