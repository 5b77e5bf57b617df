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

// When a client closes its multiplexed connection, the requests on all its channels end gracefully; those of other
// connections go on.
func TestClientClosesMuxConnection(t *testing.T) {
	h := newHarness(t, 1, sendToFirst, enableChannels)
	c, other := h.connectMux(), h.connectMux()
	var servers []*lineStream
	var upstream *sshchan.Conn
	for i, from := range []*sshchan.Conn{c, c, other} {
		ch, err := from.Open(fmt.Sprintf("OPEN a%d 7 c=sync,d=60000", i))
		h.check(err)
		if upstream == nil {
			upstream = h.acceptMux(0)
		}
		s := upstream.Accept()
		h.check(s.Confirm("UP r"))
		h.expectOpenReply(ch, true, 0, "UP r")
		servers = append(servers, h.channelStream(s))
	}
	h.check(c.Close())
	servers[0].expectEnd(true)
	servers[1].expectEnd(true)
	servers[2].send("still there\r\n")
}

// A planned stop moves the clients of all channels and then disconnects all multiplexed connections.
func TestDrainChannels(t *testing.T) {
	h := newHarness(t, 1, sendToFirst, enableChannels)
	c, idle := h.connectMux(), h.connectMux()
	var clients []*lineStream
	var upstream *sshchan.Conn
	for i := range 4 {
		ch, err := c.Open(fmt.Sprintf("OPEN a%d 7 c=sync,d=60000", i))
		h.check(err)
		if upstream == nil {
			upstream = h.acceptMux(0)
		}
		h.check(upstream.Accept().Confirm("UP r"))
		h.expectOpenReply(ch, true, 0, "UP r")
		clients = append(clients, h.channelStream(ch))
	}
	h.loop.Post(h.proxy.Drain)
	for _, d := range clients {
		d.expectMove()
	}
	for _, conn := range []*sshchan.Conn{c, idle} {
		if ch := conn.Accept(); ch != nil || conn.DisconnectReason != "11 the balancer stops" {
			t.Errorf("disconnected with %q, want the reason that the balancer stops", conn.DisconnectReason)
		}
	}
	err := <-h.stopped
	h.stopped <- err
	h.check(err)
}

// Before the loop stops, DISCONNECT is sent also on connections whose last channel has just ended and on those opened
// during the drain.
func TestDisconnectBeforeStop(t *testing.T) {
	h := newHarness(t, 1, sendToFirst, enableChannels)
	c := h.connectMux()
	ch, err := c.Open("OPEN a1 7 c=sync,d=60000")
	h.check(err)
	h.check(h.acceptMux(0).Accept().Confirm("UP r"))
	h.expectOpenReply(ch, true, 0, "UP r")
	var late *sshchan.Conn
	h.onLoop(h.proxy.Drain)
	late = h.connectMux()
	h.onLoop(func() {
		h.proxy.drain.startedAt -= 2 * drainschedule.MinDuration // the minimum duration is over
		h.onlyRequest().startMove(outcome.Cancelled, true)
		h.proxy.drain.checkFinished()
	})
	h.channelStream(ch).expectMove()
	for _, conn := range []*sshchan.Conn{c, late} {
		if ch := conn.Accept(); ch != nil || conn.DisconnectReason != "11 the balancer stops" {
			t.Errorf("disconnected with %q, want the reason that the balancer stops", conn.DisconnectReason)
		}
	}
	h.waitStopped()
}

// When one server is listed as draining, the channels with requests at that server are moved, with tokens. The client's
// connection and its other channels go on.
func TestDrainOneServer(t *testing.T) {
	h := newResumeHarness(t, enableChannels)
	c := h.connectMux()
	var clients []*lineStream
	for i, at := range []int{0, 1} {
		first := strings.Replace(trimLineEnd(tokenRequestLine), "OPEN 1", fmt.Sprint("OPEN 1", i), 1)
		h.onLoop(func() {
			h.decide = func(ev decision.Event) []decision.Action {
				if req, ok := ev.(decision.Request); ok {
					return []decision.Action{
						decision.StartAttempt{ID: req.ID, Timeout: longTimeout, Server: uint32(at)},
					}
				}
				return sendOrMove(ev)
			}
		})
		ch, err := c.Open(first)
		h.check(err)
		s := h.acceptMux(at).Accept()
		h.check(s.Confirm("UP r from=0"))
		h.expectOpenReply(ch, true, 0, "UP r from=0")
		clients = append(clients, h.channelStream(ch))
		if i == 1 {
			defer func() {
				_, err := s.Write([]byte("#1 a\r\n"))
				h.check(err)
				clients[1].expect("#1 a\r\n")
			}()
		}
	}
	h.listAsDraining(0)
	if clients[0].expectMove() == "" {
		t.Error("client was moved without a token, want one")
	}
	if c.Err() != nil {
		t.Error("client connection ended:", c.Err())
	}
}

// A client that is idle on a multiplexed connection gets a keepalive request; the connection is closed if the client
// does not answer.
func TestKeepalive(t *testing.T) {
	h := newHarness(t, 1, sendToFirst, enableChannels)
	client, _ := h.establishStreams(true, true)
	advance := func(span eventloop.Micros) (closed bool) {
		h.onLoop(func() {
			for m := range h.proxy.listener.muxConns {
				m.lastReceived -= span
				m.checkIdle()
				closed = m.closed
			}
		})
		return closed
	}
	if advance(40 * monotime.Second) {
		t.Error("idle connection closed after 40 s, want a keepalive request first")
	}
	for waiting := eventloop.Micros(1); waiting > 0; { // until the client's answer has arrived
		h.onLoop(func() {
			for m := range h.proxy.listener.muxConns {
				if waiting = 0; m.lastReceived < h.loop.Now()-monotime.Second {
					waiting = 1
				}
			}
		})
	}
	if !advance(61 * monotime.Second) {
		t.Error("idle connection still open 61 s after the last answer, want it closed")
	}
	client.expectEnd(true)
}

// When descriptors are short, multiplexed connections without channels are evicted before those with channels.
func TestUnusedMuxConnectionsAreEvictedFirst(t *testing.T) {
	h := newHarness(t, 1, sendToFirst, func(cfg *Config) { enableDownstreamChannels(cfg); cfg.MaxDescriptors = 40 })
	client, server := h.establishStreams(true, false)
	for range 60 {
		p := h.connect("SSH-2.0-x\r\n")
		_ = p
	}
	client.send("T 1\r\n")
	server.expect("T 1\r\n")
	evicted, open := 0, 0
	h.onLoop(func() { evicted, open = h.proxy.stats.evicted, h.loop.OpenSockets() })
	if evicted < 30 || open > 40 {
		t.Errorf("%d evicted, %d sockets open, want at least 30 and at most 40", evicted, open)
	}
}
