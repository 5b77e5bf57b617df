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

// A planned stop rejects new requests, moves established connections and then stops the loop.
func TestDrain(t *testing.T) {
	h := newHarness(t, 1, sendToFirst, nil)
	client, _ := h.establish()
	h.loop.Post(h.proxy.Drain)
	late := h.connect(otherOpenLine)
	if got := late.readLine(); !strings.HasPrefix(got, "BUSY ") {
		t.Errorf("new request during the drain answered with %q, want BUSY", got)
	}
	client.expect("MOVE\r\n")
	client.expectEnd(true)
	h.check(client.Close())
	h.check(late.Close())
	err := <-h.stopped
	h.stopped <- err
	h.check(err)
	h.expectNoRequest()
}

// idempotencyRules are retry rules of a class, with the final answer to a request that may have been executed: BUSY
// lets the client retry, ERR does not. In the case that ends with "not sent" it can't have been executed.
var idempotencyRules = map[string]struct {
	rule       string
	wantAnswer string
}{
	"read-like":                {`"effect":"read_like"`, "BUSY"},
	"key known everywhere":     {`"effect":"idempotency_key","key_scope":"all","window":500000`, "BUSY"},
	"key known in one zone":    {`"effect":"idempotency_key","key_scope":"zone","window":500000`, "ERR"},
	"key known in one cell":    {`"effect":"idempotency_key","key_scope":"cell","window":500000`, "ERR"},
	"non-idempotent":           {`"effect":"non_idempotent"`, "ERR"},
	"non-idempotent, not sent": {`"effect":"non_idempotent"`, "BUSY"},
}

// withClassRule returns a change of the configuration that gives the only class this rule.
func withClassRule(t *testing.T, rule string) func(*Config) {
	set, err := settings.ParseJSON([]byte(strings.Replace(harnessSettings, `"effect":"read_like"`, rule, 1)))
	if err != nil {
		t.Fatal(err)
	}
	return func(cfg *Config) { cfg.Settings = set }
}

// A planned stop answers a pending request as the class's retry rules allow: the server may have executed the request
// of an attempt in progress, or may do so later.
func TestFinalAnswerOfPendingRequestOnStop(t *testing.T) {
	for name, c := range idempotencyRules {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			servers := 1
			if strings.HasSuffix(name, "not sent") {
				servers = 0
			}
			h := newHarnessWithCore(t, servers, withClassRule(t, c.rule))
			client := h.connect(openLine)
			await[decision.Request](h)
			for i := range servers {
				h.acceptUpstream(i).readLine()
			}
			h.loop.Post(h.proxy.Drain)
			if got := client.readLine(); !strings.HasPrefix(got, c.wantAnswer) {
				t.Errorf("got %q, want %s", got, c.wantAnswer)
			}
			client.expectEnd(true)
			_ = client.Close()
			h.waitStopped()
		})
	}
}

// A drain answers a reattaching request at once, as the class's retry rules allow.
func TestFinalAnswerOfReattachingRequestOnDrain(t *testing.T) {
	for name, c := range idempotencyRules {
		t.Run(name, func(t *testing.T) {
			h := newHarnessWithCore(t, 1, withClassRule(t, c.rule))
			server := "s0"
			if strings.HasSuffix(name, "not sent") {
				server = "unlisted"
			}
			client := h.connect("OPEN a b c=sync,d=60000,at=" + server + "\r\n")
			if server == "s0" {
				h.acceptUpstream(0).readLine()
			} else {
				h.waitAccepted(1)
			}
			h.onLoop(func() { h.proxy.drain.begin() })
			if got := client.readLine(); !strings.HasPrefix(got, c.wantAnswer) {
				t.Errorf("got %q, want %s", got, c.wantAnswer)
			}
		})
	}
}

// A request that is read after a planned stop has begun is rejected with BUSY and not forwarded, wherever it was when
// the stop began: in the socket's buffer, partly read, not yet sent, or in the accept queue.
func TestRequestsReadDuringStop(t *testing.T) {
	for name, act := range map[string]func(h *harness) []*peer{
		"unread": func(h *harness) (all []*peer) {
			p := h.connect("")
			h.waitForIdle()
			h.onLoop(func() {
				p.send(openLine)
				h.proxy.Drain()
			})
			return []*peer{p}
		},
		"in pieces": func(h *harness) []*peer {
			p := h.connect(openLine[:20])
			h.waitUntil(func() bool {
				return h.idleCount(overload.NoRequest) == 1 && len(h.oldestIdle().firstLine) == 20
			})
			h.onLoop(h.proxy.Drain)
			p.send(openLine[20:30])
			h.waitUntil(func() bool {
				return len(h.oldestIdle().firstLine) == 30
			})
			p.send(openLine[30:])
			return []*peer{p}
		},
		"idle before the stop": func(h *harness) []*peer {
			p := h.connect("")
			h.waitForIdle()
			h.onLoop(h.proxy.Drain)
			p.send(openLine)
			return []*peer{p}
		},
		"after a health checker's ping": func(h *harness) []*peer {
			p := h.connect("PING\r\n")
			p.expect("PONG\r\n")
			h.onLoop(func() {
				h.proxy.Drain()
				p.send(openLine)
			})
			return []*peer{p}
		},
		"in the accept queue": func(h *harness) (all []*peer) {
			h.onLoop(func() {
				for i := range 100 { // more than the proxy accepts in one turn
					all = append(all, h.connect(openLineWithID(i)))
				}
				h.proxy.Drain()
			})
			return all
		},
		"in the accept queue as the listener closes": func(h *harness) (all []*peer) {
			h.onLoop(func() {
				h.proxy.Drain()
				for i := range 100 {
					all = append(all, h.connect(openLineWithID(i)))
				}
				h.proxy.listener.close()
			})
			return all
		},
		"sent while idle connections are closed late in the stop": func(h *harness) []*peer {
			p := h.connect("")
			h.waitForIdle()
			h.onLoop(func() {
				h.proxy.Drain()
				h.proxy.drain.startedAt -= drainschedule.MinDuration + drainschedule.CheckInterval
				h.proxy.drain.checkFinished()
				p.send(openLine)
			})
			return []*peer{p}
		},
		"unread when idle connections are closed": func(h *harness) []*peer {
			p := h.connect("")
			h.waitForIdle()
			h.onLoop(func() {
				h.proxy.Drain()
				p.send(openLine)
				h.proxy.listener.closeIdle(0)
			})
			return []*peer{p}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarnessWithCore(t, 1, nil)
			for _, p := range act(h) {
				if got := p.readLine(); !strings.HasPrefix(got, "BUSY ") {
					t.Fatalf("got %q, want BUSY with a retry delay", got)
				}
				p.expectEnd(true)
				_ = p.Close()
			}
			h.waitStopped()
			h.expectNoRequest()
		})
	}
}

// An idle connection that the proxy closes ends with EOF and not with a reset, even if the client sends a request at
// the same time. With part of a first line it gets ERR before.
func TestIdleConnectionsEndWithEOF(t *testing.T) {
	t.Run("request sent as it closes", func(t *testing.T) {
		t.Parallel()
		h := newHarnessWithCore(t, 1, nil)
		p := h.connect("")
		h.waitForIdle()
		h.onLoop(func() {
			h.proxy.Drain()
			h.proxy.listener.closeIdle(0)
			p.send(openLine)
		})
		p.expectEnd(true)
		h.onLoop(func() { p.send("more\r\n") }) // a reset would have arrived by then
		p.expectEnd(true)
		_ = p.Close()
		h.waitStopped()
		h.expectNoRequest()
	})
	t.Run("part of a line", func(t *testing.T) {
		t.Parallel()
		h := newHarnessWithCore(t, 1, nil)
		p := h.connect(openLine[:20])
		p.expect("ERR\r\n")
		p.expectEnd(true)
		_ = p.Close()
	})
	t.Run("until the stop ends", func(t *testing.T) {
		t.Parallel()
		h := newHarnessWithCore(t, 1, nil)
		p, q := h.connect(""), h.connect("PING\r\n")
		q.expect("PONG\r\n")
		h.loop.Post(h.proxy.Drain)
		p.expectEnd(true)
		q.expectEnd(true)
		_, _ = p.Close(), q.Close()
		h.waitStopped()
	})
}

// A second planned stop, or a hot restart, has no effect once a planned stop has begun.
func TestStopTwice(t *testing.T) {
	h := newHarnessWithCore(t, 1, nil)
	client, _ := h.establish()
	var began eventloop.Micros
	h.onLoop(func() {
		h.proxy.Drain()
		began = h.proxy.drain.startedAt
	})
	h.onLoop(func() {
		h.proxy.Drain()
		h.proxy.HotRestart("nowhere", 1)
		if d := h.proxy.drain; d.startedAt != began || d.handingOver || d.generation != 1 {
			t.Errorf("drain is %+v, want it unchanged since %d", d, began)
		}
	})
	if got := h.connect(otherOpenLine).readLine(); !strings.HasPrefix(got, "BUSY ") {
		t.Errorf("new request during the drain answered with %q, want BUSY", got)
	}
	client.expect("MOVE\r\n")
	client.expectEnd(true)
	_ = client.Close()
	h.waitStopped()
}

// A reload of the settings while a request is pending: its final answer still follows the retry rules that its class
// had when it arrived, even if the class has other rules or another index now, or was removed.
func TestReloadWhileRequestIsPending(t *testing.T) {
	const strict = `"effect":"non_idempotent"`
	for name, after := range map[string]string{
		"other rules": harnessSettings,
		"removed":     strings.Replace(harnessSettings, `"name":"sync"`, `"name":"other"`, 1),
		"other index": strings.Replace(harnessSettings, `[{"name":"sync"`,
			`[{"name":"other","slo":1,"deadline":9000000,"effect":"read_like","streaming":true},{"name":"sync"`, 1),
		"one attempt": strings.Replace(harnessSettings, `"most_tries":4`, `"most_tries":1`, 1),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			set, err := settings.ParseJSON([]byte(after))
			if err != nil {
				t.Fatal(err)
			}
			h := newHarnessWithCore(t, 1, withClassRule(t, strict))
			pending, reattaching := h.connect(openLine), h.connect("OPEN a b c=sync,d=60000,at=s0\r\n")
			h.acceptUpstream(0).readLine()
			h.acceptUpstream(0).readLine()
			h.onLoop(func() {
				cfg := h.proxy.cfg
				cfg.Settings = set
				h.proxy.Reload(cfg)
				h.proxy.Drain()
			})
			pending.expect("ERR\r\n")
			reattaching.expect("ERR\r\n")
			_, _ = pending.Close(), reattaching.Close()
			h.waitStopped()
		})
	}
}

// If a drain begins while a request's attempt is in progress and the server then accepts the request, the request is
// established as usual and its client moved after the first lines.
func TestServerAcceptsDuringDrain(t *testing.T) {
	for name, startDrain := range map[string]func(*harness){
		"stop":      func(h *harness) { h.proxy.Drain() },
		"lame duck": func(h *harness) { h.proxy.HandleAdminCommand(lifecycle.CommandLameDuck) },
		"lame duck, then stop": func(h *harness) {
			h.proxy.HandleAdminCommand(lifecycle.CommandLameDuck)
			h.proxy.Drain()
		},
		"hot restart without successor": func(h *harness) { h.proxy.HotRestart("nowhere", 1) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarnessWithCore(t, 1, nil)
			client := h.connect(openLine)
			server := h.acceptUpstream(0)
			server.readLine()
			h.onLoop(func() {
				startDrain(h)
				server.send("UP r1\r\nfirst\r\n")
			})
			client.expect("UP r1\r\n")
			client.expect("first\r\n")
			client.expect("MOVE\r\n")
			client.expectEnd(true)
			server.expectEnd(true)
		})
	}
}

// A client that is to be moved in the middle of a line from its server is moved once the line is complete. If the line
// is never completed, the connection is reset after a while. If the client or the server closes before that, it ends as
// usual.
func TestMoveInMiddleOfLine(t *testing.T) {
	for name, c := range map[string]struct {
		act  func(client, server *peer)
		seen func(client, server *peer)
		want outcome.Status
	}{
		"never completed": {func(_, _ *peer) {}, func(c, s *peer) {
			c.expectEnd(false) // MOVE can't be sent in the middle of a line
			s.expectEnd(true)
		}, outcome.Cancelled},
		"server closes": {func(_, s *peer) { _ = s.Close() }, func(c, _ *peer) { c.expectEnd(true) }, outcome.Reset},
		"server resets": {
			func(_, s *peer) { _ = s.SetLinger(0); _ = s.Close() },
			func(c, _ *peer) { c.expectEnd(false) },
			outcome.Reset,
		},
		"client resets": {
			func(c, _ *peer) { _ = c.SetLinger(0); _ = c.Close() },
			func(_, s *peer) { s.expectEnd(false) },
			outcome.Cancelled,
		},
		"moved again": {
			func(c, s *peer) { c.h.onLoop(func() { firstRequest(c.h).move(outcome.Cancelled) }); s.send("\r\n") },
			func(c, s *peer) {
				c.expect("\r\n")
				c.expect("MOVE\r\n")
				c.expectEnd(true)
			}, outcome.Cancelled,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, 1, sendToFirst, nil)
			client, server := h.establish()
			server.send("half")
			half := make([]byte, 4)
			if _, err := io.ReadFull(client.rd, half); err != nil {
				t.Fatal(err)
			}
			h.onLoop(func() { h.proxy.apply(decision.MoveConnection{ID: uint32(firstRequest(h).ref)}) })
			c.act(client, server)
			c.seen(client, server)
			h.expectOutcome(c.want, true)
			for len(h.events) > 0 {
				if ev, ok := (<-h.events).(decision.AttemptEnded); ok {
					t.Errorf("got a second outcome: %+v, want one", ev)
				}
			}
		})
	}
}

// A reload of the settings during a planned stop must not shorten the stop: established connections are moved as
// scheduled and not disconnected without MOVE.
func TestReloadDuringStop(t *testing.T) {
	for name, startDrain := range map[string]func(*harness){
		"stop":        func(h *harness) { h.proxy.Drain() },
		"hot restart": func(h *harness) { h.proxy.HotRestart("nowhere", 1) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, 1, sendToFirst, nil)
			client, _ := h.establish()
			set, err := settings.ParseJSON(
				[]byte(strings.Replace(harnessSettings, `"deadline":60000000`, `"deadline":100000`, 1)),
			)
			if err != nil {
				t.Fatal(err)
			}
			h.onLoop(func() {
				startDrain(h)
				cfg := h.proxy.cfg
				cfg.Settings = set
				h.proxy.Reload(cfg)
			})
			client.expect("MOVE\r\n")
			client.expectEnd(true)
			_ = client.Close()
			h.waitStopped()
		})
	}
}
