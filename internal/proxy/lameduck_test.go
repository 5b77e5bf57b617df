package proxy

import (
	"fmt"
	"net"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"spurspread/decision/lifecycle"
)

// adminCall makes a command of the admin listener on the loop and returns its answer.
func (g *harness) adminCall(c lifecycle.CommandKind) (answer string) {
	g.inLoop(func() { answer = g.proxy.HandleAdminCommand(c) })
	return answer
}

// pinged is what a health checker is answered.
func (g *harness) pinged() string {
	g.t.Helper()
	p := g.client("PING\r\n")
	defer func() { _ = p.Close() }()
	return p.line()
}

// A lame duck moves every established connection, tells health checkers that it wants no clients, stays, and takes
// clients again at REJOIN.
func TestLameDuckMovesAllAndStays(t *testing.T) {
	const standing = 200
	g := newHarness(t, 1, sendToFirst, nil)
	var clients []*peer
	for i := range standing {
		c := g.client(fmt.Sprintf("OPEN %04x 7f3a c=sync,d=60000\r\n", 0x1000+i))
		server := g.acceptUpstream(0)
		server.line()
		server.say("UP r1\r\n")
		c.want("UP r1\r\n")
		clients = append(clients, c)
	}
	if got := g.adminCall(lifecycle.CommandLameDuck); got != "+OK lameduck" {
		t.Fatalf("LAMEDUCK: %q", got)
	}
	if got := g.pinged(); got != "ERR\r\n" {
		t.Errorf("a front's PING during the drain: %q", got)
	}
	if got := g.adminCall(lifecycle.CommandLameDuck); got != "+OK lameduck" {
		t.Errorf("LAMEDUCK twice: %q", got)
	}
	began := time.Now()
	for i, c := range clients {
		if got := c.line(); got != "MOVE\r\n" {
			t.Fatalf("client %d: %q", i, got)
		}
		c.ended(true)
	}
	t.Logf("%d moved in %v", standing, time.Since(began))
	select {
	case err := <-g.stopped:
		g.stopped <- err
		t.Fatalf("a lame duck stopped: %v", err)
	default:
	}
	if got := g.adminCall(lifecycle.CommandRejoin); got != "+OK serving" {
		t.Errorf("REJOIN: %q", got)
	}
	if got := g.pinged(); got != "PONG\r\n" {
		t.Errorf("a front's PING after REJOIN: %q", got)
	}
	c, _ := g.establish() // served, and not moved
	c.say("\r\n")
	if g.lifecycleState() != lifecycle.Serving {
		t.Errorf("duty %v", g.lifecycleState())
	}
}

// A drain that is cancelled at once moves nobody; SIGTERM after it still moves all and stops.
func TestRejoinCancelsTheMoves(t *testing.T) {
	g := newHarness(t, 1, sendToFirst, nil)
	client, server := g.establish()
	g.inLoop(func() {
		g.proxy.HandleAdminCommand(lifecycle.CommandLameDuck)
		g.proxy.HandleAdminCommand(lifecycle.CommandRejoin)
	})
	time.Sleep(3500 * time.Millisecond) // past all that the drain had planned
	server.say("LINE 1\r\n")
	if got := client.line(); got != "LINE 1\r\n" {
		t.Fatalf("after a drain taken back: %q", got)
	}
	g.loop.Post(g.proxy.Drain)
	client.want("MOVE\r\n")
	if got := g.adminCall(lifecycle.CommandRejoin); !strings.HasPrefix(got, "-ERR") {
		t.Errorf("REJOIN while stopping: %q", got)
	}
	client.ended(true)
	_ = client.Close()
	err := <-g.stopped
	g.stopped <- err
	g.check(err)
}

// SIGTERM during a lame duck leaves less time than it had planned: its moves come sooner, and nobody is cut off.
func TestTermDuringLameDuck(t *testing.T) {
	g := newHarness(t, 1, sendToFirst, func(cfg *Config) { cfg.Settings.Decision.Classes[0].Deadline = 600_000 })
	var clients []*peer
	for i := range 30 {
		c, _ := g.establishID(0x1000 + i)
		clients = append(clients, c)
	}
	g.inLoop(func() {
		g.proxy.HandleAdminCommand(lifecycle.CommandLameDuck)
		g.proxy.Drain()
	})
	for i, c := range clients {
		if got := c.line(); got != "MOVE\r\n" {
			t.Fatalf("client %d: %q", i, got)
		}
		c.ended(true)
		_ = c.Close()
	}
	g.stops()
}

// lifecycleState is read on the loop.
func (g *harness) lifecycleState() (d lifecycle.State) {
	g.inLoop(func() { d = g.proxy.LifecycleState() })
	return d
}

// In a hot restart a balancer closes its listener at once, moves what is established and stops; it rejects nothing new.
func TestHotRestartClosesTheListener(t *testing.T) {
	g := newHarness(t, 1, sendToFirst, nil)
	client, _ := g.establish()
	addr := g.proxy.Addr().String()
	g.hotRestart(filepath.Join(t.TempDir(), "none"), 1)
	client.want("MOVE\r\n")
	if c, err := net.Dial("tcp", addr); err == nil {
		_ = c.Close()
		t.Errorf("still listening after the hand-over")
	}
	client.ended(true)
	_ = client.Close()
	err := <-g.stopped
	g.stopped <- err
	g.check(err)
}
