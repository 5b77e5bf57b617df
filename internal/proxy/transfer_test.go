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

// successor is a second proxy with the same list of servers, which takes established connections at the path.
func (g *harness) successor() (next *harness, path string) {
	g.t.Helper()
	next = newHarness(g.t, 0, sendToFirst, func(cfg *Config) { cfg.CachedList = g.cachedList })
	path = filepath.Join(g.t.TempDir(), "taking.sock")
	next.inLoop(func() { g.check(next.proxy.AcceptTransfers(path)) })
	return next, path
}

// hotRestart has the proxy end for process pid's sake.
func (g *harness) hotRestart(path string, pid int) {
	g.loop.Post(func() { g.proxy.HotRestart(path, pid) })
}

// establishID brings up a connection with an id of its own.
func (g *harness) establishID(id int) (client, server *peer) {
	g.t.Helper()
	client = g.client(fmt.Sprintf("OPEN %04x 7f3a c=sync,d=60000,g=5c\r\n", id))
	server = g.acceptUpstream(0)
	server.line()
	server.say("UP r1\r\n")
	client.want("UP r1\r\n")
	return client, server
}

func (g *harness) stops() {
	g.t.Helper()
	err := <-g.stopped
	g.stopped <- err
	g.check(err)
}

// Streams that run while a new version takes over go on as if nothing were: every line arrives once and in order, both
// ways, nobody is moved, and each attempt has had one outcome.
func TestConnectionsTransferToTheSuccessor(t *testing.T) {
	const streams, lines = 60, 400
	g := newHarness(t, 1, sendToFirst, nil)
	next, path := g.successor()
	var pairs [][2]*peer
	for i := range streams {
		client, server := g.establishID(0x1000 + i)
		pairs = append(pairs, [2]*peer{client, server})
	}
	for range streams {
		event[decision.Established](g)
	}
	var all, halfway sync.WaitGroup
	for _, p := range pairs {
		for way := range 2 {
			from, to := p[way], p[1-way]
			all.Go(func() {
				for i := range lines {
					// In pieces, so that some stand in the middle of a line when they are looked at.
					if text := fmt.Sprintf("line %d\r\n", i); i%3 == 0 {
						_, _ = from.Write([]byte(text[:4]))
						_, _ = from.Write([]byte(text[4:]))
					} else {
						_, _ = from.Write([]byte(text))
					}
				}
			})
			halfway.Add(1)
			all.Go(func() {
				for i := range lines {
					if i == lines/4 {
						halfway.Done()
					}
					if got, err := to.rd.ReadString('\n'); got != fmt.Sprintf("line %d\r\n", i) {
						t.Errorf("line %d came as %q, %v", i, got, err)
						if i < lines/4 {
							halfway.Done()
						}
						return
					}
				}
			})
		}
	}
	halfway.Wait()
	g.hotRestart(path, os.Getpid())
	all.Wait()
	g.stops()
	outcomes := map[uint32]int{}
	for len(g.events) > 0 {
		if o, ok := (<-g.events).(decision.AttemptEnded); ok {
			outcomes[o.ID]++
			if o.Status != outcome.Cancelled || !o.RequestClosed {
				t.Errorf("%+v", o)
			}
		}
	}
	if len(outcomes) != streams || g.proxy.stats.transferredOut != streams || g.proxy.stats.moved != 0 {
		t.Errorf(
			"%d outcomes, %d transferred, %d moved",
			len(outcomes),
			g.proxy.stats.transferredOut,
			g.proxy.stats.moved,
		)
	}
	opened := map[uint32]bool{}
	for range streams {
		o := event[decision.ExistingConnection](next)
		opened[o.ID] = true
		if o.Server != 0 || o.Key != 0x7f3a || o.Group != 0x5c {
			t.Errorf("%+v", o)
		}
	}
	if len(opened) != streams {
		t.Errorf("%d are known to the successor", len(opened))
	}
	// They are the successor's in all: ends are passed on in kind, and it moves them when it goes itself.
	g.check(pairs[0][1].Close())
	pairs[0][0].ended(true)
	g.check(pairs[1][0].SetLinger(0))
	g.check(pairs[1][0].Close())
	pairs[1][1].ended(false)
	next.loop.Post(next.proxy.Drain)
	for _, p := range pairs[2:] {
		p[0].want("MOVE\r\n")
		p[0].ended(true)
	}
}

// What the successor can't or doesn't take stays with the old process and is moved, between two lines.
func TestNotTransferredIsMoved(t *testing.T) {
	for _, c := range []struct {
		name  string
		peer  func(*harness) (path string, pid int) // the other side
		first func(client, server *peer)            // said before the hot restart
		then  string                                // said by the server after it
	}{
		{
			name: "nobody there",
			peer: func(*harness) (string, int) { return filepath.Join(t.TempDir(), "none"), os.Getpid() },
		},
		{name: "another process than announced", peer: func(g *harness) (string, int) {
			_, path := g.successor()
			return path, 1
		}},
		{name: "a successor on its way out", peer: func(g *harness) (string, int) {
			next, path := g.successor()
			next.adminCall(lifecycle.CommandLameDuck)
			return path, os.Getpid()
		}},
		{name: "a successor that doesn't know the server", peer: func(g *harness) (string, int) {
			g.cachedList = []byte(`{"generation":1,"reset":true,"instances":[]}`)
			_, path := g.successor()
			return path, os.Getpid()
		}},
		{name: "a successor short of descriptors", peer: func(g *harness) (string, int) {
			next, path := g.successor()
			next.inLoop(func() { next.proxy.cfg.MaxDescriptors = 1 })
			return path, os.Getpid()
		}},
		{name: "a successor that never answers", peer: silentSuccessor(nil)},
		{name: "a successor that dies", peer: silentSuccessor(func(link *eventloop.PacketConn) { link.Close() })},
		{
			name: "a successor that talks nonsense",
			peer: silentSuccessor(func(link *eventloop.PacketConn) { _ = link.Send([]byte("yes")) }),
		},
		{
			name: "a successor that takes another",
			peer: silentSuccessor(
				func(link *eventloop.PacketConn) { _ = link.Send(restartproto.EncodeAnswer(7, true)) },
			),
		},
		{name: "a line under way", peer: func(g *harness) (string, int) {
			_, path := g.successor()
			return path, os.Getpid()
		}, first: func(client, server *peer) {
			server.say("ha")
			two := make([]byte, 2)
			_, err := client.rd.Read(two)
			client.g.check(err)
		}, then: "lf\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newHarness(t, 1, sendToFirst, nil)
			path, pid := c.peer(g)
			client, server := g.establish()
			if c.first != nil {
				c.first(client, server)
			}
			g.hotRestart(path, pid)
			if c.then != "" {
				for done := false; !done; { // all the while it is looked at, and can't pass
					g.inLoop(
						func() { done = g.proxy.drain.transfer != nil && g.proxy.drain.transfer.plan.Draining() },
					)
				}
				server.say(c.then)
				client.want(c.then)
			}
			client.want("MOVE\r\n")
			client.ended(true)
			_ = client.Close()
			if o := event[decision.AttemptEnded](g); o.Status != outcome.Cancelled || !o.RequestClosed {
				t.Errorf("%+v", o)
			}
			g.stops()
			if g.proxy.stats.transferredOut != 0 {
				t.Errorf("%d transferred", g.proxy.stats.transferredOut)
			}
		})
	}
}

// While the successor has not answered, nobody reads the connection; what came meanwhile is passed on once it is clear
// who has it.
func TestNothingIsReadWhileOffered(t *testing.T) {
	g := newHarness(t, 1, sendToFirst, nil)
	path, pid := silentSuccessor(nil)(g)
	client, server := g.establish()
	g.hotRestart(path, pid)
	for offered := 0; offered == 0; {
		g.inLoop(func() {
			if p := g.proxy.drain.transfer; p != nil {
				offered = map[bool]int{true: 1}[g.onlyRequest().state == stateTransferring]
			}
		})
	}
	client.say("from the client\r\n")
	server.say("from the server\r\n")
	server.want("from the client\r\n")
	client.want("from the server\r\n")
	client.want("MOVE\r\n")
	client.ended(true)
}

// How long a server has said nothing is told to the successor: silence begun under the old process still ends in time.
func TestSilenceIsTransferred(t *testing.T) {
	g := newHarness(t, 1, sendToFirst, nil)
	next, path := g.successor()
	client, server := g.establish()
	client.say("anybody?\r\n")
	server.want("anybody?\r\n")
	g.inLoop(func() {
		s := g.onlyRequest()
		s.lastReply -= 10 * monotime.Second
		s.sentAt[0] -= 10 * monotime.Second
	})
	quiet := make(chan eventloop.Micros, 1)
	next.inLoop(func() {
		next.decide = func(ev decision.Event) []decision.Action {
			if _, ok := ev.(decision.ExistingConnection); ok {
				quiet <- next.loop.Now() - next.onlyRequest().lastReply
			}
			return nil
		}
	})
	g.hotRestart(path, os.Getpid())
	if age := <-quiet; age < 10*monotime.Second {
		t.Errorf("silent for %d µs, as far as the successor knows", age)
	}
	client.want("MOVE\r\n")
	client.ended(true)
	next.inLoop(func() {
		if next.proxy.stats.transferredIn != 1 || next.proxy.stats.unresponsive != 1 {
			t.Errorf("%+v", next.proxy.stats)
		}
	})
}

// silentSuccessor is a process that takes offers and answers in its own way, or not at all.
func silentSuccessor(answer func(*eventloop.PacketConn)) func(*harness) (string, int) {
	return func(g *harness) (string, int) {
		path := filepath.Join(g.t.TempDir(), "mute.sock")
		g.inLoop(func() {
			_, err := g.loop.ListenPackets(
				path,
				func(*eventloop.PacketConn) eventloop.PacketOwner { return scriptedSuccessor{answer} },
			)
			g.check(err)
		})
		return path, os.Getpid()
	}
}

type scriptedSuccessor struct{ answer func(*eventloop.PacketConn) }

func (scriptedSuccessor) Ended(link *eventloop.PacketConn) { link.Close() }
func (d scriptedSuccessor) Packet(link *eventloop.PacketConn, _ []byte, fds []int) {
	for _, fd := range fds {
		_ = unix.Close(fd)
	}
	if d.answer != nil {
		d.answer(link)
	}
}

// What comes to the socket and is no established connection is refused, holds no descriptor, and hurts nobody.
func TestBadOffers(t *testing.T) {
	g := newHarness(t, 1, sendToFirst, nil)
	_, path := g.successor()
	client, server := g.establish()
	good := restartproto.ConnectionOffer{Ref: 9, ID: 1, Class: "sync", Server: "s0"}
	packet, err := good.Encode()
	g.check(err)
	answers := make(chan string, 1)
	var link *eventloop.PacketConn
	g.inLoop(func() {
		link, err = g.loop.DialPackets(path, os.Getpid(), packetRecorder(answers))
		g.check(err)
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
		g.inLoop(func() {
			conns := []*eventloop.Conn{
				g.onlyRequest().downstream.(*downstreamConn).conn,
				g.onlyRequest().attempt.upstream.(*eventloop.Conn),
			}
			g.check(link.Send([]byte(c.text), conns[:c.conns]...))
		})
		if got := <-answers; got != c.want {
			t.Errorf("%s: %q", c.name, got)
		}
	}
	server.say("still there\r\n")
	client.want("still there\r\n")
	for _, want := range []string{"+9", "-9"} { // a second one of the same id is not new
		g.inLoop(func() {
			s := g.onlyRequest()
			g.check(link.Send(packet, s.downstream.(*downstreamConn).conn, s.attempt.upstream.(*eventloop.Conn)))
		})
		if got := <-answers; got != want {
			t.Errorf("%q, want %q", got, want)
		}
	}
}

// Who takes tokens is moved with one, and does not pass: the successor would know nothing of its stream.
func TestResumableStreamsAreNotTransferred(t *testing.T) {
	g := newResumeHarness(t, nil)
	_, path := g.successor()
	client, _ := g.establishResumable()
	g.hotRestart(path, os.Getpid())
	client.moved()
	g.stops()
	if g.proxy.stats.transferredOut != 0 {
		t.Errorf("%d transferred", g.proxy.stats.transferredOut)
	}
}

type packetRecorder chan string

func (packetRecorder) Ended(link *eventloop.PacketConn)                    { link.Close() }
func (h packetRecorder) Packet(_ *eventloop.PacketConn, b []byte, _ []int) { h <- string(b) }

// onlyRequest is the one request there is, read on the loop.
func (g *harness) onlyRequest() (s *request) {
	for s = range g.proxy.requests.all {
	}
	return s
}
