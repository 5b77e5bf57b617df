package proxy

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"spurspread/decision"
	"spurspread/decision/drainschedule"
	"spurspread/decision/keepalive"
	"spurspread/decision/monotime"
	"spurspread/decision/outcome"
	"spurspread/lab/sshchan"
)

// waitingLines are the lines that wait in the proxy in these tests; they fit into one window.
var waitingLines = func() (lines []string) {
	for i := range 200 {
		lines = append(lines, fmt.Sprintf("update %d %s\r\n", i, strings.Repeat("x", 80)))
	}
	return lines
}()

// stallReaders makes the proxy take every client and server for a reader that has stalled, so that what their peers
// send waits in the proxy.
func (h *harness) stallReaders() {
	h.onLoop(func() { h.proxy.buffers.maxPending = -1 })
}

// resumeReaders ends stallReaders, as if the readers had caught up.
func (h *harness) resumeReaders() {
	h.onLoop(func() {
		h.proxy.updateBufferLimits()
		for r := range h.proxy.requests.all {
			r.downstreamFlushed()
			if r.attempt != nil {
				r.attempt.upstreamFlushed()
			}
		}
	})
}

// establishedRequest returns the only established request. It must be called on the loop.
func (h *harness) establishedRequest() *request {
	for r := range h.proxy.requests.all {
		if r.state == stateEstablished {
			return r
		}
	}
	return nil
}

// awaitEndReceived waits until the proxy has received the end that a client or a server has sent. On a plain connection
// it stays in the kernel, as the readers are stalled.
func (h *harness) awaitEndReceived(from *lineStream, isClient, disconnected bool) {
	h.t.Helper()
	switch {
	case from.plain != nil:
	case disconnected:
		for left := 1; left > 0; {
			h.onLoop(func() {
				if left = len(h.proxy.upstreams.conns); isClient {
					left = len(h.proxy.listener.muxConns)
				}
			})
		}
	case isClient:
		ch, err := from.ch.Conn().Open("PING")
		h.check(err)
		h.expectOpenReply(ch, false, 1, "ERR")
	default:
		h.awaitProcessed(from)
	}
}

// awaitProcessed waits until the proxy has processed all that the server has sent on its multiplexed connection: it
// sends a request over it, which the server rejects.
func (h *harness) awaitProcessed(server *lineStream) {
	h.t.Helper()
	h.connect(otherOpenLine)
	h.check(server.ch.Conn().Accept().Refuse(sshchan.ResourceShortage, "BUSY"))
	for await[decision.AttemptEnded](h).Status != outcome.ServerFull {
	}
}

// expectLines waits for waitingLines.
func (s *lineStream) expectLines() {
	s.h.t.Helper()
	for _, line := range waitingLines {
		s.expect(line)
	}
}

// A server's MOVE on a channel overtook lines that it had sent before and that waited for the client (incident 016).
func TestServerMoveBehindWaitingLines(t *testing.T) {
	for _, clientMux := range []bool{false, true} {
		t.Run(fmt.Sprintf("client with channels: %v", clientMux), func(t *testing.T) {
			h := newHarness(t, 1, sendToFirst, enableChannels)
			client, server := h.establishStreams(clientMux, true)
			h.stallReaders()
			server.send(strings.Join(waitingLines, ""))
			h.check(server.ch.Move(""))
			h.awaitProcessed(server)
			h.resumeReaders()
			client.expectLines()
			client.expectMove()
			if o := await[decision.AttemptEnded](h); o.Status != outcome.Cancelled {
				t.Errorf("got %+v, want status %d", o, outcome.Cancelled)
			}
		})
	}
}

// A move by this balancer overtook lines that it had received on a channel and that waited for the client (incident
// 018).
func TestMoveBehindReceivedLines(t *testing.T) {
	for name, move := range map[string]func(h *harness, r *request){
		"core":  func(h *harness, r *request) { h.proxy.apply(decision.MoveConnection{ID: uint32(r.ref)}) },
		"drain": func(_ *harness, r *request) { r.startMove(outcome.Cancelled, true) },
		"unresponsive server": func(_ *harness, r *request) {
			r.attempt.muxConn.lastReceived -= keepalive.UpstreamTimeout
			r.attempt.muxConn.checkAlive()
		},
		"drain after the server's move": func(_ *harness, r *request) {
			r.moveByServer()
			r.startMove(outcome.Cancelled, true)
		},
	} {
		for _, clientMux := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, client with channels: %v", name, clientMux), func(t *testing.T) {
				h := newHarness(t, 1, sendToFirst, enableChannels)
				client, server := h.establishStreams(clientMux, true)
				h.stallReaders()
				server.send(strings.Join(waitingLines, ""))
				h.awaitProcessed(server)
				h.onLoop(func() {
					r := h.establishedRequest()
					move(h, r)
					h.loop.Cancel(&r.timer) // a slow test must not use up the time of the move
				})
				h.resumeReaders()
				client.expectLines()
				client.expectMove()
			})
		}
	}
}

// A client that does not take the lines in time is moved ahead of them, so that a drain ends in time.
func TestMoveDoesNotWaitForReader(t *testing.T) {
	h := newHarness(t, 1, sendToFirst, enableChannels)
	client, server := h.establishStreams(true, true)
	h.stallReaders()
	server.send(strings.Join(waitingLines, ""))
	h.awaitProcessed(server)
	h.onLoop(func() { h.establishedRequest().startMove(outcome.Cancelled, true) })
	client.expectMove()
}

// Lines that wait in the proxy reach the other side before any end of the stream, in both directions and all pairs of
// transports.
func TestEndBehindWaitingLines(t *testing.T) {
	graceful := map[string]func(s *lineStream){
		"half-closes": (*lineStream).closeWrite,
		"closes":      (*lineStream).close,
		"disconnects": func(s *lineStream) {
			if s.plain != nil {
				s.close()
				return
			}
			s.h.check(s.ch.Conn().Close())
		},
	}
	for _, fromClient := range []bool{false, true} {
		for name, end := range graceful {
			for _, clientMux := range []bool{false, true} {
				for _, serverMux := range []bool{false, true} {
					title := fmt.Sprintf("%s, by client %v, channels %v, %v", name, fromClient, clientMux, serverMux)
					t.Run(title, func(t *testing.T) {
						h := newHarness(t, 1, sendToFirst, enableChannels)
						client, server := h.establishStreams(clientMux, serverMux)
						from, to := server, client
						if fromClient {
							from, to = client, server
						}
						h.stallReaders()
						from.send(strings.Join(waitingLines, ""))
						end(from)
						h.awaitEndReceived(from, fromClient, name == "disconnects")
						h.resumeReaders()
						to.expectLines()
						to.expectEnd(true)
					})
				}
			}
		}
	}
}

// withhold establishes a request of a client with channels that does not grow its window, and has the server send more
// than that window, so that some of it waits in the proxy for the client.
func (h *harness) withhold() (client *lineStream) {
	h.t.Helper()
	client, server := h.establishStreams(true, false)
	client.ch.WithholdCredit(true)
	lines := strings.Repeat(strings.Join(waitingLines, ""), 2)
	server.send(lines)
	for pending := 0; pending != len(lines)-clientWindow; {
		h.onLoop(func() { pending = h.onlyRequest().downstream.Pending() })
	}
	return client
}

// At a planned stop, DISCONNECT overtook the lines and the MOVE that waited for the window of the connection's last
// channel; so did evictions and the closing of idle connections (incident 017).
func TestDisconnectBehindWaitingLines(t *testing.T) {
	for name, end := range map[string]func(*Proxy, *muxDownstreamConn){
		"unused":   func(p *Proxy, _ *muxDownstreamConn) { p.listener.closeUnusedMux() },
		"idle":     func(p *Proxy, _ *muxDownstreamConn) { p.listener.closeIdle(0) },
		"evicted":  func(_ *Proxy, m *muxDownstreamConn) { m.conn.evict() },
		"finished": func(p *Proxy, _ *muxDownstreamConn) { p.drain.checkFinished() },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1, sendToFirst, enableChannels)
			client := h.withhold()
			h.onLoop(func() {
				p := h.proxy
				k := h.onlyRequest().downstream.(*downstreamChannel)
				p.Drain()
				p.drain.startedAt -= 2 * drainschedule.MinDuration // idle connections are closed from now on
				p.drain.duration = 60 * monotime.Second            // a slow test must not use up the stop's time
				h.onlyRequest().startMove(outcome.Cancelled, true)
				end(p, k.conn)
				if k.conn.closed {
					t.Error("connection closed while its last channel has lines and MOVE to send")
				}
				k.linger.stop() // a slow test must not use up the client's time
			})
			client.ch.WithholdCredit(false)
			client.expectLines()
			client.expectLines()
			client.expectMove()
			conn := client.ch.Conn()
			if ch := conn.Accept(); ch != nil || conn.DisconnectReason != "11 the balancer stops" {
				t.Errorf("disconnected with %q, want the reason that the balancer stops", conn.DisconnectReason)
			}
		})
	}
}

// A channel that its client has closed, and whose server ends later, does not keep its connection in use.
func TestClosedChannelReleasesConnection(t *testing.T) {
	h := newHarness(t, 1, sendToFirst, enableChannels)
	client, server := h.establishStreams(true, true)
	client.close()
	server.expectEnd(true)
	server.close()
	for requests := 1; requests > 0; {
		h.onLoop(func() { requests = h.proxy.requests.len() })
	}
	h.onLoop(func() {
		for m := range h.proxy.listener.muxConns {
			if m.unfinished != 0 {
				t.Errorf("%d unfinished channels, want none", m.unfinished)
			}
		}
	})
}

// A client that does not read until the stop's time is up still gets DISCONNECT, and does not hold the process.
func TestStopDoesNotWaitForReader(t *testing.T) {
	h := newHarness(t, 1, sendToFirst, enableChannels)
	client := h.withhold()
	h.onLoop(func() {
		h.proxy.Drain()
		h.onlyRequest().startMove(outcome.Cancelled, true)
		h.proxy.drain.startedAt -= h.proxy.drain.duration + monotime.Second // the time is up
		h.proxy.drain.checkFinished()
	})
	h.waitStopped()
	conn := client.ch.Conn()
	if ch := conn.Accept(); ch != nil || conn.DisconnectReason != "11 the balancer stops" {
		t.Errorf("disconnected with %q, want the reason that the balancer stops", conn.DisconnectReason)
	}
}

// After a client had ended its side while a move waited for the end of a line, only the first line of each read of the
// server's data was passed on (incident 019).
func TestHalfCloseDuringMove(t *testing.T) {
	h := newHarness(t, 1, sendToFirst, nil)
	client, server := h.establish()
	server.send("begun")
	read := make([]byte, len("begun"))
	_, err := io.ReadFull(client.rd, read)
	h.check(err)
	h.onLoop(func() { h.onlyRequest().startMove(outcome.Cancelled, true) })
	h.check(client.CloseWrite())
	server.expectEnd(true)
	server.send(" line\r\n" + strings.Join(waitingLines, "") + "BYE\r\n")
	h.check(server.Close())
	client.expect(" line\r\n")
	for _, line := range waitingLines {
		client.expect(line)
	}
	client.expect("BYE\r\n")
	client.expectEnd(true)
}

// moveLingering moves the only request, a channel's with lines waiting for the client, and returns the linger that
// follows. It must be called on the loop.
func (h *harness) moveLingering() *linger {
	r := h.onlyRequest()
	k := r.downstream.(*downstreamChannel)
	r.startMove(outcome.Cancelled, true)
	return k.linger
}

// A client that was still reading when its time to read was up lost what was left (incident 020).
func TestLingerWhileClientReads(t *testing.T) {
	h := newHarness(t, 1, sendToFirst, enableChannels)
	client := h.withhold()
	h.onLoop(func() {
		l := h.moveLingering()
		l.stop()
		l.before++ // as if the client had read a byte since the start
		l.check()
		l.stop()
	})
	client.ch.WithholdCredit(false)
	client.expectLines()
	client.expectLines()
	client.expectMove()
}

// A client that reads nothing in its time to read is closed.
func TestLingerEnds(t *testing.T) {
	h := newHarness(t, 1, sendToFirst, enableChannels)
	client := h.withhold()
	h.onLoop(func() { h.moveLingering().check() })
	if _, err := io.Copy(io.Discard, client.rd); err == nil {
		t.Error("channel ended with EOF, want CLOSE without EOF")
	}
}

// The same holds for a plain client: its last lines and BYE arrive however slowly it reads.
func TestLingerOfPlainClient(t *testing.T) {
	h := newHarness(t, 1, sendToFirst, nil)
	client, server := h.establish()
	line := strings.Join(waitingLines, "")
	lines := 0
	var c *downstreamConn
	h.onLoop(func() { c = h.onlyRequest().downstream.(*downstreamConn) })
	for pending := 0; pending == 0; lines++ { // until the kernel takes no more for the client
		server.send(line)
		h.onLoop(func() { pending = c.Pending() })
	}
	server.send("BYE\r\n")
	h.check(server.Close())
	for lingering := false; !lingering; {
		h.onLoop(func() {
			if lingering = c.lingering; lingering {
				c.linger.stop()
				c.linger.before++ // as if the client had read a byte since the start
				c.linger.check()
				c.linger.stop()
			}
		})
	}
	for range lines {
		(&lineStream{h: h, plain: client}).expectLines()
	}
	client.expect("BYE\r\n")
}
