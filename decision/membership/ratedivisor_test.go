package membership

import (
	"testing"

	"spurspread/decision/monotime"
)

// The divisor rises at once when members join and falls slowly when they disappear, and the two sides of a partition
// stay within MaxBudgetExcess.
func TestDivisorFallsSlowly(t *testing.T) {
	var d rateDivisor
	d.observe(start, 16, 16)
	d.observe(start+TickInterval, 40, 40)
	if d.current() != 40 {
		t.Fatalf("divisor %v after 24 members have joined 16, want 40", d.current())
	}
	now := start + TickInterval
	before := d.current()
	for range 20 * 20 {
		now += TickInterval
		d.observe(now, 20, 40)
		if v := d.current(); v > before || before-v > 0.1 {
			t.Fatalf("divisor %v, then %v a tick later, want a fall of at most 0.1", before, v)
		}
		before = d.current()
	}
	for range 20 * 300 {
		now += TickInterval
		d.observe(now, 3, 40)
	}
	if v := d.current(); v < 40/MaxBudgetExcess {
		t.Fatalf("divisor %v, want at least %v, since 40 members may be running", v, 40/MaxBudgetExcess)
	}
}

// A divisor that starts at the configured number of members falls by about half within half a minute, not below the
// bound from the known members, and rises at once.
func TestRateDivisor(t *testing.T) {
	var r RateDivisor
	r.Start(start, 1000)
	for now := monotime.Micros(start); now <= start+30*monotime.Second; now += TickInterval {
		r.Observe(now, 10, 10)
	}
	if v := r.Value(); v < 400 || v > 650 {
		t.Errorf("divisor %.0f after half a minute, want 400 to 650", v)
	}
	for now := monotime.Micros(start + 30*monotime.Second); now <= start+600*monotime.Second; now += monotime.Second {
		r.Observe(now, 10, 100)
	}
	if v := r.Value(); v != 50 {
		t.Errorf("divisor %.0f in the end, want 50", v)
	}
	if r.Observe(start+601*monotime.Second, 700, 800); r.Value() != 700 {
		t.Errorf("divisor %.0f with 700 members, want 700 at once", r.Value())
	}
}
