package scale

import (
	"testing"

	"spurspread/lab/report"
)

// A run whose timers fired late reports only figures of the harness, and does not pass.
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
		t.Errorf("a starved run must fail with a reason and three figures: reason %q, %+v", reason, result)
	}
	atLimits := map[string]float64{
		"harness_lag_p99_ms": 1,
		"harness_lag_max_ms": maxLagMillis,
		"harness_core_share": maxCoreShare,
	}
	if starvationReason(atLimits) != "" {
		t.Error("a run exactly at the limits is not valid, want valid")
	}
}

// Datagrams sent to a killed member do not count as its cost: its running span ends with the kill.
func TestRunningSpanEndsAtKill(t *testing.T) {
	r := &run{killedAt: map[int]int64{3: 500}}
	whole := span{100, 1000}
	if got := r.runningSpan(3, whole); got != (span{100, 500}) {
		t.Errorf("running span of a killed member is %v, want 100 to 500", got)
	}
	if got := r.runningSpan(1, whole); got != whole {
		t.Errorf("running span of a member that was not killed is %v, want all of the run", got)
	}
}
