package decision

import (
	"testing"

	"spurspread/decision/outcome"
)

// Without any server, every request still gets its answer before the deadline.
func TestAnswerInTimeWithoutServers(t *testing.T) {
	g := newHarness(t, testSettings(), nil)
	actions := g.handle(Request{ID: 1, TimeLeft: 2 * sec})
	answerIn := Micros(0)
	for _, tm := range actionsOf[SetTimer](actions) {
		if tm.Token == deadlineTimer.forRequest(1) {
			answerIn = tm.Delay
		}
	}
	if answerIn <= 0 || answerIn >= 2*sec {
		t.Fatalf("the answer is due after %d us, want more than 0 and less than 2 s", answerIn)
	}
	g.now += answerIn
	if n := len(actionsOf[Reject](g.handle(TimerFired{deadlineTimer.forRequest(1)}))); n != 1 {
		t.Fatalf("%d rejections when the answer is due, want 1", n)
	}
	if actions := g.handle(TimerFired{deadlineTimer.forRequest(1)}); len(actions) != 0 {
		t.Fatalf("actions after the answer: %v, want none", actions)
	}
}

// A request that reaches its deadline during an attempt is rejected and the attempt cancelled. Once the attempt has
// ended, neither the request nor a count of it is left.
func TestAnswerWhileAnAttemptIsUnderWay(t *testing.T) {
	g := newHarness(t, testSettings(), serverList(1, 0))
	id, s := g.request()
	actions := g.handle(TimerFired{deadlineTimer.forRequest(id)})
	if len(actionsOf[Reject](actions)) != 1 || len(actionsOf[CancelAttempt](actions)) != 1 {
		t.Fatalf("actions at the deadline: %v, want a Reject and a CancelAttempt", actions)
	}
	if actions := g.endAttempt(id, s, 0, outcome.Cancelled); len(actions) != 0 {
		t.Fatalf("actions after the answer: %v, want none", actions)
	}
	if len(g.b.requests) != 0 || g.b.serversByID[s].pendingAttempts != 0 {
		t.Fatalf("%d requests and %d pending attempts left, want none",
			len(g.b.requests), g.b.serversByID[s].pendingAttempts)
	}
}

// A request that expires early, for instance because the balancer shuts down, is rejected under the same conditions as
// at its deadline: only if a retry by the client is harmless.
func TestExpiredRequestIsRejectedOnlyIfRetryIsHarmless(t *testing.T) {
	for _, c := range []struct {
		idempotency Idempotency
		scope       DedupScope
		fails       bool
	}{
		{Idempotent, ScopeAll, false},
		{IdempotentWithKey, ScopeAll, false},
		{IdempotentWithKey, ScopeZone, true},
		{IdempotentWithKey, ScopeCell, true},
		{NonIdempotent, ScopeAll, true},
	} {
		s := testSettings()
		s.Classes[0].Idempotency, s.Classes[0].DedupScope, s.Classes[0].DedupWindow = c.idempotency, c.scope, sec
		g := newHarness(t, s, serverList(4, 0))
		id, sv := g.request()
		actions := g.handle(RequestExpired{id})
		if len(actionsOf[Fail](actions))+len(actionsOf[Reject](actions)) != 1 ||
			len(actionsOf[Fail](actions)) == 1 != c.fails {
			t.Errorf("%+v: got %v, want one final answer: Fail if fails is true, else Reject", c, actions)
		}
		again := append(g.handle(RequestExpired{id}), g.endAttempt(id, sv, 0, outcome.Cancelled)...)
		if len(again) != 0 {
			t.Errorf("%+v: actions after the answer: %v, want none", c, again)
		}
		established, _ := g.connect()
		if actions := g.handle(RequestExpired{established}); len(actions) != 0 {
			t.Errorf("%+v: actions for an established connection: %v, want none", c, actions)
		}
	}
}

func TestClassOutOfRangeIsAnswered(t *testing.T) {
	g := newHarness(t, testSettings(), serverList(1, 0))
	if n := len(actionsOf[StartAttempt](g.handle(Request{ID: 1, TimeLeft: sec, Class: 40, Tenant: 90}))); n != 1 {
		t.Fatalf("%d attempts for a request of an unknown class, want 1", n)
	}
}

// Slow set-ups at all servers point to a shared bottleneck, so fewer may run at once. A few servers that hang do not
// lower the limit.
func TestConcurrentSetupsAreLimited(t *testing.T) {
	concurrent := func(setupTime Micros, hanging int) int {
		g := newHarness(t, testSettings(), serverList(10, 0))
		for i := range 60 {
			g.now += 200 * ms
			id, s := g.requestNow()
			if s == 0 {
				t.Fatalf("no attempt was started for request %d", id)
			}
			if i%5 < hanging {
				g.endAttempt(id, s, 0, outcome.TimedOut)
				g.handle(RequestCancelled{id})
				continue
			}
			g.handle(Established{ID: id, Server: s, SetupTime: setupTime})
		}
		n := 0
		for range 100 {
			if _, s := g.requestNow(); s != 0 {
				n++
			}
		}
		return n
	}
	if fast, slow := concurrent(30*ms, 0), concurrent(400*ms, 0); fast != 40 || slow != 2 {
		t.Errorf("%d concurrent fast set-ups, want 40; %d slow ones, want 2", fast, slow)
	}
	if n := concurrent(30*ms, 1); n < 20 {
		t.Errorf("%d concurrent set-ups while one in five hangs, want 20 or more", n)
	}
}

// A request that is pinned to a server is sent to no other, and is rejected at once if that server cannot have it.
func TestPinnedRequest(t *testing.T) {
	pinned := func(g *harness, server uint32) []Action {
		g.next++
		return g.handle(Request{ID: g.next, TimeLeft: 2 * sec, Resumable: true, Pinned: true, PinnedServer: server})
	}
	for range 20 {
		g := newHarness(t, testSettings(), serverList(6, 2))
		attempts := actionsOf[StartAttempt](pinned(g, 102))
		if len(attempts) != 1 || attempts[0].Server != 102 || attempts[0].Timeout < 1900*ms {
			t.Fatalf("got %+v, want one attempt at server 102 that may take nearly 2 s", attempts)
		}
		if actions := g.endAttempt(g.next, 102, 0, outcome.ServerFull); len(actionsOf[Reject](actions)) != 1 ||
			len(actionsOf[StartAttempt](actions)) != 0 {
			t.Fatalf("after its one attempt: %+v, want a Reject and no attempt", actions)
		}
	}
	for name, change := range map[string]func(g *harness){
		"draining": func(g *harness) { g.b.serversByID[3].State = Draining },
		"removed":  func(g *harness) { g.b.serversByID[3].State = Removed },
		"unknown":  func(g *harness) { delete(g.b.serversByID, 3) },
	} {
		g := newHarness(t, testSettings(), serverList(6, 0))
		change(g)
		if actions := pinned(g, 3); len(actionsOf[Reject](actions)) != 1 {
			t.Errorf("%s: got %+v, want a Reject", name, actions)
		}
	}
	g := newHarness(t, testSettings(), serverList(6, 0))
	g.b.serversByID[3].budget.Tokens, g.b.serversByID[3].budget.RefilledAt = 0, g.now
	if actions := pinned(g, 3); len(actionsOf[StartAttempt](actions)) != 0 || len(actionsOf[Reject](actions)) != 0 {
		t.Fatalf("without capacity: %+v, want the request held", actions)
	}
	g.now += 2*sec - answerMargin - minAttemptTimeout + 1
	if actions := g.handle(TimerFired{holdTimer.forRequest(g.next)}); len(actionsOf[Reject](actions)) != 1 ||
		len(actionsOf[StartAttempt](actions)) != 0 {
		t.Errorf("too late to be established: %+v, want a Reject and no attempt", actions)
	}
	if actions := pinned(g, 3); len(actionsOf[StartAttempt](actions)) != 1 {
		t.Fatalf("with capacity: %+v, want an attempt", actions)
	}
	g.b.serversByID[3].budget.Tokens, g.b.serversByID[3].budget.RefilledAt = 0, g.now
	if actions := pinned(g, 3); len(actionsOf[Reject](actions)) != 0 {
		t.Fatalf("without capacity again: %+v, want the request held", actions)
	}
	g.b.serversByID[3].State = Draining
	if actions := g.handle(TimerFired{holdTimer.forRequest(g.next)}); len(actionsOf[Reject](actions)) != 1 {
		t.Errorf("its server drains while it is held: %+v, want a Reject", actions)
	}
}
