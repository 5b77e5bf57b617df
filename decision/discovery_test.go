package decision

import "testing"

func TestLongUnhealthyRefreshesServerListAtPlacement(t *testing.T) {
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
			t.Fatalf("%d polls at once, in step with all balancers that saw the same", n)
		}
	}
	if n := len(actionsOf[WatchDiscovery](g.advance(Micros(g.b.polling.SpreadTime()) + tickInterval))); n != 1 {
		t.Fatalf("%d polls within the fleet's spread time", n)
	}
}
