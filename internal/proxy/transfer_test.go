package proxy

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"

	"golang.org/x/sys/unix"

	"spurspread/decision"
	"spurspread/decision/lifecycle"
	"spurspread/decision/monotime"
	"spurspread/decision/outcome"
	"spurspread/internal/eventloop"
	"spurspread/internal/restartproto"
)

// successor starts a second proxy with the same server list, which accepts transferred connections at the path.
func (h *harness) successor() (next *harness, path string) {
	h.t.Helper()
	next = newHarness(h.t, 0, sendToFirst, func(cfg *Config) { cfg.CachedList = h.cachedList })
	path = filepath.Join(h.t.TempDir(), "transfer.sock")
	next.onLoop(func() { h.check(next.proxy.AcceptTransfers(path)) })
	return next, path
}

// hotRestart starts a hot restart with process pid, listening at path, as the successor.
func (h *harness) hotRestart(path string, pid int) {
	h.loop.Post(func() { h.proxy.HotRestart(path, pid) })
}

// establishWithID establishes a request with the given id at server 0.
func (h *harness) establishWithID(id int) (client, server *peer) {
	h.t.Helper()
	client = h.connect(fmt.Sprintf("OPEN %04x 7f3a c=sync,d=60000,g=5c\r\n", id))
	server = h.acceptUpstream(0)
	server.readLine()
	server.send("UP r1\r\n")
	client.expect("UP r1\r\n")
	return client, server
}

// waitStopped waits until the loop has stopped without an error.
func (h *harness) waitStopped() {
	h.t.Helper()
	err := <-h.stopped
	h.stopped <- err
	h.check(err)
}

// Established connections are transferred to the successor in a hot restart while lines are sent in both directions.
// Every line must arrive once and in order, no client is moved, and each attempt reports one outcome.
func TestConnectionsTransferToTheSuccessor(t *testing.T) {
	const streams, lines = 60, 400
	h := newHarness(t, 1, sendToFirst, nil)
	next, path := h.successor()
	var pairs [][2]*peer
	for i := range streams {
		client, server := h.establishWithID(0x1000 + i)
		pairs = append(pairs, [2]*peer{client, server})
	}
	for range streams {
		await[decision.Established](h)
	}
	var all, quarter sync.WaitGroup
	for _, p := range pairs {
		for direction := range 2 {
			from, to := p[direction], p[1-direction]
			all.Go(func() {
				for i := range lines {
					// Some lines are sent in two pieces, so that some connections are in the middle of a line when they
					// are offered.
					if text := fmt.Sprintf("line %d\r\n", i); i%3 == 0 {
						_, _ = from.Write([]byte(text[:4]))
						_, _ = from.Write([]byte(text[4:]))
					} else {
						_, _ = from.Write([]byte(text))
					}
				}
			})
			quarter.Add(1)
			all.Go(func() {
				for i := range lines {
					if i == lines/4 {
						quarter.Done()
					}
					if got, err := to.rd.ReadString('\n'); got != fmt.Sprintf("line %d\r\n", i) {
						t.Errorf("line %d arrived as %q, %v; want it once and in order", i, got, err)
						if i < lines/4 {
							quarter.Done()
						}
						return
					}
				}
			})
		}
	}
	quarter.Wait()
	h.hotRestart(path, os.Getpid())
	all.Wait()
	h.waitStopped()
	outcomes := map[uint32]int{}
	for len(h.events) > 0 {
		if o, ok := (<-h.events).(decision.AttemptEnded); ok {
			outcomes[o.ID]++
			if o.Status != outcome.Cancelled || !o.RequestClosed {
				t.Errorf("got %+v, want status %d of a closed request", o, outcome.Cancelled)
			}
		}
	}
	if len(outcomes) != streams || h.proxy.stats.transferredOut != streams || h.proxy.stats.moved != 0 {
		t.Errorf(
			"%d outcomes, %d transferred, %d moved, want all transferred with one outcome each",
			len(outcomes),
			h.proxy.stats.transferredOut,
			h.proxy.stats.moved,
		)
	}
	opened := map[uint32]bool{}
	for range streams {
		o := await[decision.ExistingConnection](next)
		opened[o.ID] = true
		if o.Server != 0 || o.Key != 0x7f3a || o.Group != 0x5c {
			t.Errorf("got %+v, want server 0, key 7f3a, group 5c", o)
		}
	}
	if len(opened) != streams {
		t.Errorf("successor reports %d existing connections, want %d", len(opened), streams)
	}
	// The successor forwards EOF and reset on the transferred connections, and moves them when it is stopped itself.
	h.check(pairs[0][1].Close())
	pairs[0][0].expectEnd(true)
	h.check(pairs[1][0].SetLinger(0))
	h.check(pairs[1][0].Close())
	pairs[1][1].expectEnd(false)
	next.loop.Post(next.proxy.Drain)
	for _, p := range pairs[2:] {
		p[0].expect("MOVE\r\n")
		p[0].expectEnd(true)
	}
}

// Connections that the successor can't or doesn't accept stay with the old process, which moves their clients at the
// end of a line.
func TestNotTransferredIsMoved(t *testing.T) {
	for _, c := range []struct {
		name   string
		start  func(*harness) (path string, pid int) // starts the successor, if there is one
		before func(client, server *peer)            // called before the hot restart
		after  string                                // sent by the server after it
	}{
		{
			name:  "no successor",
			start: func(*harness) (string, int) { return filepath.Join(t.TempDir(), "none"), os.Getpid() },
		},
		{name: "a process with another pid", start: func(h *harness) (string, int) {
			_, path := h.successor()
			return path, 1
		}},
		{name: "a successor that is a lame duck", start: func(h *harness) (string, int) {
			next, path := h.successor()
			next.adminCommand(lifecycle.CommandLameDuck)
			return path, os.Getpid()
		}},
		{name: "a successor that doesn't know the server", start: func(h *harness) (string, int) {
			h.cachedList = []byte(`{"generation":1,"reset":true,"instances":[]}`)
			_, path := h.successor()
			return path, os.Getpid()
		}},
		{name: "a successor short of descriptors", start: func(h *harness) (string, int) {
			next, path := h.successor()
			next.onLoop(func() { next.proxy.cfg.MaxDescriptors = 1 })
			return path, os.Getpid()
		}},
		{name: "a successor that never answers", start: stubSuccessor(nil)},
		{name: "a successor that dies", start: stubSuccessor(func(link *eventloop.PacketConn) { link.Close() })},
		{
			name:  "a successor that sends garbage",
			start: stubSuccessor(func(link *eventloop.PacketConn) { _ = link.Send([]byte("yes")) }),
		},
		{
			name: "a successor that accepts another connection",
			start: stubSuccessor(
				func(link *eventloop.PacketConn) { _ = link.Send(restartproto.EncodeAnswer(7, true)) },
			),
		},
		{name: "a line in progress", start: func(h *harness) (string, int) {
			_, path := h.successor()
			return path, os.Getpid()
		}, before: func(client, server *peer) {
			server.send("ha")
			two := make([]byte, 2)
			_, err := client.rd.Read(two)
			client.h.check(err)
		}, after: "lf\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, 1, sendToFirst, nil)
			path, pid := c.start(h)
			client, server := h.establish()
			if c.before != nil {
				c.before(client, server)
			}
			h.hotRestart(path, pid)
			if c.after != "" {
				for done := false; !done; { // until then the incomplete line prevents an offer
					h.onLoop(
						func() { done = h.proxy.drain.transfer != nil && h.proxy.drain.transfer.plan.Draining() },
					)
				}
				server.send(c.after)
				client.expect(c.after)
			}
			client.expect("MOVE\r\n")
			client.expectEnd(true)
			_ = client.Close()
			if o := await[decision.AttemptEnded](h); o.Status != outcome.Cancelled || !o.RequestClosed {
				t.Errorf("got %+v, want status %d of a closed request", o, outcome.Cancelled)
			}
			h.waitStopped()
			if h.proxy.stats.transferredOut != 0 {
				t.Errorf("%d connections transferred, want 0", h.proxy.stats.transferredOut)
			}
		})
	}
}

// A connection is not read while it is offered to the successor, since either process may own it. Data that arrives
// during the offer is forwarded once the owner is known: here by the old process, since the successor never answers.
func TestOfferedConnectionIsNotRead(t *testing.T) {
	h := newHarness(t, 1, sendToFirst, nil)
	path, pid := stubSuccessor(nil)(h)
	client, server := h.establish()
	h.hotRestart(path, pid)
	for offered := 0; offered == 0; {
		h.onLoop(func() {
			if p := h.proxy.drain.transfer; p != nil {
				offered = map[bool]int{true: 1}[h.onlyRequest().state == stateTransferring]
			}
		})
	}
	client.send("from the client\r\n")
	server.send("from the server\r\n")
	server.expect("from the client\r\n")
	client.expect("from the server\r\n")
	client.expect("MOVE\r\n")
	client.expectEnd(true)
}

// The time since the server's last reply is transferred to the successor, so that a server that became unresponsive
// under the old process is still detected in time.
func TestTimeSinceReplyIsTransferred(t *testing.T) {
	h := newHarness(t, 1, sendToFirst, nil)
	next, path := h.successor()
	client, server := h.establish()
	client.send("anybody?\r\n")
	server.expect("anybody?\r\n")
	h.onLoop(func() {
		r := h.onlyRequest()
		r.lastReply -= 10 * monotime.Second
		r.sentAt[0] -= 10 * monotime.Second
	})
	sinceReply := make(chan eventloop.Micros, 1)
	next.onLoop(func() {
		next.decide = func(ev decision.Event) []decision.Action {
			if _, ok := ev.(decision.ExistingConnection); ok {
				sinceReply <- next.loop.Now() - next.onlyRequest().lastReply
			}
			return nil
		}
	})
	h.hotRestart(path, os.Getpid())
	if age := <-sinceReply; age < 10*monotime.Second {
		t.Errorf("successor has the last reply %d µs ago, want at least 10 s", age)
	}
	client.expect("MOVE\r\n")
	client.expectEnd(true)
	next.onLoop(func() {
		if next.proxy.stats.transferredIn != 1 || next.proxy.stats.unresponsive != 1 {
			t.Errorf("successor counts %+v, want 1 transferred in and 1 unresponsive", next.proxy.stats)
		}
	})
}

// stubSuccessor starts a successor that does not serve offered connections. answer is called for each offer; nil never
// answers.
func stubSuccessor(answer func(*eventloop.PacketConn)) func(*harness) (string, int) {
	return func(h *harness) (string, int) {
		path := filepath.Join(h.t.TempDir(), "stub.sock")
		h.onLoop(func() {
			_, err := h.loop.ListenPackets(
				path,
				func(*eventloop.PacketConn) eventloop.PacketOwner { return scriptedSuccessor{answer} },
			)
			h.check(err)
		})
		return path, os.Getpid()
	}
}

// scriptedSuccessor handles the packets of stubSuccessor.
type scriptedSuccessor struct{ answer func(*eventloop.PacketConn) }

func (scriptedSuccessor) Ended(link *eventloop.PacketConn) { link.Close() }
func (s scriptedSuccessor) Packet(link *eventloop.PacketConn, _ []byte, fds []int) {
	for _, fd := range fds {
		_ = unix.Close(fd)
	}
	if s.answer != nil {
		s.answer(link)
	}
}

// A packet at the successor's socket that is not a valid offer is refused, leaves no descriptor open, and does not
// disturb other connections.
func TestBadOffers(t *testing.T) {
	h := newHarness(t, 1, sendToFirst, nil)
	_, path := h.successor()
	client, server := h.establish()
	good := restartproto.ConnectionOffer{Ref: 9, ID: 1, Class: "sync", Server: "s0"}
	packet, err := good.Encode()
	h.check(err)
	answers := make(chan string, 1)
	var link *eventloop.PacketConn
	h.onLoop(func() {
		link, err = h.loop.DialPackets(path, os.Getpid(), packetRecorder(answers))
		h.check(err)
	})
	for _, c := range []struct {
		name, text string
		conns      int
		want       string
	}{
		{"no JSON", "hello", 0, "-0"},
		{"cut off", string(packet[:20]), 2, "-0"},
		{"no sockets", string(packet), 0, "-9"},
		{"one socket", string(packet), 1, "-9"},
	} {
		h.onLoop(func() {
			conns := []*eventloop.Conn{
				h.onlyRequest().downstream.(*downstreamConn).conn,
				h.onlyRequest().attempt.upstream.(*eventloop.Conn),
			}
			h.check(link.Send([]byte(c.text), conns[:c.conns]...))
		})
		if got := <-answers; got != c.want {
			t.Errorf("%s: answered %q, want %q", c.name, got, c.want)
		}
	}
	server.send("still there\r\n")
	client.expect("still there\r\n")
	for _, want := range []string{"+9", "-9"} { // the same id is accepted only once
		h.onLoop(func() {
			r := h.onlyRequest()
			h.check(link.Send(packet, r.downstream.(*downstreamConn).conn, r.attempt.upstream.(*eventloop.Conn)))
		})
		if got := <-answers; got != want {
			t.Errorf("offer answered %q, want %q", got, want)
		}
	}
}

// A resumable stream is moved with a token and not transferred, since an offer carries no state of the stream.
func TestResumableStreamsAreNotTransferred(t *testing.T) {
	h := newResumeHarness(t, nil)
	_, path := h.successor()
	client, _ := h.establishResumable()
	h.hotRestart(path, os.Getpid())
	client.expectMove()
	h.waitStopped()
	if h.proxy.stats.transferredOut != 0 {
		t.Errorf("%d connections transferred, want 0", h.proxy.stats.transferredOut)
	}
}

// packetRecorder sends the packets that arrive to the channel.
type packetRecorder chan string

func (packetRecorder) Ended(link *eventloop.PacketConn)                    { link.Close() }
func (r packetRecorder) Packet(_ *eventloop.PacketConn, b []byte, _ []int) { r <- string(b) }

// onlyRequest returns the only request in the table; nil if it is empty. It must be called on the loop.
func (h *harness) onlyRequest() (r *request) {
	for r = range h.proxy.requests.all {
	}
	return r
}

// Guards against a request that runs twice: a client whose request has finished before a hot restart, and that comes
// again with the same id at the successor, is rejected there.
func TestFinishedIDsAreKnownToSuccessor(t *testing.T) {
	h := newHarness(t, 1, sendToFirst, nil)
	next, path := h.successor()
	client, _ := h.establishWithID(0x1000)
	h.check(client.Close())
	h.waitUntil(func() bool { return h.proxy.requests.len() == 0 })
	h.hotRestart(path, os.Getpid())
	h.waitStopped()
	again := next.connect("OPEN 1000 7f3a c=sync,d=60000\r\n")
	again.expect("ERR\r\n")
	next.expectNoRequest()
}
