package scale

import (
	"fmt"
	"slices"
	"strings"

	"spurspread/lab/report"
)

// Limits of a valid run. Beyond them the stub members had too little processor time: what members do 50 ms apart,
// and wait 150 ms for, would be measured wrongly.
const (
	maxLagP99Millis = 20   // 99th percentile of how late timers of stub members fired, milliseconds
	maxLagMillis    = 250  // the latest timer, milliseconds
	maxCoreShare    = 0.85 // share of all cores that the run's processes used
)

// invalidNote is the note of a report that gives the reason why the run is not valid.
const invalidNote = "not valid"

// harnessFigures is the prefix of figures of the run itself, which a run that is not valid reports, too.
const harnessFigures = "harness_"

// bounds are those of issue 31, which each run of a fleet with zones has to meet.
var bounds = []struct {
	figure string
	limit  float64
}{
	{"control_bytes_per_s", 28000},
	{"control_rest_bytes_per_s", 4096},
	{"control_core_share", 0.043},
	{"control_memory_mb", 64},
	{"false_dead", 0},
	{"zone_seen_ms", 4000},
	{"count_everywhere_ms", 7000},
	{"record_everywhere_ms", 7000},
	{"rate_over_budget", 2},
	{"flaps", 1},
	{"harness_memory_mb", maxRunMegabytes},
	{"processes", maxRunProcesses},
}

// starvationReason returns the reason why a run had too little processor time to be valid, by its figures; "" where
// it is valid.
func starvationReason(figures map[string]float64) string {
	lagP99 := figures["harness_lag_p99_ms"]
	maxLag := figures["harness_lag_max_ms"]
	coreShare := figures["harness_core_share"]
	switch {
	case lagP99 > maxLagP99Millis:
		return fmt.Sprintf("1 in 100 timers of stub members came %.0f ms late or later, over %d",
			lagP99, maxLagP99Millis)
	case maxLag > maxLagMillis:
		return fmt.Sprintf("a timer of a stub member came %.0f ms late, over %d", maxLag, maxLagMillis)
	case coreShare > maxCoreShare:
		return fmt.Sprintf("the run took %.2f of all cores, over %.2f", coreShare, maxCoreShare)
	}
	return ""
}

// markInvalid removes all figures of the fleet from a report, and notes the reason.
func markInvalid(result *report.Report, reason string) {
	for name := range result.Figures {
		if !strings.HasPrefix(name, harnessFigures) && name != "processes" {
			delete(result.Figures, name)
		}
	}
	result.Notes[invalidNote] = reason
	result.Charts = nil
}

// checkBounds checks a report's figures against the bounds, except those that the run does not measure. A report that
// is not valid is checked against the limits of a valid run only.
func checkBounds(result *report.Report, unmeasured ...string) {
	if _, invalid := result.Notes[invalidNote]; invalid {
		result.Check("harness_lag_p99_ms", maxLagP99Millis, false)
		result.Check("harness_lag_max_ms", maxLagMillis, false)
		result.Check("harness_core_share", maxCoreShare, false)
		return
	}
	for _, bound := range bounds {
		if !slices.Contains(unmeasured, bound.figure) {
			result.Check(bound.figure, bound.limit, false)
		}
	}
}
