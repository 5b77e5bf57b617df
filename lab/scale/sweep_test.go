package scale

import "testing"

// The report of several sizes has the figures of each size and the worst value of each bound, and names the sizes that
// are not valid.
func TestSweep(t *testing.T) {
	s := newSweep(Options{})
	for _, members := range []int{60, 125, 300} {
		result := newReport("x", Options{})
		for _, bound := range bounds {
			result.Figures[bound.figure] = 0
		}
		result.Figures["control_bytes_per_s"] = float64(members)
		if members == 300 {
			markInvalid(result, "late")
			result.Figures["harness_lag_p99_ms"] = maxLagP99Millis + 1
		}
		checkBounds(result)
		s.add(members, result)
	}
	summary := s.report()
	if summary.Pass || summary.Figures["control_bytes_per_s"] != 125 ||
		summary.Figures["control_bytes_per_s_at_60"] != 60 || summary.Notes["not valid_at_300"] != "late" {
		t.Errorf("summary of three sizes %+v, want no pass, 125 as the worst value, 60 at size 60 and a note on 300",
			summary)
	}
	if _, had := summary.Figures["control_bytes_per_s_at_300"]; had || len(summary.Charts) == 0 ||
		len(summary.Charts[0].Series[0].X) != 2 {
		t.Errorf("a size that is not valid has figures in the summary or its charts: %+v", summary.Charts)
	}
	if err := summary.Save(t.TempDir()); err != nil {
		t.Error(err)
	}
}
