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

// These tests fix the order in which concurrent events are handled: what a peer does inside onLoop happens while the
// loop is blocked, so that all of it has arrived when the loop continues. docs/design/ordering.md has the table of
// states and events.

// openLineWithID returns a request line with the given id.
func openLineWithID(id int) string { return fmt.Sprintf("OPEN %04x 7f3a c=sync,d=60000\r\n", id) }

// pendingRequest sends a request for which decideNothing starts no attempt, and returns its client and the request.
func (h *harness) pendingRequest(id int) (*peer, *request) {
	h.t.Helper()
	client := h.connect(openLineWithID(id))
	req := await[decision.Request](h)
	var r *request
	h.onLoop(func() { r, _ = h.proxy.requests.get(req.ID) })
	return client, r
}

// decideNothing makes no decisions; the test applies actions itself.
func decideNothing(decision.Event) []decision.Action { return nil }

// expectNothingSent checks that nothing is sent on the next connection at server 0.
func (h *harness) expectNothingSent() {
	h.t.Helper()
	if b, err := io.ReadAll(h.acceptUpstream(0)); len(b) > 0 || isTimeout(err) {
		h.t.Fatalf("server got %q, %v, want nothing", b, err)
	}
}

// expectNoRequest checks that none of the events waiting in the queue is a request for the decision core.
func (h *harness) expectNoRequest() {
	h.t.Helper()
	for len(h.events) > 0 {
		if ev, ok := (<-h.events).(decision.Request); ok {
			h.t.Fatalf("decision core got %+v, want no request", ev)
		}
	}
}

// expectOutcome waits for an attempt's outcome, which must have these values.
func (h *harness) expectOutcome(want outcome.Status, closed bool) {
	h.t.Helper()
	if o := await[decision.AttemptEnded](h); o.Status != want || o.RequestClosed != closed {
		h.t.Fatalf("got %+v, want status %d, request closed %v", o, want, closed)
	}
}

// disconnects holds the ways in which a client can disconnect.
var disconnects = map[string]func(*peer){
	"closes":                  func(p *peer) { _ = p.Close() },
	"half-closes":             func(p *peer) { _ = p.CloseWrite() },
	"resets":                  func(p *peer) { _ = p.SetLinger(0); _ = p.Close() },
	"sends a byte and closes": func(p *peer) { p.send("x"); _ = p.Close() },
	"sends 64 KiB and closes": func(p *peer) { p.send(strings.Repeat("x", 64<<10)); _ = p.Close() },
}

// A client disconnects while its request waits for a server, for a retry's delay or for a change of the server list.
// The EOF has arrived but is not yet read when the decision core starts an attempt: the request must not be sent.
func TestClientLeavesWhilePending(t *testing.T) {
	for name, leave := range disconnects {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1, decideNothing, nil)
			client, r := h.pendingRequest(1)
			h.onLoop(func() {
				leave(client)
				h.proxy.apply(decision.StartAttempt{ID: uint32(r.ref), Timeout: longTimeout})
			})
			h.expectOutcome(outcome.Inconclusive, true)
			_, other := h.pendingRequest(2)
			h.onLoop(func() { h.proxy.apply(decision.StartAttempt{ID: uint32(other.ref), Timeout: longTimeout}) })
			if got := h.acceptUpstream(0).readLine(); !strings.HasPrefix(got, "OPEN 0002 ") {
				t.Errorf("server got %q, want the request line with id 2", got)
			}
		})
	}
}

// A client disconnects while its attempt is connecting. The loop handles the established connection in the same turn as
// the EOF, and first: the request must not be sent.
func TestClientLeavesWhileConnecting(t *testing.T) {
	for name, leave := range disconnects {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1, decideNothing, nil)
			client, r := h.pendingRequest(1)
			h.onLoop(func() {
				h.proxy.apply(decision.StartAttempt{ID: uint32(r.ref), Timeout: longTimeout})
				leave(client)
			})
			h.expectOutcome(outcome.Cancelled, true)
			h.expectNothingSent()
		})
	}
}

// A client sends its request and disconnects while its connection is still in the accept queue: the request must not be
// sent to a server.
func TestClientLeavesBeforeAccept(t *testing.T) {
	for _, name := range []string{"closes", "half-closes", "sends a byte and closes", "sends 64 KiB and closes"} {
		t.Run(name, func(t *testing.T) {
			h := newHarnessWithCore(t, 1, nil)
			h.onLoop(func() { disconnects[name](h.connect(openLineWithID(1))) })
			h.connect(openLineWithID(2))
			if got := h.acceptUpstream(0).readLine(); !strings.HasPrefix(got, "OPEN 0002 ") {
				t.Errorf("server got %q, want the request line with id 2", got)
			}
		})
	}
}

// A client disconnects in the same turn of the loop in which its server rejects the request, and the rejection is read
// first: the request must not be sent to a second server.
func TestClientLeavesAsServerRejects(t *testing.T) {
	for name, reject := range map[string]func(*peer){
		"full":  func(p *peer) { p.send("BUSY\r\n") },
		"error": func(p *peer) { p.send("ERR\r\n") },
		"reset": func(p *peer) { _ = p.SetLinger(0); _ = p.Close() },
	} {
		for way, leave := range disconnects {
			t.Run(name+", "+way, func(t *testing.T) {
				h := newHarnessWithCore(t, 2, nil)
				client := h.connect(openLineWithID(1))
				server := h.acceptUpstream(h.waitForAttempt())
				server.readLine()
				h.onLoop(func() {
					reject(server)
					leave(client)
				})
				h.waitUntil(func() bool { return h.proxy.requests.len() == 0 })
				h.connect(openLineWithID(2))
				if got := h.acceptUpstream(h.waitForAttempt()).readLine(); !strings.HasPrefix(got, "OPEN 0002 ") {
					t.Errorf("server got %q, want the request line with id 2", got)
				}
			})
		}
	}
}

// waitForAttempt waits until a request has an attempt and returns the number of the attempt's server.
func (h *harness) waitForAttempt() (at int) {
	h.t.Helper()
	h.waitUntil(func() bool {
		for r := range h.proxy.requests.all {
			if r.attempt != nil {
				at = int(r.attempt.server.Number)
				return true
			}
		}
		return false
	})
	return at
}

// A client names its server and disconnects before the server is listed. When the server is listed, the EOF is not yet
// read: the proxy must not connect to the server.
func TestClientLeavesBeforeServerIsListed(t *testing.T) {
	for name, leave := range disconnects {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1, decideNothing, nil)
			client := h.connect("OPEN a b c=sync,d=60000,at=s9\r\n")
			h.waitAccepted(1)
			h.onLoop(func() {
				leave(client)
				c, err := h.proxy.servers.list.Apply(
					[]byte(
						`{"generation":2,"instances":[` + listEntry(
							"s9",
							h.servers[0].Addr().String(),
							"Ready",
						) + `]}`,
					),
				)
				h.check(err)
				before := h.loop.OpenSockets()
				if h.proxy.servers.ListUpdated(c); h.loop.OpenSockets() > before {
					t.Errorf("%d sockets open, want %d: no connection to the server", h.loop.OpenSockets(), before)
				}
			})
		})
	}
}

// An attempt whose write timeout has passed by the time it is connected must not send the request.
func TestWriteTimeoutPassesWhileConnecting(t *testing.T) {
	h := newHarness(t, 1, decideNothing, nil)
	_, r := h.pendingRequest(1)
	h.onLoop(func() {
		h.proxy.apply(decision.StartAttempt{ID: uint32(r.ref), Timeout: longTimeout, WriteTimeout: 1000})
		busyWait(2 * time.Millisecond)
	})
	h.expectOutcome(outcome.Inconclusive, false)
	h.expectNothingSent()
}

// busyWait blocks the goroutine that calls it, usually the loop's, until span has passed.
func busyWait(span time.Duration) {
	for began := time.Now(); time.Since(began) < span; {
	}
}

// readHook is a downstream that calls act at its first Read. An attempt reads from its client after it is connected and
// before it writes the request, so act runs in between.
type readHook struct {
	downstream
	act func()
}

func (k *readHook) Read(buf []byte) (int, error) {
	k.act()
	k.act = func() {}
	return k.downstream.Read(buf)
}

// If the server resets the connection before the request is written, the outcome is ConnectFailed, as the server can't
// have executed it.
func TestServerResetsBeforeWrite(t *testing.T) {
	h := newHarness(t, 1, decideNothing, nil)
	_, r := h.pendingRequest(1)
	h.onLoop(func() {
		h.proxy.apply(decision.StartAttempt{ID: uint32(r.ref), Timeout: longTimeout})
		server := h.acceptUpstream(0)
		r.downstream = &readHook{r.downstream, func() {
			h.check(server.SetLinger(0))
			h.check(server.Close())
		}}
	})
	h.expectOutcome(outcome.ConnectFailed, false)
}

// The server's first complete line is its answer, whatever arrives after it in the same turn of the loop.
func TestAnswerAndCloseInOneTurn(t *testing.T) {
	reset := func(p *peer) { _ = p.SetLinger(0); _ = p.Close() }
	for name, c := range map[string]struct {
		act  func(*peer)
		want outcome.Status
	}{
		"full, then reset":      {func(p *peer) { p.send("BUSY\r\n"); reset(p) }, outcome.ServerFull},
		"full, then closed":     {func(p *peer) { p.send("BUSY\r\n"); _ = p.Close() }, outcome.ServerFull},
		"error, then reset":     {func(p *peer) { p.send("ERR\r\n"); reset(p) }, outcome.ErrorResponse},
		"full, then up":         {func(p *peer) { p.send("BUSY\r\nUP r1\r\n") }, outcome.ServerFull},
		"error, then full":      {func(p *peer) { p.send("ERR\r\nBUSY\r\n") }, outcome.ErrorResponse},
		"part of full, closed":  {func(p *peer) { p.send("BUS"); _ = p.Close() }, outcome.Reset},
		"full without line end": {func(p *peer) { p.send("BUSY"); reset(p) }, outcome.Reset},
		"line too long":         {func(p *peer) { p.send(strings.Repeat("U", 64<<10)) }, outcome.ErrorResponse},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1, sendToFirst, nil)
			client := h.connect(openLine)
			server := h.acceptUpstream(0)
			server.readLine()
			h.onLoop(func() { c.act(server) })
			h.expectOutcome(c.want, false)
			h.onLoop(func() { h.proxy.apply(decision.Fail{ID: uint32(firstRequest(h).ref)}) })
			client.expect("ERR\r\n")
			client.expectEnd(true)
			for len(h.events) > 0 {
				if ev, ok := (<-h.events).(decision.Established); ok {
					t.Errorf("got %+v after the attempt ended, want no such event", ev)
				}
			}
		})
	}
}

// An answer that arrives in the same turn of the loop in which the attempt's timer is due still counts.
func TestAnswerInTurnOfTimeout(t *testing.T) {
	h := newHarness(t, 1, decideNothing, nil)
	client, r := h.pendingRequest(1)
	h.onLoop(func() { h.proxy.apply(decision.StartAttempt{ID: uint32(r.ref), Timeout: longTimeout}) })
	server := h.acceptUpstream(0)
	server.readLine()
	h.onLoop(func() {
		r.attempt.deadline = h.loop.Now() + monotime.Millisecond
		r.attempt.awaitAnswer()
		h.loop.After(0, func() { server.send("UP r1\r\n") }) // due before the attempt's timer, in the same turn
		busyWait(2 * time.Millisecond)
	})
	await[decision.Established](h)
	client.expect("UP r1\r\n")
}

// waitAccepted waits until the proxy has accepted n requests since its start.
func (h *harness) waitAccepted(n int) {
	h.t.Helper()
	h.waitUntil(func() bool { return h.proxy.stats.accepted >= n })
}

// waitUntil waits until holds, called on the loop, returns true.
func (h *harness) waitUntil(holds func() bool) {
	h.t.Helper()
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		var met bool
		if h.onLoop(func() { met = holds() }); met {
			return
		}
		if time.Now().After(deadline) {
			h.t.Fatalf("condition not met within %v", testTimeout)
		}
	}
}
