package proxy

import (
	"fmt"
	"io"
	"spurspread/decision"
	"spurspread/decision/lifecycle"
	"spurspread/decision/monotime"
	"spurspread/decision/outcome"
	"spurspread/decision/overload"
	"spurspread/internal/eventloop"
	"spurspread/internal/settings"
	"strings"
	"testing"
	"time"
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
			g.t.Fatalf("the module was asked about %+v", ev)
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
func TestLeftAsItsTargetRefused(t *testing.T) {
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
				before := g.loop.Descriptors()
				if g.proxy.servers.Listed(c); g.loop.Descriptors() > before {
					t.Error("its server is connected to")
				}
			})
		})
	}
}

// A change of the server list while a connection came up counts before the first line goes out on it.
func TestRecalledBeforeTheLine(t *testing.T) {
	for name, entry := range map[string]string{
		"drains":       `"lifecycle":"Terminating"`,
		"is gone":      `"lifecycle":"Gone"`,
		"began anew":   `"lifecycle":"Ready","startedAtMs":1700000000000`,
		"is elsewhere": `"lifecycle":"Ready","hostPort":"127.0.0.1:1"`,
		"not in list":  "",
	} {
		t.Run(name, func(t *testing.T) {
			g := newHarness(t, 1, decideNothing, nil)
			_, s := g.pendingRequest(1)
			list := `{"generation":2,"reset":true,"instances":[]}`
			if entry != "" {
				if !strings.Contains(entry, "hostPort") {
					entry += fmt.Sprintf(`,"hostPort":%q`, g.servers[0].Addr())
				}
				list = fmt.Sprintf(`{"generation":2,"instances":[{"instanceId":"s0","weight":1,%s}]}`, entry)
			}
			g.inLoop(func() {
				g.proxy.apply(decision.StartAttempt{ID: uint32(s.ref), Timeout: longTimeout})
				c, err := g.proxy.servers.list.Apply([]byte(list))
				g.check(err)
				g.proxy.servers.Listed(c)
			})
			g.outcome(outcome.Inconclusive, false)
			g.noRequest()
		})
	}
}

// A server that is listed otherwise only in what does not matter keeps what is on its way.
func TestNotRecalledForOtherChanges(t *testing.T) {
	g := newHarness(t, 1, decideNothing, nil)
	_, s := g.pendingRequest(1)
	g.inLoop(func() {
		g.proxy.apply(decision.StartAttempt{ID: uint32(s.ref), Timeout: longTimeout})
		c, err := g.proxy.servers.list.Apply(
			[]byte(
				`{"generation":2,"instances":[` + strings.Replace(
					listEntry("s0", g.servers[0].Addr().String(), "Ready"),
					`"weight":1`,
					`"weight":2`,
					1,
				) + `]}`,
			),
		)
		g.check(err)
		g.proxy.servers.Listed(c)
	})
	g.acceptUpstream(0).line()
}

// A retry whose window has gone by when its connection is up is never written.
func TestSendWindowCountsAtTheWriting(t *testing.T) {
	g := newHarness(t, 1, decideNothing, nil)
	_, s := g.pendingRequest(1)
	g.inLoop(func() {
		g.proxy.apply(decision.StartAttempt{ID: uint32(s.ref), Timeout: longTimeout, WriteWithin: 1000})
		waitFor(2 * time.Millisecond)
	})
	g.outcome(outcome.Inconclusive, false)
	g.noRequest()
}

// idle is how many idle connections of a class there are, read on the loop.
func (g *harness) idle(class overload.EvictionClass) int {
	return g.proxy.listener.idle.classes[class].Len()
}

// firstIdle is the oldest connection that has sent no request, read on the loop.
func (g *harness) firstIdle() *downstreamConn { return g.proxy.listener.idle.oldest(overload.Silent) }

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

// effects are a class's retry rules, and what a client is told whose attempt may have run.
var effects = map[string]struct {
	rule     string
	promised string
}{
	"read like":                  {`"effect":"read_like"`, "BUSY"},
	"key that all know":          {`"effect":"idempotency_key","key_scope":"all","window":500000`, "BUSY"},
	"key that one zone knows":    {`"effect":"idempotency_key","key_scope":"zone","window":500000`, "ERR"},
	"key that one cell knows":    {`"effect":"idempotency_key","key_scope":"cell","window":500000`, "ERR"},
	"must not happen twice":      {`"effect":"non_idempotent"`, "ERR"},
	"must not, and was not sent": {`"effect":"non_idempotent"`, "BUSY"},
}

// of has the one class follow the rule.
func of(t *testing.T, rule string) func(*Config) {
	set, err := settings.ParseJSON([]byte(strings.Replace(harnessSettings, `"effect":"read_like"`, rule, 1)))
	if err != nil {
		t.Fatal(err)
	}
	return func(cfg *Config) { cfg.Settings = set }
}

// What a planned stop answers promises no more than the class allows: an attempt that is out may have run, or may yet.
func TestStopPromisesNoMoreThanTheClassAllows(t *testing.T) {
	for name, c := range effects {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			servers := 1
			if strings.HasSuffix(name, "not sent") {
				servers = 0
			}
			g := newHarnessWithCore(t, servers, of(t, c.rule))
			client := g.client(openLine)
			event[decision.Request](g)
			for i := range servers {
				g.acceptUpstream(i).line()
			}
			g.loop.Post(g.proxy.Drain)
			if got := client.line(); !strings.HasPrefix(got, c.promised) {
				t.Errorf("%q, want %s", got, c.promised)
			}
			client.ended(true)
			_ = client.Close()
			g.stops()
		})
	}
}

// Nor does what is answered at once to a request that goes where its client says.
func TestDrainRejectsByTheClass(t *testing.T) {
	for name, c := range effects {
		t.Run(name, func(t *testing.T) {
			g := newHarnessWithCore(t, 1, of(t, c.rule))
			at := "s0"
			if strings.HasSuffix(name, "not sent") {
				at = "nobody"
			}
			client := g.client("OPEN a b c=sync,d=60000,at=" + at + "\r\n")
			if at == "s0" {
				g.acceptUpstream(0).line()
			} else {
				g.waitAccepted(1)
			}
			g.inLoop(func() { g.proxy.drain.begin() })
			if got := client.line(); !strings.HasPrefix(got, c.promised) {
				t.Errorf("%q, want %s", got, c.promised)
			}
		})
	}
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

// A request read after the stop began is answered and never forwarded: whole and unread when it begins, in pieces
// round it, on a connection that had said nothing, in the accept queue.
func TestRequestsAroundTheStop(t *testing.T) {
	for name, act := range map[string]func(g *harness) []*peer{
		"unread": func(g *harness) (all []*peer) {
			p := g.client("")
			g.waitRead()
			g.inLoop(func() {
				p.say(openLine)
				g.proxy.Drain()
			})
			return []*peer{p}
		},
		"in pieces": func(g *harness) []*peer {
			p := g.client(openLine[:20])
			g.until(func() bool {
				return g.idle(overload.Silent) == 1 && len(g.firstIdle().firstLine) == 20
			})
			g.inLoop(g.proxy.Drain)
			p.say(openLine[20:30])
			g.until(func() bool {
				return len(g.firstIdle().firstLine) == 30
			})
			p.say(openLine[30:])
			return []*peer{p}
		},
		"silent until then": func(g *harness) []*peer {
			p := g.client("")
			g.waitRead()
			g.inLoop(g.proxy.Drain)
			p.say(openLine)
			return []*peer{p}
		},
		"behind a front's ping": func(g *harness) []*peer {
			p := g.client("PING\r\n")
			p.want("PONG\r\n")
			g.inLoop(func() {
				g.proxy.Drain()
				p.say(openLine)
			})
			return []*peer{p}
		},
		"in the accept queue": func(g *harness) (all []*peer) {
			g.inLoop(func() {
				for i := range 100 { // more than are accepted in one turn
					all = append(all, g.client(openLineWithID(i)))
				}
				g.proxy.Drain()
			})
			return all
		},
		"in the accept queue as the listener closes": func(g *harness) (all []*peer) {
			g.inLoop(func() {
				g.proxy.Drain()
				for i := range 100 {
					all = append(all, g.client(openLineWithID(i)))
				}
				g.proxy.listener.close()
			})
			return all
		},
		"unread as resting connections are ended": func(g *harness) []*peer {
			p := g.client("")
			g.waitRead()
			g.inLoop(func() {
				g.proxy.Drain()
				p.say(openLine)
				g.proxy.listener.closeIdle()
			})
			return []*peer{p}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newHarnessWithCore(t, 1, nil)
			for _, p := range act(g) {
				if got := p.line(); !strings.HasPrefix(got, "BUSY ") {
					t.Fatalf("%q", got)
				}
				p.ended(true)
				_ = p.Close()
			}
			g.stops()
			g.noOutcome()
		})
	}
}

// waitRead waits until the proxy has one connection that has said nothing.
func (g *harness) waitRead() {
	g.t.Helper()
	g.until(func() bool { return g.idle(overload.Silent) == 1 })
}

// A connection that rests until the balancer ends it sees a plain end, also if a request of its own crosses that
// end, and also if only half a line had come.
func TestRestingConnectionsEndPlainly(t *testing.T) {
	t.Run("crossing", func(t *testing.T) {
		t.Parallel()
		g := newHarnessWithCore(t, 1, nil)
		p := g.client("")
		g.waitRead()
		g.inLoop(func() {
			g.proxy.Drain()
			g.proxy.listener.closeIdle()
			p.say(openLine)
		})
		p.ended(true)
		g.inLoop(func() { p.say("more\r\n") }) // a reset would have come before this
		p.ended(true)
		_ = p.Close()
		g.stops()
		g.noOutcome()
	})
	t.Run("half a line", func(t *testing.T) {
		t.Parallel()
		g := newHarnessWithCore(t, 1, nil)
		p := g.client(openLine[:20])
		p.want("ERR\r\n")
		p.ended(true)
		_ = p.Close()
	})
	t.Run("to the end of the loop", func(t *testing.T) {
		t.Parallel()
		g := newHarnessWithCore(t, 1, nil)
		p, q := g.client(""), g.client("PING\r\n")
		q.want("PONG\r\n")
		g.loop.Post(g.proxy.Drain)
		p.ended(true)
		q.ended(true)
		_, _ = p.Close(), q.Close()
		g.stops()
	})
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
			if d.Readable(d.conn); overload.StopsReading(d.discarded) {
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

// SIGTERM again, and a hot restart behind it, change nothing that a stop has begun.
func TestStopTwice(t *testing.T) {
	g := newHarnessWithCore(t, 1, nil)
	client, _ := g.establish()
	var began eventloop.Micros
	g.inLoop(func() {
		g.proxy.Drain()
		began = g.proxy.drain.began
	})
	g.inLoop(func() {
		g.proxy.Drain()
		g.proxy.HotRestart("nowhere", 1)
		if d := g.proxy.drain; d.began != began || d.handingOver || d.generation != 1 {
			t.Errorf("%+v", d)
		}
	})
	if got := g.client(another).line(); !strings.HasPrefix(got, "BUSY ") {
		t.Errorf("%q", got)
	}
	client.want("MOVE\r\n")
	client.ended(true)
	_ = client.Close()
	g.stops()
}

// Settings read again while a request waits: what its client is told goes by the class as it was when it asked,
// also where that class now has another number, other rules, or is gone.
func TestRetunedWhileARequestWaits(t *testing.T) {
	const strict = `"effect":"non_idempotent"`
	for name, after := range map[string]string{
		"other rules": harnessSettings,
		"gone":        strings.Replace(harnessSettings, `"name":"sync"`, `"name":"other"`, 1),
		"other number": strings.Replace(harnessSettings, `[{"name":"sync"`,
			`[{"name":"other","slo":1,"deadline":9000000,"effect":"read_like","streaming":true},{"name":"sync"`, 1),
		"one attempt": strings.Replace(harnessSettings, `"most_tries":4`, `"most_tries":1`, 1),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			set, err := settings.ParseJSON([]byte(after))
			if err != nil {
				t.Fatal(err)
			}
			g := newHarnessWithCore(t, 1, of(t, strict))
			free, named := g.client(openLine), g.client("OPEN a b c=sync,d=60000,at=s0\r\n")
			g.acceptUpstream(0).line()
			g.acceptUpstream(0).line()
			g.inLoop(func() {
				cfg := g.proxy.cfg
				cfg.Settings = set
				g.proxy.Reload(cfg)
				g.proxy.Drain()
			})
			free.want("ERR\r\n")
			named.want("ERR\r\n")
			_, _ = free.Close(), named.Close()
			g.stops()
		})
	}
}

// Once the first line is out, its attempt is not cancelled: it may have run, and its answer counts.
func TestNotRecalledOnceSent(t *testing.T) {
	for name, entry := range map[string]string{
		"drains":  `{"instanceId":"s0","hostPort":"127.0.0.1:1","weight":1,"lifecycle":"Terminating"}`,
		"is gone": `{"instanceId":"s0","hostPort":"127.0.0.1:1","weight":1,"lifecycle":"Gone"}`,
		"began anew": `{"instanceId":"s0","hostPort":"127.0.0.1:1","weight":1,"lifecycle":"Ready",` +
			`"startedAtMs":1700000000000}`,
	} {
		t.Run(name, func(t *testing.T) {
			g := newHarness(t, 1, sendToFirst, nil)
			client := g.client(openLine)
			server := g.acceptUpstream(0)
			server.line()
			g.inLoop(func() {
				c, err := g.proxy.servers.list.Apply([]byte(`{"generation":2,"instances":[` + entry + `]}`))
				g.check(err)
				g.proxy.servers.Listed(c)
				server.say("UP r1\r\n")
			})
			client.want("UP r1\r\n")
			event[decision.Established](g)
		})
	}
}

// A request with an attempt out when the balancer begins to leave is served all the same, once, and moved after it
// is established.
func TestAnswerWhileLeaving(t *testing.T) {
	for name, leave := range map[string]func(*harness){
		"stop":      func(g *harness) { g.proxy.Drain() },
		"lame duck": func(g *harness) { g.proxy.HandleAdminCall(lifecycle.CommandLameDuck) },
		"lame duck, then stop": func(g *harness) {
			g.proxy.HandleAdminCall(lifecycle.CommandLameDuck)
			g.proxy.Drain()
		},
		"hand-over to nobody": func(g *harness) { g.proxy.HotRestart("nowhere", 1) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newHarnessWithCore(t, 1, nil)
			client := g.client(openLine)
			server := g.acceptUpstream(0)
			server.line()
			g.inLoop(func() {
				leave(g)
				server.say("UP r1\r\nfirst\r\n")
			})
			client.want("UP r1\r\n")
			client.want("first\r\n")
			client.want("MOVE\r\n")
			client.ended(true)
			server.ended(true)
		})
	}
}

// A client that is to be moved in the middle of a line waits for its end, but not for ever; and what ends
// meanwhile, ends.
func TestWhileALineIsUnderWay(t *testing.T) {
	for name, c := range map[string]struct {
		act  func(client, server *peer)
		seen func(client, server *peer)
		want outcome.Status
	}{
		"never ends": {func(_, _ *peer) {}, func(c, s *peer) {
			c.ended(false) // no MOVE can be said
			s.ended(true)
		}, outcome.Cancelled},
		"server ends": {func(_, s *peer) { _ = s.Close() }, func(c, _ *peer) { c.ended(true) }, outcome.Reset},
		"server resets": {
			func(_, s *peer) { _ = s.SetLinger(0); _ = s.Close() },
			func(c, _ *peer) { c.ended(false) },
			outcome.Reset,
		},
		"client resets": {
			func(c, _ *peer) { _ = c.SetLinger(0); _ = c.Close() },
			func(_, s *peer) { s.ended(false) },
			outcome.Cancelled,
		},
		"moved again": {
			func(c, s *peer) { c.g.inLoop(func() { firstRequest(c.g).move(outcome.Cancelled) }); s.say("\r\n") },
			func(c, s *peer) {
				c.want("\r\n")
				c.want("MOVE\r\n")
				c.ended(true)
			}, outcome.Cancelled,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newHarness(t, 1, sendToFirst, nil)
			client, server := g.establish()
			server.say("half")
			half := make([]byte, 4)
			if _, err := io.ReadFull(client.rd, half); err != nil {
				t.Fatal(err)
			}
			g.inLoop(func() { g.proxy.apply(decision.MoveConnection{ID: uint32(firstRequest(g).ref)}) })
			c.act(client, server)
			c.seen(client, server)
			g.outcome(c.want, true)
			for len(g.events) > 0 {
				if ev, ok := (<-g.events).(decision.AttemptEnded); ok {
					t.Errorf("a second outcome: %+v", ev)
				}
			}
		})
	}
}

// A connection that goes for want of descriptors, just as its client asks, is answered first; one that has said
// nothing sees a plain end.
func TestRequestReadOnEviction(t *testing.T) {
	g := newHarness(t, 0, nil, nil)
	asks, silent := g.client(""), g.client("")
	g.until(func() bool { return g.idle(overload.Silent) == 2 })
	g.inLoop(func() {
		asks.say(openLine)
		g.proxy.cfg.MaxDescriptors = 1
		g.proxy.listener.evictIdle()
		if n := g.idle(overload.Silent) + g.idle(overload.Answered); n != 0 {
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

// Settings read again during a planned stop don't shorten it: established connections are moved as was planned, and
// not cut off.
func TestRetunedDuringAStop(t *testing.T) {
	for name, leave := range map[string]func(*harness){
		"stop":      func(g *harness) { g.proxy.Drain() },
		"hand-over": func(g *harness) { g.proxy.HotRestart("nowhere", 1) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newHarness(t, 1, sendToFirst, nil)
			client, _ := g.establish()
			set, err := settings.ParseJSON(
				[]byte(strings.Replace(harnessSettings, `"deadline":60000000`, `"deadline":100000`, 1)),
			)
			if err != nil {
				t.Fatal(err)
			}
			g.inLoop(func() {
				leave(g)
				cfg := g.proxy.cfg
				cfg.Settings = set
				g.proxy.Reload(cfg)
			})
			client.want("MOVE\r\n")
			client.ended(true)
			_ = client.Close()
			g.stops()
		})
	}
}
