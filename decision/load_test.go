package decision

import (
	"math"
	"testing"

	"spurspread/decision/outcome"
)

// A group stays on one server while the reported loads show spare capacity there. It is spread before the server is
// overloaded.
func TestAGroupIsSpreadBeforeItsServerIsFull(t *testing.T) {
	for _, load := range []float64{100_000, 10_000} { // 0.1 core and 0.01 core
		g := newHarness(t, loadReportingSettings(), twoCoreServers(4))
		loads := map[uint32]float64{}
		for range 30 {
			loads[g.connectWithLoad(load, 77)] += load / 1e6
		}
		for s, carried := range loads {
			if utilization := carried / 2; utilization > 0.75 {
				t.Errorf("load %v: server %d has a utilization of %.2f, want at most 0.75; by server: %v",
					load, s, utilization, loads)
			}
		}
		if load < 50_000 && len(loads) != 1 {
			t.Errorf("light connections of one group on %d servers, want 1", len(loads))
		}
	}
}

// A connection counts by its load: after a heavy one, the next connections go to another server.
func TestHeavyConnectionCountsByItsLoad(t *testing.T) {
	g := newHarness(t, loadReportingSettings(), twoCoreServers(2))
	for i := range uint64(8) {
		g.connectWithLoad(50_000, i%2+1) // a usual load
	}
	heavy, next := g.connectWithLoad(900_000, 1), map[uint32]int{}
	for range 20 {
		next[g.connectWithLoad(5_000, 0)]++
	}
	if next[heavy] > 2 {
		t.Fatalf("%d of 20 connections went to the server with the heavy one, want at most 2", next[heavy])
	}
}

// A weight that falls with use shows the connections of other balancers; the server's size stays the same.
func TestDynamicWeights(t *testing.T) {
	g := newHarness(t, loadReportingSettings(), twoCoreServers(3))
	for i := range uint64(10) {
		g.connectWithLoad(60_000, i%3+1)
	}
	before := g.b.fleetSize.PresentFraction()
	list := twoCoreServers(3)
	list[0].Weight = 2 / (1 + 8.) // eight connections for each of its two cores
	g.handle(ServerListUpdate{Kind: UpdateDelta, Entries: list[:1]})
	g.advance(tickInterval)
	s := g.b.serversByID[1]
	if s.Weight != 2 || g.b.fleetSize.PresentFraction() != before ||
		s.load.OtherConnections+float64(s.load.OwnConnections) != 16 {
		t.Fatalf(
			"size %v, present %v, %v connections of others and %d own",
			s.Weight,
			g.b.fleetSize.PresentFraction(),
			s.load.OtherConnections,
			s.load.OwnConnections,
		)
	}
	got := map[uint32]int{}
	for range 6 {
		got[g.connectWithLoad(60_000, 50)]++
	}
	if got[1] > 1 {
		t.Fatalf("the server with connections of other balancers got %d of 6, want at most 1", got[1])
	}
}

// Load reports are requested as far as the report budget allows. They show load that no connection reports, such as
// that of another program on the machine.
func TestLoadReportsKeepWithinProbeBudget(t *testing.T) {
	g := newHarness(t, loadReportingSettings(), twoCoreServers(4))
	if n := len(actionsOf[ProbeServer](g.advance(20 * sec))); n != 0 {
		t.Fatalf("%d probes without any request that adds to the budget, want none", n)
	}
	probes, requests := 0, 0
	for i := range 100 {
		g.connectWithLoad(1000, uint64(i%5+1))
		requests++
		for _, p := range actionsOf[ProbeServer](g.advance(sec)) {
			probes++
			load := LoadReport{Count: 2, Values: [4]float32{0, 0.1}}
			if p.Server == 2 {
				load.Values[1] = 0.95 // another program uses the machine
			}
			g.handle(ProbeResult{Server: p.Server, Status: outcome.OK, LoadReport: load})
		}
	}
	if low, high := requests*5/2, requests*3+4; probes < low || probes > high {
		t.Errorf("%d probes for %d requests, want %d to %d", probes, requests, low, high)
	}
	got := map[uint32]int{}
	for i := range uint64(40) {
		got[g.connectWithLoad(20_000, 100+i)]++
	}
	if got[2] > 2 {
		t.Errorf("the server that reports a utilization of 0.95 got %d of 40 connections, want at most 2", got[2])
	}
	none := loadReportingSettings()
	none.LoadReportColumns = nil
	g = newHarness(t, none, twoCoreServers(4))
	for range 20 {
		g.connectWithLoad(1000, 1)
		if n := len(actionsOf[ProbeServer](g.advance(sec))); n != 0 {
			t.Fatalf("%d probes although reports have no utilization, want none", n)
		}
	}
}

// While servers are short of capacity, only requests of the highest priority get an attempt.
func TestHighestPriorityGetsTheLastCapacity(t *testing.T) {
	s := loadReportingSettings()
	s.Classes = append(s.Classes, s.Classes[0])
	s.Classes[1].RelativePriority = 0.2
	g := newHarness(t, s, twoCoreServers(1))
	for range 11 {
		g.connectWithLoad(100_000, 1)
	}
	for class, want := range []int{1, 0} {
		g.next++
		actions := g.handle(
			Request{ID: g.next, TimeLeft: 2 * sec, Class: class, Group: 1, LoadHint: 100_000, HasLoadHint: true},
		)
		if n := len(actionsOf[StartAttempt](actions)); n != want {
			t.Errorf("class %d: %d attempts, want %d", class, n, want)
		}
	}
}

// A balancer that has just started requests load reports of several servers at once, as far as its budget allows: one
// at a time, they would arrive later than its first clients.
func TestFirstLoadReportsAreRequestedAtOnce(t *testing.T) {
	g := newHarness(t, loadReportingSettings(), twoCoreServers(4))
	for range 4 {
		g.next++
		g.handle(Request{ID: g.next, TimeLeft: 2 * sec, LoadHint: 1000, HasLoadHint: true})
	}
	if n := len(actionsOf[ProbeServer](g.advance(tickInterval))); n < 3 {
		t.Fatalf("reports of %d of 4 servers requested, want at least 3", n)
	}
}

// A connection without a group adds no group cost. A connection with more load than any server's capacity is placed on
// an idle server.
func TestUngroupedAndHeavyConnections(t *testing.T) {
	g := newHarness(t, loadReportingSettings(), twoCoreServers(1))
	for range 13 {
		g.connectWithLoad(100_000, 0) // with groups, there would be no capacity for the last
	}
	g = newHarness(t, loadReportingSettings(), twoCoreServers(1))
	if g.connectWithLoad(3_000_000, 1) != 1 {
		t.Error("a connection of 3 cores was not placed on an idle server")
	}
}

// A load report shows a utilization only if it has the column and a finite value that is not negative.
func TestLoadReportsWithoutUtilization(t *testing.T) {
	s := testSettings()
	s.LoadReportColumns = []string{"concurrent", "x0"}
	g := newHarness(t, s, serverList(1, 0))
	nan, inf := float32(math.NaN()), float32(math.Inf(1))
	for _, r := range []LoadReport{
		{},
		{Count: 1},
		{Count: 2, Values: [4]float32{0, -1}},
		{Count: 2, Values: [4]float32{0, nan}},
		{Count: 2, Values: [4]float32{0, inf}},
	} {
		if v, reported := g.b.reportedUtilization(r); reported {
			t.Errorf("load report %v: utilization %v, want none", r, v)
		}
	}
	report := LoadReport{Count: 2, Values: [4]float32{0, 1.25}}
	if v, reported := g.b.reportedUtilization(report); !reported || v != 1.25 {
		t.Errorf("utilization %v, reported %v, want 1.25", v, reported)
	}
}
