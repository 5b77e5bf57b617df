package polling

import (
	"spurspread/decision/monotime"
	"testing"
)

const start = 1000 * sec

func schedule(rank, balancers int) *Schedule {
	a := &Schedule{
		Rank:        rank,
		Balancers:   balancers,
		MaxInterval: 10 * sec,
		Grace:       2500 * ms,
		Jitter:      func(d monotime.Micros) monotime.Micros { return d / 2 },
	}
	a.Start(start)
	return a
}

func TestBacksOffOnFailure(t *testing.T) {
	a := schedule(2, 4)
	now := a.nextPoll
	if a.PollDue(now-1) || !a.PollDue(now) || a.PollDue(now+sec) {
		t.Fatal("not asked once, in its turn")
	}
	if !a.PollDue(now + answerTimeout*5/4) {
		t.Fatal("an ask without an answer holds for good")
	}
	last := monotime.Micros(0)
	for i := range 3 {
		now = a.nextPoll
		a.Failed(now)
		wait := a.nextPoll - now
		if most := monotime.Micros(minBackoff/2 + minBackoff<<i); wait < minBackoff/2 || wait > most ||
			a.PollDue(a.nextPoll-1) {
			t.Fatalf("failure %d waits %d of %d at most", i, wait, most)
		}
		last = max(last, wait)
	}
	if last <= minBackoff*3/2 {
		t.Fatalf("failures in a row wait %d at most", last)
	}
	a.PollDue(a.nextPoll)
	a.Answered(now)
	if a.PollDue(now+60*sec) || a.failures != 0 {
		t.Fatal("an answer does not count as the watch")
	}
}

// However many balancers there are, each asks before it is deemed informed without asking, and they do not ask at once.
func TestAllAskInTurnAndInTime(t *testing.T) {
	for _, n := range []int{1, 3, 80, 5000} {
		seconds := map[monotime.Micros]int{}
		for rank := range n {
			a := schedule(rank, n)
			if a.nextPoll <= start || a.nextPoll-start > a.MaxInterval {
				t.Fatalf("%d of %d first asks after %d", rank, n, a.nextPoll-start)
			}
			seconds[a.nextPoll/sec]++
		}
		for s, asks := range seconds {
			if most := max(11, n/10+1); asks > most {
				t.Errorf("%d of %d ask in second %d", asks, n, s)
			}
		}
	}
}

// A refresh on a live watch is asked for once in a while only, and not beside an ask that is under way.
func TestRefresh(t *testing.T) {
	a := schedule(0, 3)
	a.PollDue(a.nextPoll)
	if a.Answered(start); a.RefreshAllowed(start + minRefreshInterval - 1) {
		t.Fatal("refreshes too soon")
	}
	now := monotime.Micros(start + minRefreshInterval)
	if !a.RefreshAllowed(now) {
		t.Fatal("never refreshes")
	}
	a.ScheduleRefresh(now)
	if a.RefreshAllowed(now) || a.nextPoll <= now || a.nextPoll > now+a.SpreadTime() || !a.PollDue(a.nextPoll) ||
		a.RefreshAllowed(a.nextPoll) {
		t.Fatal("not asked once more, in its turn")
	}
}
