package peer

import (
	"bytes"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"spurspread/decision/membership"
	"spurspread/internal/eventloop"
	"spurspread/internal/peer/packet"
)

// waitTimeout limits every wait. It is generous: only a fault makes a test wait for so long.
const waitTimeout = 30 * time.Second

// harness runs several Hosts on one event loop.
type harness struct {
	t    *testing.T
	loop *eventloop.Loop
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	loop, err := eventloop.New()
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error)
	go func() { done <- loop.Run() }()
	t.Cleanup(func() {
		loop.Post(loop.Stop)
		if err := <-done; err != nil {
			t.Error(err)
		}
		_ = loop.Close()
	})
	return &harness{t, loop}
}

// do runs f on the event loop and waits until it has returned.
func (s *harness) do(f func()) {
	done := make(chan struct{})
	s.loop.Post(func() { f(); close(done) })
	<-done
}

func newKeyring(t *testing.T, secret byte) *packet.Keyring {
	t.Helper()
	keyring, err := packet.NewKeyring(
		[]packet.Key{{Secret: [32]byte(bytes.Repeat([]byte{secret}, 32)), Primary: true}},
	)
	if err != nil {
		t.Fatal(err)
	}
	return keyring
}

func (s *harness) host(name string, secret byte, seeds ...netip.AddrPort) (h *Host) {
	s.t.Helper()
	return s.hostAt(netip.MustParseAddrPort("127.0.0.1:0"), name, secret, seeds...)
}

func (s *harness) hostAt(at netip.AddrPort, name string, secret byte, seeds ...netip.AddrPort) (h *Host) {
	s.t.Helper()
	return s.start(
		Config{Name: name, Listen: at, Seeds: seeds, Keyring: newKeyring(s.t, secret), RandomSeed: uint64(len(name))},
	)
}

func (s *harness) start(cfg Config) (h *Host) {
	s.t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	var err error
	s.do(func() { h, err = Start(s.loop, cfg, log) })
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { s.do(h.Close) })
	return h
}

// pair starts two members and waits until they know each other.
func (s *harness) pair() (a, b *Host) {
	s.t.Helper()
	a = s.host("a", 1)
	b = s.host("b", 1, a.Addr())
	s.await("both know each other", func() bool {
		return sees(a, "b", membership.Alive) && sees(b, "a", membership.Alive)
	})
	return a, b
}

// await polls until a condition holds, and fails the test after waitTimeout.
func (s *harness) await(what string, holds func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(waitTimeout); ; time.Sleep(10 * time.Millisecond) {
		done := false
		if s.do(func() { done = holds() }); done {
			return
		}
		if time.Now().After(deadline) {
			s.t.Fatalf("not within %v: %s", waitTimeout, what)
		}
	}
}

// sees reports whether a host's view lists a member in the given state.
func sees(h *Host, name string, state membership.State) bool {
	for _, m := range h.View() {
		if m.Name == name && m.State == state {
			return true
		}
	}
	return false
}

// Members with the same key find each other through a single reachable seed; an unreachable second seed does no harm.
// Datagrams of a member with another key are rejected and counted.
func TestJoin(t *testing.T) {
	s := newHarness(t)
	unreachable := netip.MustParseAddrPort("127.0.0.1:9")
	a := s.host("a", 1)
	b := s.host("b", 1, unreachable, a.Addr())
	c := s.host("c", 1, a.Addr())
	s.host("other key", 2, a.Addr())
	s.await("all three know each other", func() bool {
		return sees(a, "b", membership.Alive) && sees(a, "c", membership.Alive) && sees(b, "c", membership.Alive) &&
			sees(c, "b", membership.Alive)
	})
	s.await("datagrams with another key are counted", func() bool { return a.Counts().Forged > 0 })
	s.do(func() {
		if len(a.View()) != 3 {
			t.Errorf("%d members in the view, want 3", len(a.View()))
		}
		b.Leave()
	})
	s.await(
		"a leaving member announces it",
		func() bool { return sees(a, "b", membership.Left) && sees(c, "b", membership.Left) },
	)
}

// A new process with the name and address of an earlier one replaces it as the member, whichever of the two processes
// the kernel delivers the datagrams of other members to.
func TestTakeover(t *testing.T) {
	s := newHarness(t)
	a, b := s.pair()
	next := s.hostAt(b.Addr(), "b", 1, a.Addr())
	s.await("the earlier process ends its membership", func() bool { return b.fleet.Superseded() })
	s.await(
		"the new process is the member",
		func() bool { return sees(next, "a", membership.Alive) && sees(a, "b", membership.Alive) },
	)
	s.do(func() {
		if next.fleet.Superseded() {
			t.Error("the later process is superseded, want the earlier one")
		}
	})
}

// Datagrams encrypted with a withdrawn key are rejected, until their sender gets the new key.
func TestSetKeyring(t *testing.T) {
	s := newHarness(t)
	a, b := s.pair()
	next := newKeyring(t, 2)
	var received int64
	s.do(func() {
		a.SetKeyring(next)
		received = a.Counts().Received
	})
	s.await("datagrams with the old key are rejected", func() bool { return a.Counts().Forged > 0 })
	s.do(func() {
		if n := a.Counts(); n.Received != received {
			t.Errorf("%d datagrams with a withdrawn key were accepted, want 0", n.Received-received)
		}
		b.SetKeyring(newKeyring(t, 2))
	})
	s.await("datagrams with the new key are accepted", func() bool { return a.Counts().Received > received })
}

// Of a flood from an unknown address, datagrams over the limit per second are dropped without decryption. Datagrams of
// members are still received during the flood.
func TestFlood(t *testing.T) {
	s := newHarness(t)
	a, _ := s.pair()
	c, err := net.Dial("udp4", a.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	var received int64
	s.do(func() { received = a.Counts().Received })
	garbage := bytes.Repeat([]byte{7}, 400)
	s.await("garbage is dropped without decryption", func() bool {
		for range 200 {
			_, _ = c.Write(garbage)
		}
		return a.Counts().Dropped > 1000
	})
	s.do(func() {
		if n := a.Counts(); n.Forged > n.Dropped {
			t.Errorf("of a flood, %d datagrams were decrypted and %d dropped, want more dropped", n.Forged, n.Dropped)
		}
	})
	s.await("members are received during the flood", func() bool { return a.Counts().Received > received+4 })
}
