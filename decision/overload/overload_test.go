package overload

import (
	"testing"

	"pgregory.net/rapid"

	"spurspread/decision/answercause"
	"spurspread/decision/monotime"
)

func TestDescriptorsShort(t *testing.T) {
	for name, c := range map[string]struct {
		open, limit int
		want        bool
	}{
		"no limit":     {1 << 20, 0, false},
		"plenty":       {100, 1024, false},
		"one below":    {1024 - 16 - 64 - 1, 1024, false},
		"at the limit": {1024 - 16 - 64, 1024, true},
		"tiny limit":   {3, 18, true},
	} {
		if got := DescriptorsShort(c.open, c.limit); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

func TestMemoryLimits(t *testing.T) {
	for name, c := range map[string]struct{ got, want int64 }{
		"readers by descriptors":    {int64(SlowReaders(1000, 100)), 1000},
		"readers by requests":       {int64(SlowReaders(0, 100)), 200},
		"no memory limit":           {int64(PendingLimit(0, 1000)), MaxPendingBytes},
		"no slow readers":           {int64(PendingLimit(1<<30, 0)), MaxPendingBytes},
		"plenty of memory":          {int64(PendingLimit(1<<30, 1000)), MaxPendingBytes},
		"shared":                    {int64(PendingLimit(64<<20, 1024)), 8 << 10},
		"little memory":             {int64(PendingLimit(1<<20, 1000)), minPendingBytes},
		"window of all, no limit":   {WindowBudget(0), 64 << 20},
		"window of all, with limit": {WindowBudget(100 << 20), 25 << 20},
	} {
		if c.got != c.want {
			t.Errorf("%s: %d, want %d", name, c.got, c.want)
		}
	}
}

func TestRejectsRequest(t *testing.T) {
	for name, c := range map[string]struct {
		arrival Arrival
		want    bool
		cause   answercause.Cause
	}{
		"as usual":          {Arrival{Held: 5, MaxHeld: 5}, false, answercause.Unknown},
		"one too many":      {Arrival{Held: 6, MaxHeld: 5}, true, answercause.TooManyHeld},
		"descriptors short": {Arrival{DescriptorsShort: true, Held: 1, MaxHeld: 5}, true, answercause.DescriptorsShort},
		"shutting down":     {Arrival{ShuttingDown: true, Held: 1, MaxHeld: 5}, true, answercause.ShuttingDown},
	} {
		if cause, got := RejectsRequest(c.arrival); got != c.want || cause != c.cause {
			t.Errorf("%s: %v, %v, want %v, %v", name, got, cause, c.want, c.cause)
		}
	}
}

func TestIsStalled(t *testing.T) {
	if IsStalled(4096, 4096) || !IsStalled(4097, 4096) {
		t.Error("a reader must be stalled beyond the limit, but not at it")
	}
}

func TestStopsReading(t *testing.T) {
	if StopsReading(256<<10) || !StopsReading(256<<10+1) {
		t.Error("reading must stop after 256 KiB are discarded, and not before")
	}
}

func TestEvictionClasses(t *testing.T) {
	for name, c := range map[string]struct{ got, want EvictionClass }{
		"answered":       {ClassOf(true, 5), Answered},
		"no request":     {ClassOf(false, 0), NoRequest},
		"one ping":       {ClassOf(false, 1), NoRequest},
		"health checker": {ClassOf(false, 2), HealthChecks},
	} {
		if c.got != c.want {
			t.Errorf("%s: %d, want %d", name, c.got, c.want)
		}
	}
}

// In any span of time, no more channels are opened than the bucket holds plus the refill of that span.
func TestOpenLimiterBoundsTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := float64(rapid.IntRange(1, 20).Draw(t, "per second"))
		limit := rapid.IntRange(1, 10).Draw(t, "limit")
		now, opened := monotime.Micros(0), 0
		l := NewOpenLimiter(now, rate)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += monotime.Micros(rapid.Int64Range(0, 400_000).Draw(t, "pause"))
			open := rapid.IntRange(0, 12).Draw(t, "open")
			if !l.Admit(now, rate, open, limit) {
				continue
			}
			opened++
			if open >= limit {
				t.Fatalf("channel opened beside %d others, want at most %d in all", open, limit)
			}
			if most := rate + rate*float64(now)/float64(monotime.Second); float64(opened) > most+1e-6 {
				t.Fatalf("%d channels opened within %d µs at a rate of %v a second, want at most %.0f",
					opened, now, rate, most)
			}
		}
	})
}
