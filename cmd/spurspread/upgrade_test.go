package main

import (
	"bufio"
	"fmt"
	"net"
	"net/netip"
	"os"
	"spurspread/internal/restartproto"
	"spurspread/lab/discoveryserver"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// clientStream is a client that stands; it says a line and waits until that has come back, over and over.
type clientStream struct {
	c    net.Conn
	in   *bufio.Reader
	said int
}

func open(addr, class string, id int) (*clientStream, string, error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, "", err
	}
	_ = c.SetDeadline(time.Now().Add(60 * time.Second)) // only so that a fault ends the test
	s := &clientStream{c: c, in: bufio.NewReader(c)}
	if _, err := fmt.Fprintf(c, "OPEN %08x 7f3a c=%s,d=1200\r\n", id, class); err != nil {
		return s, "", err
	}
	answer, err := s.in.ReadString('\n')
	return s, answer, err
}

// exchange says one line and reads it back.
func (s *clientStream) exchange() error {
	s.said++
	text := fmt.Sprintf("line %d\r\n", s.said)
	if _, err := s.c.Write([]byte(text)); err != nil {
		return err
	}
	if got, err := s.in.ReadString('\n'); got != text {
		return fmt.Errorf("%q came back for %q, %v", got, text, err)
	}
	return nil
}

// Under a steady load, standing streams go on through an upgrade without noticing it, and every client that comes
// meanwhile is answered, by one process or the other.
func TestUpgradeUnderLoad(t *testing.T) {
	const standing = 24
	silent, clients := listener(t), freePort(t)
	var asked sync.Map // ids, of those that asked after the upgrade began
	var counting atomic.Bool
	path, _ := configured(t, append(startServers(t, func(_ int, first string) {
		if counting.Load() {
			asked.Store(strings.Fields(first)[1], true)
		}
	}), "127.0.0.1:8081", clients, "127.0.0.1:8500", silent.Addr().String())...)
	tmp := "TMPDIR=" + t.TempDir()
	old := start(t, "GW_CONFIG="+path, tmp)
	var streams []*clientStream
	for i := range standing {
		s, answer, err := open(clients, "index-sync", i)
		if answer != "UP 1\r\n" {
			t.Fatalf("stream %d: %q, %v", i, answer, err)
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
	came := 0
	load.Go(func() {
		for id := 1000; !stop.Load(); id++ {
			s, answer, err := open(clients, "index-sync", id)
			if answer != "UP 1\r\n" && !strings.HasPrefix(answer, "BUSY") {
				t.Errorf("a client that came meanwhile: %q, %v", answer, err)
			}
			if s != nil {
				_ = s.c.Close()
			}
			came++
		}
	})
	next := start(t, "GW_CONFIG="+path, tmp)
	if err := old.cmd.Process.Signal(unix.SIGTERM); err != nil {
		t.Fatal(err)
	}
	old.logged("hot restart: connections transferred to successor")
	if err := old.cmd.Wait(); err != nil {
		t.Errorf("the old one ended with %v", err)
	}
	for from := rounds.Load(); rounds.Load() < from+50*standing && !t.Failed(); {
		time.Sleep(time.Millisecond)
	}
	stop.Store(true)
	load.Wait()
	t.Logf("%d rounds, %d clients came", rounds.Load(), came)
	for i := range standing {
		if _, again := asked.Load(fmt.Sprintf("%08x", i)); again {
			t.Errorf("stream %d asked again", i)
		}
	}
	// They are the new one's now: it moves them all when it goes.
	if err := next.cmd.Process.Signal(unix.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for i, s := range streams {
		if got, err := s.in.ReadString('\n'); got != "MOVE\r\n" {
			t.Errorf("stream %d: %q, %v", i, got, err)
		}
		_ = s.c.Close()
	}
	if err := next.cmd.Wait(); err != nil {
		t.Errorf("the new one ended with %v", err)
	}
}

// A new version that starts while discovery is down goes on from what the old one heard, and not from the older
// list in its configuration: nothing new goes to a server that drains.
func TestNewVersionKnowsWhatDiscoveryTold(t *testing.T) {
	told, err := discoveryserver.Start(0)
	if err != nil {
		t.Fatal(err)
	}
	clients := freePort(t)
	var asked [2]atomic.Int64
	pairs := startServers(t, func(i int, _ string) { asked[i].Add(1) })
	// the configuration's list is of generation 1
	for i, state := range []string{discoveryserver.Ready, discoveryserver.Terminating} {
		told.Set(discoveryserver.Entry{
			ID: fmt.Sprint("toy-", 2-i), Addr: pairs[3-2*i], Zone: "here", Machine: "toy", Lifecycle: state,
			Weight: 1,
		})
	}
	path, _ := configured(t, append(pairs, "127.0.0.1:8081", clients, "127.0.0.1:8500", told.Addr())...)
	dir := t.TempDir()
	old := start(t, "GW_CONFIG="+path, "TMPDIR="+dir)
	kept := restartproto.ServerListPath(dir, netip.MustParseAddrPort(clients))
	for until := time.Now().Add(30 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if l, err := restartproto.ReadServerList(kept); err == nil &&
			strings.Contains(string(l.Snapshot), discoveryserver.Terminating) {
			break
		} else if time.Now().After(until) {
			t.Fatalf("nothing was kept: %v", err)
		}
	}
	if err := told.Close(); err != nil {
		t.Fatal(err)
	}
	next := start(t, "GW_CONFIG="+path, "TMPDIR="+dir)
	if err := old.cmd.Process.Signal(unix.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := old.cmd.Wait(); err != nil {
		t.Errorf("the old one ended with %v", err)
	}
	for i := range 16 {
		s, answer, err := open(clients, "index-sync", i)
		if answer != "UP 1\r\n" {
			t.Fatalf("client %d: %q, %v", i, answer, err)
		}
		_ = s.c.Close()
	}
	if asked[0].Load() != 0 || asked[1].Load() < 16 {
		t.Errorf("%d went to the server that drains, %d to the other", asked[0].Load(), asked[1].Load())
	}
	if err := next.cmd.Process.Signal(unix.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := next.cmd.Wait(); err != nil {
		t.Errorf("the new one ended with %v", err)
	}
	if left, _ := os.ReadDir(dir); len(left) != 0 {
		t.Errorf("left behind: %v", left)
	}
}
