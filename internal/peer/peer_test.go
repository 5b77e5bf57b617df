package peer

import (
	"bytes"
	"io"
	"net"
	"net/netip"
	"spurspread/decision/membership"
	"spurspread/internal/eventloop"
	"spurspread/internal/peer/packet"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// patience bounds every wait; nothing is proved by its passing.
const patience = 30 * time.Second

// stage is some hosts on one loop.
type stage struct {
	t *testing.T
	l *eventloop.Loop
}

func newStage(t *testing.T) *stage {
	t.Helper()
	l, err := eventloop.New()
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error)
	go func() { done <- l.Run() }()
	t.Cleanup(func() {
		l.Post(l.Stop)
		if err := <-done; err != nil {
			t.Error(err)
		}
		_ = l.Close()
	})
	return &stage{t, l}
}

// do has the loop do something, and waits for it.
func (s *stage) do(f func()) {
	done := make(chan struct{})
	s.l.Post(func() { f(); close(done) })
	<-done
}

func ring(t *testing.T, secret byte) *packet.Keyring {
	t.Helper()
	r, err := packet.NewKeyring([]packet.Key{{Secret: [32]byte(bytes.Repeat([]byte{secret}, 32)), Primary: true}})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func (s *stage) host(name string, secret byte, seeds ...netip.AddrPort) (h *Host) {
	s.t.Helper()
	return s.hostAt(netip.MustParseAddrPort("127.0.0.1:0"), name, secret, seeds...)
}

func (s *stage) hostAt(at netip.AddrPort, name string, secret byte, seeds ...netip.AddrPort) (h *Host) {
	s.t.Helper()
	return s.start(
		Config{Name: name, Listen: at, Seeds: seeds, Keyring: ring(s.t, secret), RandomSeed: uint64(len(name))},
	)
}

func (s *stage) start(cfg Config) (h *Host) {
	s.t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	var err error
	s.do(func() { h, err = Start(s.l, cfg, log) })
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { s.do(h.Close) })
	return h
}

func (s *stage) await(what string, holds func() bool) {
	s.t.Helper()
	for late := time.Now().Add(patience); ; time.Sleep(10 * time.Millisecond) {
		held := false
		if s.do(func() { held = holds() }); held {
			return
		}
		if time.Now().After(late) {
			s.t.Fatalf("not within %v: %s", patience, what)
		}
	}
}

func sees(h *Host, name string, state membership.State) bool {
	for _, m := range h.View() {
		if m.Name == name && m.State == state {
			return true
		}
	}
	return false
}

// Members with one key find each other by one that is there, though another seed is not; one with another key is
// heard by nobody, and counted.
func TestJoin(t *testing.T) {
	s := newStage(t)
	nobody := netip.MustParseAddrPort("127.0.0.1:9")
	a := s.host("a", 1)
	b := s.host("b", 1, nobody, a.Addr())
	c := s.host("c", 1, a.Addr())
	s.host("stranger", 2, a.Addr())
	s.await("all three know each other", func() bool {
		return sees(a, "b", membership.Alive) && sees(a, "c", membership.Alive) && sees(b, "c", membership.Alive) &&
			sees(c, "b", membership.Alive)
	})
	s.await("a stranger is counted", func() bool { return a.Counts().Forged > 0 })
	s.do(func() {
		if len(a.View()) != 3 {
			t.Errorf("%d members", len(a.View()))
		}
		b.Leave()
	})
	s.await(
		"one that leaves says so",
		func() bool { return sees(a, "b", membership.Left) && sees(c, "b", membership.Left) },
	)
}

// A new process at the address of the one before takes its place, wherever the kernel sends what others say.
func TestTakesOver(t *testing.T) {
	s := newStage(t)
	a := s.host("a", 1)
	b := s.host("b", 1, a.Addr())
	s.await(
		"both know each other",
		func() bool { return sees(a, "b", membership.Alive) && sees(b, "a", membership.Alive) },
	)
	next := s.hostAt(b.Addr(), "b", 1, a.Addr())
	s.await("the one before yields", func() bool { return b.fleet.Superseded() })
	s.await(
		"the new one is the member",
		func() bool { return sees(next, "a", membership.Alive) && sees(a, "b", membership.Alive) },
	)
	s.do(func() {
		if next.fleet.Superseded() {
			t.Error("the later one has yielded")
		}
	})
}

// A key that is withdrawn shuts out who has no other; with the new one it is heard again.
func TestRekey(t *testing.T) {
	s := newStage(t)
	a := s.host("a", 1)
	b := s.host("b", 1, a.Addr())
	s.await(
		"both know each other",
		func() bool { return sees(a, "b", membership.Alive) && sees(b, "a", membership.Alive) },
	)
	next := ring(t, 2)
	var taken int64
	s.do(func() { a.SetKeyring(next); taken = a.Counts().Taken })
	s.await("who has the old key only is not heard", func() bool { return a.Counts().Forged > 0 })
	s.do(func() {
		if n := a.Counts(); n.Taken != taken {
			t.Errorf("%d datagrams with a withdrawn key are taken", n.Taken-taken)
		}
		b.SetKeyring(ring(t, 2))
	})
	s.await("with the new key it is", func() bool { return a.Counts().Taken > taken })
}

// A flood from strangers is dropped unread beyond what is opened in a second, and members are heard meanwhile.
func TestFlood(t *testing.T) {
	s := newStage(t)
	a := s.host("a", 1)
	b := s.host("b", 1, a.Addr())
	s.await(
		"both know each other",
		func() bool { return sees(a, "b", membership.Alive) && sees(b, "a", membership.Alive) },
	)
	c, err := net.Dial("udp4", a.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	var taken int64
	s.do(func() { taken = a.Counts().Taken })
	rubbish := bytes.Repeat([]byte{7}, 400)
	s.await("rubbish is dropped unread", func() bool {
		for range 200 {
			_, _ = c.Write(rubbish)
		}
		return a.Counts().Lost > 1000
	})
	s.do(func() {
		if n := a.Counts(); n.Forged > n.Lost {
			t.Errorf("of a flood %d were opened, and %d not", n.Forged, n.Lost)
		}
	})
	s.await("members are heard meanwhile", func() bool { return a.Counts().Taken > taken+4 })
}
