package decision

import (
	"math/rand/v2"
	"spurspread/decision/outcome"
	"testing"
)

// A client that was told where to come goes there or nowhere, and hears at once when that can't be.
func TestPinnedRequest(t *testing.T) {
	pinned := func(g *harness, to uint32) []Action {
		g.next++
		return g.handle(Request{ID: g.next, TimeLeft: 2 * sec, Resumable: true, Pinned: true, PinnedServer: to})
	}
	for range 20 {
		g := newHarness(t, testSettings(), serverList(6, 2))
		sends := actionsOf[StartAttempt](pinned(g, 102))
		if len(sends) != 1 || sends[0].Server != 102 || sends[0].Timeout < 1900*ms {
			t.Fatalf("%+v", sends)
		}
		if acts := g.outcome(g.next, 102, 0, outcome.ServerFull); len(actionsOf[Reject](acts)) != 1 ||
			len(actionsOf[StartAttempt](acts)) != 0 {
			t.Fatalf("after its one attempt: %+v", acts)
		}
	}
	for name, change := range map[string]func(g *harness){
		"draining": func(g *harness) { g.b.serversByID[3].State = Draining }, "gone": func(g *harness) { g.b.serversByID[3].State = Removed },
		"unknown": func(g *harness) { delete(g.b.serversByID, 3) },
	} {
		g := newHarness(t, testSettings(), serverList(6, 0))
		change(g)
		if acts := pinned(g, 3); len(actionsOf[Reject](acts)) != 1 {
			t.Errorf("%s: %+v", name, acts)
		}
	}
	g := newHarness(t, testSettings(), serverList(6, 0))
	g.b.serversByID[3].budget.Tokens, g.b.serversByID[3].budget.RefilledAt = 0, g.now
	if acts := pinned(g, 3); len(actionsOf[StartAttempt](acts)) != 0 || len(actionsOf[Reject](acts)) != 0 {
		t.Fatalf("no room yet: %+v", acts)
	}
	g.now += 2*sec - answerMargin - minAttemptTimeout + 1
	if acts := g.handle(TimerFired{holdTimer.forRequest(g.next)}); len(actionsOf[Reject](acts)) != 1 ||
		len(actionsOf[StartAttempt](acts)) != 0 {
		t.Errorf("sent so late that it can't come to stand: %+v", acts)
	}
	if acts := pinned(g, 3); len(actionsOf[StartAttempt](acts)) != 1 {
		t.Fatalf("with room: %+v", acts)
	}
	g.b.serversByID[3].budget.Tokens, g.b.serversByID[3].budget.RefilledAt = 0, g.now
	if acts := pinned(g, 3); len(actionsOf[Reject](acts)) != 0 {
		t.Fatalf("no room again: %+v", acts)
	}
	g.b.serversByID[3].State = Draining
	if acts := g.handle(TimerFired{holdTimer.forRequest(g.next)}); len(actionsOf[Reject](acts)) != 1 {
		t.Errorf("held while its server began to drain: %+v", acts)
	}
}

// A connection that must leave is told the pick of the moment, if its client can be told at all.
func TestMoveRequested(t *testing.T) {
	stand := func(g *harness, resumes bool) (id, server uint32) {
		g.next++
		sends := actionsOf[StartAttempt](g.handle(Request{ID: g.next, TimeLeft: 2 * sec, Resumable: resumes}))
		if len(sends) != 1 {
			t.Fatal("not sent")
		}
		g.handle(Established{ID: g.next, Server: sends[0].Server, SetupTime: 10 * ms})
		return g.next, sends[0].Server
	}
	named := map[uint32]int{}
	for i := range 200 {
		g := newHarness(t, testSettings(), serverList(5, 3))
		g.b.rng = rand.New(rand.NewPCG(uint64(i), 1))
		id, at := stand(g, true)
		g.b.serversByID[at].State = Draining
		cold, away := 1+at%5, 1+(at+1)%5
		g.b.serversByID[cold].StartedAt = g.now
		g.b.serversByID[away].pausedUntil = g.now + sec
		moves := actionsOf[MoveConnection](g.handle(MoveRequested{ID: id}))
		if len(moves) != 1 || !moves[0].HasNextServer {
			t.Fatalf("%+v", moves)
		}
		next := moves[0].NextServer
		if next == at || next == cold || next == away || next > 100 {
			t.Fatalf("from %d to %d, with %d cold and %d shut", at, next, cold, away)
		}
		named[next]++
		if acts := g.handle(MoveRequested{ID: id}); len(acts) != 0 {
			t.Fatalf("twice: %+v", acts)
		}
		if acts := g.outcome(id, at, 0, outcome.Cancelled); len(acts) != 0 || len(g.b.requests) != 0 ||
			g.b.serversByID[at].pendingAttempts != 0 {
			t.Fatalf("after its end: %+v", acts)
		}
	}
	if len(named) < 5 {
		t.Errorf("always the same servers: %v", named)
	}

	g := newHarness(t, testSettings(), serverList(3, 0))
	id, at := stand(g, true)
	if moves := actionsOf[MoveConnection](g.handle(MoveRequested{ID: id, SameServerAllowed: true})); len(
		moves,
	) != 1 ||
		moves[0].NextServer != at ||
		!moves[0].HasNextServer {
		t.Errorf("a sound server loses what may stay: %+v", moves)
	}
	id, at = stand(g, true)
	g.b.serversByID[at].State = Draining
	if moves := actionsOf[MoveConnection](g.handle(MoveRequested{ID: id, SameServerAllowed: true})); len(
		moves,
	) != 1 ||
		moves[0].NextServer == at {
		t.Errorf("stays on a draining server: %+v", moves)
	}
	id, _ = stand(g, false)
	if moves := actionsOf[MoveConnection](g.handle(MoveRequested{ID: id})); len(moves) != 1 ||
		moves[0].HasNextServer {
		t.Errorf("a plain client: %+v", moves)
	}
	g = newHarness(t, testSettings(), serverList(1, 0))
	id, _ = stand(g, true)
	if moves := actionsOf[MoveConnection](g.handle(MoveRequested{ID: id})); len(moves) != 1 ||
		moves[0].HasNextServer {
		t.Errorf("nowhere to go: %+v", moves)
	}
}
