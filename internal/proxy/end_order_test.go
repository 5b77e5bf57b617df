package proxy

import (
	"fmt"
	"strings"
	"testing"

	"spurspread/decision"
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
