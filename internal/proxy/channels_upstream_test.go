package proxy

import (
	"fmt"
	"strings"
	"testing"

	"spurspread/decision"
	"spurspread/decision/keepalive"
	"spurspread/decision/outcome"
	"spurspread/lab/sshchan"
)

// A client or a server that stops reading one channel stalls only the sender on that channel, and the data buffered for
// it is bounded.
func TestStalledChannels(t *testing.T) {
	h := newHarness(t, 1, sendToFirst, enableChannels)
	c := h.connectMux()
	var clients, servers []*lineStream
	var upstream *sshchan.Conn
	for i := range 3 {
		ch, err := c.Open(fmt.Sprintf("OPEN a%d 7 c=sync,d=60000", i))
		h.check(err)
		if upstream == nil {
			upstream = h.acceptMux(0)
		}
		s := upstream.Accept()
		h.check(s.Confirm("UP r"))
		h.expectOpenReply(ch, true, 0, "UP r")
		clients, servers = append(clients, h.channelStream(ch)), append(servers, h.channelStream(s))
	}
	clients[0].ch.WithholdCredit(true) // reads but never grows the window, like a stalled reader
	servers[1].ch.WithholdCredit(true)
	line := strings.Repeat("x", 98) + "\r\n"
	const lines = 20_000
	for _, from := range []*lineStream{servers[0], clients[1]} {
		go func() { _, _ = from.ch.Write([]byte(strings.Repeat(line, lines))) }()
	}
	for i := range 200 {
		clients[2].send(fmt.Sprintf("T %d\r\n", i))
		servers[2].expect(fmt.Sprintf("T %d\r\n", i))
		servers[2].send(fmt.Sprintf("OK %d\r\n", i))
		clients[2].expect(fmt.Sprintf("OK %d\r\n", i))
		buffered := 0
		h.onLoop(func() {
			for r := range h.proxy.requests.all {
				buffered += r.downstream.Pending() + r.attempt.upstream.Pending()
			}
		})
		if limit := 2 * (h.proxy.buffers.maxPending + readSize); buffered > limit {
			t.Fatalf("%d bytes buffered, want at most %d", buffered, limit)
		}
	}
	clients[0].ch.WithholdCredit(false)
	servers[1].ch.WithholdCredit(false)
	for range lines {
		clients[0].expect(line)
		servers[1].expect(line)
	}
}

// When a multiplexed upstream connection breaks, each attempt on it reports one outcome, and only one of these counts
// against the server.
func TestMuxUpstreamBreaks(t *testing.T) {
	const n = 30 // few enough that the proxy opens no second connection in advance
	h := newHarness(t, 1, sendToFirst, enableChannels)
	c := h.connectMux()
	var clients []*sshchan.Channel
	var upstream *sshchan.Conn
	for i := range n {
		ch, err := c.Open(fmt.Sprintf("OPEN a%d 7 c=sync,d=60000", i))
		h.check(err)
		if upstream == nil {
			upstream = h.acceptMux(0)
		}
		s := upstream.Accept()
		if clients = append(clients, ch); i < n-5 { // the last 5 are not answered
			h.check(s.Confirm("UP r"))
			h.expectOpenReply(ch, true, 0, "UP r")
		}
	}
	h.check(upstream.Abort())
	counted, outcomes := 0, map[uint32]int{}
	for range n {
		o := await[decision.AttemptEnded](h)
		if o.Status != outcome.Reset {
			t.Errorf("got %+v, want status %d", o, outcome.Reset)
		}
		if outcomes[o.ID]++; outcomes[o.ID] > 1 {
			t.Errorf("request %d has %d outcomes, want 1", o.ID, outcomes[o.ID])
		}
		if !o.CauseAlreadyReported {
			counted++
		}
	}
	if counted != 1 {
		t.Errorf("%d outcomes count against the server, want 1", counted)
	}
	for _, ch := range clients[:n-5] {
		d := h.channelStream(ch)
		d.expectEnd(false)
	}
	if c.Err() != nil {
		t.Error("client connection ended together with the upstream connection:", c.Err())
	}
	// The next attempt fails at once, since it is too early for a new connection; it does not count against the server.
	_, err := c.Open("OPEN b1 7 c=sync,d=60000")
	h.check(err)
	if o := await[decision.AttemptEnded](h); o.Status != outcome.ConnectFailed || !o.CauseAlreadyReported {
		t.Errorf("got %+v, want status %d with its cause already reported", o, outcome.ConnectFailed)
	}
}

// When a multiplexed connection can't be opened, all attempts that wait for it report ConnectFailed, since they were
// never sent, and only one of them counts against the server.
func TestMuxUpstreamRefused(t *testing.T) {
	h := newHarness(t, 1, nil, enableChannels)
	h.check(h.servers[0].Close())
	c := h.connectMux()
	const n = 5
	for i := range n {
		_, err := c.Open(fmt.Sprintf("OPEN a%d 7 c=sync,d=60000", i))
		h.check(err)
	}
	var ids []uint32
	for range n {
		ids = append(ids, await[decision.Request](h).ID)
	}
	h.onLoop(func() {
		for _, id := range ids {
			h.proxy.apply(decision.StartAttempt{ID: id, Timeout: longTimeout})
		}
	})
	counted := 0
	for range n {
		o := await[decision.AttemptEnded](h)
		if o.Status != outcome.ConnectFailed {
			t.Errorf("got %+v, want status %d", o, outcome.ConnectFailed)
		}
		if !o.CauseAlreadyReported {
			counted++
		}
	}
	if counted != 1 {
		t.Errorf("%d outcomes count against the server, want 1", counted)
	}
}

// A server is asked only once whether it supports channels. If it does not, the attempt that asked continues over a
// plain connection.
func TestServerWithoutChannels(t *testing.T) {
	for name, answer := range map[string]func(p *peer){
		"closes": func(p *peer) { _ = p.Close() },
		"error":  func(p *peer) { p.send("ERR\r\n") },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1, sendToFirst, enableChannels)
			first := h.connect(openLine)
			asked := h.acceptUpstream(0)
			if got := asked.readLine(); !strings.HasPrefix(got, "SSH-2.0-") {
				t.Fatalf("server got %q, want an SSH identification line", got)
			}
			answer(asked)
			server := h.acceptUpstream(0)
			server.readLine()
			server.send("UP r1\r\n")
			first.expect("UP r1\r\n")
			second := h.connect(otherOpenLine)
			server = h.acceptUpstream(0)
			if got := server.readLine(); !strings.HasPrefix(got, "OPEN 9b20") {
				t.Errorf("server got %q, want the second request line on a plain connection", got)
			}
			server.send("UP r2\r\n")
			second.expect("UP r2\r\n")
			for range 2 {
				if o := await[decision.Established](h); o.Attempt != 0 {
					t.Errorf("got %+v, want attempt 0: asking for channels must not count as an attempt", o)
				}
			}
		})
	}
}

// When a server no longer answers on a multiplexed connection, the connection is closed and its clients are moved. Only
// one of the outcomes counts against the server.
func TestSilentMuxUpstream(t *testing.T) {
	h := newHarness(t, 1, sendToFirst, enableChannels)
	c := h.connectMux()
	var clients []*lineStream
	var upstream *sshchan.Conn
	for i := range 3 {
		ch, err := c.Open(fmt.Sprintf("OPEN a%d 7 c=sync,d=60000", i))
		h.check(err)
		if upstream == nil {
			upstream = h.acceptMux(0)
		}
		h.check(upstream.Accept().Confirm("UP r"))
		h.expectOpenReply(ch, true, 0, "UP r")
		clients = append(clients, h.channelStream(ch))
	}
	h.onLoop(func() {
		for _, t := range h.proxy.upstreams.conns {
			t.lastReceived -= keepalive.UpstreamTimeout
			t.checkAlive()
		}
	})
	counted := 0
	for _, d := range clients {
		d.expectMove()
		if o := await[decision.AttemptEnded](h); o.Status != outcome.Reset {
			t.Errorf("got %+v, want status %d", o, outcome.Reset)
		} else if !o.CauseAlreadyReported {
			counted++
		}
	}
	if counted != 1 {
		t.Errorf("%d outcomes count against the server, want 1", counted)
	}
}
