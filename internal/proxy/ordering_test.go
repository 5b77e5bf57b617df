package proxy

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"spurspread/decision"
	"spurspread/decision/monotime"
	"spurspread/decision/outcome"
)

// These tests make events meet in one order every time: what a peer does inside inLoop happens while the loop
// waits, so that all of it waits when the loop goes on. docs/design/ordering.md has the table of states and
// events.

// openLineWithID is a client's first line with an id of its own.
func openLineWithID(id int) string { return fmt.Sprintf("OPEN %04x 7f3a c=sync,d=60000\r\n", id) }

// pendingRequest is a request that the decision core keeps without an attempt; it returns its client and the request.
func (g *harness) pendingRequest(id int) (*peer, *request) {
	g.t.Helper()
	client := g.client(openLineWithID(id))
	q := event[decision.Request](g)
	var s *request
	g.inLoop(func() { s, _ = g.proxy.requests.get(q.ID) })
	return client, s
}

// decideNothing is a decision core that decides nothing: a test does.
func decideNothing(decision.Event) []decision.Action { return nil }

// noRequest checks that the next connection at server 0 ends without a byte.
func (g *harness) noRequest() {
	g.t.Helper()
	if b, err := io.ReadAll(g.acceptUpstream(0)); len(b) > 0 || isTimeout(err) {
		g.t.Fatalf("the server was sent %q, %v", b, err)
	}
}

// noOutcome checks that the decision core has had no request.
func (g *harness) noOutcome() {
	g.t.Helper()
	for len(g.events) > 0 {
		if ev, ok := (<-g.events).(decision.Request); ok {
			g.t.Fatalf("the core was asked about %+v", ev)
		}
	}
}

// outcome waits for the one outcome of an attempt.
func (g *harness) outcome(want outcome.Status, closed bool) {
	g.t.Helper()
	if o := event[decision.AttemptEnded](g); o.Status != want || o.RequestClosed != closed {
		g.t.Fatalf("%+v, want status %d, closed %v", o, want, closed)
	}
}

// gone are the ways in which a client leaves.
var gone = map[string]func(*peer){
	"ends":             func(p *peer) { _ = p.Close() },
	"ends its side":    func(p *peer) { _ = p.CloseWrite() },
	"resets":           func(p *peer) { _ = p.SetLinger(0); _ = p.Close() },
	"ends, behind":     func(p *peer) { p.say("x"); _ = p.Close() },
	"ends, far behind": func(p *peer) { p.say(strings.Repeat("x", 64<<10)); _ = p.Close() },
}

// A client that left while its request waited, for a place, a retry's pause or a change of the server list, is not
// forwarded: its end is there, unread, when the decision core decides to send.
func TestLeftWhileItWaited(t *testing.T) {
	for name, leave := range gone {
		t.Run(name, func(t *testing.T) {
			g := newHarness(t, 1, decideNothing, nil)
			client, s := g.pendingRequest(1)
			g.inLoop(func() {
				leave(client)
				g.proxy.apply(decision.StartAttempt{ID: uint32(s.ref), Timeout: longTimeout})
			})
			g.outcome(outcome.Inconclusive, true)
			_, other := g.pendingRequest(2)
			g.inLoop(func() { g.proxy.apply(decision.StartAttempt{ID: uint32(other.ref), Timeout: longTimeout}) })
			if got := g.acceptUpstream(0).line(); !strings.HasPrefix(got, "OPEN 0002 ") {
				t.Errorf("the server was sent %q", got)
			}
		})
	}
}

// Nor is one that left while its connection came up: that is there in the same turn as its end, and is seen first.
func TestLeftWhileItConnected(t *testing.T) {
	for name, leave := range gone {
		t.Run(name, func(t *testing.T) {
			g := newHarness(t, 1, decideNothing, nil)
			client, s := g.pendingRequest(1)
			g.inLoop(func() {
				g.proxy.apply(decision.StartAttempt{ID: uint32(s.ref), Timeout: longTimeout})
				leave(client)
			})
			g.outcome(outcome.Cancelled, true)
			g.noRequest()
		})
	}
}

// A client that asked and left while its connection still waited to be accepted is not forwarded.
func TestLeftBeforeItWasAccepted(t *testing.T) {
	for _, name := range []string{"ends", "ends its side", "ends, behind", "ends, far behind"} {
		t.Run(name, func(t *testing.T) {
			g := newHarnessWithCore(t, 1, nil)
			g.inLoop(func() { gone[name](g.client(openLineWithID(1))) })
			g.client(openLineWithID(2))
			if got := g.acceptUpstream(0).line(); !strings.HasPrefix(got, "OPEN 0002 ") {
				t.Errorf("the server was sent %q", got)
			}
		})
	}
}

// Nor is one sent to a second server that left in the turn in which the first one refused, though that is read first.
func TestLeftAsItsServerRejected(t *testing.T) {
	for name, refuse := range map[string]func(*peer){
		"full":  func(p *peer) { p.say("BUSY\r\n") },
		"error": func(p *peer) { p.say("ERR\r\n") },
		"reset": func(p *peer) { _ = p.SetLinger(0); _ = p.Close() },
	} {
		for way, leave := range gone {
			t.Run(name+", "+way, func(t *testing.T) {
				g := newHarnessWithCore(t, 2, nil)
				client := g.client(openLineWithID(1))
				server := g.acceptUpstream(g.chosen())
				server.line()
				g.inLoop(func() {
					refuse(server)
					leave(client)
				})
				g.until(func() bool { return g.proxy.requests.len() == 0 })
				g.client(openLineWithID(2))
				if got := g.acceptUpstream(g.chosen()).line(); !strings.HasPrefix(got, "OPEN 0002 ") {
					t.Errorf("a server was sent %q", got)
				}
			})
		}
	}
}

// chosen waits for an attempt and tells which server it goes to.
func (g *harness) chosen() (at int) {
	g.t.Helper()
	g.until(func() bool {
		for s := range g.proxy.requests.all {
			if s.attempt != nil {
				at = int(s.attempt.server.Number)
				return true
			}
		}
		return false
	})
	return at
}

// A client that names its server and left before that is listed is not connected to it, its end still unread.
func TestLeftBeforeItsServerWasListed(t *testing.T) {
	for name, leave := range gone {
		t.Run(name, func(t *testing.T) {
			g := newHarness(t, 1, decideNothing, nil)
			client := g.client("OPEN a b c=sync,d=60000,at=s9\r\n")
			g.waitAccepted(1)
			g.inLoop(func() {
				leave(client)
				c, err := g.proxy.servers.list.Apply(
					[]byte(
						`{"generation":2,"instances":[` + listEntry(
							"s9",
							g.servers[0].Addr().String(),
							"Ready",
						) + `]}`,
					),
				)
				g.check(err)
				before := g.loop.OpenSockets()
				if g.proxy.servers.ListUpdated(c); g.loop.OpenSockets() > before {
					t.Error("its server is connected to")
				}
			})
		})
	}
}

// A retry whose window has gone by when its connection is up is never written.
func TestSendWindowCountsAtTheWriting(t *testing.T) {
	g := newHarness(t, 1, decideNothing, nil)
	_, s := g.pendingRequest(1)
	g.inLoop(func() {
		g.proxy.apply(decision.StartAttempt{ID: uint32(s.ref), Timeout: longTimeout, WriteTimeout: 1000})
		waitFor(2 * time.Millisecond)
	})
	g.outcome(outcome.Inconclusive, false)
	g.noRequest()
}

// waitFor lets time go by for all that counts it by the clock.
func waitFor(span time.Duration) {
	for began := time.Now(); time.Since(began) < span; {
	}
}

// between acts once between the moment in which an attempt is told that it is connected and its first write: there the
// proxy looks at its client.
type between struct {
	downstream
	act func()
}

func (b *between) Read(buf []byte) (int, error) {
	b.act()
	b.act = func() {}
	return b.downstream.Read(buf)
}

// A connection that is reset before the first line could be written is one that never ran.
func TestLineThatCouldNotBeWritten(t *testing.T) {
	g := newHarness(t, 1, decideNothing, nil)
	_, s := g.pendingRequest(1)
	g.inLoop(func() {
		g.proxy.apply(decision.StartAttempt{ID: uint32(s.ref), Timeout: longTimeout})
		server := g.acceptUpstream(0)
		s.downstream = &between{s.downstream, func() {
			g.check(server.SetLinger(0))
			g.check(server.Close())
		}}
	})
	g.outcome(outcome.ConnectFailed, false)
}

// An answer counts whatever comes behind it in the same turn, and only the first.
func TestAnswerAndEndInOneTurn(t *testing.T) {
	reset := func(p *peer) { _ = p.SetLinger(0); _ = p.Close() }
	for name, c := range map[string]struct {
		act  func(*peer)
		want outcome.Status
	}{
		"full, then reset":       {func(p *peer) { p.say("BUSY\r\n"); reset(p) }, outcome.ServerFull},
		"full, then ended":       {func(p *peer) { p.say("BUSY\r\n"); _ = p.Close() }, outcome.ServerFull},
		"error, then reset":      {func(p *peer) { p.say("ERR\r\n"); reset(p) }, outcome.ErrorResponse},
		"full, then up":          {func(p *peer) { p.say("BUSY\r\nUP r1\r\n") }, outcome.ServerFull},
		"error, then full":       {func(p *peer) { p.say("ERR\r\nBUSY\r\n") }, outcome.ErrorResponse},
		"part of full, then end": {func(p *peer) { p.say("BUS"); _ = p.Close() }, outcome.Reset},
		"full without its end":   {func(p *peer) { p.say("BUSY"); reset(p) }, outcome.Reset},
		"endless":                {func(p *peer) { p.say(strings.Repeat("U", 64<<10)) }, outcome.ErrorResponse},
	} {
		t.Run(name, func(t *testing.T) {
			g := newHarness(t, 1, sendToFirst, nil)
			client := g.client(openLine)
			server := g.acceptUpstream(0)
			server.line()
			g.inLoop(func() { c.act(server) })
			g.outcome(c.want, false)
			g.inLoop(func() { g.proxy.apply(decision.Fail{ID: uint32(firstRequest(g).ref)}) })
			client.want("ERR\r\n")
			client.ended(true)
			for len(g.events) > 0 {
				if ev, ok := (<-g.events).(decision.Established); ok {
					t.Errorf("%+v after the outcome", ev)
				}
			}
		})
	}
}

// An answer that is there when its attempt's time is up counts: it came in the very turn in which the timer is due.
func TestAnswerInTheTurnOfTheTimer(t *testing.T) {
	g := newHarness(t, 1, decideNothing, nil)
	client, s := g.pendingRequest(1)
	g.inLoop(func() { g.proxy.apply(decision.StartAttempt{ID: uint32(s.ref), Timeout: longTimeout}) })
	server := g.acceptUpstream(0)
	server.line()
	g.inLoop(func() {
		s.attempt.deadline = g.loop.Now() + monotime.Millisecond
		s.attempt.awaitAnswer()
		g.loop.After(0, func() { server.say("UP r1\r\n") }) // due before the timer, in one turn with it
		waitFor(2 * time.Millisecond)
	})
	event[decision.Established](g)
	client.want("UP r1\r\n")
}

// waitAccepted waits until so many requests have been accepted.
func (g *harness) waitAccepted(n int) {
	g.t.Helper()
	g.until(func() bool { return g.proxy.stats.accepted >= n })
}

// until waits for something to hold in the loop.
func (g *harness) until(holds func() bool) {
	g.t.Helper()
	for late := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
		var now bool
		if g.inLoop(func() { now = holds() }); now {
			return
		}
		if time.Now().After(late) {
			g.t.Fatal("it did not come to hold")
		}
	}
}
