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

// A client that does not read one channel, and a server that does not, stop their own senders and nobody else; what is
// kept meanwhile is bounded.
func TestStalledChannels(t *testing.T) {
	g := newHarness(t, 1, sendToFirst, channelsOn)
	c := g.connection()
	var clients, servers []*duplex
	var upstream *sshchan.Conn
	for i := range 3 {
		ch, err := c.Open(fmt.Sprintf("OPEN a%d 7 c=sync,d=60000", i))
		g.check(err)
		if upstream == nil {
			upstream = g.acceptMux(0)
		}
		s := upstream.Accept()
		g.check(s.Confirm("UP r"))
		g.answered(ch, true, 0, "UP r")
		clients, servers = append(clients, g.overChannel(ch)), append(servers, g.overChannel(s))
	}
	clients[0].ch.Hold(true) // reads, but gives nothing back, as a reader that has stalled
	servers[1].ch.Hold(true)
	line := strings.Repeat("x", 98) + "\r\n"
	const lines = 20_000
	for _, from := range []*duplex{servers[0], clients[1]} {
		go func() { _, _ = from.ch.Write([]byte(strings.Repeat(line, lines))) }()
	}
	for i := range 200 {
		clients[2].say(fmt.Sprintf("T %d\r\n", i))
		servers[2].want(fmt.Sprintf("T %d\r\n", i))
		servers[2].say(fmt.Sprintf("OK %d\r\n", i))
		clients[2].want(fmt.Sprintf("OK %d\r\n", i))
		kept := 0
		g.inLoop(func() {
			for s := range g.proxy.requests.all {
				kept += s.downstream.Pending() + s.attempt.upstream.Pending()
			}
		})
		if most := 2 * (g.proxy.buffers.maxPending + len(g.proxy.buffers.read)); kept > most {
			t.Fatalf("%d bytes kept, over %d", kept, most)
		}
	}
	clients[0].ch.Hold(false)
	servers[1].ch.Hold(false)
	for range lines {
		clients[0].want(line)
		servers[1].want(line)
	}
}

// A multiplexed upstream connection that breaks ends each of its channels with one outcome, and is one piece of
// evidence. Attempts that still wait for a multiplexed connection were never sent.
func TestMuxUpstreamBreaks(t *testing.T) {
	const n = 30 // fewer than have a second connection opened ahead of need
	g := newHarness(t, 1, sendToFirst, channelsOn)
	c := g.connection()
	var clients []*sshchan.Channel
	var upstream *sshchan.Conn
	for i := range n {
		ch, err := c.Open(fmt.Sprintf("OPEN a%d 7 c=sync,d=60000", i))
		g.check(err)
		if upstream == nil {
			upstream = g.acceptMux(0)
		}
		s := upstream.Accept()
		if clients = append(clients, ch); i < n-5 { // some are not answered yet
			g.check(s.Confirm("UP r"))
			g.answered(ch, true, 0, "UP r")
		}
	}
	g.check(upstream.Abort())
	evidence, outcomes := 0, map[uint32]int{}
	for range n {
		o := event[decision.AttemptEnded](g)
		if o.Status != outcome.Reset {
			t.Errorf("%+v", o)
		}
		if outcomes[o.ID]++; outcomes[o.ID] > 1 {
			t.Errorf("two outcomes of %d", o.ID)
		}
		if !o.CauseAlreadyReported {
			evidence++
		}
	}
	if evidence != 1 {
		t.Errorf("%d pieces of evidence", evidence)
	}
	for _, ch := range clients[:n-5] {
		d := g.overChannel(ch)
		d.ended(false)
	}
	if c.Err() != nil {
		t.Error("the client's connection ended with the upstream connection")
	}
	// The next comes too soon for another connection, and is told so without one more piece of evidence.
	_, err := c.Open("OPEN b1 7 c=sync,d=60000")
	g.check(err)
	if o := event[decision.AttemptEnded](g); o.Status != outcome.ConnectFailed || !o.CauseAlreadyReported {
		t.Errorf("%+v", o)
	}
}

// Attempts that wait for a multiplexed connection that can't be opened were never sent; the first is the evidence.
func TestMuxUpstreamRefused(t *testing.T) {
	g := newHarness(t, 1, nil, channelsOn)
	g.check(g.servers[0].Close())
	c := g.connection()
	const n = 5
	for i := range n {
		_, err := c.Open(fmt.Sprintf("OPEN a%d 7 c=sync,d=60000", i))
		g.check(err)
	}
	var ids []uint32
	for range n {
		ids = append(ids, event[decision.Request](g).ID)
	}
	g.inLoop(func() {
		for _, id := range ids {
			g.proxy.apply(decision.StartAttempt{ID: id, Timeout: longTimeout})
		}
	})
	evidence := 0
	for range n {
		o := event[decision.AttemptEnded](g)
		if o.Status != outcome.ConnectFailed {
			t.Errorf("%+v", o)
		}
		if !o.CauseAlreadyReported {
			evidence++
		}
	}
	if evidence != 1 {
		t.Errorf("%d pieces of evidence", evidence)
	}
}

// A server that speaks plain lines only is asked once; the attempt that asked goes on as a plain one.
func TestPlainServers(t *testing.T) {
	for name, answer := range map[string]func(p *peer){
		"closes": func(p *peer) { _ = p.Close() },
		"errs":   func(p *peer) { p.say("ERR\r\n") },
	} {
		t.Run(name, func(t *testing.T) {
			g := newHarness(t, 1, sendToFirst, channelsOn)
			first := g.client(openLine)
			asked := g.acceptUpstream(0)
			if got := asked.line(); !strings.HasPrefix(got, "SSH-2.0-") {
				t.Fatalf("%q", got)
			}
			answer(asked)
			server := g.acceptUpstream(0)
			server.line()
			server.say("UP r1\r\n")
			first.want("UP r1\r\n")
			second := g.client(another)
			server = g.acceptUpstream(0)
			if got := server.line(); !strings.HasPrefix(got, "OPEN 9b20") {
				t.Errorf("asked again: %q", got)
			}
			server.say("UP r2\r\n")
			second.want("UP r2\r\n")
			for range 2 {
				if o := event[decision.Established](g); o.Attempt != 0 {
					t.Errorf("the question counted as an attempt: %+v", o)
				}
			}
		})
	}
}

// A server that says nothing any more on a multiplexed connection is given up, its clients are moved, and that is one
// piece of evidence.
func TestSilentMuxUpstream(t *testing.T) {
	g := newHarness(t, 1, sendToFirst, channelsOn)
	c := g.connection()
	var clients []*duplex
	var upstream *sshchan.Conn
	for i := range 3 {
		ch, err := c.Open(fmt.Sprintf("OPEN a%d 7 c=sync,d=60000", i))
		g.check(err)
		if upstream == nil {
			upstream = g.acceptMux(0)
		}
		g.check(upstream.Accept().Confirm("UP r"))
		g.answered(ch, true, 0, "UP r")
		clients = append(clients, g.overChannel(ch))
	}
	g.inLoop(func() {
		for _, t := range g.proxy.upstreams.conns {
			t.lastReceived -= keepalive.UpstreamTimeout
			t.checkAlive()
		}
	})
	evidence := 0
	for _, d := range clients {
		d.moved()
		if o := event[decision.AttemptEnded](g); o.Status != outcome.Reset {
			t.Errorf("%+v", o)
		} else if !o.CauseAlreadyReported {
			evidence++
		}
	}
	if evidence != 1 {
		t.Errorf("%d pieces of evidence", evidence)
	}
}
