package decision

import (
	"math/rand/v2"
	"testing"

	"spurspread/decision/latency"
	"spurspread/decision/outcome"
)

// A server whose messages are late is demoted and loses connections, even if its set-ups are fast.
func TestMessageLatencyDemotesAndMoves(t *testing.T) {
	g := newHarness(t, testSettings(), serverList(8, 0))
	byServer := map[uint32][]uint32{}
	for range 200 {
		id, s := g.connect()
		byServer[s] = append(byServer[s], id)
	}
	slow := uint32(3)
	moved := 0
	for i := range 8 {
		moved += len(g.reportLatency(byServer[slow][0], slow, 150+float64(i)))
		g.advance(sec)
	}
	if g.health(slow) != healthUnhealthy || moved == 0 {
		t.Fatalf("slow server: health %v, %d connections moved, want Unhealthy and at least 1", g.health(slow), moved)
	}
	for range 50 {
		if _, s := g.request(); s == slow {
			t.Fatalf("server %d, which is slow, got a new request", slow)
		}
	}
	g.reportLatency(byServer[slow][0], slow, 10)
	if g.health(slow) != healthConnected {
		t.Fatalf("health %v after a report of low latency, want Connected", g.health(slow))
	}
}

// The faster a server's latency grows, the more of its connections move, up to maxMovedShare. None move while it falls.
// A latency that is reported for several connections at the same time counts once.
func TestMovesByLatencyTrend(t *testing.T) {
	for secondLatency, part := range map[float64]float64{200: 0, 400: 0.2, 470: 0.2, 900: maxMovedShare} {
		g := newHarness(t, testSettings(), serverList(4, 0))
		byServer := g.connectMany(800)
		before := float64(len(g.b.serversByID[2].connections))
		g.reportLatency(byServer[2], 2, 400)
		g.advance(sec)
		moved := 0.0
		for range 3 {
			moved += float64(len(g.reportLatency(byServer[2], 2, secondLatency)))
		}
		if moved > 1.5*part*before || moved < 0.4*part*before {
			t.Errorf("%.0f of %.0f connections moved at a latency of %v ms after 400 ms, want %.0f to %.0f",
				moved, before, secondLatency, 0.4*part*before, 1.5*part*before)
		}
	}
}

// Connections move only if the objective of their own class is missed.
func TestMovesByClass(t *testing.T) {
	settings := testSettings()
	settings.Classes = append(
		settings.Classes,
		Class{LatencyObjective: 300 * ms, Deadline: 2 * sec, MessageLatencyObjective: 500 * ms},
	)
	g := newHarness(t, settings, serverList(1, 0))
	byServer := g.connectMany(100)
	for _, r := range g.b.requests {
		r.class = settings.Classes[r.id%2]
	}
	moved := g.reportLatency(byServer[1], 1, 200)
	for _, m := range moved {
		if m.ID%2 == 1 {
			t.Errorf("connection %d moved although its class's objective is met", m.ID)
		}
	}
	if len(moved) == 0 {
		t.Error("no connection moved although one class's objective is missed")
	}
}

// While set-ups are slow, no connections move, since their clients could not reconnect in time.
func TestNoMovesWhileSetupsAreSlow(t *testing.T) {
	g := newHarness(t, testSettings(), serverList(4, 0))
	byServer := g.connectMany(200)
	for range 30 {
		g.b.recordSetup(outcome.OK, g.b.settings.Classes[0].LatencyObjective)
	}
	if n := len(g.reportLatency(byServer[2], 2, 400)); n != 0 {
		t.Fatalf("%d connections moved, want none", n)
	}
}

// Without spare capacity elsewhere, connections stay on a server whose messages are late, unless its latency is above
// forcedMoveLatencyRatio.
func TestNothingMovedWithoutSpareCapacity(t *testing.T) {
	for ratio, wantMoves := range map[float64]bool{
		latency.MoveThreshold * 1.1:  false,
		forcedMoveLatencyRatio * 1.2: true,
	} {
		g := newHarness(t, testSettings(), serverList(2, 0))
		byServer := g.connectMany(100)
		g.b.serversByID[2].latency.ConnectionCapacity = 0
		if n := len(g.reportLatency(byServer[1], 1, ratio*100)); (n > 0) != wantMoves {
			t.Errorf("%d connections moved at %.1f times the objective, want moves: %v", n, ratio, wantMoves)
		}
	}
}

// An overloaded server loses some connections to servers with spare capacity. It keeps all if no server has any or
// set-ups are slow.
func TestOverloadedServersAreRebalanced(t *testing.T) {
	for name, c := range map[string]struct {
		otherUtilization float64
		slowSetups       bool
		wantMoves        bool
	}{
		"spare capacity":    {0.1, false, true},
		"no spare capacity": {0.95, false, false},
		"slow set-ups":      {0.1, true, false},
	} {
		g := newHarness(t, loadReportingSettings(), twoCoreServers(2))
		for range 6 {
			g.connectWithLoad(100_000, 1)
		}
		overloaded := g.b.serversByID[1]
		if overloaded.load.OwnConnections == 0 {
			overloaded = g.b.serversByID[2]
		}
		for _, s := range g.b.servers {
			s.probing, g.b.probesUnderWay = true, g.b.probesUnderWay+1
			used := float32(c.otherUtilization)
			if s == overloaded {
				used = 2
			}
			g.handle(
				ProbeResult{
					Server:     s.Server,
					Status:     outcome.OK,
					LoadReport: LoadReport{Count: 2, Values: [4]float32{0, used}},
				},
			)
		}
		for range 30 {
			if c.slowSetups {
				g.b.recordSetup(outcome.OK, g.b.settings.Classes[0].LatencyObjective)
			}
		}
		n := len(actionsOf[MoveConnection](g.advance(tickInterval)))
		if more := len(actionsOf[MoveConnection](g.advance(tickInterval * 4))); (n > 0) != c.wantMoves || n == 6 ||
			more != 0 {
			t.Errorf("%s: %d of 6 connections moved at the first tick, %d later, want moves: %v, never all, none later",
				name, n, more, c.wantMoves)
		}
	}
}

// Where servers report loads, connections leave a draining server gradually while other servers have spare capacity,
// and none leave a Ready server. Resumable connections are left to the caller's drain plan. If the spare capacity is
// used up or unknown, all connections stay until the server stops.
func TestDrainingServersAreDrainedGradually(t *testing.T) {
	for name, c := range map[string]struct {
		settings  Settings
		load      float64
		wantMoves bool
	}{
		"spare capacity":     {loadReportingSettings(), 1000, true},
		"no spare capacity":  {loadReportingSettings(), 84_000, false},
		"loads not reported": {testSettings(), 1000, false},
	} {
		g := newHarness(t, c.settings, twoCoreServers(2))
		for range 40 {
			g.next++
			server := uint32(1 + g.next%2)
			g.handle(
				ExistingConnection{
					Request: Request{ID: g.next, LoadHint: c.load, HasLoadHint: true, Resumable: g.next == 1},
					Server:  server,
				},
			)
		}
		draining, ready := g.b.serversByID[2], g.b.serversByID[1]
		before := len(draining.connections)
		list := twoCoreServers(2)
		list[1].State = Draining
		g.handle(ServerListUpdate{Kind: UpdateDelta, Entries: list[1:]})
		first, later := len(actionsOf[MoveConnection](g.advance(tickInterval))), 0
		for range 60 {
			later += len(actionsOf[MoveConnection](g.advance(tickInterval)))
		}
		left := len(draining.connections)
		asWanted := left == before
		if c.wantMoves {
			asWanted = first <= before/2 && left == 1 && draining.connections[0].resumable
		}
		if !asWanted || len(ready.connections) != 20 {
			t.Errorf("%s: %d moved at the first tick, %d later, %d of %d left; want moves: %v",
				name, first, later, left, before, c.wantMoves)
		}
	}
}

// If a connection must leave its server and is resumable, its client is directed to a server that a new request could
// get: not the old one, nor one that is warming up, paused or in another zone. A healthy server may keep a connection
// that is allowed to stay.
func TestMoveRequested(t *testing.T) {
	moves := func(g *harness, id uint32, sameServerAllowed bool) []MoveConnection {
		return actionsOf[MoveConnection](g.handle(MoveRequested{ID: id, SameServerAllowed: sameServerAllowed}))
	}
	connect := func(g *harness, resumable bool) (id, server uint32) {
		g.next++
		attempts := actionsOf[StartAttempt](g.handle(Request{ID: g.next, TimeLeft: 2 * sec, Resumable: resumable}))
		if len(attempts) != 1 {
			t.Fatal("no attempt was started")
		}
		g.handle(Established{ID: g.next, Server: attempts[0].Server, SetupTime: 10 * ms})
		return g.next, attempts[0].Server
	}
	targets := map[uint32]int{}
	for i := range 200 {
		g := newHarness(t, testSettings(), serverList(5, 3))
		g.b.rng = rand.New(rand.NewPCG(uint64(i), 1))
		id, at := connect(g, true)
		g.b.serversByID[at].State = Draining
		warmingUp, paused := 1+at%5, 1+(at+1)%5
		g.b.serversByID[warmingUp].StartedAt = g.now
		g.b.serversByID[paused].pausedUntil = g.now + sec
		all := moves(g, id, false)
		if len(all) != 1 || !all[0].HasNextServer {
			t.Fatalf("moves %+v, want one with a next server", all)
		}
		next := all[0].NextServer
		if next == at || next == warmingUp || next == paused || next > 100 {
			t.Fatalf("moved from server %d to %d, want another of the home zone than %d, warming up, and %d, paused",
				at, next, warmingUp, paused)
		}
		targets[next]++
		if actions := g.handle(MoveRequested{ID: id}); len(actions) != 0 {
			t.Fatalf("actions for a second MoveRequested: %+v, want none", actions)
		}
		if actions := g.endAttempt(id, at, 0, outcome.Cancelled); len(actions) != 0 || len(g.b.requests) != 0 ||
			g.b.serversByID[at].pendingAttempts+g.b.serversByID[at].closingConnections != 0 {
			t.Fatalf("after the end of the connection: actions %+v, want none, and no request or count left", actions)
		}
	}
	if len(targets) < 5 {
		t.Errorf("moves by target: %v, want all 5 servers of the home zone", targets)
	}

	g := newHarness(t, testSettings(), serverList(3, 0))
	id, at := connect(g, true)
	if all := moves(g, id, true); len(all) != 1 || all[0].NextServer != at || !all[0].HasNextServer {
		t.Errorf("moves %+v, want one to the same server, which is healthy", all)
	}
	id, at = connect(g, true)
	g.b.serversByID[at].State = Draining
	if all := moves(g, id, true); len(all) != 1 || all[0].NextServer == at {
		t.Errorf("moves %+v, want one away from the draining server", all)
	}
	id, _ = connect(g, false)
	if all := moves(g, id, false); len(all) != 1 || all[0].HasNextServer {
		t.Errorf("moves of a client that is not resumable: %+v, want no next server", all)
	}
	g = newHarness(t, testSettings(), serverList(1, 0))
	id, _ = connect(g, true)
	if all := moves(g, id, false); len(all) != 1 || all[0].HasNextServer {
		t.Errorf("moves with no other server: %+v, want no next server", all)
	}
}
