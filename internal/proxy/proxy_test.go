package proxy

import (
	"strconv"
	"strings"
	"testing"

	"spurspread/decision"
	"spurspread/decision/outcome"
)

// The server gets the request line byte for byte except for the deadline, d. All later lines are forwarded unchanged in
// both directions.
func TestLinesAreForwarded(t *testing.T) {
	h := newHarness(t, 1, sendToFirst, nil)
	client := h.connect(openLine)
	server := h.acceptUpstream(0)
	got := server.readLine()
	before, rest, _ := strings.Cut(got, "d=")
	d, after, _ := strings.Cut(rest, ",")
	if n, err := strconv.Atoi(d); err != nil || n < 1 || n > longTimeout/1000 || before+"d=60000,"+after != openLine {
		t.Fatalf("server got %q, want %q with a deadline of at most %d ms", got, openLine, longTimeout/1000)
	}
	server.send("UP r1\r\nwith it\r\nhal")
	client.expect("UP r1\r\n")
	client.expect("with it\r\n")
	server.send("f\r\n")
	client.expect("half\r\n")
	client.send("more\r\n")
	server.expect("more\r\n")
	if e := await[decision.Established](h); e.Attempt != 0 || e.SetupTime <= 0 {
		t.Errorf("got %+v, want attempt 0 and a positive set-up time", e)
	}
	server.send("BYE\r\n")
	h.check(server.Close())
	client.expect("BYE\r\n")
	client.expectEnd(true)
	if o := await[decision.AttemptEnded](h); o.Status != outcome.OK || !o.RequestClosed {
		t.Errorf("got %+v, want status %d of a closed request", o, outcome.OK)
	}
}

// A client gets its final answer even if the decision core never makes a decision.
func TestOverdueRequestIsAnswered(t *testing.T) {
	h := newHarness(t, 0, nil, nil)
	h.connect("OPEN a b c=sync,d=30\r\n").expect("ERR\r\n")
	await[decision.RequestCancelled](h)
}

// MOVE is sent as soon as the server's current line is complete; what the server sends after that line is dropped.
func TestMove(t *testing.T) {
	h := newHarness(t, 1, sendToFirst, nil)
	client, server := h.establish()
	server.send("half a li")
	if got, err := client.rd.Peek(9); err != nil || string(got) != "half a li" {
		t.Fatalf("client got %q, %v, want the incomplete line", got, err)
	}
	h.onLoop(func() { h.proxy.apply(decision.MoveConnection{ID: uint32(firstRequest(h).ref)}) })
	server.send("ne\r\nnever passed on\r\n")
	client.expect("half a line\r\n")
	client.expect("MOVE\r\n")
	client.expectEnd(true)
	if o := await[decision.AttemptEnded](h); o.Status != outcome.Cancelled || !o.RequestClosed {
		t.Errorf("got %+v, want status %d of a closed request", o, outcome.Cancelled)
	}
}

// firstRequest returns the first request in the table; nil if there is none. It must be called on the loop.
func firstRequest(h *harness) *request {
	for r := range h.proxy.requests.all {
		return r
	}
	return nil
}

// When one side closes or resets its connection, the proxy does the same to the other side. The attempt's outcome
// depends on the server's last lines.
func TestConnectionEnds(t *testing.T) {
	for name, c := range map[string]struct {
		end  func(client, server *peer)
		seen func(client, server *peer)
		want outcome.Status
	}{
		"server closes": {func(_, s *peer) { _ = s.Close() }, func(c, _ *peer) { c.expectEnd(true) }, outcome.Reset},
		"server resets": {
			func(_, s *peer) { _ = s.SetLinger(0); _ = s.Close() },
			func(c, _ *peer) { c.expectEnd(false) }, outcome.Reset,
		},
		"client resets": {
			func(c, _ *peer) { _ = c.SetLinger(0); _ = c.Close() },
			func(_, s *peer) { s.expectEnd(false) }, outcome.Cancelled,
		},
		"client half-closes, server sends more": {func(c, _ *peer) { _ = c.CloseWrite() }, func(c, s *peer) {
			s.expectEnd(true)
			s.send("more\r\nBYE\r\n")
			_ = s.Close()
			c.expect("more\r\n")
			c.expect("BYE\r\n")
			c.expectEnd(true)
		}, outcome.OK},
		"client half-closes, server closes": {
			func(c, s *peer) { _ = c.CloseWrite(); s.expectEnd(true); _ = s.Close() },
			func(c, _ *peer) { c.expectEnd(true) }, outcome.Cancelled,
		},
		"server moves the client": {func(_, s *peer) { s.send("MOVE\r\n"); _ = s.Close() }, func(c, _ *peer) {
			c.expect("MOVE\r\n")
			c.expectEnd(true)
		}, outcome.Cancelled},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1, sendToFirst, nil)
			client, server := h.establish()
			c.end(client, server)
			c.seen(client, server)
			if o := await[decision.AttemptEnded](h); o.Status != c.want || !o.RequestClosed {
				t.Errorf("got %+v, want status %d of a closed request", o, c.want)
			}
		})
	}
}

// A client that was connected through an earlier process names its server, with at=. Its request goes to that server,
// even if the server is listed only later.
func TestReattached(t *testing.T) {
	h := newHarness(t, 1, nil, nil)
	client := h.connect("OPEN a b c=sync,d=2000,at=late\r\n")
	addr := h.servers[0].Addr().String()
	h.loop.Post(func() {
		c, err := h.proxy.servers.list.Apply(
			[]byte(`{"generation":2,"instances":[` + listEntry("late", addr, "Terminating") + `]}`),
		)
		if err == nil {
			h.proxy.servers.ListUpdated(c)
		}
	})
	server := h.acceptUpstream(0)
	server.readLine()
	server.send("UP r1\r\n")
	client.expect("UP r1\r\n")
	if o := await[decision.ExistingConnection](h); o.Server != 1 {
		t.Errorf("got %+v, want server 1", o)
	}
	h.check(server.Close())
	if o := await[decision.AttemptEnded](h); o.Status != outcome.Reset || o.Attempt != 0 {
		t.Errorf("got %+v, want status %d of attempt 0", o, outcome.Reset)
	}
}
