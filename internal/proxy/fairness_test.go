package proxy

import (
	"fmt"
	"strings"
	"testing"

	"spurspread/decision/overload"
	"spurspread/internal/channel"
)

// endlessClient is a client that always has more to read, a byte at a time. It counts the reads.
type endlessClient struct {
	downstream
	reads int
}

func (c *endlessClient) Read(b []byte) (int, error) {
	c.reads++
	return copy(b, "x"), nil
}

// Guards against a client's share of the loop that grows with each turn: reads that several events of a turn cut short
// are continued once in the next turn.
func TestReadsAreContinuedOnce(t *testing.T) {
	h := newHarness(t, 1, sendToFirst, nil)
	h.establish()
	continued := make(chan int)
	h.onLoop(func() {
		r := firstRequest(h)
		client := &endlessClient{downstream: r.downstream}
		r.downstream = client
		for range 3 {
			r.readClient()
		}
		before := client.reads
		h.loop.After(0, func() {
			reads := client.reads - before
			r.close()
			go func() { continued <- reads }()
		})
	})
	if got := <-continued; got != readsPerTurn {
		t.Errorf("%d reads in the next turn, want %d", got, readsPerTurn)
	}
}

// Guards against memory that clients use up with requests that wait: beyond a client's part of the limit its opens are
// answered BUSY, while another client's still wait, and what ends is no longer counted.
func TestWaitingChannelsAreBounded(t *testing.T) {
	const limit, opens = 64 << 10, 60
	h := newHarness(t, 1, decideNothing, func(cfg *Config) {
		enableDownstreamChannels(cfg)
		cfg.MemoryLimit = 4 * limit
	})
	heavy, light := h.connectMuxPeer(), h.connectMuxPeer()
	messages := make([]channel.Message, opens)
	for i := range messages {
		messages[i] = openMessage(uint32(i), fmt.Sprintf("%x", i+1))
	}
	heavy.sendMessages(messages...)
	if m := heavy.expectMessage(channel.OpenFailure); !strings.HasPrefix(string(m.Data), "BUSY") {
		t.Errorf("an open beyond the limit was answered %q, want BUSY", m.Data)
	}
	light.sendMessages(openMessage(0, "abc"))
	h.waitUntil(func() bool { // until a request of each client waits
		waiting := 0
		for m := range h.proxy.listener.muxConns {
			if m.held > 0 {
				waiting++
			}
		}
		return waiting == 2
	})
	h.onLoop(func() {
		if held := h.proxy.buffers.held; held > limit/2+2*overload.HeldRequestBytes(100) {
			t.Errorf("%d bytes held, want at most half of %d and a request of each client", held, limit)
		}
	})
	h.check(heavy.Close())
	h.check(light.Close())
	h.waitUntil(func() bool { return h.proxy.buffers.held == 0 })
}
