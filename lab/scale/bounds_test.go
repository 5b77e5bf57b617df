package scale

import (
	"testing"

	"spurspread/lab/report"
)

// A run whose timers came late has no figures but those of the harness, and does not pass.
func TestStarvedRunIsNotValid(t *testing.T) {
	result := &report.Report{
		Figures: map[string]float64{
			"harness_lag_p99_ms":  maxLagP99Millis + 1,
			"harness_core_share":  0.1,
			"control_bytes_per_s": 5,
			"processes":           3,
		},
		Notes: map[string]string{},
	}
	reason := starvationReason(result.Figures)
	markInvalid(result, reason)
	checkBounds(result)
	if reason == "" || result.Pass || len(result.Figures) != 3 {
		t.Errorf("%q, %+v", reason, result)
	}
	atLimits := map[string]float64{
		"harness_lag_p99_ms": 1,
		"harness_lag_max_ms": maxLagMillis,
		"harness_core_share": maxCoreShare,
	}
	if starvationReason(atLimits) != "" {
		t.Error("a run at the limits is not valid")
	}
}

// What is sent to a member that was killed is not counted as its cost.
func TestRunningSpanEndsAtKill(t *testing.T) {
	r := &run{killedAt: map[int]int64{3: 500}}
	whole := span{100, 1000}
	if got := r.runningSpan(3, whole); got != (span{100, 500}) {
		t.Errorf("a killed member ran in %v", got)
	}
	if got := r.runningSpan(1, whole); got != whole {
		t.Errorf("a member that was not killed ran in %v", got)
	}
}
