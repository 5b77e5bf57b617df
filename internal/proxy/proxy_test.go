package proxy

import (
	"strconv"
	"strings"
	"testing"

	"spurspread/decision"
	"spurspread/decision/outcome"
)

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

// A connection that was established before this process did goes to its server, also when that is listed only later.
func TestReattached(t *testing.T) {
	g := newHarness(t, 1, nil, nil)
	client := g.client("OPEN a b c=sync,d=2000,at=late\r\n")
	addr := g.servers[0].Addr().String()
	g.loop.Post(func() {
		c, err := g.proxy.servers.list.Apply(
			[]byte(`{"generation":2,"instances":[` + listEntry("late", addr, "Terminating") + `]}`),
		)
		if err == nil {
			g.proxy.servers.ListUpdated(c)
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
