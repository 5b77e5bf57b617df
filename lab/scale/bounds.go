package scale

import (
	"fmt"
	"slices"
	"strings"

	"spurspread/lab/report"
)

// Limits of a valid run. Beyond them stub members had too little processor time: protocol steps 50 ms apart, and
// timeouts of 150 ms, would be measured wrongly.
const (
	maxLagP99Millis = 20   // 99th percentile of the lag of stub members' timers, in milliseconds
	maxLagMillis    = 250  // greatest lag of such a timer, in milliseconds
	maxCoreShare    = 0.85 // share of all cores that the processes of the run used
)

// invalidNote is the key of the report note that gives the reason why a run is not valid.
const invalidNote = "not valid"

// harnessPrefix is the prefix of the figures of the run itself, which are reported even if the run is not valid.
const harnessPrefix = "harness_"

// bounds are the bounds of issue 31, which every run of a fleet with zones has to meet.
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

// starvationReason returns, from the figures of a run, the reason why it was too short of processor time to be valid,
// or "" if it is valid.
func starvationReason(figures map[string]float64) string {
	lagP99 := figures["harness_lag_p99_ms"]
	maxLag := figures["harness_lag_max_ms"]
	coreShare := figures["harness_core_share"]
	switch {
	case lagP99 > maxLagP99Millis:
		return fmt.Sprintf("the 99th percentile of the lag of stub members' timers is %.0f ms, over %d",
			lagP99, maxLagP99Millis)
	case maxLag > maxLagMillis:
		return fmt.Sprintf("a timer of a stub member fired %.0f ms late, over %d", maxLag, maxLagMillis)
	case coreShare > maxCoreShare:
		return fmt.Sprintf("the run used %.2f of all cores, over %.2f", coreShare, maxCoreShare)
	}
	return ""
}

// markInvalid removes all figures of the fleet from a report, and notes the reason.
func markInvalid(result *report.Report, reason string) {
	for name := range result.Figures {
		if !strings.HasPrefix(name, harnessPrefix) && name != "processes" {
			delete(result.Figures, name)
		}
	}
	result.Notes[invalidNote] = reason
	result.Charts = nil
}

// checkBounds checks the figures of a report against the bounds, except for those that the run does not measure. A
// report that is not valid is only checked against the limits of a valid run.
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
