package scenario

import (
	"fmt"
	"slices"
	"time"
)

// Bounds that every run of a script must keep.
const (
	MaxDetectionTime  = 4 * time.Second // from a crash to a member's report of it, for 99% of all reports
	MaxViewDivergence = 5 * time.Second // time after the last change of faults at which views may still differ
	MaxFlaps          = 1               // returns of a member from dead to alive, seen by one observer after one fault
	MaxBytesPerSecond = 4096            // sent by a member, on average
)

const (
	// StopTime is the maximum duration of a planned stop.
	StopTime = 4 * time.Second
	// JoinTime is the time for members to find each other before a script begins.
	JoinTime = 12 * time.Second
	// SettleTime is the time for which members are still checked after the end of a script.
	SettleTime = MaxViewDivergence + 3*time.Second
)

// detectionQuantile is the fraction of detections that must be within MaxDetectionTime.
const detectionQuantile = 0.99

// Result has the measurements of one run of a script. The fields that Checker has, too, are described there.
type Result struct {
	Scenario string
	Members  int
	Seed     uint64
	Hash     string // of all events in virtual time; empty for real processes

	FalseDead         int
	DeclaredDead      int
	DeadReturned      int
	Flaps             int
	UndetectedCrashes int
	DetectionTimes    []time.Duration
	Divergence        time.Duration
	BytesPerS         float64 // sent by one member, on average during the script
}

// Result returns the measurements so far. The caller adds Hash and BytesPerS, which only the testbed knows.
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

// Figure is a measured value and its upper bound.
type Figure struct {
	Name          string
	Measured, Max float64
}

// Figures returns the values that have a bound, with the names that they have in reports.
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

// Broken returns a description of each bound that does not hold.
func (r *Result) Broken() (broken []string) {
	for _, f := range r.Figures() {
		if f.Measured > f.Max {
			broken = append(broken, fmt.Sprintf("%s %.0f, over %.0f", f.Name, f.Measured, f.Max))
		}
	}
	return broken
}

// DetectionQuantile returns the quantile q, from 0 to 1, of DetectionTimes; 0 if there are none.
func (r *Result) DetectionQuantile(q float64) time.Duration {
	if len(r.DetectionTimes) == 0 {
		return 0
	}
	all := slices.Sorted(slices.Values(r.DetectionTimes))
	return all[min(int(q*float64(len(all))), len(all)-1)]
}
