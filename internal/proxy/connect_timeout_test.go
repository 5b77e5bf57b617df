package proxy

import (
	"net"
	"testing"
	"time"

	"spurspread/decision"
	"spurspread/decision/outcome"
)

// A loop that was held up finds a connection's deadline passed before it reads that the connection has come up: the
// attempt goes on, and its server is not taken for dead. The server accepts while the loop stands, so that the
// order is the same every time.
func TestConnectedBehindItsDeadline(t *testing.T) {
	g := newHarness(t, 1, decideNothing, func(cfg *Config) { cfg.Settings.ConnectTimeout = 1 })
	client, s := g.pendingRequest(1)
	g.check(g.servers[0].SetDeadline(time.Now().Add(patience)))
	var at net.Conn
	var err error
	g.inLoop(func() {
		g.proxy.apply(decision.StartAttempt{ID: uint32(s.ref), Server: 0})
		at, err = g.servers[0].Accept()
	})
	server := g.peer(at, err)
	if got := server.line(); got[:10] != openLineWithID(1)[:10] {
		t.Fatalf("the server was sent %q", got)
	}
	server.say("UP 1\r\n")
	client.want("UP 1\r\n")
}

// The same of a probe: what answers is not told to be dead.
func TestProbeConnectedBehindItsDeadline(t *testing.T) {
	g := newHarness(t, 1, decideNothing, func(cfg *Config) { cfg.Settings.ConnectTimeout = 1 })
	g.check(g.servers[0].SetDeadline(time.Now().Add(patience)))
	var at net.Conn
	var err error
	g.inLoop(func() {
		g.proxy.apply(decision.ProbeServer{Server: 0})
		at, err = g.servers[0].Accept()
	})
	server := g.peer(at, err)
	server.want("PING\r\n")
	server.say("PONG\r\n")
	if p := event[decision.ProbeResult](g); p.Status != outcome.OK {
		t.Fatalf("%+v", p)
	}
}
