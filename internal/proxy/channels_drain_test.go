package proxy

import (
	"fmt"
	"strings"
	"testing"

	"spurspread/decision"
	"spurspread/decision/drainschedule"
	"spurspread/decision/monotime"
	"spurspread/decision/outcome"
	"spurspread/internal/eventloop"
	"spurspread/lab/sshchan"
)

// A client's connection that ends takes its channels with it, in kind, and nothing else.
func TestClientConnectionEnds(t *testing.T) {
	g := newHarness(t, 1, sendToFirst, channelsOn)
	c, other := g.connection(), g.connection()
	var servers []*duplex
	var upstream *sshchan.Conn
	for i, from := range []*sshchan.Conn{c, c, other} {
		ch, err := from.Open(fmt.Sprintf("OPEN a%d 7 c=sync,d=60000", i))
		g.check(err)
		if upstream == nil {
			upstream = g.acceptMux(0)
		}
		s := upstream.Accept()
		g.check(s.Confirm("UP r"))
		g.answered(ch, true, 0, "UP r")
		servers = append(servers, g.overChannel(s))
	}
	g.check(c.Close())
	servers[0].ended(true)
	servers[1].ended(true)
	servers[2].say("still there\r\n")
}

// A planned stop moves every channel, and then disconnects.
func TestDrainChannels(t *testing.T) {
	g := newHarness(t, 1, sendToFirst, channelsOn)
	c, idle := g.connection(), g.connection()
	var clients []*duplex
	var upstream *sshchan.Conn
	for i := range 4 {
		ch, err := c.Open(fmt.Sprintf("OPEN a%d 7 c=sync,d=60000", i))
		g.check(err)
		if upstream == nil {
			upstream = g.acceptMux(0)
		}
		g.check(upstream.Accept().Confirm("UP r"))
		g.answered(ch, true, 0, "UP r")
		clients = append(clients, g.overChannel(ch))
	}
	g.loop.Post(g.proxy.Drain)
	for _, d := range clients {
		d.moved()
	}
	for _, conn := range []*sshchan.Conn{c, idle} {
		if ch := conn.Accept(); ch != nil || conn.DisconnectReason != "11 the balancer stops" {
			t.Errorf("%q", conn.DisconnectReason)
		}
	}
	err := <-g.stopped
	g.stopped <- err
	g.check(err)
}

// The loop doesn't stop before a connection whose last channel has just ended has read DISCONNECT, nor one that came
// late.
func TestDisconnectBeforeTheStop(t *testing.T) {
	g := newHarness(t, 1, sendToFirst, channelsOn)
	c := g.connection()
	ch, err := c.Open("OPEN a1 7 c=sync,d=60000")
	g.check(err)
	g.check(g.acceptMux(0).Accept().Confirm("UP r"))
	g.answered(ch, true, 0, "UP r")
	var late *sshchan.Conn
	g.inLoop(g.proxy.Drain)
	late = g.connection()
	g.inLoop(func() {
		g.proxy.drain.startedAt -= 2 * drainschedule.MinDuration // that time is over
		g.onlyRequest().startMove(outcome.Cancelled, true)
		g.proxy.drain.checkFinished()
	})
	g.overChannel(ch).moved()
	for _, conn := range []*sshchan.Conn{c, late} {
		if ch := conn.Accept(); ch != nil || conn.DisconnectReason != "11 the balancer stops" {
			t.Errorf("%q", conn.DisconnectReason)
		}
	}
	g.stops()
}

// A drain of one server moves the channels that are there, with their tokens; the connection stays for the others.
func TestDrainOneServer(t *testing.T) {
	g := newResumeHarness(t, channelsOn)
	c := g.connection()
	var clients []*duplex
	for i, at := range []int{0, 1} {
		first := strings.Replace(trimmed(tokenRequestLine), "OPEN 1", fmt.Sprint("OPEN 1", i), 1)
		g.inLoop(func() {
			g.decide = func(ev decision.Event) []decision.Action {
				if q, ok := ev.(decision.Request); ok {
					return []decision.Action{
						decision.StartAttempt{ID: q.ID, Timeout: longTimeout, Server: uint32(at)},
					}
				}
				return sendOrMove(ev)
			}
		})
		ch, err := c.Open(first)
		g.check(err)
		s := g.acceptMux(at).Accept()
		g.check(s.Confirm("UP r from=0"))
		g.answered(ch, true, 0, "UP r from=0")
		clients = append(clients, g.overChannel(ch))
		if i == 1 {
			defer func() {
				_, err := s.Write([]byte("#1 a\r\n"))
				g.check(err)
				clients[1].want("#1 a\r\n")
			}()
		}
	}
	g.listDraining(0)
	if clients[0].moved() == "" {
		t.Error("no token")
	}
	if c.Err() != nil {
		t.Error(c.Err())
	}
}

// A client that says nothing is asked, and ended in the end; one that answers stays.
func TestKeepalive(t *testing.T) {
	g := newHarness(t, 1, sendToFirst, channelsOn)
	client, _ := g.pair(true, true)
	age := func(by eventloop.Micros) (over bool) {
		g.inLoop(func() {
			for m := range g.proxy.listener.muxConns {
				m.lastReceived -= by
				m.checkIdle()
				over = m.closed
			}
		})
		return over
	}
	if age(40 * monotime.Second) {
		t.Error("ended before it was asked")
	}
	for quiet := eventloop.Micros(1); quiet > 0; { // its answer has arrived
		g.inLoop(func() {
			for m := range g.proxy.listener.muxConns {
				if quiet = 0; m.lastReceived < g.loop.Now()-monotime.Second {
					quiet = 1
				}
			}
		})
	}
	if !age(61 * monotime.Second) {
		t.Error("never ended")
	}
	client.ended(true)
}

// Short of descriptors, connections without channels go first.
func TestIdleConnectionsGoFirst(t *testing.T) {
	g := newHarness(t, 1, sendToFirst, func(cfg *Config) { plainUpstreams(cfg); cfg.MaxDescriptors = 40 })
	client, server := g.pair(true, false)
	for range 60 {
		p := g.client("SSH-2.0-x\r\n")
		_ = p
	}
	client.say("T 1\r\n")
	server.want("T 1\r\n")
	evicted, open := 0, 0
	g.inLoop(func() { evicted, open = g.proxy.stats.evicted, g.loop.OpenSockets() })
	if evicted < 30 || open > 40 {
		t.Errorf("%d evicted, %d descriptors", evicted, open)
	}
}
