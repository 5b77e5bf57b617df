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

// A client that does not wait for its answer is told so and never served: what it sends would be taken for lines of a
// connection that is established. The answer ends plainly, as closing with unread bytes would be a reset.
func TestEarlyBytes(t *testing.T) {
	g := newHarness(t, 1, sendToFirst, nil)
	behind := g.client(openLine + strings.Repeat("too early\r\n", 10_000))
	behind.want("ERR\r\n")
	behind.ended(true)
	late := g.client(another)
	server := g.acceptUpstream(0)
	server.line()
	// Both are there when the loop looks, whichever it sees first.
	g.inLoop(func() {
		late.say("too early\r\n")
		server.say("UP r1\r\n")
	})
	late.want("ERR\r\n")
	late.ended(true)
	if o := event[decision.AttemptEnded](g); o.Status != outcome.Cancelled || !o.RequestClosed {
		t.Errorf("%+v", o)
	}
}

// The id is new for every connection. Passed on, one that another has would come back as a server's error.
func TestRepeatedID(t *testing.T) {
	g := newHarness(t, 1, sendToFirst, nil)
	client, server := g.establish()
	g.client(openLine).want("ERR\r\n")
	server.say("BYE\r\n")
	g.check(server.Close())
	client.want("BYE\r\n")
	client.ended(true)
	g.client(openLine).want("ERR\r\n")
	known := requestids.New()
	for id := range uint64(3 * requestids.MaxFinished) {
		if !known.Add(id) || known.Add(id) {
			t.Fatalf("id %d", id)
		}
		known.Finish(id)
	}
	if known.Len() != requestids.MaxFinished || known.Add(3*requestids.MaxFinished-1) || !known.Add(0) {
		t.Errorf("%d ids", known.Len())
	}
}

// Whoever says nothing whole is gone within 3 s of connecting, also behind a ping. Who has begun to ask is told so.
func TestSilentClients(t *testing.T) {
	g := newHarness(t, 0, nil, nil)
	began := time.Now()
	silent, half := g.client(""), g.client("OPEN 9b1f 7f3a c=sy")
	pinged := g.client("PING\r\nOPEN 9b1f")
	pinged.want("PONG\r\n")
	half.want("ERR\r\n")
	pinged.want("ERR\r\n")
	for _, c := range []*peer{silent, half, pinged} {
		c.ended(true)
	}
	if took := time.Since(began); took > 3*time.Second {
		t.Errorf("after %v", took)
	}
}

// A client that sends on and on after its answer is cut off soon, and never kept in memory.
func TestEndlessLine(t *testing.T) {
	g := newHarness(t, 0, nil, nil)
	client := g.client("")
	block := []byte(strings.Repeat("k", 1<<20))
	sent := 0
	for range 60 {
		n, err := client.Write(block)
		if sent += n; err != nil {
			break
		}
	}
	if sent == 60<<20 {
		t.Error("all of it was taken")
	}
	left := -1
	for until := time.Now().Add(patience); left != 0 && time.Now().Before(until); {
		g.inLoop(func() { left = g.proxy.requests.len() })
	}
	if left != 0 {
		t.Errorf("%d requests left", left)
	}
}

// A silent crowd uses up no descriptors: the oldest goes when one is needed, the health checker's connection and those
// that are served stay.
func TestCrowd(t *testing.T) {
	g := newHarness(t, 1, sendToFirst, func(cfg *Config) { cfg.MaxDescriptors = 64 })
	front := g.client("PING\r\n")
	front.want("PONG\r\n")
	front.say("PING\r\n")
	front.want("PONG\r\n")
	served, server := g.establish()
	var crowd []*peer
	for i := range 120 {
		crowd = append(crowd, g.client([]string{"", "PING\r\n"}[i%2]))
	}
	crowd[0].ended(true)
	g.client(another)
	g.acceptUpstream(0).line()
	front.say("PING\r\n")
	front.want("PONG\r\n")
	server.say("still there\r\n")
	served.want("still there\r\n")
	g.inLoop(func() {
		if n := g.loop.OpenSockets(); n > 64-overload.ReservedDescriptors {
			t.Errorf("%d descriptors", n)
		}
	})
}

// Whatever a first line is, it is answered and the proxy goes on.
func TestBadFirstLines(t *testing.T) {
	g := newHarness(t, 0, nil, nil)
	for _, bad := range []string{
		"\r\n", "\n", "OPEN\r\n", "OPEN a b c=nobody,d=5\r\n", "OPEN a b d=5\r\n", "OPEN a b c=sync\n",
		"GET / HTTP/1.1\r\n", "\x00\x01\r\n", strings.Repeat("x", lineproto.MaxLine),
	} {
		client := g.client(bad)
		client.want("ERR\r\n")
		client.ended(true)
	}
	pipelined := g.client(strings.Repeat("PING\r\n", 300))
	pipelined.want("ERR\r\n")
	client := g.client("PING\r\nPI")
	client.want("PONG\r\n")
	client.say("NG\r\n")
	client.want("PONG\r\n")
}

// Short of descriptors, clients are rejected and not cut off.
func TestShortOfDescriptors(t *testing.T) {
	g := newHarness(t, 1, sendToFirst, func(cfg *Config) { cfg.MaxDescriptors = overload.ReservedDescriptors + 2 })
	if got := g.client(openLine).line(); !strings.HasPrefix(got, "BUSY ") {
		t.Errorf("%q", got)
	}
}

// What is more than the settings let a balancer hold is rejected before the decision core hears of it.
func TestHoldsNoMoreThanItMay(t *testing.T) {
	g := newHarness(t, 1, sendToFirst, func(cfg *Config) { cfg.Settings.Decision.MaxHeldRequests = 1 })
	g.establish()
	if got := g.client(another).line(); !strings.HasPrefix(got, "BUSY ") {
		t.Errorf("%q", got)
	}
}

// idle is how many idle connections of a class there are, read on the loop.
func (g *harness) idle(class overload.EvictionClass) int {
	return g.proxy.listener.idle.classes[class].Len()
}

// firstIdle is the oldest connection that has sent no request, read on the loop.
func (g *harness) firstIdle() *downstreamConn {
	return g.proxy.listener.idle.oldest(overload.NoRequest)
}

// waitRead waits until the proxy has one connection that has said nothing.
func (g *harness) waitRead() {
	g.t.Helper()
	g.until(func() bool { return g.idle(overload.NoRequest) == 1 })
}

// A client that goes on sending reads its answer all the same: nothing is closed over what it sent, until its time
// is up.
func TestFloodBehindTheAnswer(t *testing.T) {
	g := newHarness(t, 0, nil, nil)
	p := g.client("")
	g.waitRead()
	g.inLoop(func() {
		d := g.firstIdle()
		p.say("nonsense\r\n")
		d.Readable(d.conn)
		block := strings.Repeat("k", 64<<10)
		for more := 2; !d.closed && more > 0; {
			p.say(block)
			if d.Readable(d.conn); overload.StopsReading(d.discardedBytes) {
				more--
			}
		}
		if d.closed {
			t.Error("closed over what its client sends")
		}
	})
	if answer, err := io.ReadAll(p); string(answer) != "ERR\r\n" || err != nil {
		t.Errorf("%q, %v", answer, err)
	}
}

// A connection that goes for want of descriptors, just as its client asks, is answered first; one that has said
// nothing sees a plain end.
func TestRequestReadOnEviction(t *testing.T) {
	g := newHarness(t, 0, nil, nil)
	asks, silent := g.client(""), g.client("")
	g.until(func() bool { return g.idle(overload.NoRequest) == 2 })
	g.inLoop(func() {
		asks.say(openLine)
		g.proxy.cfg.MaxDescriptors = 1
		g.proxy.listener.evictIdle()
		if n := g.idle(overload.NoRequest) + g.idle(overload.Answered); n != 0 {
			t.Errorf("%d connections stay", n)
		}
	})
	if got := asks.line(); !strings.HasPrefix(got, "BUSY ") {
		t.Errorf("%q", got)
	}
	asks.ended(true)
	silent.ended(true)
	g.noOutcome()
}
