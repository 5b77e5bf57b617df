package concurrency

import "testing"

func after(ends ...Outcome) Limiter {
	p := NewLimiter()
	for _, e := range ends {
		p.Record(e, 20*millisecond)
	}
	return p
}

func many(n int, e Outcome) []Outcome {
	ends := make([]Outcome, n)
	for i := range ends {
		ends[i] = e
	}
	return ends
}

// Most failing is a cause that all share; a few, or what says nothing, is not.
func TestShared(t *testing.T) {
	for _, c := range []struct {
		ends []Outcome
		want bool
	}{
		{nil, false},
		{many(20, Failed), true},
		{many(20, TimedOut), true},
		{many(100, Inconclusive), false},
		{append(many(20, Failed), many(20, Established)...), false},
		{append(many(20, Established), Failed, TimedOut), false},
	} {
		if p := after(c.ends...); p.FailuresShared() != c.want {
			t.Errorf("%v: shared %v", c.ends, !c.want)
		}
	}
}

// While nothing comes to stand hardly more is begun, with the fleet's free tries shared out; what stands opens it
// again.
func TestRefuses(t *testing.T) {
	p := after(many(300, Failed)...)
	if r := p.ShedProbability(1); r < 0.4 || r >= 0.5 { // 300 tries, 160 free
		t.Errorf("a lone balancer refuses %v", r)
	}
	if r := p.ShedProbability(0.01); r < 0.98 {
		t.Errorf("one of a hundred refuses %v", r)
	}
	for range 300 {
		p.Record(Established, 20*millisecond)
	}
	if r := p.ShedProbability(0.01); r != 0 {
		t.Errorf("half stand, and it still refuses %v", r)
	}
	p = after(many(300, Failed)...)
	for range 400 {
		p.Decay()
	}
	if r := p.ShedProbability(0); r > 0.02 {
		t.Errorf("refuses %v long after", r)
	}
}

// Slow set-ups narrow what is under way, timed-out ones as well; quick ones widen it, within bounds.
func TestWidth(t *testing.T) {
	for took, want := range map[float64]int{20 * millisecond: maxLimit, 900 * millisecond: minLimit} {
		for _, e := range []Outcome{Established, TimedOut} {
			p := NewLimiter()
			for range 100 {
				p.Record(e, took)
			}
			if !p.Allows(want-1) || p.Allows(want) {
				t.Errorf("width %v after set-ups of %v, want %d", p.Limit, took, want)
			}
		}
	}
}
