package decision

import (
	"testing"

	"spurspread/decision/outcome"
)

func TestAttemptTimeoutLeavesTimeForAnother(t *testing.T) {
	g := newHarness(t, testSettings(), serverList(3, 0))
	attempts := actionsOf[StartAttempt](g.handle(Request{ID: 1, TimeLeft: 2 * sec}))
	if attempts[0].Timeout <= 0 || attempts[0].Timeout > sec {
		t.Fatalf("the first attempt times out after %d of %d", attempts[0].Timeout, 2*sec)
	}
	again := actionsOf[StartAttempt](g.endAttempt(1, attempts[0].Server, 0, outcome.TimedOut))
	if len(again) != 1 || again[0].Server == attempts[0].Server {
		t.Fatalf("the second attempt: %v after %v", again, attempts)
	}
}

// With a slow store a set-up takes long at every server: timing it out early only pays for a second one.
func TestSlowSetupsAreNotTimedOutEarly(t *testing.T) {
	g := newHarness(t, testSettings(), serverList(3, 0))
	for range 40 {
		g.b.recordSetup(outcome.OK, 600*ms)
	}
	if s := actionsOf[StartAttempt](g.handle(Request{ID: 1, TimeLeft: 2 * sec})); s[0].Timeout < 1900*ms {
		t.Fatalf("times out after %d", s[0].Timeout)
	}
}

// A few servers that hang are no shared slowness: attempts keep their short time-outs, and moves go on.
func TestHangingServersDoNotCountAsSharedSlowness(t *testing.T) {
	g := newHarness(t, testSettings(), serverList(3, 0))
	for i := range 200 {
		if i%5 == 0 {
			g.b.recordSetup(outcome.TimedOut, 900*ms)
		} else {
			g.b.recordSetup(outcome.OK, 20*ms)
		}
	}
	if g.b.setups.SetupLatency() > float64(100*ms) {
		t.Fatalf("set-up latency %.0f us", g.b.setups.SetupLatency())
	}
}

func TestMaxAttempts(t *testing.T) {
	s := testSettings()
	s.MaxAttempts = 2
	g := newHarness(t, s, serverList(6, 0))
	id, sv := g.request()
	next := actionsOf[StartAttempt](g.endAttempt(id, sv, 0, outcome.ConnectFailed))
	actions := g.endAttempt(id, next[0].Server, 1, outcome.ConnectFailed)
	if len(actionsOf[StartAttempt](actions)) != 0 || len(actionsOf[Reject](actions)) != 1 {
		t.Fatalf("after the last attempt: %v", actions)
	}
}

func TestRetryBudgetRunsOut(t *testing.T) {
	g := newHarness(t, testSettings(), serverList(40, 0))
	g.b.retryTokens = 0.2
	id, sv := g.request()
	actions := g.endAttempt(id, sv, 0, outcome.ConnectFailed)
	if len(actionsOf[StartAttempt](actions)) != 0 || len(actionsOf[Reject](actions)) != 1 {
		t.Fatalf("with no budget: %v", actions)
	}
}

func TestNonIdempotentIsNotRetried(t *testing.T) {
	s := testSettings()
	s.Classes[0].Idempotency = NonIdempotent
	g := newHarness(t, s, serverList(4, 0))
	id, sv := g.request()
	next := actionsOf[StartAttempt](g.endAttempt(id, sv, 0, outcome.ServerFull))
	if len(next) != 1 {
		t.Fatal("an attempt that cannot have executed was not retried")
	}
	if left := g.b.requests[id].deadline - g.now; next[0].Timeout != left {
		t.Errorf("an attempt that can't be retried times out after %d of %d", next[0].Timeout, left)
	}
	// A request that no server may have any more is answered at once, not at its deadline.
	actions := g.endAttempt(id, next[0].Server, 1, outcome.TimedOut)
	if len(actionsOf[Fail](actions)) != 1 || len(actionsOf[Reject](actions)) != 0 ||
		len(actionsOf[StartAttempt](actions)) != 0 {
		t.Fatalf("after an attempt that may have executed: %v", actions)
	}
	if actions := g.handle(TimerFired{deadlineTimer.forRequest(id)}); len(actions) != 0 {
		t.Fatalf("a second answer: %v", actions)
	}
}

// A retry that reaches its server after the window would be executed again, so the time to write it is bounded.
func TestKeyedRetryIsWrittenWithinItsDedupWindow(t *testing.T) {
	s := testSettings()
	s.Classes[0].Idempotency, s.Classes[0].DedupWindow = IdempotentWithKey, 300*ms
	g := newHarness(t, s, serverList(4, 0))
	id, sv := g.request()
	sent := g.now
	if first := g.b.requests[id]; first.attemptHistory.MayHaveExecuted() {
		t.Fatal("counts as executed before its end")
	}
	g.now += 100 * ms
	next := actionsOf[StartAttempt](g.endAttempt(id, sv, 0, outcome.Reset))
	if len(next) != 1 || next[0].WriteTimeout <= 0 || g.now+next[0].WriteTimeout > sent+300*ms {
		t.Fatalf("%+v, %d after the first attempt", next, g.now-sent)
	}
	// A retry that was not written in time was not executed; no server may have it now, and all discard duplicates.
	g.now = sent + 300*ms
	actions := g.endAttempt(id, next[0].Server, 1, outcome.Inconclusive)
	if len(actionsOf[StartAttempt](actions)) != 0 || len(actionsOf[Reject](actions)) != 1 {
		t.Fatalf("after the window: %v", actions)
	}
}

func TestKeyedRetryStaysInDedupScopeAndWindow(t *testing.T) {
	s := testSettings()
	s.Classes[0].Idempotency, s.Classes[0].DedupScope, s.Classes[0].DedupWindow = IdempotentWithKey, ScopeCell, sec
	entries := serverList(4, 0)
	entries[0].Cell, entries[1].Cell, entries[2].Cell, entries[3].Cell = 1, 1, 2, 2
	for range 20 {
		g := newHarness(t, s, entries)
		id, sv := g.request()
		next := actionsOf[StartAttempt](g.endAttempt(id, sv, 0, outcome.TimedOut))
		if len(next) != 1 || g.b.serversByID[next[0].Server].Cell != g.b.serversByID[sv].Cell {
			t.Fatalf("after %d: %v", sv, next)
		}
		g.now += sec
		actions := append(
			g.endAttempt(id, next[0].Server, 1, outcome.TimedOut),
			g.handle(TimerFired{deadlineTimer.forRequest(id)})...)
		if len(actionsOf[StartAttempt](actions)) != 0 || len(actionsOf[Fail](actions)) != 1 ||
			len(actionsOf[Reject](actions)) != 0 {
			t.Fatalf("outside the window: %v", actions)
		}
	}
}

// playErrors sends n requests one after another, all of whose attempts end like this, and returns how many attempts
// were made.
func playErrors(g *harness, n int, status outcome.Status) (attempts int) {
	for range n {
		g.now += 5 * ms
		id, server := g.request()
		for number := 0; server != 0; number++ {
			attempts++
			if status == outcome.OK {
				g.handle(Established{ID: id, Attempt: number, Server: server, SetupTime: 10 * ms})
				g.handle(AttemptEnded{ID: id, Attempt: number, Server: server, Status: status, RequestClosed: true})
				break
			}
			ended := g.handle(AttemptEnded{ID: id, Attempt: number, Server: server, Status: status})
			server = 0
			if next := actionsOf[StartAttempt](ended); len(next) > 0 {
				server = next[0].Server
			}
		}
	}
	return attempts
}

// Where all servers answer errors to idempotent requests the throttle hears of it: a crowd is not sent twice each, and
// no server is demoted for it. Once they accept again, so do all requests get through.
func TestErrorsOfAllServersReachTheThrottle(t *testing.T) {
	g := newHarness(t, testSettings(), serverList(4, 0))
	if n := playErrors(g, 1000, outcome.ErrorResponse); n > 500 {
		t.Errorf("1000 requests that fail everywhere cost %d attempts", n)
	}
	for _, s := range g.b.servers {
		if s.health == healthUnhealthy {
			t.Errorf("server %d is demoted for an error that no other server contradicts", s.Server)
		}
	}
	for range 60 * 4 {
		g.advance(tickInterval)
	}
	if n := playErrors(g, 100, outcome.OK); n != 100 {
		t.Errorf("%d of 100 requests are sent once the servers accept again", n)
	}
}

// One client whose requests fail everywhere costs the others nothing.
func TestFaultyClientIsNotTheFleet(t *testing.T) {
	g := newHarness(t, testSettings(), serverList(4, 0))
	for range 300 {
		playErrors(g, 1, outcome.ErrorResponse)
		if n := playErrors(g, 2, outcome.OK); n != 2 {
			t.Fatalf("%d of 2 sound requests are sent", n)
		}
	}
}
