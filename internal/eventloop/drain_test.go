package eventloop

import (
	"bufio"
	"net"
	"net/netip"
	"testing"
	"time"
)

// noopOwner ignores all events.
type noopOwner struct{}

func (noopOwner) Connected(*Conn, error) {}
func (noopOwner) Readable(*Conn)         {}
func (noopOwner) Flushed(*Conn)          {}

// DrainAndClose accepts every connection in the kernel's queue before it closes the listener; none of them is reset.
func TestDrainAndCloseAcceptsQueued(t *testing.T) {
	const queued = 200
	l, err := New()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	var accepted []*Conn
	ln, err := l.ListenShared(netip.MustParseAddrPort("127.0.0.1:0"), func(adopt func(Owner) (*Conn, error)) {
		c, err := adopt(noopOwner{})
		if err != nil {
			t.Fatal(err)
		}
		c.Write([]byte("hi\n"))
		accepted = append(accepted, c)
	})
	if err != nil {
		t.Fatal(err)
	}
	var clients []net.Conn
	for range queued { // the loop does not run: all stay in the queue
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		clients = append(clients, c)
	}
	ln.DrainAndClose()
	for i, c := range clients {
		_ = c.SetDeadline(time.Now().Add(30 * time.Second)) // only to end the test on a failure
		if got, err := bufio.NewReader(c).ReadString('\n'); got != "hi\n" {
			t.Fatalf("client %d: got %q, %v, want hi", i, got, err)
		}
	}
	if len(accepted) != queued || l.OpenSockets() != queued {
		t.Errorf("accepted %d, %d sockets open, want %d of each", len(accepted), l.OpenSockets(), queued)
	}
	for _, c := range accepted {
		c.Close()
	}
}

// floodedListener returns a loop and a listener for which another client connects and leaves as soon as one is
// accepted, so that the accept queue is never empty, until limit clients have come. accepted counts the clients.
func floodedListener(t *testing.T, limit int) (l *Loop, ln *Listener, accepted *int) {
	t.Helper()
	l, err := New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	accepted = new(int)
	connect := func() {
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_ = c.Close()
	}
	ln, err = l.ListenShared(netip.MustParseAddrPort("127.0.0.1:0"), func(func(Owner) (*Conn, error)) {
		if *accepted++; *accepted < limit {
			connect()
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	connect()
	return l, ln, accepted
}

// Guards against a stop that hangs while clients come as fast as they are accepted: DrainAndClose returns after as many
// as the queue can hold.
func TestDrainAndCloseEndsWhileClientsCome(t *testing.T) {
	const most = 4097 // connections that a queue can hold
	l, ln, accepted := floodedListener(t, 2*most)
	ln.DrainAndClose()
	if *accepted > most || l.OpenSockets() != 0 {
		t.Errorf("accepted %d, %d sockets open, want at most %d and none", *accepted, l.OpenSockets(), most)
	}
}

// While a listener is drained, the loop handles other events, and then it is closed even if clients keep coming.
func TestDrainLeavesTurnsToOthers(t *testing.T) {
	l, ln, accepted := floodedListener(t, 2*maxQueued)
	acceptedBefore := 0 // before another event was handled
	ln.Drain(l.Stop)
	l.Post(func() { acceptedBefore = *accepted })
	if err := l.Run(); err != nil {
		t.Fatal(err)
	}
	if acceptedBefore == 0 || acceptedBefore > 2*acceptsPerTurn {
		t.Errorf("%d accepted before another event was handled, want 1 to %d", acceptedBefore, 2*acceptsPerTurn)
	}
	if *accepted != maxQueued || l.OpenSockets() != 0 {
		t.Errorf("accepted %d, %d sockets open, want %d and none", *accepted, l.OpenSockets(), maxQueued)
	}
}
