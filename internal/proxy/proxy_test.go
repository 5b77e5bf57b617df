package proxy

import (
	"fmt"
	"net/netip"
	"spurspread/decision"
	"spurspread/decision/attemptoutcome"
	"spurspread/decision/monotime"
	"spurspread/decision/outcome"
	"spurspread/decision/overload"
	"spurspread/decision/requestids"
	"spurspread/internal/discovery"
	"spurspread/internal/lineproto"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// A server that tells how long messages take says so with LOAD lines. Read as a connection's load, which the decision
// core has no use for, they left clients on slow servers.
func TestLoadLineIsTheNoteThatSettingsPromise(t *testing.T) {
	for _, c := range []struct {
		tellsLoad bool
		want      decision.MetricKind
	}{{false, decision.MessageLatencyMetric}, {true, decision.LoadMetric}} {
		g := newHarness(t, 1, sendToFirst, func(cfg *Config) { cfg.Settings.ReportsLoad = c.tellsLoad })
		client, server := g.establish()
		server.say("LOAD 192.5\r\n")
		client.want("LOAD 192.5\r\n")
		if n := event[decision.ConnectionMetric](g); n.Kind != c.want || n.Value != 192.5 || n.Server != 0 {
			t.Errorf("tells load %v: %+v", c.tellsLoad, n)
		}
	}
}

// The first line goes on byte for byte but for d, and all that follows goes both ways unchanged.
func TestServed(t *testing.T) {
	g := newHarness(t, 1, sendToFirst, nil)
	client := g.client(openLine)
	server := g.acceptUpstream(0)
	got := server.line()
	before, rest, _ := strings.Cut(got, "d=")
	d, after, _ := strings.Cut(rest, ",")
	if n, err := strconv.Atoi(d); err != nil || n < 1 || n > longTimeout/1000 || before+"d=60000,"+after != openLine {
		t.Fatalf("%q", got)
	}
	server.say("UP r1\r\nwith it\r\nhal")
	client.want("UP r1\r\n")
	client.want("with it\r\n")
	server.say("f\r\n")
	client.want("half\r\n")
	client.say("more\r\n")
	server.want("more\r\n")
	if e := event[decision.Established](g); e.Attempt != 0 || e.SetupTime <= 0 {
		t.Errorf("%+v", e)
	}
	server.say("BYE\r\n")
	g.check(server.Close())
	client.want("BYE\r\n")
	client.ended(true)
	if o := event[decision.AttemptEnded](g); o.Status != outcome.OK || !o.RequestClosed {
		t.Errorf("%+v", o)
	}
}

// Each StartAttempt has one outcome, distinguished as the protocol says, and its attempt is closed before the next one
// starts.
func TestOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		answer func(*peer)
		want   outcome.Status
	}{
		"error":      {func(p *peer) { p.say("ERR\r\n") }, outcome.ErrorResponse},
		"full":       {func(p *peer) { p.say("BUSY\r\n") }, outcome.ServerFull},
		"sent away":  {func(p *peer) { p.say("MOVE\r\n") }, outcome.Cancelled},
		"odd":        {func(p *peer) { p.say("\x00\xff what\r\n") }, outcome.ErrorResponse},
		"endless":    {func(p *peer) { p.say(strings.Repeat("x", lineproto.Max)) }, outcome.ErrorResponse},
		"ended":      {func(p *peer) { _ = p.Close() }, outcome.Reset},
		"reset":      {func(p *peer) { _ = p.SetLinger(0); _ = p.Close() }, outcome.Reset},
		"no answer":  {func(*peer) {}, outcome.TimedOut},
		"UP, no end": {func(p *peer) { p.say("UP r1") }, outcome.TimedOut},
	} {
		t.Run(name, func(t *testing.T) {
			giveUp := decision.Micros(longTimeout)
			if c.want == outcome.TimedOut {
				giveUp = 100_000
			}
			g := newHarness(t, 2, func(ev decision.Event) []decision.Action {
				switch ev := ev.(type) {
				case decision.Request:
					return []decision.Action{decision.StartAttempt{ID: ev.ID, Timeout: giveUp}}
				case decision.AttemptEnded:
					if !ev.RequestClosed {
						return []decision.Action{decision.StartAttempt{ID: ev.ID, Timeout: longTimeout, Server: 1}}
					}
				}
				return nil
			}, nil)
			client := g.client(openLine)
			first := g.acceptUpstream(0)
			first.line()
			c.answer(first)
			if o := event[decision.AttemptEnded](g); o.Status != c.want || o.RequestClosed || o.Attempt != 0 ||
				o.Server != 0 {
				t.Errorf("%+v, want status %d", o, c.want)
			}
			second := g.acceptUpstream(1)
			second.line()
			second.say("UP r2\r\n")
			client.want("UP r2\r\n")
			if name == "no answer" {
				first.ended(true) // one attempt at a time
			}
			if e := event[decision.Established](g); e.Attempt != 1 || e.Server != 1 {
				t.Errorf("%+v", e)
			}
		})
	}
}

func TestFailedDialNeverRan(t *testing.T) {
	g := newHarness(t, 1, sendToFirst, nil)
	g.check(g.servers[0].Close())
	g.client(openLine)
	if o := event[decision.AttemptEnded](g); o.Status != outcome.ConnectFailed || o.RequestClosed {
		t.Errorf("%+v", o)
	}
}

// What the decision core has given up on is answered at once, with its retry delay, and an attempt that is out brings
// its outcome.
func TestFinalAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		last func(id uint32) decision.Action
		want string
	}{
		"refused": {
			func(id uint32) decision.Action { return decision.Reject{ID: id, RetryAfter: 340_000} },
			"BUSY 340\r\n",
		},
		"bare":   {func(id uint32) decision.Action { return decision.Reject{ID: id} }, "BUSY\r\n"},
		"failed": {func(id uint32) decision.Action { return decision.Fail{ID: id} }, "ERR\r\n"},
	} {
		g := newHarness(t, 1, func(ev decision.Event) []decision.Action {
			if q, ok := ev.(decision.Request); ok {
				return []decision.Action{
					decision.StartAttempt{ID: q.ID, Timeout: longTimeout},
					decision.CancelAttempt{ID: q.ID},
					c.last(q.ID),
				}
			}
			return nil
		}, nil)
		client := g.client(openLine)
		client.want(c.want)
		client.ended(true)
		if o := event[decision.AttemptEnded](g); o.Status != outcome.Cancelled {
			t.Errorf("%s: %+v", name, o)
		}
	}
}

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
	for id := range uint64(3 * requestids.Remembered) {
		if !known.Add(id) || known.Add(id) {
			t.Fatalf("id %d", id)
		}
		known.Finish(id)
	}
	if known.Len() != requestids.Remembered || known.Add(3*requestids.Remembered-1) || !known.Add(0) {
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
		t.Errorf("%d sessions left", left)
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
		if n := g.loop.Descriptors(); n > 64-overload.ReservedDescriptors {
			t.Errorf("%d descriptors", n)
		}
	})
}

// That this machine has no descriptor left is no evidence against a server.
func TestDescriptorExhaustionIsInconclusive(t *testing.T) {
	for err, want := range map[error]outcome.Status{
		unix.EMFILE:       outcome.Inconclusive,
		unix.ECONNREFUSED: outcome.ConnectFailed,
	} {
		if got := dialOutcome(fmt.Errorf("connect: %w", err)); got != want {
			t.Errorf("%v: %d", err, got)
		}
	}
}

// An attempt whose first line is not out whole can't have run.
func TestUnsentAttemptNeverRan(t *testing.T) {
	for sent, want := range map[bool]outcome.Status{false: outcome.ConnectFailed, true: outcome.Reset} {
		if got := attemptoutcome.OfUnanswered(outcome.Reset, sent); got != want {
			t.Errorf("sent %v: %d", sent, got)
		}
	}
}

// A decision core that never answers must not cost the client its answer.
func TestOverdueRequestIsAnswered(t *testing.T) {
	g := newHarness(t, 0, nil, nil)
	g.client("OPEN a b c=sync,d=30\r\n").want("ERR\r\n")
	event[decision.RequestCancelled](g)
}

func TestMove(t *testing.T) {
	g := newHarness(t, 1, sendToFirst, nil)
	client, server := g.establish()
	server.say("half a li")
	if got, err := client.rd.Peek(9); err != nil || string(got) != "half a li" {
		t.Fatalf("%q, %v", got, err)
	}
	g.inLoop(func() { g.proxy.apply(decision.MoveConnection{ID: uint32(firstRequest(g).ref)}) })
	server.say("ne\r\nnever passed on\r\n")
	client.want("half a line\r\n")
	client.want("MOVE\r\n")
	client.ended(true)
	if o := event[decision.AttemptEnded](g); o.Status != outcome.Cancelled || !o.RequestClosed {
		t.Errorf("%+v", o)
	}
}

func firstRequest(g *harness) *request {
	for s := range g.proxy.requests.all {
		return s
	}
	return nil
}

// Ends are passed on in kind.
func TestEnds(t *testing.T) {
	for name, c := range map[string]struct {
		end  func(client, server *peer)
		seen func(client, server *peer)
		want outcome.Status
	}{
		"server ends": {func(_, s *peer) { _ = s.Close() }, func(c, _ *peer) { c.ended(true) }, outcome.Reset},
		"server resets": {
			func(_, s *peer) { _ = s.SetLinger(0); _ = s.Close() },
			func(c, _ *peer) { c.ended(false) }, outcome.Reset,
		},
		"client resets": {
			func(c, _ *peer) { _ = c.SetLinger(0); _ = c.Close() },
			func(_, s *peer) { s.ended(false) }, outcome.Cancelled,
		},
		"client ends its side, server has more to say": {func(c, _ *peer) { _ = c.CloseWrite() }, func(c, s *peer) {
			s.ended(true)
			s.say("more\r\nBYE\r\n")
			_ = s.Close()
			c.want("more\r\n")
			c.want("BYE\r\n")
			c.ended(true)
		}, outcome.OK},
		"client ends its side, server just ends": {
			func(c, s *peer) { _ = c.CloseWrite(); s.ended(true); _ = s.Close() },
			func(c, _ *peer) { c.ended(true) }, outcome.Cancelled,
		},
		"server sends the client away": {func(_, s *peer) { s.say("MOVE\r\n"); _ = s.Close() }, func(c, _ *peer) {
			c.want("MOVE\r\n")
			c.ended(true)
		}, outcome.Cancelled},
	} {
		t.Run(name, func(t *testing.T) {
			g := newHarness(t, 1, sendToFirst, nil)
			client, server := g.establish()
			c.end(client, server)
			c.seen(client, server)
			if o := event[decision.AttemptEnded](g); o.Status != c.want || !o.RequestClosed {
				t.Errorf("%+v, want status %d", o, c.want)
			}
		})
	}
}

// A client that leaves before it is served takes its attempt with it.
func TestClientLeavesEarly(t *testing.T) {
	g := newHarness(t, 1, sendToFirst, nil)
	client := g.client(openLine)
	server := g.acceptUpstream(0)
	server.line()
	g.check(client.Close())
	server.ended(true)
	if o := event[decision.AttemptEnded](g); o.Status != outcome.Cancelled || !o.RequestClosed {
		t.Errorf("%+v", o)
	}
	event[decision.RequestCancelled](g)
}

// Whatever a first line is, it is answered and the proxy goes on.
func TestBadFirstLines(t *testing.T) {
	g := newHarness(t, 0, nil, nil)
	for _, bad := range []string{
		"\r\n", "\n", "OPEN\r\n", "OPEN a b c=nobody,d=5\r\n", "OPEN a b d=5\r\n", "OPEN a b c=sync\n",
		"GET / HTTP/1.1\r\n", "\x00\x01\r\n", strings.Repeat("x", lineproto.Max),
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

// A connection that was established before this process did goes to its server, also when that is listed only later.
func TestResumed(t *testing.T) {
	g := newHarness(t, 1, nil, nil)
	client := g.client("OPEN a b c=sync,d=2000,at=late\r\n")
	addr := g.servers[0].Addr().String()
	g.loop.Post(func() {
		c, err := g.proxy.servers.list.Apply(
			[]byte(`{"generation":2,"instances":[` + listEntry("late", addr, "Terminating") + `]}`),
		)
		if err == nil {
			g.proxy.servers.Listed(c)
		}
	})
	server := g.acceptUpstream(0)
	server.line()
	server.say("UP r1\r\n")
	client.want("UP r1\r\n")
	if o := event[decision.ExistingConnection](g); o.Server != 1 {
		t.Errorf("%+v", o)
	}
	g.check(server.Close())
	if o := event[decision.AttemptEnded](g); o.Status != outcome.Reset || o.Attempt != 0 {
		t.Errorf("%+v", o)
	}
}

// Each probe brings one result.
func TestProbes(t *testing.T) {
	for name, c := range map[string]struct {
		answer string
		want   outcome.Status
	}{
		"alive": {
			"PONG\r\n",
			outcome.OK,
		}, "sick": {
			"ERR\r\n",
			outcome.ErrorResponse,
		}, "barred": {
			"NO\r\n",
			outcome.ErrorResponse,
		},
		"ended": {"", outcome.Reset},
	} {
		g := newHarness(t, 1, nil, nil)
		g.loop.Post(func() { g.proxy.apply(decision.ProbeServer{Server: 0}) })
		server := g.acceptUpstream(0)
		server.want("PING\r\n")
		server.say(c.answer)
		g.check(server.Close())
		if p := event[decision.ProbeResult](g); p.Status != c.want || p.Server != 0 {
			t.Errorf("%s: %+v", name, p)
		}
	}
	g := newHarness(t, 1, nil, func(cfg *Config) { cfg.Settings.ConnectTimeout = 500_000 })
	g.loop.Post(func() { g.proxy.apply(decision.ProbeServer{Server: 0}) })
	if p := event[decision.ProbeResult](g); p.Status != outcome.TimedOut {
		t.Errorf("silent: %+v", p)
	}
}

// Where load reports are promised a probe asks for one and passes it on in the settings' order, or nothing of one that
// can't be read.
func TestProbesReturnLoadReports(t *testing.T) {
	for answer, want := range map[string]decision.LoadReport{
		"PONG depth=2,tps=0.431,x0=1.25\r\n":   {Count: 3, Values: [4]float32{2, 0.431, 1.25}},
		"PONG x0=0.5,depth=0,more=9,tps=1\r\n": {Count: 3, Values: [4]float32{0, 1, 0.5}},
		"PONG\r\n":                             {},
		"PONG depth=2,x0=1.25\r\n":             {},
		"PONG depth=2,tps=x,x0=1.25\r\n":       {},
		"PONG depth=2,tps=1,x0=-1\r\n":         {},
		"PONG depth=2,tps=1,x0=NaN,x0=1\r\n":   {},
	} {
		g := newHarness(
			t,
			1,
			nil,
			func(cfg *Config) { cfg.Settings.Decision.LoadReportColumns = []string{"depth", "tps", "x0"} },
		)
		g.loop.Post(func() { g.proxy.apply(decision.ProbeServer{Server: 0}) })
		server := g.acceptUpstream(0)
		server.want("STATS\r\n")
		server.say(answer)
		if p := event[decision.ProbeResult](g); p.Status != outcome.OK || p.LoadReport != want {
			t.Errorf("%q: %+v", answer, p)
		}
	}
}

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

// A slow reader costs a bounded buffer: its server is left alone until it has caught up.
func TestSlowReader(t *testing.T) {
	g := newHarness(t, 1, sendToFirst, nil)
	client, server := g.establish()
	const lines = 200_000
	g.check(client.SetReadBuffer(256 << 10))
	go func() {
		_, _ = server.Write([]byte(strings.Repeat("0123456789abcdef0123456789abcdef\r\n", lines)))
	}()
	kept := 0
	look := func() { kept = firstRequest(g).downstream.Pending() }
	for until := time.Now().Add(patience); kept == 0 && time.Now().Before(until); {
		g.inLoop(look)
	}
	for range 300 {
		if g.inLoop(look); kept == 0 || kept > g.proxy.buffers.maxPending+len(g.proxy.buffers.read) {
			t.Fatalf("%d bytes kept", kept)
		}
	}
	silent := 0
	g.inLoop(func() { // nor is it the server that brings nothing back
		s := firstRequest(g)
		s.replied(len(s.sentAt))
		s.lastReply = 1
		s.awaitReply(1)
		g.proxy.latencies.sweep()
		s.replied(len(s.sentAt))
		silent = g.proxy.stats.silent
	})
	if silent != 0 {
		t.Fatal("a slow reader was taken for a silent server")
	}
	client.say("T 1\r\n")
	server.want("T 1\r\n")
	defer func() {
		samples := 0
		g.inLoop(func() { samples = g.proxy.latencies.of(0).delay.Samples() })
		if samples > 0 {
			t.Errorf(
				"a line that waited for its client to read was timed: %d",
				g.proxy.latencies.of(0).delay.Samples(),
			)
		}
	}()
	for i := range lines {
		if got := client.line(); got != "0123456789abcdef0123456789abcdef\r\n" {
			t.Fatalf("line %d: %q", i, got)
		}
	}
}

// The protocol's limit for a connection that brings nothing back is 7 s.
func TestSilent(t *testing.T) {
	at := func(state requestState, lastReply monotime.Micros, sentAt ...monotime.Micros) *request {
		return &request{state: state, established: established{lastReply: lastReply, sentAt: sentAt}}
	}
	const sec = monotime.Second
	for name, c := range map[string]struct {
		request *request
		want    bool
	}{
		"no line":         {at(stateEstablished, 0), false},
		"answered lately": {at(stateEstablished, 15*sec, 15*sec), false},
		"just sent":       {at(stateEstablished, 0, 19*sec), false},
		"nothing back":    {at(stateEstablished, 13*sec, 15*sec), true},
		"half-closed":     {at(stateHalfClosed, 13*sec, 15*sec), false},
	} {
		if got := c.request.isSilent(20 * monotime.Second); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}

// A changed server list is saved once for changes that come together, whole, without what is gone, and under the
// address that it came from; after a move not until the new address has answered.
func TestListIsKept(t *testing.T) {
	kept := make(chan string, 10)
	g := newHarness(t, 2, sendToFirst, func(cfg *Config) {
		cfg.SaveList = func(at netip.AddrPort, list []byte) { kept <- at.String() + " " + string(list) }
	})
	var at string
	g.inLoop(func() {
		at = g.proxy.cfg.Discovery.String()
		for _, entries := range []string{
			listEntry("s0", "127.0.0.1:2", "Terminating"),
			`{"instanceId":"s1","lifecycle":"Gone"},` + listEntry("s2", "127.0.0.1:1", "Ready"),
		} {
			c, err := g.proxy.servers.list.Apply([]byte(`{"generation":9,"instances":[` + entries + `]}`))
			g.check(err)
			g.proxy.servers.Listed(c)
		}
	})
	got := <-kept
	again := discovery.NewServerList()
	c, err := again.Apply([]byte(strings.TrimPrefix(got, at+" ")))
	if err != nil || !c.Full || len(c.Servers) != 2 {
		t.Fatalf("%q: %+v, %v", got, c, err)
	}
	g.inLoop(func() {
		for _, want := range c.Servers {
			have := *g.proxy.servers.list.ByID([]byte(want.ID))
			have.Number = want.Number
			if have != *want {
				t.Errorf("%+v, want %+v", *want, have)
			}
		}
		g.proxy.servers.client.ChangeAddress(g.proxy.cfg.Discovery)
		g.proxy.servers.Listed(discovery.Update{})
		g.proxy.servers.save()
	})
	g.inLoop(func() {})
	if len(kept) != 0 {
		t.Errorf("%q", <-kept)
	}
}
