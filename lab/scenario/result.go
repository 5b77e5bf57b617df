package scenario

import (
	"fmt"
	"slices"
	"time"
)

// Bounds of every run of a script.
const (
	MaxDetectionTime  = 4 * time.Second // from a crash until 99 of 100 observers have reported it
	MaxViewDivergence = 5 * time.Second // of views that contradict each other, after the last change of faults
	MaxFlaps          = 1               // of one member to one observer after one fault
	MaxBytesPerSecond = 4096            // that a member sends, on average
)

const (
	// StopTime is how long a planned stop may take.
	StopTime = 4 * time.Second
	// JoinTime is given to members to find each other before a script begins.
	JoinTime = 12 * time.Second
	// SettleTime is how long a testbed is observed after a script.
	SettleTime = MaxViewDivergence + 3*time.Second
)

// detectionQuantile of all detections must be within MaxDetectionTime.
const detectionQuantile = 0.99

// Result is what one run of a script measured; see Checker.
type Result struct {
	Scenario string
	Members  int
	Seed     uint64
	Hash     string // of all events, in virtual time

	FalseDead         int
	DeclaredDead      int
	DeadReturned      int
	Flaps             int
	UndetectedCrashes int
	DetectionTimes    []time.Duration
	Divergence        time.Duration
	BytesPerS         float64 // of one member, on average, during the script
}

// Result is what was measured so far, without Hash and BytesPerS, which the testbed knows.
func (t *Trial) Result(name string, seed uint64) *Result {
	return &Result{
		Scenario:          name,
		Members:           t.Members(),
		Seed:              seed,
		FalseDead:         t.FalseDead,
		DeclaredDead:      t.DeclaredDead,
		DeadReturned:      t.DeadReturned,
		Flaps:             t.Flaps,
		UndetectedCrashes: t.UndetectedCrashes(),
		DetectionTimes:    t.DetectionTimes,
		Divergence:        t.Divergence,
	}
}

// Figure is one of a result's figures, with its bound.
type Figure struct {
	Name          string
	Measured, Max float64
}

// Figures are all that have a bound.
func (r *Result) Figures() []Figure {
	millis := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	detection := r.DetectionQuantile(detectionQuantile)
	return []Figure{
		{"false_dead", float64(r.FalseDead), 0},
		{"dead_returned", float64(r.DeadReturned), 0},
		{"flaps", float64(r.Flaps), MaxFlaps},
		{"unseen", float64(r.UndetectedCrashes), 0},
		{"crash_seen_by_all_ms", millis(detection), millis(MaxDetectionTime)},
		{"view_differs_ms", millis(r.Divergence), millis(MaxViewDivergence)},
		{"bytes_per_s_per_member", r.BytesPerS, MaxBytesPerSecond},
	}
}

// Broken lists the bounds that do not hold.
func (r *Result) Broken() (broken []string) {
	for _, f := range r.Figures() {
		if f.Measured > f.Max {
			broken = append(broken, fmt.Sprintf("%s %.0f, over %.0f", f.Name, f.Measured, f.Max))
		}
	}
	return broken
}

// DetectionQuantile is the time within which a part of all detections came, from 0 to 1; 0 without any.
func (r *Result) DetectionQuantile(part float64) time.Duration {
	if len(r.DetectionTimes) == 0 {
		return 0
	}
	all := slices.Sorted(slices.Values(r.DetectionTimes))
	return all[min(int(part*float64(len(all))), len(all)-1)]
}
