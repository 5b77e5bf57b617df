package polling

import "spurspread/decision/monotime"

const (
	// minConfirmationTime is the least time over which the fleet's first polls are spread where requests need them.
	minConfirmationTime = 1 * monotime.Second
	// confirmationTimeout is how long a poll under way may keep requests waiting: discovery answers far sooner unless
	// it is crowded or away.
	confirmationTimeout = 600 * monotime.Millisecond
)

// confirmationTime is for how long after its start a process may place requests by the list that it started with. A
// server of that list may have been removed before the start, so it may be used no longer than Grace.
func (s *Schedule) confirmationTime() monotime.Micros {
	return max(s.Grace-maxCheckInterval-latenessMargin, minConfirmationTime)
}

// RequestConfirmation brings the first poll forward because a request is to be placed: to this balancer's turn within
// confirmationTime of the start, or to now if that is over. Idle balancers keep their turn in the longer first cycle.
func (s *Schedule) RequestConfirmation(now monotime.Micros) {
	if s.confirmed || s.failures > 0 || s.pollInFlight || s.confirmationRequested {
		return
	}
	s.confirmationRequested = true
	turn := s.nextTurn(s.startedAt, s.confirmationTime())
	s.nextPoll = min(s.nextPoll, max(turn, now))
}

// ListUsable decides whether requests may be placed by the list that is held. The list that a process started with is
// usable for confirmationTime, then not until discovery has answered or a poll has failed; a poll in flight is waited
// for at most confirmationTimeout.
func (s *Schedule) ListUsable(now monotime.Micros) bool {
	if s.confirmed || s.failures > 0 || now-s.startedAt < s.confirmationTime() {
		return true
	}
	return s.pollInFlight && now-s.lastPoll >= confirmationTimeout
}
