package proxy

import (
	"net"
	"testing"
	"time"

	"spurspread/decision"
	"spurspread/decision/outcome"
)

// If the loop is delayed, it may handle an attempt's connect timeout before the event of its established connection.
// The attempt must go on, and must not be reported as a failed connect. The server accepts while the loop is blocked,
// so the order is the same in every run.
func TestConnectTimeoutBeforeConnectEvent(t *testing.T) {
	h := newHarness(t, 1, decideNothing, func(cfg *Config) { cfg.Settings.ConnectTimeout = 1 })
	client, r := h.pendingRequest(1)
	h.check(h.servers[0].SetDeadline(time.Now().Add(testTimeout)))
	var at net.Conn
	var err error
	h.onLoop(func() {
		h.proxy.apply(decision.StartAttempt{ID: uint32(r.ref), Server: 0})
		at, err = h.servers[0].Accept()
	})
	server := h.newPeer(at, err)
	if got := server.readLine(); got[:10] != openLineWithID(1)[:10] {
		t.Fatalf("server got %q, want the request line with id 1", got)
	}
	server.send("UP 1\r\n")
	client.expect("UP 1\r\n")
}

// If the loop is delayed, it may handle a probe's connect timeout before the event of its established connection. The
// probe of a server that answers must not be reported as failed.
func TestProbeTimeoutBeforeConnectEvent(t *testing.T) {
	h := newHarness(t, 1, decideNothing, func(cfg *Config) { cfg.Settings.ConnectTimeout = 1 })
	h.check(h.servers[0].SetDeadline(time.Now().Add(testTimeout)))
	var at net.Conn
	var err error
	h.onLoop(func() {
		h.proxy.apply(decision.ProbeServer{Server: 0})
		at, err = h.servers[0].Accept()
	})
	server := h.newPeer(at, err)
	server.expect("PING\r\n")
	server.send("PONG\r\n")
	if p := await[decision.ProbeResult](h); p.Status != outcome.OK {
		t.Fatalf("got %+v, want status %d", p, outcome.OK)
	}
}
