package concurrency

import "testing"

func limiterAfter(outcomes ...Outcome) Limiter {
	l := NewLimiter()
	for _, o := range outcomes {
		l.Record(o, 20*millisecond)
	}
	return l
}

func repeat(n int, o Outcome) []Outcome {
	outcomes := make([]Outcome, n)
	for i := range outcomes {
		outcomes[i] = o
	}
	return outcomes
}

// Failures are shared if most set-ups fail, but not if only a few do or if outcomes are inconclusive.
func TestFailuresShared(t *testing.T) {
	for _, c := range []struct {
		outcomes []Outcome
		want     bool
	}{
		{nil, false},
		{repeat(20, Failed), true},
		{repeat(20, TimedOut), true},
		{repeat(100, Inconclusive), false},
		{append(repeat(20, Failed), repeat(20, Established)...), false},
		{append(repeat(20, Established), Failed, TimedOut), false},
	} {
		if l := limiterAfter(c.outcomes...); l.FailuresShared() != c.want {
			t.Errorf("%v: failures shared: %v", c.outcomes, !c.want)
		}
	}
}

// While no set-up is established, almost all are shed, except for this balancer's part of the fleet's free attempts.
// Established set-ups and time end the shedding.
func TestShedProbability(t *testing.T) {
	l := limiterAfter(repeat(300, Failed)...)
	if p := l.ShedProbability(1); p < 0.4 || p >= 0.5 { // 300 attempts, 160 free
		t.Errorf("a single balancer sheds with probability %v, want 0.4 to 0.5", p)
	}
	if p := l.ShedProbability(0.01); p < 0.98 {
		t.Errorf("one of a hundred sheds with probability %v, want at least 0.98", p)
	}
	for range 300 {
		l.Record(Established, 20*millisecond)
	}
	if p := l.ShedProbability(0.01); p != 0 {
		t.Errorf("sheds with probability %v though half of the set-ups were established, want 0", p)
	}
	l = limiterAfter(repeat(300, Failed)...)
	for range 400 {
		l.Decay()
	}
	if p := l.ShedProbability(0); p > 0.02 {
		t.Errorf("sheds with probability %v long after the failures, want at most 0.02", p)
	}
}

// Slow set-ups, established or timed out, lower the limit, and quick ones raise it, within its bounds.
func TestLimit(t *testing.T) {
	for took, want := range map[float64]int{20 * millisecond: maxLimit, 900 * millisecond: minLimit} {
		for _, o := range []Outcome{Established, TimedOut} {
			l := NewLimiter()
			for range 100 {
				l.Record(o, took)
			}
			if !l.Allows(want-1) || l.Allows(want) {
				t.Errorf("limit %v after set-ups of %v us, want %d", l.Limit, took, want)
			}
		}
	}
}
