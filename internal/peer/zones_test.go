package peer

import (
	"bytes"
	"errors"
	"net/netip"
	"testing"

	"spurspread/decision/membership"
	"spurspread/decision/zonedirectory"
	"spurspread/internal/peer/packet"
)

var (
	east = zonedirectory.Site{Region: "east", Zone: "east-1"}
	west = zonedirectory.Site{Region: "west", Zone: "west-1"}
)

// startInZone starts a member of a zone.
func (s *harness) startInZone(name string, site zonedirectory.Site, seeds ...netip.AddrPort) *Host {
	s.t.Helper()
	return s.start(s.config(name, site, seeds...))
}

func (s *harness) config(name string, site zonedirectory.Site, seeds ...netip.AddrPort) Config {
	s.t.Helper()
	return Config{
		Name:            name,
		Listen:          netip.MustParseAddrPort("127.0.0.1:0"),
		Seeds:           seeds,
		Keyring:         newKeyring(s.t, 1),
		RandomSeed:      uint64(len(name)),
		Site:            site,
		ExpectedMembers: 4,
	}
}

// A member with zones and one without use different versions of the encoding: each counts the other's datagrams as
// OtherVersion and accepts none of them.
func TestOtherVersion(t *testing.T) {
	s := newHarness(t)
	flat := s.host("flat", 1)
	zoned := s.startInZone("zoned", east, flat.Addr())
	s.do(func() { flat.SetSeeds([]netip.AddrPort{zoned.Addr()}) })
	s.await(
		"both count the other's datagrams",
		func() bool { return flat.Counts().OtherVersion > 1 && zoned.Counts().OtherVersion > 1 },
	)
	s.do(func() {
		if f, z := flat.Counts(), zoned.Counts(); f.Received+f.Malformed+z.Received+z.Malformed != 0 ||
			len(flat.View()) != 1 ||
			len(zoned.View()) != 1 {
			t.Errorf("counts %+v and %+v, want nothing received or malformed, and only themselves in both views", f, z)
		}
	})
}

// Before a member has found another one, its rate divisor is the configured size of the fleet with zones, and 1 without
// zones.
func TestDivisorBeforeJoining(t *testing.T) {
	s := newHarness(t)
	for _, c := range []struct {
		site zonedirectory.Site
		want int
	}{{east, 4}, {zonedirectory.Site{}, 1}} {
		var first int
		cfg := s.config("a", c.site)
		cfg.OnTick = func(members, _ int) {
			if first == 0 {
				first = members
			}
		}
		s.start(cfg)
		s.do(func() {
			if first != c.want {
				t.Errorf("site %v: the first rate divisor is %d, want %d", c.site, first, c.want)
			}
		})
	}
}

// zoneView returns a host's view of a zone, nil if it does not know the zone.
func zoneView(h *Host, site zonedirectory.Site) *zonedirectory.View {
	for _, v := range h.Zones() {
		if v.Site == site {
			return &v
		}
	}
	return nil
}

// twoZones starts two members in each of two zones, with the first member as the only seed, and waits until all know
// each other.
func (s *harness) twoZones() (all []*Host) {
	s.t.Helper()
	first := s.startInZone("e0", east)
	all = append(all, first)
	for _, member := range []struct {
		name string
		site zonedirectory.Site
	}{{"e1", east}, {"w0", west}, {"w1", west}} {
		all = append(all, s.startInZone(member.name, member.site, first.Addr()))
	}
	s.await("two zones of two members each know each other", func() bool { return allKnow(all, 2, 4) })
	return all
}

// allKnow reports whether every host has the given number of members in its view and of live members in the fleet, and
// reaches both zones.
func allKnow(all []*Host, view, live int) bool {
	for _, h := range all {
		e, w := zoneView(h, east), zoneView(h, west)
		if len(h.View()) != view || h.Live() != live || e == nil || w == nil || e.State != zonedirectory.Reachable ||
			w.State != zonedirectory.Reachable {
			return false
		}
	}
	return true
}

// Two zones of two members find each other through a single seed in one of the zones. A view lists only members of the
// own zone, and positions in the fleet are unique. A record published in one zone reaches the other, and a newer value
// replaces it. When all members of a zone leave, the zone is reported as left and its members no longer count.
func TestTwoZones(t *testing.T) {
	s := newHarness(t)
	all := s.twoZones()
	s.await("positions are unique", func() bool {
		var taken [4]bool
		for _, h := range all {
			taken[min(h.Position(), 3)] = true
		}
		return taken == [4]bool{true, true, true, true}
	})
	s.do(func() {
		for _, h := range all {
			if h.Known() != 4 || h.RateDivisor() != 4 {
				t.Errorf("known %d, rate divisor %v, want 4 and 4", h.Known(), h.RateDivisor())
			}
		}
	})
	has := func(value string) func() bool {
		return func() bool {
			for _, h := range all {
				if rs := h.Records(); len(rs) != 1 || rs[0].Name != "limits" || rs[0].Value != value {
					return false
				}
			}
			return true
		}
	}
	for i, value := range []string{"one", "two"} {
		s.do(func() {
			if _, err := all[3*i].Publish("limits", value); err != nil {
				t.Error(err)
			}
		})
		s.await("the record reaches all members: "+value, has(value))
	}
	s.do(func() {
		if _, err := all[0].Publish("", "x"); err == nil {
			t.Error("a record without a name was published")
		}
		all[2].Leave()
		all[3].Leave()
	})
	s.await("the zone has left", func() bool {
		for _, h := range all[:2] {
			if w := zoneView(h, west); w == nil || w.State != zonedirectory.Left || h.Live() != 2 {
				return false
			}
		}
		return true
	})
}

// localView returns the state of the own zone only after a change. From the view, it learns the instances of members
// that have sent no datagram.
func TestLocalViewFollowsChanges(t *testing.T) {
	s := newHarness(t)
	all := s.twoZones()
	s.do(func() {
		h, other := all[0], all[1].self
		if h.localView(s.loop.Now()); h.localView(s.loop.Now()) != nil {
			t.Error("localView returns a state although nothing has changed")
		}
		delete(h.instances, other.ID)
		h.zones.localSent = false
		l := h.localView(s.loop.Now())
		if l == nil || len(l.Members) != 2 || l.Live != 2 || h.instances[other.ID] != other.Instance {
			t.Errorf("%+v, instance %d, want %d", l, h.instances[other.ID], other.Instance)
		}
	})
}

// Two members of one zone find each other through their only seed, which is in another zone.
func TestJoinThroughAnotherZone(t *testing.T) {
	s := newHarness(t)
	w := s.startInZone("w0", west)
	a, b := s.startInZone("e0", east, w.Addr()), s.startInZone("e1", east, w.Addr())
	s.await(
		"both know each other",
		func() bool { return sees(a, "e1", membership.Alive) && sees(b, "e0", membership.Alive) },
	)
	s.do(func() {
		if len(w.View()) != 1 {
			t.Errorf("members of another zone are in the view: %+v", w.View())
		}
	})
}

// A member without zones has no zones and no records, and can't publish.
func TestWithoutZones(t *testing.T) {
	s := newHarness(t)
	a, b := s.pair()
	s.await("both count in the rate divisor", func() bool { return a.RateDivisor() == 2 })
	s.do(func() {
		if _, err := a.Publish("limits", "one"); !errors.Is(err, ErrNoZones) {
			t.Error(err)
		}
		if a.Zones() != nil || a.Records() != nil || a.Live() != 2 || a.Known() != 2 ||
			a.Position()+b.Position() != 1 {
			t.Errorf("zones %v, records %v, %d live, %d known, want none, none, 2 and 2",
				a.Zones(), a.Records(), a.Live(), a.Known())
		}
	})
}

// Replayed directory datagrams are counted as such, and have no other effect.
func TestDirectoryReplays(t *testing.T) {
	s := newHarness(t)
	type datagram struct {
		from netip.AddrPort
		b    []byte
	}
	var received []datagram
	var replay func(from netip.AddrPort, b []byte)
	cfg := s.config("e0", east)
	cfg.OpenSocket = func(addr netip.AddrPort, receive func(netip.AddrPort, []byte)) (Socket, error) {
		if replay != nil {
			return s.loop.ListenDatagrams(addr, receive) // the takeover socket
		}
		replay = receive
		return s.loop.ListenDatagrams(addr, func(from netip.AddrPort, b []byte) {
			received = append(received, datagram{from, bytes.Clone(b)})
			receive(from, b)
		})
	}
	a := s.start(cfg)
	b := s.startInZone("w0", west, a.Addr())
	keyring := newKeyring(t, 1)
	// directoryDatagrams returns the received directory datagrams that are addressed to this process.
	directoryDatagrams := func() []datagram {
		var out []datagram
		for _, candidate := range received {
			if plain, err := keyring.Open(candidate.b); err == nil {
				if d, err := packet.Decode(plain); err == nil && d.Directory != nil &&
					d.ReceiverInstance == a.self.Instance {
					out = append(out, candidate)
				}
			}
		}
		return out
	}
	s.await(
		"directories have exchanged messages",
		func() bool {
			return len(directoryDatagrams()) >= 3 && zoneView(a, west) != nil && zoneView(b, east) != nil
		},
	)
	s.do(func() {
		before, sent := a.Counts(), directoryDatagrams()
		for _, d := range sent {
			replay(d.from, d.b)
		}
		if now := a.Counts(); now.Received != before.Received || now.Replayed != before.Replayed+int64(len(sent)) ||
			now.Sent != before.Sent {
			t.Errorf("after %d replays: %+v, before: %+v", len(sent), now, before)
		}
	})
}
