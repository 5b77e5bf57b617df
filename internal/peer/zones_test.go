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

// inZone starts a member of a zone.
func (s *harness) inZone(name string, site zonedirectory.Site, seeds ...netip.AddrPort) *Host {
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

// A member with zones and one without have two versions of the encoding: each counts the datagrams of the other, and
// receives none of them.
func TestOtherVersion(t *testing.T) {
	s := newHarness(t)
	flat := s.host("flat", 1)
	zoned := s.inZone("zoned", east, flat.Addr())
	s.do(func() { flat.SetSeeds([]netip.AddrPort{zoned.Addr()}) })
	s.await(
		"both count the other",
		func() bool { return flat.Counts().OtherVersion > 1 && zoned.Counts().OtherVersion > 1 },
	)
	s.do(func() {
		if f, z := flat.Counts(), zoned.Counts(); f.Received+f.Malformed+z.Received+z.Malformed != 0 ||
			len(flat.View()) != 1 ||
			len(zoned.View()) != 1 {
			t.Errorf("%+v, %+v", f, z)
		}
	})
}

// Before it has found another member, one with zones divides rates by the fleet that the settings expect, and one
// without zones by 1.
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
				t.Errorf("in %v the fleet has %d members at first, want %d", c.site, first, c.want)
			}
		})
	}
}

// zoneOf is what a member sees of a zone, nil where it doesn't know it.
func zoneOf(h *Host, site zonedirectory.Site) *zonedirectory.View {
	for _, v := range h.Zones() {
		if v.Site == site {
			return &v
		}
	}
	return nil
}

// pairs starts two members in each of two zones, all of them with one seed, a member in the other zone than most.
func (s *harness) pairs() (all []*Host) {
	s.t.Helper()
	first := s.inZone("e0", east)
	all = append(all, first)
	for _, one := range []struct {
		name string
		site zonedirectory.Site
	}{{"e1", east}, {"w0", west}, {"w1", west}} {
		all = append(all, s.inZone(one.name, one.site, first.Addr()))
	}
	s.await("two zones of two know each other", func() bool { return allKnow(all, 2, 4) })
	return all
}

// allKnow reports whether each has so many members in its view and reaches both zones, with so many in all.
func allKnow(all []*Host, view, live int) bool {
	for _, h := range all {
		e, w := zoneOf(h, east), zoneOf(h, west)
		if len(h.View()) != view || h.Live() != live || e == nil || w == nil || e.State != zonedirectory.Reachable ||
			w.State != zonedirectory.Reachable {
			return false
		}
	}
	return true
}

// Two zones of two members find each other by one seed, which for one zone is in the other. Views end at the zone,
// and each position in the fleet is taken once. A record that is published in one zone is read in the other, and the
// newest is kept. A zone whose members leave announces it, and they no longer count.
func TestTwoZones(t *testing.T) {
	s := newHarness(t)
	all := s.pairs()
	s.await("each position is taken once", func() bool {
		var taken [4]bool
		for _, h := range all {
			taken[min(h.Position(), 3)] = true
		}
		return taken == [4]bool{true, true, true, true}
	})
	s.do(func() {
		for _, h := range all {
			if h.Known() != 4 || h.RateDivisor() != 4 {
				t.Errorf("%d known, divided by %v", h.Known(), h.RateDivisor())
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
		s.await("a record is everywhere: "+value, has(value))
	}
	s.do(func() {
		if _, err := all[0].Publish("", "x"); err == nil {
			t.Error("a record without a name is published")
		}
		all[2].Leave()
		all[3].Leave()
	})
	s.await("the zone has left", func() bool {
		for _, h := range all[:2] {
			if w := zoneOf(h, west); w == nil || w.State != zonedirectory.Left || h.Live() != 2 {
				return false
			}
		}
		return true
	})
}

// The directory receives the view of the own zone where something has changed, and only then. The instances of
// members that were never received are then known from the view.
func TestLocalViewFollowsChanges(t *testing.T) {
	s := newHarness(t)
	all := s.pairs()
	s.do(func() {
		h, other := all[0], all[1].self
		if h.localView(s.loop.Now()); h.localView(s.loop.Now()) != nil {
			t.Error("nothing has changed, and the view is handed on again")
		}
		delete(h.instances, other.ID)
		h.zones.localSent = false
		l := h.localView(s.loop.Now())
		if l == nil || len(l.Members) != 2 || l.Live != 2 || h.instances[other.ID] != other.Instance {
			t.Errorf("%+v, instance %d of %d", l, h.instances[other.ID], other.Instance)
		}
	})
}

// Two members of one zone, whose only seed is in another zone, find each other through it.
func TestJoinThroughAnotherZone(t *testing.T) {
	s := newHarness(t)
	w := s.inZone("w0", west)
	a, b := s.inZone("e0", east, w.Addr()), s.inZone("e1", east, w.Addr())
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

// A member without zones has none of what belongs to them.
func TestWithoutZones(t *testing.T) {
	s := newHarness(t)
	a, b := s.pair()
	s.await("rates are divided by both", func() bool { return a.RateDivisor() == 2 })
	s.do(func() {
		if _, err := a.Publish("limits", "one"); !errors.Is(err, ErrNoZones) {
			t.Error(err)
		}
		if a.Zones() != nil || a.Records() != nil || a.Live() != 2 || a.Known() != 2 ||
			a.Position()+b.Position() != 1 {
			t.Errorf("%v %v %d %d", a.Zones(), a.Records(), a.Live(), a.Known())
		}
	})
}

// Replayed datagrams of directories are counted, and change nothing.
func TestDirectoryReplays(t *testing.T) {
	s := newHarness(t)
	type datagram struct {
		from netip.AddrPort
		b    []byte
	}
	var kept []datagram
	var replay func(from netip.AddrPort, b []byte)
	cfg := s.config("e0", east)
	cfg.OpenSocket = func(addr netip.AddrPort, receive func(netip.AddrPort, []byte)) (Socket, error) {
		if replay != nil {
			return s.loop.ListenDatagrams(addr, receive) // by which it looks for an earlier process
		}
		replay = receive
		return s.loop.ListenDatagrams(addr, func(from netip.AddrPort, b []byte) {
			kept = append(kept, datagram{from, bytes.Clone(b)})
			receive(from, b)
		})
	}
	a := s.start(cfg)
	b := s.inZone("w0", west, a.Addr())
	keyring := newKeyring(t, 1)
	// ofDirectory picks the datagrams between directories that are for this process.
	ofDirectory := func() []datagram {
		var out []datagram
		for _, one := range kept {
			if plain, err := keyring.Open(one.b); err == nil {
				if d, err := packet.Decode(plain); err == nil && d.Directory != nil &&
					d.ReceiverInstance == a.self.Instance {
					out = append(out, one)
				}
			}
		}
		return out
	}
	s.await(
		"directories have exchanged messages",
		func() bool { return len(ofDirectory()) >= 3 && zoneOf(a, west) != nil && zoneOf(b, east) != nil },
	)
	s.do(func() {
		before, sent := a.Counts(), ofDirectory()
		for _, one := range sent {
			replay(one.from, one.b)
		}
		if now := a.Counts(); now.Received != before.Received || now.Replayed != before.Replayed+int64(len(sent)) ||
			now.Sent != before.Sent {
			t.Errorf("%d sent again: %+v, before %+v", len(sent), now, before)
		}
	})
}
