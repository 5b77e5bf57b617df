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

// adminCommand carries out an admin command and returns the reply.
func (h *harness) adminCommand(c lifecycle.CommandKind) (answer string) {
	h.onLoop(func() { answer = h.proxy.HandleAdminCommand(c) })
	return answer
}

// ping sends a health checker's ping and returns the answer.
func (h *harness) ping() string {
	h.t.Helper()
	p := h.connect("PING\r\n")
	defer func() { _ = p.Close() }()
	return p.readLine()
}

// A lame duck moves all established connections and fails health checks, but keeps running. After REJOIN it serves
// clients again.
func TestLameDuckMovesAllAndStays(t *testing.T) {
	const connections = 200
	h := newHarness(t, 1, sendToFirst, nil)
	var clients []*peer
	for i := range connections {
		c := h.connect(fmt.Sprintf("OPEN %04x 7f3a c=sync,d=60000\r\n", 0x1000+i))
		server := h.acceptUpstream(0)
		server.readLine()
		server.send("UP r1\r\n")
		c.expect("UP r1\r\n")
		clients = append(clients, c)
	}
	if got := h.adminCommand(lifecycle.CommandLameDuck); got != "+OK lameduck" {
		t.Fatalf("LAMEDUCK answered %q, want +OK lameduck", got)
	}
	if got := h.ping(); got != "ERR\r\n" {
		t.Errorf("ping during the drain answered %q, want ERR", got)
	}
	if got := h.adminCommand(lifecycle.CommandLameDuck); got != "+OK lameduck" {
		t.Errorf("second LAMEDUCK answered %q, want +OK lameduck", got)
	}
	began := time.Now()
	for i, c := range clients {
		if got := c.readLine(); got != "MOVE\r\n" {
			t.Fatalf("client %d got %q, want MOVE", i, got)
		}
		c.expectEnd(true)
	}
	t.Logf("%d moved in %v", connections, time.Since(began))
	select {
	case err := <-h.stopped:
		h.stopped <- err
		t.Fatalf("the loop of a lame duck stopped with %v, want it to keep running", err)
	default:
	}
	if got := h.adminCommand(lifecycle.CommandRejoin); got != "+OK serving" {
		t.Errorf("REJOIN answered %q, want +OK serving", got)
	}
	if got := h.ping(); got != "PONG\r\n" {
		t.Errorf("ping after REJOIN answered %q, want PONG", got)
	}
	c, _ := h.establish() // served again
	c.send("\r\n")
	if h.lifecycleState() != lifecycle.Serving {
		t.Errorf("state after REJOIN is %v, want %v", h.lifecycleState(), lifecycle.Serving)
	}
}

// REJOIN cancels the moves that LAMEDUCK has scheduled. A planned stop after that still moves all connections.
func TestRejoinCancelsMoves(t *testing.T) {
	h := newHarness(t, 1, sendToFirst, nil)
	client, server := h.establish()
	h.onLoop(func() {
		h.proxy.HandleAdminCommand(lifecycle.CommandLameDuck)
		h.proxy.HandleAdminCommand(lifecycle.CommandRejoin)
	})
	time.Sleep(3500 * time.Millisecond) // longer than a lame duck's drain takes
	server.send("LINE 1\r\n")
	if got := client.readLine(); got != "LINE 1\r\n" {
		t.Fatalf("client got %q after a cancelled drain, want LINE 1", got)
	}
	h.loop.Post(h.proxy.Drain)
	client.expect("MOVE\r\n")
	if got := h.adminCommand(lifecycle.CommandRejoin); !strings.HasPrefix(got, "-ERR") {
		t.Errorf("REJOIN during a stop answered %q, want -ERR", got)
	}
	client.expectEnd(true)
	_ = client.Close()
	err := <-h.stopped
	h.stopped <- err
	h.check(err)
}

// A planned stop of a lame duck may leave less time than the lame duck had for its moves. The moves are then made
// sooner, so that no client is disconnected without MOVE.
func TestStopDuringLameDuck(t *testing.T) {
	h := newHarness(t, 1, sendToFirst, func(cfg *Config) { cfg.Settings.Decision.Classes[0].Deadline = 600_000 })
	var clients []*peer
	for i := range 30 {
		c, _ := h.establishWithID(0x1000 + i)
		clients = append(clients, c)
	}
	h.onLoop(func() {
		h.proxy.HandleAdminCommand(lifecycle.CommandLameDuck)
		h.proxy.Drain()
	})
	for i, c := range clients {
		if got := c.readLine(); got != "MOVE\r\n" {
			t.Fatalf("client %d got %q, want MOVE", i, got)
		}
		c.expectEnd(true)
		_ = c.Close()
	}
	h.waitStopped()
}

// lifecycleState returns the proxy's state.
func (h *harness) lifecycleState() (s lifecycle.State) {
	h.onLoop(func() { s = h.proxy.LifecycleState() })
	return s
}

// In a hot restart the old process closes its listener at once instead of rejecting new clients, moves its established
// connections and stops. Here there is no successor to transfer them to.
func TestHotRestartClosesTheListener(t *testing.T) {
	h := newHarness(t, 1, sendToFirst, nil)
	client, _ := h.establish()
	addr := h.proxy.Addr().String()
	h.hotRestart(filepath.Join(t.TempDir(), "none"), 1)
	client.expect("MOVE\r\n")
	if c, err := net.Dial("tcp", addr); err == nil {
		_ = c.Close()
		t.Errorf("listener still open after the hot restart began")
	}
	client.expectEnd(true)
	_ = client.Close()
	err := <-h.stopped
	h.stopped <- err
	h.check(err)
}
