package backoff

import (
	"testing"

	"spurspread/decision/monotime"
)

func TestExponential(t *testing.T) {
	const base, limit = 250 * monotime.Millisecond, 3 * monotime.Second
	for _, c := range []struct {
		doublings, maxDoublings int
		want                    monotime.Micros
	}{
		{0, 10, base},
		{1, 10, 2 * base},
		{3, 10, 8 * base},
		{3, 2, 4 * base},
		{4, 10, limit},
		{1_000_000, 10, limit},
	} {
		if got := Exponential(base, limit, c.doublings, c.maxDoublings); got != c.want {
			t.Errorf("%d doublings, at most %d: %d, want %d", c.doublings, c.maxDoublings, got, c.want)
		}
	}
}
