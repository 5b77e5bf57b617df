package proxy

import (
	"strings"
	"testing"
	"time"

	"spurspread/decision"
	"spurspread/decision/monotime"
)

// A server that tells how long messages take says so with LOAD lines. Read as a connection's load, which the decision
// core has no use for, they left clients on slow servers.
func TestLoadLineIsTheMetricThatSettingsPromise(t *testing.T) {
	for _, c := range []struct {
		tellsLoad bool
		want      decision.MetricKind
	}{{false, decision.MessageLatencyMetric}, {true, decision.LoadMetric}} {
		g := newHarness(t, 1, sendToFirst, func(cfg *Config) { cfg.Settings.ReportsLoad = c.tellsLoad })
		client, server := g.establish()
		server.say("LOAD 192.5\r\n")
		client.want("LOAD 192.5\r\n")
		if n := event[decision.ConnectionMetric](g); n.Kind != c.want || n.Value != 192.5 || n.Server != 0 {
			t.Errorf("tells load %v: %+v", c.tellsLoad, n)
		}
	}
}

// A slow reader costs a bounded buffer: its server is left alone until it has caught up.
func TestSlowReader(t *testing.T) {
	g := newHarness(t, 1, sendToFirst, nil)
	client, server := g.establish()
	const lines = 200_000
	g.check(client.SetReadBuffer(256 << 10))
	go func() {
		_, _ = server.Write([]byte(strings.Repeat("0123456789abcdef0123456789abcdef\r\n", lines)))
	}()
	kept := 0
	look := func() { kept = firstRequest(g).downstream.Pending() }
	for until := time.Now().Add(patience); kept == 0 && time.Now().Before(until); {
		g.inLoop(look)
	}
	for range 300 {
		if g.inLoop(look); kept == 0 || kept > g.proxy.buffers.maxPending+len(g.proxy.buffers.read) {
			t.Fatalf("%d bytes kept", kept)
		}
	}
	silent := 0
	g.inLoop(func() { // nor is it the server that brings nothing back
		s := firstRequest(g)
		s.removeAnswered(len(s.sentAt))
		s.lastReply = 1
		s.awaitReply(1)
		g.proxy.latencies.sweep()
		s.removeAnswered(len(s.sentAt))
		silent = g.proxy.stats.unresponsive
	})
	if silent != 0 {
		t.Fatal("a slow reader was taken for a silent server")
	}
	client.say("T 1\r\n")
	server.want("T 1\r\n")
	defer func() {
		samples := 0
		g.inLoop(func() { samples = g.proxy.latencies.forServer(0).delay.Samples() })
		if samples > 0 {
			t.Errorf(
				"a line that waited for its client to read was timed: %d",
				g.proxy.latencies.forServer(0).delay.Samples(),
			)
		}
	}()
	for i := range lines {
		if got := client.line(); got != "0123456789abcdef0123456789abcdef\r\n" {
			t.Fatalf("line %d: %q", i, got)
		}
	}
}

// The protocol's limit for a connection that brings nothing back is 7 s.
func TestSilent(t *testing.T) {
	at := func(state requestState, lastReply monotime.Micros, sentAt ...monotime.Micros) *request {
		return &request{state: state, establishedStream: establishedStream{lastReply: lastReply, sentAt: sentAt}}
	}
	const sec = monotime.Second
	for name, c := range map[string]struct {
		request *request
		want    bool
	}{
		"no line":         {at(stateEstablished, 0), false},
		"answered lately": {at(stateEstablished, 15*sec, 15*sec), false},
		"just sent":       {at(stateEstablished, 0, 19*sec), false},
		"nothing back":    {at(stateEstablished, 13*sec, 15*sec), true},
		"half-closed":     {at(stateHalfClosed, 13*sec, 15*sec), false},
	} {
		if got := c.request.isUnresponsive(20 * monotime.Second); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}

// Where nobody expects reports of slow messages, what lines took is not kept: it would grow for as long as lines come.
func TestDelaysAreDiscardedWithoutReports(t *testing.T) {
	g := newHarness(t, 1, sendToFirst, func(cfg *Config) { cfg.Settings.ReportsMessageLatency = false })
	client, server := g.establish()
	for range 3 {
		client.say("T 1\r\n")
		server.want("T 1\r\n")
		server.say("T 1\r\n")
		client.want("T 1\r\n")
	}
	kept := -1
	g.inLoop(func() {
		g.proxy.latencies.sweep()
		kept = g.proxy.latencies.forServer(0).delay.Samples()
	})
	if kept != 0 {
		t.Fatalf("%d times are kept", kept)
	}
}
