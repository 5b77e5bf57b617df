package decision

import (
	"spurspread/decision/outcome"
	"testing"
)

// Settings read again decide what is asked after them; what was asked before keeps the class that it was asked under.
func TestChangedSettingsApplyToLaterRequests(t *testing.T) {
	for _, c := range []struct {
		name          string
		before, after Idempotency
	}{
		{"a class that may be repeated no longer may", Idempotent, NonIdempotent},
		{"a class that may not be repeated now may", NonIdempotent, Idempotent},
	} {
		t.Run(c.name, func(t *testing.T) {
			before, after := testSettings(), testSettings()
			before.Classes[0].Idempotency = c.before
			after.Classes = []Class{
				{LatencyObjective: 300 * ms, Deadline: 2 * sec, Idempotency: c.after},
				before.Classes[0],
			}
			g := newHarness(t, before, serverList(6, 0))
			old, oldAt := g.request()
			g.handle(SettingsChanged{Settings: after})
			young, youngAt := g.request()
			if oldAt == 0 || youngAt == 0 {
				t.Fatal("not sent")
			}
			repeated := func(id, server uint32) bool {
				// After a time-out the attempt may have run: only a class that may be repeated is sent again.
				acts := append(
					g.outcome(id, server, 0, outcome.TimedOut),
					g.handle(TimerFired{deadlineTimer.forRequest(id)})...)
				return len(actionsOf[StartAttempt](acts)) > 0
			}
			if got := repeated(old, oldAt); got != (c.before == Idempotent) {
				t.Errorf("asked before: repeated %v under %v", got, c.before)
			}
			if got := repeated(young, youngAt); got != (c.after == Idempotent) {
				t.Errorf("asked after: repeated %v under %v", got, c.after)
			}
		})
	}
}

// What the accounts of placement go by is tuned with the rest: the fleet's size, whether loads are told, what
// weights mean.
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
			"told %v, live %v, rank %d, span %d",
			g.b.loadModel.LoadsReported,
			g.b.loadModel.DynamicWeights,
			g.b.polling.Rank,
			g.b.polling.SpreadTime(),
		)
	}
}
