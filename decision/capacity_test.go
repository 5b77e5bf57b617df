package decision

import (
	"math"
	"slices"
	"testing"

	"spurspread/decision/latency"
	"spurspread/decision/outcome"
	"spurspread/decision/slowstart"
)

// All balancers together do not overload a restarted server, however many requests come.
func TestSlowStartBudget(t *testing.T) {
	g := newHarness(t, testSettings(), serverList(8, 0))
	for range 400 { // 20 a second for 20 s: 2.5 a second for each server
		g.now += 50 * ms
		g.connect()
		g.handle(TimerFired{tickTimer})
	}
	g.handle(
		ServerListUpdate{Kind: UpdateDelta, Entries: []ServerEntry{{Server: 1, State: Ready, StartedAt: g.now}}},
	)
	for s := uint32(2); s <= 8; s++ {
		g.handle(ServerListUpdate{Kind: UpdateDelta, Entries: []ServerEntry{{Server: s, State: Removed}}})
	}
	// In 5 s with 200 requests a second the server may get OverloadFactor times its warming capacity and no more.
	got := 0
	for range 1000 {
		g.now += 5 * ms
		if _, s := g.request(); s == 1 {
			got++
		}
	}
	limit := 2.5 * 0.4 * slowstart.WarmUpRate * 5
	if got == 0 || float64(got) > limit {
		t.Fatalf("%d sent in 5 s, at most %.0f allowed", got, limit)
	}
}

// A server of another zone that warms up gets a small part of its budget, by its weight, and only what the home
// zone has no capacity for.
func TestLittleSpilloverToServersInSlowStart(t *testing.T) {
	sent := func(zone uint32, weight float64) int {
		g := newHarness(t, testSettings(), serverList(4, 4))
		g.connectMany(200)
		g.advance(sec)
		g.handle(ServerListUpdate{Kind: UpdateFull, Entries: []ServerEntry{
			{Server: 200, Zone: zone, Weight: weight, State: Ready, StartedAt: g.now},
			{Server: 201, Zone: zone, Weight: 4 - weight, State: Removed},
		}})
		g.b.meanWeight = 2
		n := 0
		for range 200 {
			g.now += 50 * ms
			if _, s := g.request(); s != 0 {
				n++
			}
		}
		return n
	}
	home, other, large := sent(0, 2), sent(1, 2), sent(1, 4)
	if other == 0 || other > home/2 || large <= other {
		t.Errorf("%d to the home zone, %d to another, %d to a large server", home, other, large)
	}
}

// A light connection costs as much to set up as one of mean work.
func TestLightConnectionsChargeAFullToken(t *testing.T) {
	g := newHarness(t, testSettings(), serverList(1, 0))
	s := &server{}
	s.StartedAt, s.budget.GrantsLeft = g.now, 1
	g.b.spendConnectionBudget(g.now, s, &request{relativeWork: 0.05})
	if s.budget.GrantsLeft > 0 {
		t.Fatalf("%v grants left", s.budget.GrantsLeft)
	}
}

// Connections are admitted at a rate by each server's weight; those beyond the home zone's go to other zones. The
// rate is the fleet's, divided by its balancers, but for a minimum share.
func TestServersReceiveConnectionsAtALimitedRate(t *testing.T) {
	for balancers, part := range map[int]float64{
		0: 1, 1: 1, 2: 1. / 2, 3: 1. / 3, 4: slowstart.MinFleetShare, 300: slowstart.MinFleetShare,
	} {
		list := serverList(2, 1)
		list[0].Weight, list[1].Weight, list[2].Weight = 3, 1, 2
		settings := testSettings()
		settings.Balancers = balancers
		g := newHarness(t, settings, list)
		g.b.setups.Limit = math.Inf(1)
		got := map[uint32]float64{}
		sendMany := func() {
			for range 100 {
				_, s := g.requestNow()
				got[s]++
			}
		}
		for _, s := range g.b.servers {
			s.budget.Tokens = 0 // as long after the start
		}
		sendMany()
		if got[1] != 1.5*slowstart.Burst*part || got[2] != slowstart.Burst/2*part ||
			got[101] != slowstart.Burst*part ||
			got[0] == 0 {
			t.Fatalf("%d balancers, at first %v", balancers, got)
		}
		clear(got)
		g.now += sec
		sendMany()
		if n := got[1] + got[2] + got[101]; n < 3*slowstart.Rate*part-3 || n > 3*slowstart.Rate*part {
			t.Fatalf("%d balancers, after a second %v", balancers, got)
		}
	}
}

// A balancer that has just started gets back the connections it had before: it may send servers more than a burst,
// until one is late.
func TestNewBalancerMaySendMore(t *testing.T) {
	for late, want := range map[bool]int{
		false: 2 * slowstart.StartupTokens,
		true:  2 * slowstart.Burst * slowstart.MinFleetShare,
	} {
		g := newHarness(t, testSettings(), serverList(2, 0))
		g.b.setups.Limit = math.Inf(1)
		if late {
			g.handle(
				ConnectionMetric{
					Server: 1,
					Kind:   MessageLatencyMetric,
					Value:  (latency.SlowThreshold + latency.MoveThreshold) / 2 * 100,
				},
			)
			g.b.serversByID[1].latency.ConnectionCapacity = math.Inf(1)
			g.b.markConnected(g.now, g.b.serversByID[1])
		}
		n := 0
		for range 100 {
			if _, s := g.requestNow(); s != 0 {
				n++
			}
		}
		if n != want {
			t.Errorf("late %v: %d, want %d", late, n, want)
		}
	}
}

// A server whose messages are late gets no more connections than it had, until they have been in time for a while.
func TestLateServerKeepsItsConnectionLimit(t *testing.T) {
	g := newHarness(t, testSettings(), serverList(2, 0))
	byServer := g.connectMany(40)
	s := g.b.serversByID[1]
	before := len(s.connections)
	g.reportLatency(byServer[1], 1, (latency.SlowThreshold+latency.MoveThreshold)/2*100)
	g.now += 2 * latency.ReportLifetime
	g.b.markConnected(g.now, s)
	g.connectMany(40)
	if len(s.connections) != before {
		t.Fatalf("%d connections before, %d after", before, len(s.connections))
	}
	g.advance(4 * sec)
	if g.connectMany(40); len(s.connections) <= before {
		t.Fatalf("still %d", before)
	}
}

// When a server is lost, its clients reconnect in addition to the usual ones, and are admitted more slowly. Those that
// another balancer moved are not: their servers are still present.
func TestReconnectsAfterServerLossAreAdmittedSlowly(t *testing.T) {
	g := newHarness(t, testSettings(), serverList(4, 0))
	g.connectMany(100)
	g.advance(sec)
	if cost := g.reconnectCost(); cost != 1 {
		t.Fatalf("%v with all servers present", cost)
	}
	lost := slices.Clone(g.b.serversByID[4].connections)
	for _, r := range lost {
		g.handle(AttemptEnded{ID: r.id, Server: 4, Status: outcome.Reset, RequestClosed: true})
	}
	g.handle(ServerListUpdate{Kind: UpdateDelta, Entries: []ServerEntry{{Server: 4, State: Removed}}})
	for i := range lost {
		if cost := g.reconnectCost(); cost != 2.5 {
			t.Fatalf("%v for number %d of %d that were lost", cost, i, len(lost))
		}
	}
	if cost := g.reconnectCost(); cost != 1 {
		t.Errorf("%v for one more than were lost", cost)
	}
}
