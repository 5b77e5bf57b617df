package proxy

import (
	"io"
	"strings"
	"testing"
	"time"

	"spurspread/decision"
	"spurspread/decision/outcome"
	"spurspread/decision/overload"
	"spurspread/decision/requestids"
	"spurspread/internal/lineproto"
)

// A client that sends data before it has its answer gets ERR and is not served: its server would take the data for
// lines of an established connection. The connection then ends with EOF; closing it with unread data would be a reset.
func TestDataBeforeAnswer(t *testing.T) {
	h := newHarness(t, 1, sendToFirst, nil)
	pipelined := h.connect(openLine + strings.Repeat("too early\r\n", 10_000))
	pipelined.expect("ERR\r\n")
	pipelined.expectEnd(true)
	late := h.connect(otherOpenLine)
	server := h.acceptUpstream(0)
	server.readLine()
	// Both have arrived when the loop continues, and it may read either first.
	h.onLoop(func() {
		late.send("too early\r\n")
		server.send("UP r1\r\n")
	})
	late.expect("ERR\r\n")
	late.expectEnd(true)
	if o := await[decision.AttemptEnded](h); o.Status != outcome.Cancelled || !o.RequestClosed {
		t.Errorf("got %+v, want status %d of a closed request", o, outcome.Cancelled)
	}
}

// A client must use a new id for every connection. The proxy rejects a repeated id itself; a server would answer ERR,
// which would count as its fault.
func TestRepeatedID(t *testing.T) {
	h := newHarness(t, 1, sendToFirst, nil)
	client, server := h.establish()
	h.connect(openLine).expect("ERR\r\n")
	server.send("BYE\r\n")
	h.check(server.Close())
	client.expect("BYE\r\n")
	client.expectEnd(true)
	h.connect(openLine).expect("ERR\r\n")
	known := requestids.New()
	for id := range uint64(3 * requestids.MaxFinished) {
		if !known.Add(id) || known.Add(id) {
			t.Fatalf("id %d must be added the first time and rejected the second", id)
		}
		known.Finish(id)
	}
	if known.Len() != requestids.MaxFinished || known.Add(3*requestids.MaxFinished-1) || !known.Add(0) {
		t.Errorf("%d ids kept, want the latest %d", known.Len(), requestids.MaxFinished)
	}
}

// A client without a complete first line is disconnected within 3 s of connecting, even if it has sent a ping before.
// If it has sent part of a line, it gets ERR first.
func TestIncompleteFirstLine(t *testing.T) {
	h := newHarness(t, 0, nil, nil)
	began := time.Now()
	silent, half := h.connect(""), h.connect("OPEN 9b1f 7f3a c=sy")
	pinged := h.connect("PING\r\nOPEN 9b1f")
	pinged.expect("PONG\r\n")
	half.expect("ERR\r\n")
	pinged.expect("ERR\r\n")
	for _, c := range []*peer{silent, half, pinged} {
		c.expectEnd(true)
	}
	if took := time.Since(began); took > 3*time.Second {
		t.Errorf("clients disconnected after %v, want at most 3 s", took)
	}
}

// A client that keeps sending after its answer is disconnected soon, and its data is not kept in memory.
func TestEndlessFirstLine(t *testing.T) {
	h := newHarness(t, 0, nil, nil)
	client := h.connect("")
	block := []byte(strings.Repeat("k", 1<<20))
	sent := 0
	for range 60 {
		n, err := client.Write(block)
		if sent += n; err != nil {
			break
		}
	}
	if sent == 60<<20 {
		t.Errorf("the proxy accepted all %d bytes, want the connection closed before", sent)
	}
	left := -1
	for until := time.Now().Add(testTimeout); left != 0 && time.Now().Before(until); {
		h.onLoop(func() { left = h.proxy.requests.len() })
	}
	if left != 0 {
		t.Errorf("%d requests left, want 0", left)
	}
}

// Many idle clients don't exhaust the descriptors: the oldest are evicted when descriptors are short, while a health
// checker's connection and established connections stay.
func TestManyIdleClients(t *testing.T) {
	h := newHarness(t, 1, sendToFirst, func(cfg *Config) { cfg.MaxDescriptors = 64 })
	checker := h.connect("PING\r\n")
	checker.expect("PONG\r\n")
	checker.send("PING\r\n")
	checker.expect("PONG\r\n")
	served, server := h.establish()
	var idle []*peer
	for i := range 120 {
		idle = append(idle, h.connect([]string{"", "PING\r\n"}[i%2]))
	}
	idle[0].expectEnd(true)
	h.connect(otherOpenLine)
	h.acceptUpstream(0).readLine()
	checker.send("PING\r\n")
	checker.expect("PONG\r\n")
	server.send("still there\r\n")
	served.expect("still there\r\n")
	h.onLoop(func() {
		if n := h.loop.OpenSockets(); n > 64-overload.ReservedDescriptors {
			t.Errorf("%d sockets open, want at most %d", n, 64-overload.ReservedDescriptors)
		}
	})
}

// Every malformed first line is answered with ERR, and the proxy still serves other clients. Pings must not be
// pipelined, but may arrive in pieces.
func TestBadFirstLines(t *testing.T) {
	h := newHarness(t, 0, nil, nil)
	for _, bad := range []string{
		"\r\n", "\n", "OPEN\r\n", "OPEN a b c=nobody,d=5\r\n", "OPEN a b d=5\r\n", "OPEN a b c=sync\n",
		"GET / HTTP/1.1\r\n", "\x00\x01\r\n", strings.Repeat("x", lineproto.MaxLine),
	} {
		client := h.connect(bad)
		client.expect("ERR\r\n")
		client.expectEnd(true)
	}
	pipelined := h.connect(strings.Repeat("PING\r\n", 300))
	pipelined.expect("ERR\r\n")
	client := h.connect("PING\r\nPI")
	client.expect("PONG\r\n")
	client.send("NG\r\n")
	client.expect("PONG\r\n")
}

// When descriptors are short, clients are rejected with BUSY rather than just disconnected.
func TestRejectedWhenDescriptorsShort(t *testing.T) {
	h := newHarness(t, 1, sendToFirst, func(cfg *Config) { cfg.MaxDescriptors = overload.ReservedDescriptors + 2 })
	if got := h.connect(openLine).readLine(); !strings.HasPrefix(got, "BUSY ") {
		t.Errorf("got %q, want BUSY with a retry delay", got)
	}
}

// Requests beyond the limit of held requests are rejected by the proxy itself.
func TestMaxHeldRequests(t *testing.T) {
	h := newHarness(t, 1, sendToFirst, func(cfg *Config) { cfg.Settings.Decision.MaxHeldRequests = 1 })
	h.establish()
	if got := h.connect(otherOpenLine).readLine(); !strings.HasPrefix(got, "BUSY ") {
		t.Errorf("got %q, want BUSY with a retry delay", got)
	}
}

// idleCount returns the number of idle connections of a class. It must be called on the loop.
func (h *harness) idleCount(class overload.EvictionClass) int {
	return h.proxy.listener.idle.classes[class].Len()
}

// oldestIdle returns the oldest connection that has sent no request. It must be called on the loop.
func (h *harness) oldestIdle() *downstreamConn {
	return h.proxy.listener.idle.oldest(overload.NoRequest)
}

// waitForIdle waits until the proxy has exactly one connection without a request.
func (h *harness) waitForIdle() {
	h.t.Helper()
	h.waitUntil(func() bool { return h.idleCount(overload.NoRequest) == 1 })
}

// A client that keeps sending can still read its answer: the proxy does not close the connection because of the excess
// data, which would reset it, until the client's time to read the answer is over.
func TestClientKeepsSendingAfterAnswer(t *testing.T) {
	h := newHarness(t, 0, nil, nil)
	p := h.connect("")
	h.waitForIdle()
	h.onLoop(func() {
		d := h.oldestIdle()
		p.send("nonsense\r\n")
		d.Readable(d.conn)
		block := strings.Repeat("k", 64<<10)
		for more := 2; !d.closed && more > 0; {
			p.send(block)
			if d.Readable(d.conn); overload.StopsReading(d.discardedBytes) {
				more--
			}
		}
		if d.closed {
			t.Error("connection closed because its client keeps sending")
		}
	})
	if answer, err := io.ReadAll(p); string(answer) != "ERR\r\n" || err != nil {
		t.Errorf("client read %q, %v, want ERR and EOF", answer, err)
	}
}

// When a connection is evicted because descriptors are short, a request that has arrived on it but is not yet read is
// rejected with BUSY. A connection without a request just ends with EOF.
func TestRequestReadOnEviction(t *testing.T) {
	h := newHarness(t, 0, nil, nil)
	asks, silent := h.connect(""), h.connect("")
	h.waitUntil(func() bool { return h.idleCount(overload.NoRequest) == 2 })
	h.onLoop(func() {
		asks.send(openLine)
		h.proxy.cfg.MaxDescriptors = 1
		h.proxy.listener.evictIdle()
		if n := h.idleCount(overload.NoRequest) + h.idleCount(overload.Answered); n != 0 {
			t.Errorf("%d idle connections left, want 0", n)
		}
	})
	if got := asks.readLine(); !strings.HasPrefix(got, "BUSY ") {
		t.Errorf("got %q, want BUSY with a retry delay", got)
	}
	asks.expectEnd(true)
	silent.expectEnd(true)
	h.expectNoRequest()
}
