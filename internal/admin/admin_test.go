package admin_test

import (
	"bufio"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"spurspread/decision/lifecycle"
	"spurspread/internal/admin"
	"spurspread/internal/eventloop"
)

// serve runs an admin server on its own event loop until the test ends, and returns its address. Commands change the
// state of a lifecycle.
func serve(t *testing.T) string {
	t.Helper()
	addr, _ := serveCounted(t)
	return addr
}

// serveCounted is like serve, and also returns a function that reports the number of open connections.
func serveCounted(t *testing.T) (string, func() int) {
	t.Helper()
	l, err := eventloop.New()
	if err != nil {
		t.Fatal(err)
	}
	state := lifecycle.Serving
	s, err := admin.Listen(l, netip.MustParseAddrPort("127.0.0.1:0"), func(c lifecycle.Command) string {
		a := lifecycle.Apply(state, c.Kind)
		state = a.Next
		return a.Reply
	})
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error)
	go func() { done <- l.Run() }()
	t.Cleanup(func() {
		l.Post(func() { s.Close(); l.Stop() })
		if err := <-done; err != nil {
			t.Error(err)
		}
		_ = l.Close()
	})
	connections := func() int {
		n := make(chan int)
		l.Post(func() { n <- s.Connections() })
		return <-n
	}
	return s.Addr().String(), connections
}

// sendCommand sends text, closes its side if end is set, and returns the reply line.
func sendCommand(t *testing.T, addr, send string, end bool) string {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(30 * time.Second)) // so that the test fails if the server does not reply
	if _, err := c.Write([]byte(send)); err != nil {
		t.Fatal(err)
	}
	if end {
		_ = c.(*net.TCPConn).CloseWrite()
	}
	answer, err := bufio.NewReader(c).ReadString('\n')
	if err != nil {
		return "closed: " + err.Error()
	}
	return strings.TrimRight(answer, "\r\n")
}

func TestCommands(t *testing.T) {
	addr := serve(t)
	for _, c := range []struct {
		send string
		end  bool
		want string
	}{
		{"PING\r\n", false, "+OK serving"},
		{"PING\n", true, "+OK serving"},
		{"REJOIN\r\n", false, "+OK serving"},
		{"LAMEDUCK\r\n", false, "+OK lameduck"},
		{"PING\r\n", false, "+OK lameduck"},
		{"LAMEDUCK\r\n", false, "+OK lameduck"},
		{"REJOIN\r\n", false, "+OK serving"},
		{"STATUS\r\n", false, "-ERR unknown call"},
		{"\r\n", false, "-ERR empty call"},
		{"PI\x00NG\r\n", false, "-ERR not text"},
		{"\xff\xfe\n", false, "-ERR not text"},
		{strings.Repeat("P", 200) + "\r\n", false, "-ERR line too long"},
		{strings.Repeat("P", 200), false, "-ERR line too long"},
		// accepted as one line, but this handler does not support records
		{"RECORD n " + strings.Repeat("v", 90) + "\r\n", false, "-ERR unknown call"},
		{"RECORD n " + strings.Repeat("v", 200), false, "-ERR line too long"},
		{"PIN", true, "-ERR a call without its line end"},
		{"PIN", false, "-ERR no whole call within 0.8 s"},
		{"", false, "-ERR no whole call within 0.8 s"},
		{"PING\r\nPING\r\nLAMEDUCK\r\n", false, "+OK serving"}, // one command per connection
	} {
		if got := sendCommand(t, addr, c.send, c.end); got != c.want {
			t.Errorf("%q (end %v): %q; want %q", c.send, c.end, got, c.want)
		}
	}
}

// Clients that connect and send nothing do not delay the commands of others, even if there are more of them than
// MaxConnections.
func TestSilentConnectionsDelayNoCommand(t *testing.T) {
	addr, connections := serveCounted(t)
	var silent []net.Conn
	for range 3 * admin.MaxConnections {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		silent = append(silent, c)
	}
	defer func() {
		for _, c := range silent {
			_ = c.Close()
		}
	}()
	start := time.Now()
	if got := sendCommand(t, addr, "PING\r\n", false); got != "+OK serving" {
		t.Fatalf("PING among silent connections: %q, want +OK serving", got)
	}
	if n := connections(); n > admin.MaxConnections {
		t.Errorf("%d connections are open, want at most %d", n, admin.MaxConnections)
	}
	// Each silent connection gets a reply and is closed, either displaced or by its timeout, so none keeps a
	// descriptor.
	for i, c := range silent {
		_ = c.SetDeadline(time.Now().Add(30 * time.Second))
		answer, _ := bufio.NewReader(c).ReadString('\n')
		if !strings.HasPrefix(answer, "-ERR") {
			t.Errorf("silent connection %d: %q, want -ERR", i, answer)
		}
	}
	t.Logf("answered in %v", time.Since(start))
}
