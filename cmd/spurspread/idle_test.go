package main

import (
	"fmt"
	"net"
	"os"
	"strings"
	"testing"
	"time"
)

// descriptors is the number of descriptors that the process has open, from /proc.
func (p *process) descriptors() int {
	p.t.Helper()
	held, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	return len(held)
}

// Idle clients, three times as many as the program may have descriptors, connect while discovery is down. The program
// never has more descriptors than it may; requests reach servers all the same, and discovery is called once it is up.
func TestManyIdleClientsWhileDiscoveryIsDown(t *testing.T) {
	const limit = 160
	clients, away := freePort(t), freePort(t)
	path, _ := configured(t, append(startServers(t, nil), "127.0.0.1:8081", clients, "127.0.0.1:8500", away,
		`"sockets": 1024`, fmt.Sprintf(`"sockets": %d`, limit))...)
	p := start(t, "GW_CONFIG="+path, "TMPDIR="+t.TempDir())
	peak := 0
	for i := range 3 * limit {
		c, err := net.Dial("tcp", clients)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		if i%2 == 0 {
			_, _ = c.Write([]byte("PING\r\n")) // it may be closed before that
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
	if peak > limit || peak < limit*3/4 {
		t.Errorf("%d descriptors open, %d allowed; idle clients should have filled most of them", peak, limit)
	}
	ln, err := net.Listen("tcp", away)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	_ = ln.(*net.TCPListener).SetDeadline(time.Now().Add(60 * time.Second)) // only so that a fault ends the test
	if request := acceptDiscoveryRequest(t, ln.(*net.TCPListener)); !strings.HasPrefix(request, "GET ") {
		t.Errorf("request %q", request)
	}
}
