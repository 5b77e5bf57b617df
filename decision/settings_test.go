package decision

import (
	"testing"

	"spurspread/decision/outcome"
)

// Changed settings apply to requests that arrive later; earlier ones keep the class that they arrived with.
func TestChangedSettingsApplyToLaterRequests(t *testing.T) {
	for _, c := range []struct {
		name          string
		before, after Idempotency
	}{
		{"an idempotent class no longer is", Idempotent, NonIdempotent},
		{"a class becomes idempotent", NonIdempotent, Idempotent},
	} {
		t.Run(c.name, func(t *testing.T) {
			before, after := testSettings(), testSettings()
			before.Classes[0].Idempotency = c.before
			after.Classes = []Class{
				{LatencyObjective: 300 * ms, Deadline: 2 * sec, Idempotency: c.after},
				before.Classes[0],
			}
			g := newHarness(t, before, serverList(6, 0))
			earlier, earlierServer := g.request()
			g.handle(SettingsChanged{Settings: after})
			later, laterServer := g.request()
			if earlierServer == 0 || laterServer == 0 {
				t.Fatal("no attempt was started")
			}
			retried := func(id, server uint32) bool {
				// After a timeout the attempt may have been executed, so only an idempotent class is retried.
				actions := append(
					g.endAttempt(id, server, 0, outcome.TimedOut),
					g.handle(TimerFired{deadlineTimer.forRequest(id)})...)
				return len(actionsOf[StartAttempt](actions)) > 0
			}
			if got := retried(earlier, earlierServer); got != (c.before == Idempotent) {
				t.Errorf("request before the change: retried %v under %v, want %v",
					got, c.before, c.before == Idempotent)
			}
			if got := retried(later, laterServer); got != (c.after == Idempotent) {
				t.Errorf("request after the change: retried %v under %v, want %v", got, c.after, c.after == Idempotent)
			}
		})
	}
}

// Changed settings also apply to the parameters of budgets and polls: the fleet's size, whether loads are reported, and
// the meaning of weights.
func TestChangedSettingsUpdateBudgets(t *testing.T) {
	before := testSettings()
	before.PollDiscovery = true
	g := newHarness(t, before, serverList(2, 0))
	after := loadReportingSettings()
	after.PollDiscovery, after.Rank, after.Balancers, after.PollInterval = true, 7, 50, 9*sec
	g.handle(SettingsChanged{Settings: after})
	if !g.b.loadModel.LoadsReported || !g.b.loadModel.DynamicWeights || g.b.polling.Rank != 7 ||
		Micros(g.b.polling.SpreadTime()) != 5*sec {
		t.Fatalf(
			"loads reported %v, dynamic weights %v, rank %d, spread time %d",
			g.b.loadModel.LoadsReported,
			g.b.loadModel.DynamicWeights,
			g.b.polling.Rank,
			g.b.polling.SpreadTime(),
		)
	}
}
