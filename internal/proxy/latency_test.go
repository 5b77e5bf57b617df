package proxy

import (
	"strings"
	"testing"
	"time"

	"spurspread/decision"
	"spurspread/decision/monotime"
)

// LOAD lines carry a message latency unless the settings say that servers report their load. Message latencies taken
// for load would be ignored by the decision core, and clients would stay on slow servers.
func TestLoadLineMetricKind(t *testing.T) {
	for _, c := range []struct {
		reportsLoad bool
		want        decision.MetricKind
	}{{false, decision.MessageLatencyMetric}, {true, decision.LoadMetric}} {
		h := newHarness(t, 1, sendToFirst, func(cfg *Config) { cfg.Settings.ReportsLoad = c.reportsLoad })
		client, server := h.establish()
		server.send("LOAD 192.5\r\n")
		client.expect("LOAD 192.5\r\n")
		if n := await[decision.ConnectionMetric](h); n.Kind != c.want || n.Value != 192.5 || n.Server != 0 {
			t.Errorf("ReportsLoad %v: got %+v, want kind %v, value 192.5, server 0", c.reportsLoad, n, c.want)
		}
	}
}

// The data buffered for a slow client is bounded: its server is not read until the client has caught up. During
// that time the server does not count as unresponsive, and its message latency is not measured.
func TestSlowReader(t *testing.T) {
	h := newHarness(t, 1, sendToFirst, nil)
	client, server := h.establish()
	const lines = 200_000
	h.check(client.SetReadBuffer(256 << 10))
	go func() {
		_, _ = server.Write([]byte(strings.Repeat("0123456789abcdef0123456789abcdef\r\n", lines)))
	}()
	pending := 0
	readPending := func() { pending = firstRequest(h).downstream.Pending() }
	for until := time.Now().Add(testTimeout); pending == 0 && time.Now().Before(until); {
		h.onLoop(readPending)
	}
	for range 300 {
		if h.onLoop(readPending); pending == 0 || pending > h.proxy.buffers.maxPending+readSize {
			t.Fatalf("%d bytes buffered, want some, but within the limit", pending)
		}
	}
	unresponsive := 0
	h.onLoop(func() { // the server must not count as unresponsive either
		r := firstRequest(h)
		r.removeAnswered(len(r.sentAt))
		r.lastReply = 1
		r.awaitReply(1)
		h.proxy.latencies.sweep()
		r.removeAnswered(len(r.sentAt))
		unresponsive = h.proxy.stats.unresponsive
	})
	if unresponsive != 0 {
		t.Fatalf("%d unresponsive servers, want 0: the client is slow", unresponsive)
	}
	client.send("T 1\r\n")
	server.expect("T 1\r\n")
	defer func() {
		samples := 0
		h.onLoop(func() { samples = h.proxy.latencies.forServer(0).delay.Samples() })
		if samples > 0 {
			t.Errorf(
				"%d latencies measured on lines that waited for a slow client, want 0",
				h.proxy.latencies.forServer(0).delay.Samples(),
			)
		}
	}()
	for i := range lines {
		if got := client.readLine(); got != "0123456789abcdef0123456789abcdef\r\n" {
			t.Fatalf("line %d is %q, want it unchanged", i, got)
		}
	}
}

// A server is unresponsive if it leaves a client's lines without a reply for 7 s, as the protocol says.
func TestUnresponsiveServer(t *testing.T) {
	at := func(state requestState, lastReply monotime.Micros, sentAt ...monotime.Micros) *request {
		return &request{state: state, establishedStream: establishedStream{lastReply: lastReply, sentAt: sentAt}}
	}
	const sec = monotime.Second
	for name, c := range map[string]struct {
		request *request
		want    bool
	}{
		"no line":      {at(stateEstablished, 0), false},
		"recent reply": {at(stateEstablished, 15*sec, 15*sec), false},
		"just sent":    {at(stateEstablished, 0, 19*sec), false},
		"no reply":     {at(stateEstablished, 13*sec, 15*sec), true},
		"half-closed":  {at(stateHalfClosed, 13*sec, 15*sec), false},
	} {
		if got := c.request.isUnresponsive(20 * monotime.Second); got != c.want {
			t.Errorf("%s: isUnresponsive = %v, want %v", name, got, c.want)
		}
	}
}

// Message latencies are not kept if the settings don't ask for reports of slow messages: since nothing would read them,
// they would grow without limit.
func TestDelaysAreDiscardedWithoutReports(t *testing.T) {
	h := newHarness(t, 1, sendToFirst, func(cfg *Config) { cfg.Settings.ReportsMessageLatency = false })
	client, server := h.establish()
	for range 3 {
		client.send("T 1\r\n")
		server.expect("T 1\r\n")
		server.send("T 1\r\n")
		client.expect("T 1\r\n")
	}
	kept := -1
	h.onLoop(func() {
		h.proxy.latencies.sweep()
		kept = h.proxy.latencies.forServer(0).delay.Samples()
	})
	if kept != 0 {
		t.Fatalf("%d latencies kept, want 0", kept)
	}
}
