package polling

import "spurspread/decision/monotime"

const (
	// minConfirmationTime is the shortest time over which the fleet's first polls are spread if requests need them.
	minConfirmationTime = 1 * monotime.Second
	// confirmationTimeout is the longest time for which a poll in flight keeps requests waiting. Discovery answers much
	// sooner unless it is overloaded or unavailable.
	confirmationTimeout = 600 * monotime.Millisecond
)

// confirmationTime returns the time after its start in which a process may place requests by the list that it started
// with. A server of that list may have been removed before the start, so this time ends maxCheckInterval and
// latenessMargin before Grace does. It is at least minConfirmationTime, even if Grace is shorter.
func (s *Schedule) confirmationTime() monotime.Micros {
	return max(s.Grace-maxCheckInterval-latenessMargin, minConfirmationTime)
}

// RequestConfirmation schedules the first poll earlier because a request is to be placed: in this balancer's turn
// within confirmationTime of the start, or now if that has passed. Idle balancers keep their turn in the longer first
// cycle.
func (s *Schedule) RequestConfirmation(now monotime.Micros) {
	if s.confirmed || s.failures > 0 || s.pollInFlight || s.confirmationRequested {
		return
	}
	s.confirmationRequested = true
	turn := s.nextTurn(s.startedAt, s.confirmationTime())
	s.nextPoll = min(s.nextPoll, max(turn, now))
}

// ListUsable reports whether requests may be placed by the present list. The list that a process started with is usable
// for confirmationTime, and after that not until discovery has answered or a poll has failed. A poll in flight is
// waited for no longer than confirmationTimeout.
func (s *Schedule) ListUsable(now monotime.Micros) bool {
	if s.confirmed || s.failures > 0 || now-s.startedAt < s.confirmationTime() {
		return true
	}
	return s.pollInFlight && now-s.lastPoll >= confirmationTimeout
}
