package decision

import (
	"testing"

	"spurspread/decision/outcome"
)

func TestAttemptTimeoutLeavesTimeForAnother(t *testing.T) {
	g := newHarness(t, testSettings(), serverList(3, 0))
	attempts := actionsOf[StartAttempt](g.handle(Request{ID: 1, TimeLeft: 2 * sec}))
	if attempts[0].Timeout <= 0 || attempts[0].Timeout > sec {
		t.Fatalf("the first attempt times out after %d us of %d, want at most 1 s", attempts[0].Timeout, 2*sec)
	}
	again := actionsOf[StartAttempt](g.endAttempt(1, attempts[0].Server, 0, outcome.TimedOut))
	if len(again) != 1 || again[0].Server == attempts[0].Server {
		t.Fatalf("attempts %v after %v timed out, want one at another server", again, attempts)
	}
}

// With a slow store set-ups are slow at every server: timing one out early only leads to a second, equally slow one.
func TestSlowSetupsAreNotTimedOutEarly(t *testing.T) {
	g := newHarness(t, testSettings(), serverList(3, 0))
	for range 40 {
		g.b.recordSetup(outcome.OK, 600*ms)
	}
	if s := actionsOf[StartAttempt](g.handle(Request{ID: 1, TimeLeft: 2 * sec})); s[0].Timeout < 1900*ms {
		t.Fatalf("the attempt times out after %d us, want nearly all of 2 s", s[0].Timeout)
	}
}

// A few servers that hang do not raise the set-up latency, which would lengthen timeouts and stop moves.
func TestHangingServersDoNotCountAsSharedSlowness(t *testing.T) {
	g := newHarness(t, testSettings(), serverList(3, 0))
	for i := range 200 {
		if i%5 == 0 {
			g.b.recordSetup(outcome.TimedOut, 900*ms)
		} else {
			g.b.recordSetup(outcome.OK, 20*ms)
		}
	}
	if g.b.setupLimiter.SetupLatency() > float64(100*ms) {
		t.Fatalf("set-up latency %.0f us, want at most 100 ms", g.b.setupLimiter.SetupLatency())
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
		t.Fatalf("after the last attempt: %v, want a Reject and no attempt", actions)
	}
}

func TestRetryBudgetRunsOut(t *testing.T) {
	g := newHarness(t, testSettings(), serverList(40, 0))
	g.b.retryTokens = 0.2
	id, sv := g.request()
	actions := g.endAttempt(id, sv, 0, outcome.ConnectFailed)
	if len(actionsOf[StartAttempt](actions)) != 0 || len(actionsOf[Reject](actions)) != 1 {
		t.Fatalf("without a retry budget: %v, want a Reject and no attempt", actions)
	}
}

// A request that is not idempotent is retried only after attempts that cannot have been executed.
func TestNonIdempotentIsNotRetried(t *testing.T) {
	s := testSettings()
	s.Classes[0].Idempotency = NonIdempotent
	g := newHarness(t, s, serverList(4, 0))
	id, sv := g.request()
	next := actionsOf[StartAttempt](g.endAttempt(id, sv, 0, outcome.ServerFull))
	if len(next) != 1 {
		t.Fatal("an attempt that cannot have been executed was not retried")
	}
	if left := g.b.requests[id].deadline - g.now; next[0].Timeout != left {
		t.Errorf("an attempt that can't be retried times out after %d us, want all the %d left", next[0].Timeout, left)
	}
	// A request that may not be sent to any server again is answered at once, not at its deadline.
	actions := g.endAttempt(id, next[0].Server, 1, outcome.TimedOut)
	if len(actionsOf[Fail](actions)) != 1 || len(actionsOf[Reject](actions)) != 0 ||
		len(actionsOf[StartAttempt](actions)) != 0 {
		t.Fatalf("after an attempt that may have been executed: %v, want only a Fail", actions)
	}
	if actions := g.handle(TimerFired{deadlineTimer.forRequest(id)}); len(actions) != 0 {
		t.Fatalf("actions at the deadline, after the answer: %v, want none", actions)
	}
}

// A retry that reaches a server after the deduplication window would be executed again, so the time to write it is
// limited.
func TestKeyedRetryIsWrittenWithinItsDedupWindow(t *testing.T) {
	s := testSettings()
	s.Classes[0].Idempotency, s.Classes[0].DedupWindow = IdempotentWithKey, 300*ms
	g := newHarness(t, s, serverList(4, 0))
	id, sv := g.request()
	sent := g.now
	if first := g.b.requests[id]; first.attemptHistory.MayHaveExecuted() {
		t.Fatal("MayHaveExecuted is true before the attempt has ended, want false")
	}
	g.now += 100 * ms
	next := actionsOf[StartAttempt](g.endAttempt(id, sv, 0, outcome.Reset))
	if len(next) != 1 || next[0].WriteTimeout <= 0 || g.now+next[0].WriteTimeout > sent+300*ms {
		t.Fatalf("retries %+v, %d after the first attempt, want one within the window", next, g.now-sent)
	}
	// The retry was not written in time, so it was not executed. No server may get the request now, but the client may
	// retry, since all servers discard duplicates.
	g.now = sent + 300*ms
	actions := g.endAttempt(id, next[0].Server, 1, outcome.Inconclusive)
	if len(actionsOf[StartAttempt](actions)) != 0 || len(actionsOf[Reject](actions)) != 1 {
		t.Fatalf("after the window: %v, want a Reject and no attempt", actions)
	}
}

// A request with an idempotency key that may have been executed is retried only in the cell that knows the key, and
// only within the deduplication window.
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
			t.Fatalf("after a timeout at server %d: %v, want one attempt in the same cell", sv, next)
		}
		g.now += sec
		actions := append(
			g.endAttempt(id, next[0].Server, 1, outcome.TimedOut),
			g.handle(TimerFired{deadlineTimer.forRequest(id)})...)
		if len(actionsOf[StartAttempt](actions)) != 0 || len(actionsOf[Fail](actions)) != 1 ||
			len(actionsOf[Reject](actions)) != 0 {
			t.Fatalf("outside the window: %v, want only a Fail", actions)
		}
	}
}

// sendRequests sends n requests one after another, all of whose attempts end with the given status, and returns the
// number of attempts.
func sendRequests(g *harness, n int, status outcome.Status) (attempts int) {
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

// If all servers answer idempotent requests with errors, set-ups are throttled: at most half of the requests are sent,
// and no server is demoted. Once the servers accept requests again, all requests get through.
func TestErrorsOfAllServersThrottleRetries(t *testing.T) {
	g := newHarness(t, testSettings(), serverList(4, 0))
	if n := sendRequests(g, 1000, outcome.ErrorResponse); n > 500 {
		t.Errorf("1000 requests that fail at all servers lead to %d attempts, want at most 500", n)
	}
	for _, s := range g.b.servers {
		if s.health == healthUnhealthy {
			t.Errorf("server %d is Unhealthy after errors that all servers answer", s.Server)
		}
	}
	for range 60 * 4 {
		g.advance(tickInterval)
	}
	if n := sendRequests(g, 100, outcome.OK); n != 100 {
		t.Errorf("%d attempts for 100 requests once the servers accept them again, want 100", n)
	}
}

// A client whose requests fail at all servers does not affect other clients.
func TestFaultyClientDoesNotAffectOthers(t *testing.T) {
	g := newHarness(t, testSettings(), serverList(4, 0))
	for range 300 {
		sendRequests(g, 1, outcome.ErrorResponse)
		if n := sendRequests(g, 2, outcome.OK); n != 2 {
			t.Fatalf("%d attempts for 2 valid requests of another client, want 2", n)
		}
	}
}
