package proxy

import (
	"bytes"
	"errors"
	"io"
	"slices"

	"spurspread/decision"
	"spurspread/decision/answercause"
	"spurspread/decision/messagedelay"
	"spurspread/decision/monotime"
	"spurspread/decision/outcome"
	"spurspread/decision/overload"
	"spurspread/decision/timeouts"
	"spurspread/internal/eventloop"
	"spurspread/internal/lineproto"
)

// establishedStream is the state of an established request: the streams of lines in both directions.
type establishedStream struct {
	fromClient    lineproto.Scanner
	fromServer    lineproto.Scanner
	sentAt        []monotime.Micros // send times of the unanswered lines that are timed, oldest first
	lastReply     monotime.Micros   // arrival of the server's last line, LOAD included; at first the time of UP
	endStatus     outcome.Status    // outcome if the server closes the connection now, derived from its last lines
	clientStalled bool              // too much data is pending for the client, so the server is not read
	pendingMove   *pendingMove      // a move whose MOVE can't be sent yet; nil for none
	partial       lineBuffer        // incomplete line from the server, if only complete ones are forwarded
	resumable     *resumableStream  // not nil if the client takes tokens; set before the request is established
	latency       *serverLatency    // message latency of the server
}

// establish marks the request as established and forwards the server's UP line, given without its line end.
func (r *request) establish(up []byte) {
	p := r.proxy
	reattached := r.state == stateReattaching
	p.stats.established++
	r.transition(stateEstablished)
	p.requests.unanswered.remove(r)
	r.joinServer()
	r.lastReply = p.loop.Now()
	r.endStatus = outcome.Reset
	p.loop.Cancel(&r.timer)
	r.freeFirstLine()
	r.downstream.sendUp(append(up, lineEnd...))
	r.notifyEstablished(reattached)
	if p.drain.active {
		p.drain.moveAfterFirstLines(r)
	}
	p.resumption.addToDrain(r)
	r.readClient()
}

// freeFirstLine drops the references into the first line, so that the line isn't kept in memory until the connection
// ends. A client that takes tokens keeps it, as its token and cursor refer to the line as well.
func (r *request) freeFirstLine() {
	r.firstLine = nil
	if r.resumable == nil {
		r.open.Class = nil
		r.open.CurrentServer = nil
	}
}

// notifyEstablished notifies the decision core, to which a reattached request is new.
func (r *request) notifyEstablished(reattached bool) {
	p, a := r.proxy, r.attempt
	if reattached {
		p.core.dispatch(decision.ExistingConnection{Request: r.decisionRequest(), Server: a.server.Number})
		return
	}
	p.core.dispatch(decision.Established{
		ID:        uint32(r.ref),
		Attempt:   a.number,
		Server:    a.server.Number,
		SetupTime: p.loop.Now() - a.startedAt,
	})
}

// joinServer adds the request to the set of those established at its server.
func (r *request) joinServer() {
	r.latency = r.proxy.latencies.forServer(r.attempt.server.Number)
	r.latency.established.add(r)
}

// readClient reads from the client and forwards to the server. It stops while too much data is pending for the server.
// The request of a client that sends data before it has an answer fails.
func (r *request) readClient() {
	buffers := &r.proxy.buffers.read
	buffer := buffers.get()
	defer buffers.put(buffer)
	for range readsPerTurn {
		if !r.canReadClient() {
			return
		}
		n, err := r.downstream.Read(buffer)
		if errors.Is(err, eventloop.ErrAgain) {
			return
		}
		if err != nil {
			r.handleClientClosed(errors.Is(err, io.EOF))
			return
		}
		if r.state == stateEstablished {
			r.forwardToServer(buffer[:n])
		} else {
			r.failForEarlyData()
		}
	}
	r.furtherRead.Schedule(r.proxy.loop, r.readClient)
}

// canReadClient reports whether data from the client may be read now. It may not while too much data is pending for the
// server; upstreamFlushed resumes reading.
func (r *request) canReadClient() bool {
	switch r.state {
	case stateClosed, stateHalfClosed, stateTransferring:
		return false
	case stateEstablished:
		return !overload.IsStalled(r.attempt.upstream.Pending(), r.proxy.buffers.maxPending)
	case stateNew, statePending, stateReattaching:
	}
	return true
}

// failForEarlyData ends a request whose client sent data before it had an answer, which the protocol forbids. If the
// data were forwarded, the server would take it for lines of an established connection.
func (r *request) failForEarlyData() {
	wasRegistered := r.registered
	r.fail(answercause.ClientTooEarly)
	if wasRegistered {
		r.notifyCancelled()
	}
}

// handleClientClosed handles EOF (graceful) or a read error from the client, and passes it on to the server as EOF or
// reset. A request that is not established is closed.
func (r *request) handleClientClosed(graceful bool) {
	if r.state != stateEstablished {
		r.close()
		return
	}
	r.transition(stateHalfClosed)
	r.pendingMove = nil // the client gets no MOVE any more, but all that the server still sends
	r.notifyCancelled()
	if graceful {
		// The server may still send data.
		r.attempt.upstream.CloseWrite()
		r.startTimer(timeouts.HalfClose, r.close)
		return
	}
	r.attempt.upstream.Reset()
	r.close()
}

// downstreamFlushed is called when all data pending for the client has been written. It resumes reading from the
// server.
func (r *request) downstreamFlushed() {
	if r.attempt == nil || r.state != stateEstablished && r.state != stateHalfClosed {
		return
	}
	if r.clientStalled {
		// The server was not read while the client was stalled, so late replies don't count against it.
		r.clientStalled = false
		r.lastReply = r.proxy.loop.Now()
		r.removeAnswered(len(r.sentAt))
	}
	r.attempt.readServer()
}

// forwardToServer forwards the client's bytes and records the send times of its lines. Lines beyond
// messagedelay.MaxTimedLines unanswered ones are not timed.
func (r *request) forwardToServer(b []byte) {
	now := r.proxy.loop.Now()
	r.fromClient.Feed(b, func([]byte) {
		if len(r.sentAt) < messagedelay.MaxTimedLines {
			r.awaitReply(now)
		}
	})
	r.attempt.upstream.Write(b)
}

// awaitReply records that a line was sent to the server at the given time.
func (r *request) awaitReply(at monotime.Micros) {
	r.sentAt = append(r.sentAt, at)
	r.proxy.requests.awaitingReply.add(r)
}

// removeAnswered removes the oldest n send times, whose lines are answered or no longer timed.
func (r *request) removeAnswered(n int) {
	r.sentAt = slices.Delete(r.sentAt, 0, n)
	if len(r.sentAt) == 0 {
		r.proxy.requests.awaitingReply.remove(r)
	}
}

// forwardToClient forwards the server's bytes and evaluates the lines among them. If a move waits for the end of the
// current line, it forwards only the rest of that line, after which the client receives MOVE.
func (r *request) forwardToClient(b []byte) {
	received, movePending := len(b), r.pendingMove != nil
	if r.buffersPartialLines() {
		var movedByServer bool
		if b, movedByServer = r.partial.completeLines(b); movedByServer {
			defer r.startMove(outcome.Cancelled, false)
		}
	}
	if r.pendingMove.waitsForLineEnd() {
		b = firstLineOf(b)
	}
	load, reported := r.recordServerLines(b)
	r.downstream.Write(b)
	if reported {
		r.reportMetric(load)
	}
	if movePending && r.pendingMove != nil {
		r.continueMove(received)
	}
}

// firstLineOf returns the bytes up to and including the first line end; all of them if there is none.
func firstLineOf(b []byte) []byte {
	if end := bytes.IndexByte(b, '\n'); end >= 0 {
		return b[:end+1]
	}
	return b
}

// recordServerLines records message numbers, replies, and the outcome that a close by the server would have. It returns
// the value of the last LOAD line; reported is false if there is none.
func (r *request) recordServerLines(b []byte) (load float64, reported bool) {
	now := r.proxy.loop.Now()
	r.fromServer.Feed(b, func(start []byte) {
		r.lastReply = now
		r.resumable.recordForwarded(start)
		switch verb, value := lineproto.ParseServerLine(start); verb {
		case lineproto.Bye:
			r.endStatus = outcome.OK
		case lineproto.Move:
			r.endStatus = outcome.Cancelled
		case lineproto.Load:
			load = value
			reported = true
		default:
			if len(r.sentAt) > 0 {
				r.latency.delay.Record(now, now-r.sentAt[0])
				r.removeAnswered(1)
			}
		}
	})
	return load, reported
}

// isUnresponsive reports whether the server has left the client's lines without a reply for too long.
func (r *request) isUnresponsive(now monotime.Micros) bool {
	return r.state == stateEstablished && len(r.sentAt) > 0 && timeouts.Unresponsive(now, r.lastReply, r.sentAt[0])
}
