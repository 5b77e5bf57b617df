package decision

import (
	"math"
	"testing"

	"spurspread/decision/outcome"
	"spurspread/decision/slowstart"
)

func TestPickPrefersHomeZoneAndSpreads(t *testing.T) {
	g := newHarness(t, testSettings(), serverList(4, 4))
	got := map[uint32]int{}
	for range 4000 {
		id, s := g.request()
		got[s]++
		g.handle(RequestCancelled{id})
		g.endAttempt(id, s, 0, outcome.Cancelled)
	}
	for s := uint32(1); s <= 4; s++ {
		if got[s] < 850 || got[s] > 1150 {
			t.Errorf("server %d got %d of 4000 requests, want about 1000", s, got[s])
		}
	}
}

func TestPickByHealth(t *testing.T) {
	g := newHarness(t, testSettings(), serverList(2, 1))
	r := &request{id: 99, class: g.b.settings.Classes[0]}
	g.b.serversByID[1].setHealth(g.now, healthUnhealthy)
	g.b.serversByID[2].setHealth(g.now, healthPending)
	if s := g.b.pickServer(g.now, r); s.Server != 101 {
		t.Errorf("picked %d while the home zone has only worse ranks, want 101", s.Server)
	}
	g.b.serversByID[101].setHealth(g.now, healthUnhealthy)
	for _, id := range []uint32{1, 2} {
		budget := &g.b.serversByID[id].budget
		budget.GrantsLeft = 1
		budget.NextSlot = math.MaxInt64 // no slot adds grants
	}
	if s := g.b.pickServer(g.now, r); s.Server != 2 {
		t.Errorf("picked %d, want the Pending server 2", s.Server)
	}
	g.b.serversByID[2].setHealth(g.now, healthUnhealthy)
	if s := g.b.pickServer(g.now, r); s == nil {
		t.Error("no server picked while all are Unhealthy")
	}
}

func TestDrainingAndRemovedServersGetNoRequests(t *testing.T) {
	g := newHarness(t, testSettings(), serverList(3, 0))
	g.handle(
		ServerListUpdate{
			Kind:    UpdateDelta,
			Entries: []ServerEntry{{Server: 1, State: Draining}, {Server: 2, State: Removed}},
		},
	)
	for range 50 {
		if id, s := g.request(); s != 3 {
			t.Fatalf("request %d went to server %d, want 3", id, s)
		}
	}
	g.handle(ServerListUpdate{Kind: UpdateFull, Entries: nil})
	if _, s := g.request(); s != 0 {
		t.Fatalf("request sent to server %d, want none: the full list is empty", s)
	}
}

// The shared work of a group is done once per server, so a server with connections of a group gets the group's other
// connections while it has capacity.
func TestGroupsAreKeptTogether(t *testing.T) {
	g := newHarness(t, testSettings(), serverList(4, 0))
	byGroup := map[uint64]map[uint32]int{}
	for i := range 400 {
		group := uint64(1 + i%20)
		g.next++
		for _, s := range g.b.servers {
			s.budget.Tokens, s.budget.RefilledAt = slowstart.Burst, g.now
		}
		attempts := actionsOf[StartAttempt](g.handle(Request{ID: g.next, TimeLeft: 2 * sec, Group: group}))
		g.handle(Established{ID: g.next, Server: attempts[0].Server, SetupTime: 10 * ms})
		if byGroup[group] == nil {
			byGroup[group] = map[uint32]int{}
		}
		byGroup[group][attempts[0].Server]++
	}
	pairs := 0
	for _, servers := range byGroup {
		pairs += len(servers)
	}
	if pairs > 50 {
		t.Errorf("20 groups on %d pairs of group and server, want at most 50", pairs)
	}
	for _, s := range g.b.servers {
		if n := len(s.connections); n < 50 || n > 150 {
			t.Errorf("server %d has %d of 400 connections, want 50 to 150", s.Server, n)
		}
	}
}

// Servers get connections in proportion to their weights.
func TestPickByWeight(t *testing.T) {
	list := serverList(2, 0)
	list[0].Weight, list[1].Weight = 3, 1
	g := newHarness(t, testSettings(), list)
	got := map[uint32]int{}
	for range 4000 {
		id, s := g.request()
		got[s]++
		g.handle(RequestCancelled{id})
		g.endAttempt(id, s, 0, outcome.Cancelled)
	}
	if got[1] < 2850 || got[1] > 3150 {
		t.Errorf("of 4000 requests the server of weight 3 got %d, want 2850 to 3150; that of weight 1 got %d",
			got[1], got[2])
	}
}

// In passthrough mode two balancers select the same server for a key.
func TestPassthroughSelectsByKey(t *testing.T) {
	s := testSettings()
	s.Passthrough = true
	a, b := New(s, 1, start), New(s, 2, start)
	a.Handle(start, ServerListUpdate{Kind: UpdateCached, Entries: serverList(9, 3)}, nil)
	b.Handle(start, ServerListUpdate{Kind: UpdateCached, Entries: serverList(9, 3)}, nil)
	seen := map[uint32]bool{}
	for k := uint32(1); k < 60; k++ {
		sa := actionsOf[StartAttempt](a.Handle(start, Request{ID: k, TimeLeft: sec, Key: uint64(k) * 7919}, nil))
		sb := actionsOf[StartAttempt](
			b.Handle(start, Request{ID: k, TimeLeft: sec, Key: uint64(k) * 7919, MidConnection: true}, nil),
		)
		if sa[0].Server != sb[0].Server {
			t.Fatalf("key %d: one balancer selects server %d, the other %d", k, sa[0].Server, sb[0].Server)
		}
		seen[sa[0].Server] = true
	}
	if len(seen) < 6 {
		t.Fatalf("59 keys select %d servers, want at least 6", len(seen))
	}
}
