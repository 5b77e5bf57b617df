package decision

import (
	"math"
	"slices"
	"testing"

	"spurspread/decision/latency"
	"spurspread/decision/outcome"
	"spurspread/decision/slowstart"
)

// A restarted server gets no more than its slow-start budget, however many requests arrive.
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
	// In 5 s of 200 requests per second the server may get at most OverloadFactor times its capacity while warming up.
	got := 0
	for range 1000 {
		g.now += 5 * ms
		if _, s := g.request(); s == 1 {
			got++
		}
	}
	limit := 2.5 * 0.4 * slowstart.WarmUpRate * 5
	if got == 0 || float64(got) > limit {
		t.Fatalf("%d requests sent in 5 s, want 1 to %.0f", got, limit)
	}
}

// A server of another zone that warms up gets only requests for which the home zone has no capacity, and only a small
// part of its slow-start budget, in proportion to its weight.
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
		t.Errorf("%d to the home zone, %d to another, want 1 to half as many; %d to a large server, want more",
			home, other, large)
	}
}

// A connection of little work takes the same part of the budget as one of mean work, since its set-up costs the same.
func TestLightConnectionsChargeAFullToken(t *testing.T) {
	g := newHarness(t, testSettings(), serverList(1, 0))
	s := &server{}
	s.StartedAt, s.budget.GrantsLeft = g.now, 1
	g.b.spendConnectionBudget(g.now, s, &request{relativeWork: 0.05})
	if s.budget.GrantsLeft > 0 {
		t.Fatalf("%v grants left, want the only one spent", s.budget.GrantsLeft)
	}
}

// Each server gets connections at a limited rate, in proportion to its weight. Connections beyond the capacity of the
// home zone go to other zones. The fleet's rate is divided by the number of balancers, down to a minimum share.
func TestServersReceiveConnectionsAtALimitedRate(t *testing.T) {
	for balancers, part := range map[int]float64{
		0: 1, 1: 1, 2: 1. / 2, 3: 1. / 3, 4: slowstart.MinFleetShare, 300: slowstart.MinFleetShare,
	} {
		list := serverList(2, 1)
		list[0].Weight, list[1].Weight, list[2].Weight = 3, 1, 2
		settings := testSettings()
		settings.Balancers = balancers
		g := newHarness(t, settings, list)
		g.b.setupLimiter.Limit = math.Inf(1)
		got := map[uint32]float64{}
		sendMany := func() {
			for range 100 {
				_, s := g.requestNow()
				got[s]++
			}
		}
		for _, s := range g.b.servers {
			s.budget.Tokens = 0 // the startup tokens are used up
		}
		sendMany()
		if got[1] != 1.5*slowstart.Burst*part || got[2] != slowstart.Burst/2*part ||
			got[101] != slowstart.Burst*part ||
			got[0] == 0 {
			t.Fatalf("%d balancers, requests by server in the first burst: %v, want bursts in proportion to weights",
				balancers, got)
		}
		clear(got)
		g.now += sec
		sendMany()
		if n := got[1] + got[2] + got[101]; n < 3*slowstart.Rate*part-3 || n > 3*slowstart.Rate*part {
			t.Fatalf("%d balancers, requests by server after a second: %v, want %v in all",
				balancers, got, 3*slowstart.Rate*part)
		}
	}
}

// The clients of the previous process reconnect to a balancer that has just started, so it may send servers more than a
// burst, until the messages of one are late.
func TestNewBalancerMaySendMore(t *testing.T) {
	for late, want := range map[bool]int{
		false: 2 * slowstart.StartupTokens,
		true:  2 * slowstart.Burst * slowstart.MinFleetShare,
	} {
		g := newHarness(t, testSettings(), serverList(2, 0))
		g.b.setupLimiter.Limit = math.Inf(1)
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
			t.Errorf("with a late server %v: %d attempts, want %d", late, n, want)
		}
	}
}

// A server whose messages are late gets no more connections than it had, until it has reported no latency for a while.
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
		t.Fatalf("%d connections after 40 more requests, want still %d", len(s.connections), before)
	}
	g.advance(4 * sec)
	if g.connectMany(40); len(s.connections) <= before {
		t.Fatalf("still %d connections after 4 s without latency reports, want more", before)
	}
}

// When a server is lost, its clients reconnect in addition to the usual arrivals, so they are admitted more slowly, up
// to the number of clients that were lost. While all servers are present, as for clients that were moved, reconnecting
// clients are admitted as usual.
func TestReconnectsAfterServerLossAreAdmittedSlowly(t *testing.T) {
	g := newHarness(t, testSettings(), serverList(4, 0))
	g.connectMany(100)
	g.advance(sec)
	if cost := g.reconnectCost(); cost != 1 {
		t.Fatalf("admission cost %v with all servers present, want 1", cost)
	}
	lost := slices.Clone(g.b.serversByID[4].connections)
	for _, r := range lost {
		g.handle(AttemptEnded{ID: r.id, Server: 4, Status: outcome.Reset, RequestClosed: true})
	}
	g.handle(ServerListUpdate{Kind: UpdateDelta, Entries: []ServerEntry{{Server: 4, State: Removed}}})
	for i := range lost {
		if cost := g.reconnectCost(); cost != 2.5 {
			t.Fatalf("admission cost %v for reconnect %d of %d that were lost, want 2.5", cost, i, len(lost))
		}
	}
	if cost := g.reconnectCost(); cost != 1 {
		t.Errorf("admission cost %v for one reconnect more than were lost, want 1", cost)
	}
}
