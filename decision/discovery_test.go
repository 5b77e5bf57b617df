package decision

import "testing"

// If a server has been Unhealthy for longer than longUnhealthyAfter, the requests placed then cause one poll of
// discovery. It is delayed by a time that differs between balancers, since all of them would poll together otherwise.
func TestLongUnhealthyServerCausesOnePoll(t *testing.T) {
	s := testSettings()
	s.PollDiscovery, s.AllowProbes = true, false
	g := newHarness(t, s, serverList(2, 0))
	g.handle(ServerListUpdate{Kind: UpdateDelta})
	g.now += 20 * sec
	sv := g.b.serversByID[1]
	sv.setHealth(g.now-longUnhealthyAfter-1, healthUnhealthy)
	for range 3 {
		g.next++
		if n := len(actionsOf[WatchDiscovery](g.handle(Request{ID: g.next, TimeLeft: sec}))); n != 0 {
			t.Fatalf("%d polls at once, want none: all balancers that see the same would poll together", n)
		}
	}
	if n := len(actionsOf[WatchDiscovery](g.advance(Micros(g.b.polling.SpreadTime()) + tickInterval))); n != 1 {
		t.Fatalf("%d polls within the fleet's spread time, want 1", n)
	}
}

// A fleet starts with a stored list that still has a server which was removed before the start. Whenever a balancer
// gets its first request, it sends none to that server once DrainGrace has passed, and discovery answers every
// balancer.
func TestRestartedFleetLeavesRemovedServer(t *testing.T) {
	const removed = 1
	for _, n := range []int{3, 80, 300} {
		for seed := range uint64(fleetSeeds) {
			s := testSettings()
			s.PollDiscovery, s.DrainGrace = true, 2500*ms
			m := newBalancerFleet(t, n, s, serverList(3, 3), seed)
			answered := map[int]bool{}
			m.onAction = func(i int, action Action) {
				switch action := action.(type) {
				case WatchDiscovery:
					m.after(10*ms, func() {
						answered[i] = true
						gone := []ServerEntry{{Server: removed, StableID: stableID(removed), State: Removed}}
						m.handle(i, ServerListUpdate{Kind: UpdateDelta, Entries: gone})
					})
				case StartAttempt:
					if action.Server == removed && m.now > start+s.DrainGrace {
						t.Fatalf("%d balancers, seed %d: %d sends to the removed server after %d ms",
							n, seed, i, (m.now-start)/ms)
					}
				}
			}
			for i := range n {
				firstRequest := Micros(m.balancers[i].rng.Uint64() % uint64(15*sec))
				m.after(firstRequest, func() {
					for id := range uint32(5) {
						m.handle(i, Request{ID: id, TimeLeft: 2 * sec})
					}
				})
			}
			m.run(start + 18*sec)
			if len(answered) != n {
				t.Errorf("%d balancers, seed %d: discovery has answered only %d", n, seed, len(answered))
			}
		}
	}
}
