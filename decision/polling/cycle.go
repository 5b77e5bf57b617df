package polling

import (
	"spurspread/decision/backoff"
	"spurspread/decision/monotime"
)

// balancers returns how many balancers share the schedule, at least 1.
func (s *Schedule) balancers() monotime.Micros { return monotime.Micros(max(s.Balancers, 1)) }

// SpreadTime decides over which time all balancers' calls for one cause are spread: cyclePerBalancer for each, but no
// longer than a balancer may go without polling, or than leaves time for the answer.
func (s *Schedule) SpreadTime() monotime.Micros {
	leavesTime := s.MaxInterval + s.Grace - answerReserve
	return max(min(s.balancers()*cyclePerBalancer, s.MaxInterval, leavesTime), minSpreadTime)
}

// nextTurn decides when this balancer polls next, in a cycle of this length: at its rank's part of the cycle, with
// jitter within that part. Cycles begin at multiples of their length, so that all balancers share them by the clock.
func (s *Schedule) nextTurn(now, cycle monotime.Micros) monotime.Micros {
	balancers := s.balancers()
	cycleStart := now - now%cycle
	turn := cycle * (monotime.Micros(s.Rank) % balancers) / balancers
	at := cycleStart + turn + s.Jitter(cycle/balancers)
	if at <= now {
		at += cycle
	}
	return at
}

// retryCycle decides over which time all balancers poll again after a failure. It backs off exponentially up to
// longest, which leaves time for an answer. Only late failures let it grow beyond, up to maxCycleFactor, and only
// where discovery was not seen to answer quickly enough for all balancers within longest.
func (s *Schedule) retryCycle(longest monotime.Micros) monotime.Micros {
	shortest := max(s.balancers()*cyclePerBalancer, minBackoff)
	cycle := backoff.Exponential(shortest, longest, s.failures, maxBackoffDoublings)
	if s.fastestAnswer > 0 && s.balancers()*s.fastestAnswer <= longest {
		return cycle
	}
	maxCycle := s.balancers() * cyclePerBalancer * maxCycleFactor
	for i := 0; i < s.overloadFailures && cycle < maxCycle; i++ {
		cycle = max(cycle*cycleGrowth, s.SpreadTime())
	}
	return cycle
}
