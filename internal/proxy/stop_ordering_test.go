package proxy

import (
	"io"
	"strings"
	"testing"

	"spurspread/decision"
	"spurspread/decision/drainschedule"
	"spurspread/decision/lifecycle"
	"spurspread/decision/outcome"
	"spurspread/decision/overload"
	"spurspread/internal/eventloop"
	"spurspread/internal/settings"
)

// A planned stop rejects what is new, moves what is established, and ends the loop.
func TestDrain(t *testing.T) {
	g := newHarness(t, 1, sendToFirst, nil)
	client, _ := g.establish()
	g.loop.Post(g.proxy.Drain)
	late := g.client(another)
	if got := late.line(); !strings.HasPrefix(got, "BUSY ") {
		t.Errorf("new while draining: %q", got)
	}
	client.want("MOVE\r\n")
	client.ended(true)
	g.check(client.Close())
	g.check(late.Close())
	err := <-g.stopped
	g.stopped <- err
	g.check(err)
	g.noOutcome()
}

// idempotencyRules are a class's retry rules, and what a client is told whose attempt may have run.
var idempotencyRules = map[string]struct {
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

// withClassRule has the one class follow the rule.
func withClassRule(t *testing.T, rule string) func(*Config) {
	set, err := settings.ParseJSON([]byte(strings.Replace(harnessSettings, `"effect":"read_like"`, rule, 1)))
	if err != nil {
		t.Fatal(err)
	}
	return func(cfg *Config) { cfg.Settings = set }
}

// What a planned stop answers promises no more than the class allows: an attempt that is out may have run, or may yet.
func TestStopPromisesNoMoreThanTheClassAllows(t *testing.T) {
	for name, c := range idempotencyRules {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			servers := 1
			if strings.HasSuffix(name, "not sent") {
				servers = 0
			}
			g := newHarnessWithCore(t, servers, withClassRule(t, c.rule))
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
	for name, c := range idempotencyRules {
		t.Run(name, func(t *testing.T) {
			g := newHarnessWithCore(t, 1, withClassRule(t, c.rule))
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
				return g.idle(overload.NoRequest) == 1 && len(g.firstIdle().firstLine) == 20
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
		"sent as its connection was found silent, late in the stop": func(g *harness) []*peer {
			p := g.client("")
			g.waitRead()
			g.inLoop(func() {
				g.proxy.Drain()
				g.proxy.drain.startedAt -= drainschedule.MinDuration + drainschedule.CheckInterval
				g.proxy.drain.checkFinished()
				p.say(openLine)
			})
			return []*peer{p}
		},
		"unread as resting connections are ended": func(g *harness) []*peer {
			p := g.client("")
			g.waitRead()
			g.inLoop(func() {
				g.proxy.Drain()
				p.say(openLine)
				g.proxy.listener.closeIdle(0)
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
			g.proxy.listener.closeIdle(0)
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

// SIGTERM again, and a hot restart behind it, change nothing that a stop has begun.
func TestStopTwice(t *testing.T) {
	g := newHarnessWithCore(t, 1, nil)
	client, _ := g.establish()
	var began eventloop.Micros
	g.inLoop(func() {
		g.proxy.Drain()
		began = g.proxy.drain.startedAt
	})
	g.inLoop(func() {
		g.proxy.Drain()
		g.proxy.HotRestart("nowhere", 1)
		if d := g.proxy.drain; d.startedAt != began || d.handingOver || d.generation != 1 {
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
func TestSettingsReloadedWhileARequestWaits(t *testing.T) {
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
			g := newHarnessWithCore(t, 1, withClassRule(t, strict))
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

// A request with an attempt out when the balancer begins to leave is served all the same, once, and moved after it
// is established.
func TestAnswerWhileLeaving(t *testing.T) {
	for name, leave := range map[string]func(*harness){
		"stop":      func(g *harness) { g.proxy.Drain() },
		"lame duck": func(g *harness) { g.proxy.HandleAdminCommand(lifecycle.CommandLameDuck) },
		"lame duck, then stop": func(g *harness) {
			g.proxy.HandleAdminCommand(lifecycle.CommandLameDuck)
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

// Settings read again during a planned stop don't shorten it: established connections are moved as was planned, and
// not cut off.
func TestSettingsReloadedDuringAStop(t *testing.T) {
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
