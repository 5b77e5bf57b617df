package main

import (
	"fmt"
	"net"
	"os"
	"strings"
	"testing"
	"time"
)

// descriptors returns the number of open descriptors of the process, from /proc.
func (p *process) descriptors() int {
	p.t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	return len(entries)
}

// While discovery is down, idle clients connect, three times the descriptor limit. The program stays within the limit,
// requests still reach servers, and discovery is called once it is up.
func TestManyIdleClientsWhileDiscoveryIsDown(t *testing.T) {
	const limit = 160
	clients, discoveryAddr := freePort(t), freePort(t)
	path, _ := writeConfig(t, append(startServers(t, nil), "127.0.0.1:8081", clients, "127.0.0.1:8500", discoveryAddr,
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
			_, _ = c.Write([]byte("PING\r\n")) // the balancer may have closed it already
		}
		peak = max(peak, p.descriptors())
	}
	for i := range 20 {
		s, answer, err := open(clients, "index-sync", i)
		if answer != "UP 1\r\n" {
			t.Fatalf("client %d: answer %q, %v, want UP 1", i, answer, err)
		}
		t.Cleanup(func() { _ = s.c.Close() })
		peak = max(peak, p.descriptors())
	}
	if peak > limit || peak < limit*3/4 {
		t.Errorf("peak of %d open descriptors, want at most the limit of %d, and at least 3/4 of it", peak, limit)
	}
	ln, err := net.Listen("tcp", discoveryAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	_ = ln.(*net.TCPListener).SetDeadline(time.Now().Add(60 * time.Second)) // so that a hang fails the test
	if request := acceptDiscoveryRequest(t, ln.(*net.TCPListener)); !strings.HasPrefix(request, "GET ") {
		t.Errorf("first line of the call to discovery: %q, want GET", request)
	}
}
