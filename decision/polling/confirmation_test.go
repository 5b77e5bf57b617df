package polling

import (
	"testing"

	"spurspread/decision/monotime"
)

// simulateFirstRequest has the first request arrive at some time after the start, and returns when the process polls.
func simulateFirstRequest(t *testing.T, s *Schedule, firstRequest monotime.Micros) (pollAfter monotime.Micros) {
	t.Helper()
	for now := monotime.Micros(start); now < start+60*second; now += maxCheckInterval {
		if requestNow := max(now, start+firstRequest); requestNow < now+maxCheckInterval {
			s.RequestConfirmation(requestNow)
			if s.PollDue(requestNow) {
				return requestNow - start
			}
		}
		if s.PollDue(now) {
			return now - start
		}
	}
	t.Fatal("no poll was due during the simulated time")
	return 0
}

// A process with requests polls before its list may have been outdated for Grace, or at its first request if that is
// later.
func TestFirstRequestBringsFirstPollForward(t *testing.T) {
	for _, n := range []int{1, 3, 80, 300, 1500} {
		for rank := range n {
			for _, first := range []monotime.Micros{0, second, 5 * second} {
				s := startedSchedule(rank, n)
				most := max(s.Grace-latenessMargin, first)
				if after := simulateFirstRequest(t, s, first); after > most {
					t.Fatalf("rank %d of %d, first request after %d ms: polls after %d ms, want at most %d",
						rank, n, first/ms, after/ms, most/ms)
				}
			}
		}
	}
}

// Balancers that all have requests from their start on spread their first polls evenly, except for those whose turn in
// the longer cycle of idle balancers comes sooner.
func TestFirstPollsAreSpread(t *testing.T) {
	const n, parts = 300, 4
	var polls [parts]int
	for rank := range n {
		s := startedSchedule(rank, n)
		s.RequestConfirmation(start)
		polls[(s.nextPoll-start)*parts/(s.confirmationTime()+1)]++
	}
	for part, got := range polls {
		if got > n/parts*5/4 {
			t.Errorf("%d of %d first polls in quarter %d, want at most %d", got, n, part, n/parts*5/4)
		}
	}
}

// The list of the start is usable for confirmationTime, and then only after an answer, a failure, or while a poll takes
// long.
func TestListUsable(t *testing.T) {
	late := start + startedSchedule(0, 3).confirmationTime()
	for name, c := range map[string]struct {
		then func(*Schedule)
		want bool
	}{
		"never polled": {func(*Schedule) {}, false},
		"polled":       {func(s *Schedule) { s.PollDue(late) }, false},
		"polled long ago": {func(s *Schedule) {
			s.RequestConfirmation(start)
			s.PollDue(late - confirmationTimeout)
		}, true},
		"answered": {func(s *Schedule) { s.Answered(late) }, true},
		"failed":   {func(s *Schedule) { s.Failed(late) }, true},
		"watch failed later": {func(s *Schedule) {
			s.Answered(late)
			s.Failed(late)
		}, true},
	} {
		s := startedSchedule(0, 3)
		if !s.ListUsable(late - 1) {
			t.Errorf("%s: list not usable before confirmationTime has passed", name)
		}
		s.RequestConfirmation(late)
		if c.then(s); s.ListUsable(late) != c.want {
			t.Errorf("%s: list usable: %v, want %v", name, !c.want, c.want)
		}
	}
}
