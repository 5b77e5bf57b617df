package drainschedule

import (
	"testing"

	"spurspread/decision/monotime"
)

const ms = monotime.Millisecond

// Moves before a stop are spread over the second half of the time available, so that clients don't all return at once.
func TestMovesAreLateAndSpread(t *testing.T) {
	const span, n = 3 * monotime.Second, 50
	last := span / 2
	for i := range n {
		at := MoveDelay(span, i, n)
		if at < last || at >= span || i > 0 && at-last > span/2/n {
			t.Fatalf("move %d at %d us, after %d us; want moves in order, at most %d us apart and before %d us",
				i, at, last, span/2/n, span)
		}
		last = at
	}
	if at := MoveDelay(0, 0, 1); at != FirstMoveDelay {
		t.Errorf("with no time left: moved at %d us, want %d", at, FirstMoveDelay)
	}
}

// A drain lasts as long as the longest deadline, at most 3 s.
func TestDuration(t *testing.T) {
	for want, deadlines := range map[monotime.Micros][]monotime.Micros{
		0:               nil,
		900 * ms:        {300 * ms, 900 * ms},
		3000 * ms:       {300 * ms, 60_000 * ms},
		2999*ms + 999:   {2999*ms + 999},
		3*1000*ms - 500: {3*1000*ms - 500, 1},
	} {
		if got := Duration(deadlines); got != want {
			t.Errorf("%v: %d, want %d", deadlines, got, want)
		}
	}
}

// New requests are rejected once a drain has lasted longer than 600 ms. A planned stop without a successor rejects them
// at once.
func TestRejectsNew(t *testing.T) {
	for name, c := range map[string]struct {
		state State
		want  bool
	}{
		"serving":                        {State{Elapsed: 5000 * ms}, false},
		"lame duck at first":             {State{Draining: true, Elapsed: 600 * ms}, false},
		"lame duck later":                {State{Draining: true, Elapsed: 600*ms + 1}, true},
		"stopping":                       {State{Draining: true, Stopping: true}, true},
		"stopping, with successor":       {State{Draining: true, Stopping: true, HandingOver: true}, false},
		"stopping, with successor later": {State{true, true, true, 601 * ms}, true},
	} {
		if got := RejectsNew(c.state); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// A stopping process is done when nothing remains, but not before 600 ms, or when its time is up.
func TestFinished(t *testing.T) {
	for name, c := range map[string]struct {
		elapsed   monotime.Micros
		remaining int
		want      bool
	}{
		"nothing left, early":     {599 * ms, 0, false},
		"nothing left":            {600 * ms, 0, true},
		"one left":                {1449 * ms, 1, false},
		"one left, time is up":    {1450 * ms, 1, true},
		"nothing left, and later": {9000 * ms, 0, true},
	} {
		if got := Finished(c.elapsed, 1000*ms, c.remaining); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
	if ClosesIdle(600*ms-1) || !ClosesIdle(600*ms) {
		t.Error("idle connections must be closed from 600 ms on")
	}
	if Remaining(1000, 400) != 600 || Remaining(1000, 2000) != 0 {
		t.Error("the remaining time of a span must never be negative")
	}
}
