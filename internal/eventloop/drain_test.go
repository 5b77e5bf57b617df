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
