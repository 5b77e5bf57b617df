package polling

import (
	"spurspread/decision/backoff"
	"spurspread/decision/monotime"
)

// balancers returns the number of balancers that share the schedule, at least 1.
func (s *Schedule) balancers() monotime.Micros { return monotime.Micros(max(s.Balancers, 1)) }

// SpreadTime returns the time over which all balancers' polls for the same cause are spread: cyclePerBalancer for each
// balancer, but no longer than a balancer may go without polling, and short enough to leave time for the answer.
func (s *Schedule) SpreadTime() monotime.Micros {
	leavesTime := s.MaxInterval + s.Grace - answerReserve
	return max(min(s.balancers()*cyclePerBalancer, s.MaxInterval, leavesTime), minSpreadTime)
}

// nextTurn returns when this balancer polls next in a cycle of this length: in the part of the cycle that belongs to
// its rank, with jitter within that part. Cycles begin at multiples of their length, so that all balancers share them
// by the clock.
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

// retryCycle returns the length of the cycle in which all balancers poll again after a failure. It backs off
// exponentially up to longest, which leaves time for an answer. It grows beyond that, up to maxCycleFactor, only with
// overloadFailures, and only if discovery was not seen to answer quickly enough for all balancers within longest.
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
