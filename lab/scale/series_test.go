package scale

import (
	"math"
	"slices"
	"testing"
)

// Sums are interpolated between reports, and the rate of a window is that of the growth within it.
func TestRates(t *testing.T) {
	const second = 1_000_000
	var one series
	for at := int64(0); at <= 30; at++ {
		amount := 100.0
		if at > 10 && at <= 20 {
			amount = 300
		}
		one.add(at*second, amount)
	}
	if got := slices.Max(windowRates([]*series{&one}, span{0, 30 * second})); math.Abs(got-300) > 1e-6 {
		t.Errorf("the worst window has the rate %v, want 300", got)
	}
	if got := meanRate([]*series{&one, &one}, span{second / 2, 10 * second}); math.Abs(got-200) > 1e-6 {
		t.Errorf("the mean rate is %v, want 200", got)
	}
	if windowRates([]*series{&one}, span{}) != nil || meanRate(nil, span{5, 5}) != 0 || (&series{}).valueAt(5) != 0 {
		t.Error("an empty span or series has a rate or sum other than 0")
	}
}
