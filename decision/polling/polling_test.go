package polling

import (
	"testing"

	"spurspread/decision/monotime"
)

const (
	ms     = monotime.Millisecond
	second = monotime.Second
	start  = 1000 * second
)

func startedSchedule(rank, balancers int) *Schedule {
	s := &Schedule{
		Rank:        rank,
		Balancers:   balancers,
		MaxInterval: 10 * second,
		Grace:       2500 * ms,
		Jitter:      func(limit monotime.Micros) monotime.Micros { return limit / 2 },
	}
	s.Start(start)
	return s
}

func TestBacksOffOnFailure(t *testing.T) {
	s := startedSchedule(2, 4)
	now := s.nextPoll
	if s.PollDue(now-1) || !s.PollDue(now) || s.PollDue(now+second) {
		t.Fatal("want exactly one poll, in its turn")
	}
	if !s.PollDue(now + answerTimeout*5/4) {
		t.Fatal("a poll without an answer was not repeated")
	}
	longest := monotime.Micros(0)
	for i := range 3 {
		now = s.nextPoll
		s.Failed(now)
		wait := s.nextPoll - now
		if most := minBackoff/2 + minBackoff<<i; wait < minBackoff/2 || wait > most || s.PollDue(s.nextPoll-1) {
			t.Fatalf("failure %d: next poll after %d us, want %d to %d", i, wait, minBackoff/2, most)
		}
		longest = max(longest, wait)
	}
	if longest <= minBackoff*3/2 {
		t.Fatalf("failures in a row: longest wait is %d us, want more than %d", longest, minBackoff*3/2)
	}
	s.PollDue(s.nextPoll)
	s.Answered(now)
	if s.PollDue(now+60*second) || s.failures != 0 {
		t.Fatal("polled despite a live watch, or still counts failures after an answer")
	}
}

// However many balancers there are, each polls before MaxInterval has passed, and their polls are spread.
func TestAllPollInTurnAndInTime(t *testing.T) {
	for _, n := range []int{1, 3, 80, 5000} {
		pollsBySecond := map[monotime.Micros]int{}
		for rank := range n {
			s := startedSchedule(rank, n)
			if s.nextPoll <= start || s.nextPoll-start > s.MaxInterval {
				t.Fatalf("balancer %d of %d first polls after %d us, want 1 to %d",
					rank, n, s.nextPoll-start, s.MaxInterval)
			}
			pollsBySecond[s.nextPoll/second]++
		}
		for at, polls := range pollsBySecond {
			if most := max(11, n/10+1); polls > most {
				t.Errorf("%d of %d poll in second %d, want at most %d", polls, n, at, most)
			}
		}
	}
}

// A live watch is refreshed rarely, and not while a poll is in flight.
func TestRefresh(t *testing.T) {
	s := startedSchedule(0, 3)
	s.PollDue(s.nextPoll)
	if s.Answered(start); s.RefreshAllowed(start + minRefreshInterval - 1) {
		t.Fatal("refresh allowed before minRefreshInterval has passed")
	}
	now := start + minRefreshInterval
	if !s.RefreshAllowed(now) {
		t.Fatal("refresh not allowed after minRefreshInterval")
	}
	s.ScheduleRefresh(now)
	if s.RefreshAllowed(now) || s.nextPoll <= now || s.nextPoll > now+s.SpreadTime() || !s.PollDue(s.nextPoll) ||
		s.RefreshAllowed(s.nextPoll) {
		t.Fatal("want exactly one more poll, in its turn")
	}
}
