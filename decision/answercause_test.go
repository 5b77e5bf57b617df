package decision

import (
	"math"
	"testing"

	"spurspread/decision/answercause"
	"spurspread/decision/outcome"
	"spurspread/decision/slowstart"
)

// finalCause returns the cause of the final answer among the actions.
func finalCause(t *testing.T, actions []Action) answercause.Cause {
	t.Helper()
	for _, a := range actionsOf[Reject](actions) {
		return a.Cause
	}
	for _, a := range actionsOf[Fail](actions) {
		return a.Cause
	}
	t.Fatalf("no final answer in %v, want a Reject or a Fail", actions)
	return answercause.Unknown
}

// The answer to a request that reaches its deadline states the reason for which the request was held.
func TestCauseOfTimeUp(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*harness)
		want   answercause.Cause
	}{
		"no server":    {func(g *harness) { g.b.servers[0].State = Draining }, answercause.NoReadyServer},
		"paused":       {func(g *harness) { g.b.servers[0].pausedUntil = math.MaxInt64 }, answercause.NoCapacity},
		"set-up limit": {func(g *harness) { g.b.setupLimiter.Limit = 0 }, answercause.SetupLimit},
		"old list":     {func(g *harness) { g.b.settings.PollDiscovery = true }, answercause.ListUnconfirmed},
		"connecting":   {func(*harness) {}, answercause.AttemptTimedOut},
	} {
		g := newHarness(t, testSettings(), serverList(1, 0))
		g.now += 20 * sec
		g.b.servers[0].budget.Tokens, g.b.servers[0].budget.RefilledAt = slowstart.Burst, g.now
		c.change(g)
		g.requestNow()
		g.now += 300 * ms
		actions := g.handle(TimerFired{deadlineTimer.forRequest(g.next)})
		if got := finalCause(t, actions); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// If no attempt may follow a failed one, the answer states which rule forbids it.
func TestCauseOfNoFurtherAttempt(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*harness)
		status outcome.Status
		want   answercause.Cause
	}{
		"attempts": {func(g *harness) { g.b.settings.MaxAttempts = 1 }, outcome.ServerFull, answercause.AttemptsUsed},
		"policy": {func(g *harness) {
			g.b.settings.Classes[0].Idempotency = NonIdempotent
		}, outcome.Reset, answercause.RetryForbidden},
		"budget": {func(g *harness) { g.b.retryTokens = 0 }, outcome.ServerFull, answercause.RetryBudget},
	} {
		g := newHarness(t, testSettings(), serverList(2, 0))
		g.b.settings.Classes = append([]Class{}, g.b.settings.Classes...)
		if name == "policy" {
			c.change(g)
		}
		id, server := g.request()
		c.change(g)
		actions := g.handle(AttemptEnded{ID: id, Server: server, Status: c.status})
		if got := finalCause(t, actions); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}
