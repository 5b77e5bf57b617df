package main

import (
	"fmt"
	"net"
	"os"
	"strings"
	"testing"
	"time"
)

// descriptors counts what a process holds, as the kernel tells it.
func (p *process) descriptors() int {
	p.t.Helper()
	held, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	return len(held)
}

// A crowd of idle clients, three times as many as the program may hold descriptors, comes while discovery is down.
// By the kernel's count it never holds more than it may; servers are reached all the same, and discovery once it is
// back.
func TestIdleCrowdWhileDiscoveryIsDown(t *testing.T) {
	const most = 160
	clients, away := freePort(t), freePort(t)
	path, _ := configured(t, append(startServers(t, nil), "127.0.0.1:8081", clients, "127.0.0.1:8500", away,
		`"sockets": 1024`, fmt.Sprintf(`"sockets": %d`, most))...)
	p := start(t, "GW_CONFIG="+path, "TMPDIR="+t.TempDir())
	peak := 0
	for i := range 3 * most {
		c, err := net.Dial("tcp", clients)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		if i%2 == 0 {
			_, _ = c.Write([]byte("PING\r\n")) // it may be ended before that
		}
		peak = max(peak, p.descriptors())
	}
	for i := range 20 {
		s, answer, err := open(clients, "index-sync", i)
		if answer != "UP 1\r\n" {
			t.Fatalf("client %d: %q, %v", i, answer, err)
		}
		t.Cleanup(func() { _ = s.c.Close() })
		peak = max(peak, p.descriptors())
	}
	if peak > most || peak < most*3/4 {
		t.Errorf("%d descriptors held, %d allowed; the crowd should have filled most of them", peak, most)
	}
	ln, err := net.Listen("tcp", away)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	_ = ln.(*net.TCPListener).SetDeadline(time.Now().Add(60 * time.Second)) // only so that a fault ends the test
	if call := acceptDiscoveryRequest(t, ln.(*net.TCPListener)); !strings.HasPrefix(call, "GET ") {
		t.Errorf("%q came to discovery", call)
	}
}
