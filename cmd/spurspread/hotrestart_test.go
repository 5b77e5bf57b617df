package main

import (
	"bufio"
	"fmt"
	"net"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"spurspread/internal/restartproto"
	"spurspread/lab/discoveryserver"
)

// clientStream is a client with a connection to the balancer, in front of a server that echoes lines.
type clientStream struct {
	c    net.Conn
	in   *bufio.Reader
	sent int // number of lines sent
}

// open connects and sends a request of a class, and returns the reply line. The stream is nil if connecting fails.
func open(addr, class string, id int) (*clientStream, string, error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, "", err
	}
	_ = c.SetDeadline(time.Now().Add(60 * time.Second)) // so that a hang fails the test
	s := &clientStream{c: c, in: bufio.NewReader(c)}
	if _, err := fmt.Fprintf(c, "OPEN %08x 7f3a c=%s,d=1200\r\n", id, class); err != nil {
		return s, "", err
	}
	answer, err := s.in.ReadString('\n')
	return s, answer, err
}

// exchange sends the next line and checks its echo.
func (s *clientStream) exchange() error {
	s.sent++
	text := fmt.Sprintf("line %d\r\n", s.sent)
	if _, err := s.c.Write([]byte(text)); err != nil {
		return err
	}
	got, err := s.in.ReadString('\n')
	if err != nil {
		return fmt.Errorf("read echo of %q: got %q: %w", text, got, err)
	}
	if got != text {
		return fmt.Errorf("echo of %q is %q, want the same line", text, got)
	}
	return nil
}

// During a hot restart under load, established connections continue without interruption, and every client that
// connects gets a reply, from the old process or the new one.
func TestUpgradeUnderLoad(t *testing.T) {
	const established = 24
	silentDiscovery, clients := listener(t), freePort(t)
	var requested sync.Map // IDs of requests since the hot restart began
	var counting atomic.Bool
	path, _ := writeConfig(t, append(startServers(t, func(_ int, first string) {
		if counting.Load() {
			requested.Store(strings.Fields(first)[1], true)
		}
	}), "127.0.0.1:8081", clients, "127.0.0.1:8500", silentDiscovery.Addr().String())...)
	tmp := "TMPDIR=" + t.TempDir()
	old := start(t, "GW_CONFIG="+path, tmp)
	var streams []*clientStream
	for i := range established {
		s, answer, err := open(clients, "index-sync", i)
		if answer != "UP 1\r\n" {
			t.Fatalf("stream %d: answer %q, %v, want UP 1", i, answer, err)
		}
		streams = append(streams, s)
	}
	counting.Store(true)
	var stop atomic.Bool
	var rounds atomic.Int64
	var load sync.WaitGroup
	for i, s := range streams {
		load.Go(func() {
			for !stop.Load() {
				if err := s.exchange(); err != nil {
					t.Errorf("stream %d: %v", i, err)
					return
				}
				rounds.Add(1)
			}
		})
	}
	newClients := 0
	load.Go(func() {
		for id := 1000; !stop.Load(); id++ {
			s, answer, err := open(clients, "index-sync", id)
			if answer != "UP 1\r\n" && !strings.HasPrefix(answer, "BUSY") {
				t.Errorf("client that connected during the hot restart: answer %q, %v, want UP 1 or BUSY", answer, err)
			}
			if s != nil {
				_ = s.c.Close()
			}
			newClients++
		}
	})
	next := start(t, "GW_CONFIG="+path, tmp)
	if err := old.cmd.Process.Signal(unix.SIGTERM); err != nil {
		t.Fatal(err)
	}
	old.logged("hot restart: connections transferred to successor")
	if err := old.cmd.Wait(); err != nil {
		t.Errorf("the old process ended with %v, want exit code 0", err)
	}
	for from := rounds.Load(); rounds.Load() < from+50*established && !t.Failed(); {
		time.Sleep(time.Millisecond)
	}
	stop.Store(true)
	load.Wait()
	t.Logf("%d rounds, %d new clients", rounds.Load(), newClients)
	for i := range established {
		if _, again := requested.Load(fmt.Sprintf("%08x", i)); again {
			t.Errorf("request of stream %d reached a server again, want it sent once", i)
		}
	}
	// The connections are now those of the new process, which moves them all when it stops.
	if err := next.cmd.Process.Signal(unix.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for i, s := range streams {
		if got, err := s.in.ReadString('\n'); got != "MOVE\r\n" {
			t.Errorf("stream %d: got %q, %v, want MOVE", i, got, err)
		}
		_ = s.c.Close()
	}
	if err := next.cmd.Wait(); err != nil {
		t.Errorf("the new process ended with %v, want exit code 0", err)
	}
}

// A new process that starts while discovery is down uses the old process's server list instead of the older one in its
// configuration, so that no new connection goes to a draining server.
func TestNewProcessInheritsServerList(t *testing.T) {
	published, err := discoveryserver.Start(0)
	if err != nil {
		t.Fatal(err)
	}
	clients := freePort(t)
	var requests [2]atomic.Int64
	pairs := startServers(t, func(i int, _ string) { requests[i].Add(1) })
	// the list in the configuration has generation 1
	for i, state := range []string{discoveryserver.Ready, discoveryserver.Terminating} {
		published.Publish(discoveryserver.Entry{
			ID: fmt.Sprint("toy-", 2-i), Addr: pairs[3-2*i], Zone: "here", MachineType: "toy", Lifecycle: state,
			Weight: 1,
		})
	}
	path, _ := writeConfig(t, append(pairs, "127.0.0.1:8081", clients, "127.0.0.1:8500", published.Addr())...)
	dir := t.TempDir()
	old := start(t, "GW_CONFIG="+path, "TMPDIR="+dir)
	stored := restartproto.ServerListPath(dir, netip.MustParseAddrPort(clients))
	for until := time.Now().Add(30 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if l, err := restartproto.ReadServerList(stored); err == nil &&
			strings.Contains(string(l.Snapshot), discoveryserver.Terminating) {
			break
		} else if time.Now().After(until) {
			t.Fatalf("no list with a draining server was stored within 30 s: %v", err)
		}
	}
	if err := published.Close(); err != nil {
		t.Fatal(err)
	}
	next := start(t, "GW_CONFIG="+path, "TMPDIR="+dir)
	if err := old.cmd.Process.Signal(unix.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := old.cmd.Wait(); err != nil {
		t.Errorf("the old process ended with %v, want exit code 0", err)
	}
	for i := range 16 {
		s, answer, err := open(clients, "index-sync", i)
		if answer != "UP 1\r\n" {
			t.Fatalf("client %d: answer %q, %v, want UP 1", i, answer, err)
		}
		_ = s.c.Close()
	}
	if requests[0].Load() != 0 || requests[1].Load() < 16 {
		t.Errorf("%d requests went to the draining server, %d to the other; want 0 and at least 16",
			requests[0].Load(), requests[1].Load())
	}
	if err := next.cmd.Process.Signal(unix.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := next.cmd.Wait(); err != nil {
		t.Errorf("the new process ended with %v, want exit code 0", err)
	}
	if left, _ := os.ReadDir(dir); len(left) != 0 {
		t.Errorf("files left after both processes ended: %v, want none", left)
	}
}
