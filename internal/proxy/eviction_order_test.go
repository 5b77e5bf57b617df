package proxy

import (
	"bytes"
	"fmt"
	"io"
	"testing"

	"spurspread/decision"
	"spurspread/decision/outcome"
	"spurspread/internal/channel"
)

// muxPeer is the test's end of a multiplexed connection, which sends several packets in one write.
type muxPeer struct{ *peer }

// connectMuxPeer opens a client's multiplexed connection.
func (h *harness) connectMuxPeer() muxPeer {
	h.t.Helper()
	p := muxPeer{h.connect("SSH-2.0-test\r\n")}
	p.sendMessages(channel.Message{Type: channel.ServiceRequest, Name: []byte(channel.Service)})
	p.readLine()
	p.expectMessage(channel.ServiceAccept)
	return p
}

// acceptMuxPeer accepts the next connection at server i, which must be a multiplexed one.
func (h *harness) acceptMuxPeer(i int) muxPeer {
	h.t.Helper()
	p := muxPeer{h.acceptUpstream(i)}
	p.readLine()
	p.expectMessage(channel.ServiceRequest)
	p.send("SSH-2.0-test\r\n")
	p.sendMessages(channel.Message{Type: channel.ServiceAccept, Name: []byte(channel.Service)})
	return p
}

func (p muxPeer) sendMessages(messages ...channel.Message) {
	p.h.t.Helper()
	var b []byte
	for i := range messages {
		b = channel.Append(b, &messages[i])
	}
	p.send(string(b))
}

// expectMessage reads a message, which must be of this type.
func (p muxPeer) expectMessage(want channel.Type) channel.Message {
	p.h.t.Helper()
	for size := 4; ; size++ {
		b, err := p.rd.Peek(size)
		p.h.check(err)
		payload, n, err := channel.SplitPacket(b)
		p.h.check(err)
		if n == 0 {
			continue
		}
		var m channel.Message
		p.h.check(channel.Parse(bytes.Clone(payload), &m))
		_, err = p.rd.Discard(n)
		p.h.check(err)
		if m.Type != want {
			p.h.t.Fatalf("got message %d %q, want %d", m.Type, m.Data, want)
		}
		return m
	}
}

// openMessage opens a channel for a request with this ID.
func openMessage(number uint32, id string) channel.Message {
	line := fmt.Sprintf("OPEN %s 7f3a c=sync,d=60000", id)
	return channel.Message{
		Type: channel.Open, Name: []byte(channel.Stream), Channel: number, Window: clientWindow,
		MaxPacket: channel.MaxData, Data: channel.AppendString(nil, []byte(line)),
	}
}

// makeDescriptorsShort has the proxy evict idle connections before it next uses a descriptor. victim is one of them; it
// sends data that the proxy reads only then.
func (h *harness) makeDescriptorsShort(victim muxPeer) {
	h.proxy.cfg.MaxDescriptors = 1
	victim.sendMessages(channel.Message{Type: channel.Ignore, Data: make([]byte, 4000)})
}

// Guards against a client's packets being overwritten while they are handled: the first of two makes the proxy evict
// another client, whose bytes are read before the second is handled.
func TestEvictionKeepsUnhandledClientPackets(t *testing.T) {
	h := newHarness(t, 1, sendToFirst, enableDownstreamChannels)
	client := h.connectMuxPeer()
	client.sendMessages(openMessage(0, "1"))
	await[decision.Request](h)
	victim := h.connectMuxPeer()
	h.onLoop(func() {
		h.makeDescriptorsShort(victim)
		client.sendMessages(openMessage(1, "2"), openMessage(2, "3"))
		requests := h.proxy.requests.len()
		for h.proxy.requests.len() == requests { // until they have arrived, in one segment
			for m := range h.proxy.listener.muxConns {
				if m.unfinished > 0 {
					m.readClient()
				}
			}
		}
	})
	for range 3 {
		server := h.acceptUpstream(0)
		server.readLine()
		server.send("UP 1\r\n")
		client.expectMessage(channel.OpenConfirm)
	}
	if _, err := io.ReadAll(victim.rd); err != nil {
		t.Errorf("the evicted client's connection ended with %v, want EOF", err)
	}
}

// The same for packets of a server: the first ends an attempt, and the next attempt evicts a client.
func TestEvictionKeepsUnhandledServerPackets(t *testing.T) {
	h := newHarness(t, 2, func(ev decision.Event) []decision.Action {
		switch ev := ev.(type) {
		case decision.Request:
			return []decision.Action{decision.StartAttempt{ID: ev.ID, Timeout: longTimeout}}
		case decision.AttemptEnded:
			if ev.Status == outcome.ErrorResponse {
				return []decision.Action{decision.StartAttempt{ID: ev.ID, Server: 1, Timeout: longTimeout}}
			}
		}
		return nil
	}, enableChannels)
	clients := []*peer{h.connect(openLine), h.connect(otherOpenLine)}
	server := h.acceptMuxPeer(0)
	first, second := server.expectMessage(channel.Open), server.expectMessage(channel.Open)
	victim := h.connectMuxPeer()
	h.onLoop(func() {
		h.makeDescriptorsShort(victim)
		server.sendMessages(
			channel.Message{Type: channel.OpenFailure, Channel: first.Channel, Data: []byte("ERR")},
			channel.Message{
				Type: channel.OpenConfirm, Channel: second.Channel, Window: clientWindow, MaxPacket: channel.MaxData,
				Data: []byte("UP 1"),
			},
		)
		for h.proxy.stats.evicted == 0 { // until they have arrived
			for _, c := range h.proxy.upstreams.conns {
				c.Readable(c.conn)
			}
		}
	})
	if got := await[decision.Established](h); got.Attempt != 0 || got.Server != 0 {
		t.Errorf("attempt %d at server %d was established, want the first at server 0", got.Attempt, got.Server)
	}
	clients[1].expect("UP 1\r\n")
}

// Guards against the eviction of a client whose packets are being handled: its first channel is rejected, which leaves
// it without channels, and an attempt for another request needs a descriptor before its second packet is handled.
func TestEvictionSparesClientBeingHandled(t *testing.T) {
	var waiting decision.Request // accepted first, placed later
	h := newHarness(t, 1, func(ev decision.Event) []decision.Action {
		request, ok := ev.(decision.Request)
		switch {
		case !ok:
			return nil
		case waiting.ID == 0:
			waiting = request
			return nil
		}
		return []decision.Action{
			decision.Reject{ID: request.ID},
			decision.StartAttempt{ID: waiting.ID, Timeout: longTimeout},
		}
	}, enableDownstreamChannels)
	h.connect(openLine)
	await[decision.Request](h)
	client := h.connectMuxPeer()
	h.onLoop(func() { h.proxy.cfg.MaxDescriptors = 1 })
	client.sendMessages(openMessage(0, "2"), openMessage(1, "3"))
	for number := range uint32(2) {
		if m := client.expectMessage(channel.OpenFailure); m.Channel != number || string(m.Data) != "BUSY" {
			t.Errorf("channel %d was rejected with %q, want channel %d with BUSY", m.Channel, m.Data, number)
		}
	}
}
