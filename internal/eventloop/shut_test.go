package eventloop

import (
	"bufio"
	"net"
	"net/netip"
	"testing"
	"time"
)

type greeter struct{}

func (greeter) Connected(*Conn, error) {}
func (greeter) Readable(*Conn)         {}
func (greeter) Flushed(*Conn)          {}

// Shut takes in every connection that the kernel had queued before it stops listening; none of them is reset.
func TestShutTakesInWhatIsQueued(t *testing.T) {
	const queued = 200
	l, err := New()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	var taken []*Conn
	ln, err := l.ListenShared(netip.MustParseAddrPort("127.0.0.1:0"), func(adopt func(Owner) (*Conn, error)) {
		c, err := adopt(greeter{})
		if err != nil {
			t.Fatal(err)
		}
		c.Write([]byte("hi\n"))
		taken = append(taken, c)
	})
	if err != nil {
		t.Fatal(err)
	}
	var clients []net.Conn
	for range queued { // the loop does not run: all wait in the queue
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		clients = append(clients, c)
	}
	ln.DrainAndClose()
	for i, c := range clients {
		_ = c.SetDeadline(time.Now().Add(30 * time.Second)) // only so that a fault ends the test
		if got, err := bufio.NewReader(c).ReadString('\n'); got != "hi\n" {
			t.Fatalf("client %d: %q, %v", i, got, err)
		}
	}
	if len(taken) != queued || l.OpenSockets() != queued {
		t.Errorf("took %d, %d descriptors open", len(taken), l.OpenSockets())
	}
	for _, c := range taken {
		c.Close()
	}
}
