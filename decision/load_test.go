package decision

import (
	"spurspread/decision/outcome"
	"testing"
)

// loadReportingSettings is a deployment whose servers tell the loads of connections, whose weights fall with use,
// and whose probes bring what is asked of a server over what it can do.
func loadReportingSettings() Settings {
	s := testSettings()
	s.ReportsConnectionLoad, s.DynamicWeights, s.Zones, s.Balancers = true, true, 1, 1
	s.Classes[0].RelativePriority = 1
	s.ProbeCost, s.LoadReportColumns = 0.004, []string{"depth", "x0"}
	return s
}

// twoCoreServers lists n servers of two cores each, with nothing on them.
func twoCoreServers(n int) []ServerEntry {
	list := serverList(n, 0)
	for i := range list {
		list[i].Weight = 2
	}
	return list
}

// connectWithLoad has one connection of this load and group come to stand, and returns where.
func (g *harness) connectWithLoad(load float64, group uint64) uint32 {
	g.now += 100 * ms
	g.b.setups.Limit = 100
	g.next++
	acts := g.handle(Request{ID: g.next, TimeLeft: 2 * sec, Group: group, LoadHint: load, HasLoadHint: true})
	sends := actionsOf[StartAttempt](acts)
	if len(sends) != 1 {
		g.t.Fatalf("%v", acts)
	}
	g.handle(Established{ID: g.next, Server: sends[0].Server, SetupTime: 10 * ms})
	g.handle(ConnectionMetric{ID: g.next, Server: sends[0].Server, Kind: LoadMetric, Value: load})
	return sends[0].Server
}

// A group stays together as far as its server can carry it, by the loads that are told, and no further.
func TestAGroupIsSpreadBeforeItsServerIsFull(t *testing.T) {
	for _, load := range []float64{100_000, 10_000} { // a tenth of a core each, and a hundredth
		g := newHarness(t, loadReportingSettings(), twoCoreServers(4))
		at := map[uint32]float64{}
		for range 30 {
			at[g.connectWithLoad(load, 77)] += load / 1e6
		}
		for s, carried := range at {
			if used := carried / 2; used > 0.75 {
				t.Errorf("loads of %v: server %d is asked %.2f of what it can do: %v", load, s, used, at)
			}
		}
		if load < 50_000 && len(at) != 1 {
			t.Errorf("light connections of one group on %d servers", len(at))
		}
	}
}

// A heavy connection counts for what it is, not as one of many: the next ones go elsewhere.
func TestHeavyConnectionCountsByItsLoad(t *testing.T) {
	g := newHarness(t, loadReportingSettings(), twoCoreServers(2))
	for i := range uint64(8) {
		g.connectWithLoad(50_000, i%2+1) // what a usual one is
	}
	heavy, next := g.connectWithLoad(900_000, 1), map[uint32]int{}
	for range 20 {
		next[g.connectWithLoad(5_000, 0)]++
	}
	if next[heavy] > 2 {
		t.Fatalf("%d of 20 went to the server with the heavy one", next[heavy])
	}
}

// What a weight that falls with use says of other balancers' connections, and a server's size, are two things.
func TestDynamicWeights(t *testing.T) {
	g := newHarness(t, loadReportingSettings(), twoCoreServers(3))
	for i := range uint64(10) {
		g.connectWithLoad(60_000, i%3+1)
	}
	before := g.b.fleetSize.PresentPart()
	list := twoCoreServers(3)
	list[0].Weight = 2 / (1 + 8.) // eight held for each of its two cores
	g.handle(ServerListUpdate{Kind: UpdateDelta, Entries: list[:1]})
	g.advance(tickInterval)
	s := g.b.serversByID[1]
	if s.Weight != 2 || g.b.fleetSize.PresentPart() != before ||
		s.load.OtherConnections+float64(s.load.OwnConnections) != 16 {
		t.Fatalf(
			"size %v, present %v, %v others and %d own",
			s.Weight,
			g.b.fleetSize.PresentPart(),
			s.load.OtherConnections,
			s.load.OwnConnections,
		)
	}
	got := map[uint32]int{}
	for range 6 {
		got[g.connectWithLoad(60_000, 50)]++
	}
	if got[1] > 1 {
		t.Fatalf("the server that others have filled got %d of 6", got[1])
	}
}

// Reports are asked for as far as their price goes, and tell of load that nobody else tells of.
func TestLoadReportsStayWithinProbeBudget(t *testing.T) {
	g := newHarness(t, loadReportingSettings(), twoCoreServers(4))
	if n := len(actionsOf[ProbeServer](g.advance(20 * sec))); n != 0 {
		t.Fatalf("%d probes with no request to pay for them", n)
	}
	probes, requests := 0, 0
	for i := range 100 {
		g.connectWithLoad(1000, uint64(i%5+1))
		requests++
		for _, p := range actionsOf[ProbeServer](g.advance(sec)) {
			probes++
			load := LoadReport{Count: 2, Values: [4]float32{0, 0.1}}
			if p.Server == 2 {
				load.Values[1] = 0.95 // another program has the machine
			}
			g.handle(ProbeResult{Server: p.Server, Status: outcome.OK, LoadReport: load})
		}
	}
	if least, most := requests*5/2, requests*3+4; probes < least || probes > most {
		t.Errorf("%d probes for %d requests, want %d to %d", probes, requests, least, most)
	}
	got := map[uint32]int{}
	for i := range uint64(40) {
		got[g.connectWithLoad(20_000, 100+i)]++
	}
	if got[2] > 2 {
		t.Errorf("the server whose reports tell 0.95 got %d of 40", got[2])
	}
	none := loadReportingSettings()
	none.LoadReportColumns = nil
	g = newHarness(t, none, twoCoreServers(4))
	for range 20 {
		g.connectWithLoad(1000, 1)
		if n := len(actionsOf[ProbeServer](g.advance(sec))); n != 0 {
			t.Fatalf("%d probes where no report says what is asked", n)
		}
	}
}

// While servers are short of room, what is worth most still gets in, and the rest is refused, not held until its end.
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
		acts := g.handle(
			Request{ID: g.next, TimeLeft: 2 * sec, Class: class, Group: 1, LoadHint: 100_000, HasLoadHint: true},
		)
		if n := len(actionsOf[StartAttempt](acts)); n != want {
			t.Errorf("class %d: %d sent", class, n)
		}
	}
}

// A server that is asked for more than it can do loses connections to those that have room, and keeps the rest;
// where none has room, or set-ups are slow, it keeps all.
func TestOverloadedServersAreRebalanced(t *testing.T) {
	for name, c := range map[string]struct {
		other float64
		slow  bool
		some  bool
	}{"room": {0.1, false, true}, "none": {0.95, false, false}, "slow set-ups": {0.1, true, false}} {
		g := newHarness(t, loadReportingSettings(), twoCoreServers(2))
		for range 6 {
			g.connectWithLoad(100_000, 1)
		}
		full := g.b.serversByID[1]
		if full.load.OwnConnections == 0 {
			full = g.b.serversByID[2]
		}
		for _, s := range g.b.servers {
			s.probing, g.b.probesUnderWay = true, g.b.probesUnderWay+1
			used := float32(c.other)
			if s == full {
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
			if c.slow {
				g.b.recordSetup(outcome.OK, g.b.settings.Classes[0].LatencyObjective)
			}
		}
		n := len(actionsOf[MoveConnection](g.advance(tickInterval)))
		if more := len(actionsOf[MoveConnection](g.advance(tickInterval * 4))); (n > 0) != c.some || n == 6 ||
			more != 0 {
			t.Errorf("%s: %d moved, then %d", name, n, more)
		}
	}
}

// A balancer that has just started asks all servers at once, as far as its requests pay for it: the crowd that it
// is sent comes before a round of one at a time would end.
func TestFirstLoadReportsAreRequestedAtOnce(t *testing.T) {
	g := newHarness(t, loadReportingSettings(), twoCoreServers(4))
	for range 4 {
		g.next++
		g.handle(Request{ID: g.next, TimeLeft: 2 * sec, LoadHint: 1000, HasLoadHint: true})
	}
	if n := len(actionsOf[ProbeServer](g.advance(tickInterval))); n < 3 {
		t.Fatalf("%d of 4 servers asked", n)
	}
}

// A connection of no group brings no group's cost with it, and one that no server can do well is not refused by an
// idle one.
func TestUngroupedAndHuge(t *testing.T) {
	g := newHarness(t, loadReportingSettings(), twoCoreServers(1))
	for range 13 {
		g.connectWithLoad(100_000, 0) // with groups, the last would not fit
	}
	g = newHarness(t, loadReportingSettings(), twoCoreServers(1))
	if g.connectWithLoad(3_000_000, 1) != 1 {
		t.Error("refused by an idle server")
	}
}

// Where loads are told, what stands on a draining server leaves it bit by bit while others have room, and nothing
// leaves one that serves. A connection that can be told where to come is left to its own plan. Where nobody knows
// of room, or there is none, all stay until the server stops: as many leave at once as a fleet has balancers,
// whatever each of them holds.
func TestDrainingServersAreDrainedGradually(t *testing.T) {
	for name, c := range map[string]struct {
		set  Settings
		load float64
		want bool
	}{"room": {loadReportingSettings(), 1000, true}, "no room": {loadReportingSettings(), 84_000, false}, "not told": {testSettings(), 1000, false}} {
		g := newHarness(t, c.set, twoCoreServers(2))
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
		drains, serves := g.b.serversByID[2], g.b.serversByID[1]
		was := len(drains.connections)
		list := twoCoreServers(2)
		list[1].State = Draining
		g.handle(ServerListUpdate{Kind: UpdateDelta, Entries: list[1:]})
		first, all := len(actionsOf[MoveConnection](g.advance(tickInterval))), 0
		for range 60 {
			all += len(actionsOf[MoveConnection](g.advance(tickInterval)))
		}
		left := len(drains.connections)
		if c.want && (first > was/2 || left != 1 || !drains.connections[0].resumable) || !c.want && left != was ||
			len(serves.connections) != 20 {
			t.Errorf("%s: %d moved at once, %d later, %d of %d left", name, first, all, left, was)
		}
	}
}
