package membership

import (
	"testing"

	"spurspread/decision/monotime"
)

// The divisor rises at once when members come and falls slowly when they go, and two sides of a partition stay within
// MaxBudgetExcess.
func TestDivisorFallsSlowly(t *testing.T) {
	var d rateDivisor
	d.observe(start, 16, 16)
	d.observe(start+TickInterval, 40, 40)
	if d.current() != 40 {
		t.Fatalf("divided by %v after 24 have come", d.current())
	}
	now := start + TickInterval
	before := d.current()
	for range 20 * 20 {
		now += TickInterval
		d.observe(now, 20, 40)
		if v := d.current(); v > before || before-v > 0.1 {
			t.Fatalf("divided by %v, and then by %v", before, v)
		}
		before = d.current()
	}
	for range 20 * 300 {
		now += TickInterval
		d.observe(now, 3, 40)
	}
	if v := d.current(); v < 40/MaxBudgetExcess {
		t.Fatalf("divided by %v, where 40 may be there", v)
	}
}

// A divisor that begins at the settings' number of members falls by about half in half a minute, not below what is
// known, and rises at once.
func TestRateDivisor(t *testing.T) {
	var r RateDivisor
	r.Start(start, 1000)
	for now := monotime.Micros(start); now <= start+30*monotime.Second; now += TickInterval {
		r.Observe(now, 10, 10)
	}
	if v := r.Value(); v < 400 || v > 650 {
		t.Errorf("%.0f after half a minute", v)
	}
	for now := monotime.Micros(start + 30*monotime.Second); now <= start+600*monotime.Second; now += monotime.Second {
		r.Observe(now, 10, 100)
	}
	if v := r.Value(); v != 50 {
		t.Errorf("%.0f in the end", v)
	}
	if r.Observe(start+601*monotime.Second, 700, 800); r.Value() != 700 {
		t.Error("it does not rise at once")
	}
}
