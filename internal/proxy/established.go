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

// established is what a request has once it is established: the streams of lines in both directions.
type established struct {
	fromClient    lineproto.Scanner
	fromServer    lineproto.Scanner
	sentAt        []monotime.Micros // when the unanswered lines went to the server, oldest first; some are not timed
	lastReply     monotime.Micros   // when the last line came from the server
	endStatus     outcome.Status    // the outcome if the server ends it now, from its last lines
	clientStalled bool              // its client does not read, and so its server is left unread
	moving        bool              // moved as soon as the line that is under way has ended
	partial       lineBuffer        // of a line, where only whole ones are forwarded
	resumable     *resumableStream  // of a client that takes tokens; set before it is established
	latency       *serverLatency    // of the server
}

// establish forwards the server's UP, a line without its end; from now on the connection is established.
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
	if p.drain.on {
		p.drain.moveAfterFirstLines(r)
	}
	p.resumption.joinDrain(r)
	r.readClient()
}

// freeFirstLine frees what would keep the whole first line in memory for as long as the connection lives.
func (r *request) freeFirstLine() {
	r.firstLine = nil
	if r.resumable == nil {
		r.open.Class = nil
		r.open.CurrentServer = nil
	}
}

// notifyEstablished notifies the decision core; it does not know a reattached request yet.
func (r *request) notifyEstablished(reattached bool) {
	p, a := r.proxy, r.attempt
	if reattached {
		p.core.dispatch(decision.ExistingConnection{Request: r.event(), Server: a.server.Number})
		return
	}
	p.core.dispatch(decision.Established{
		ID:        uint32(r.ref),
		Attempt:   a.number,
		Server:    a.server.Number,
		SetupTime: p.loop.Now() - a.began,
	})
}

// joinServer counts the request among those that are established at its server.
func (r *request) joinServer() {
	r.latency = r.proxy.latencies.of(r.attempt.server.Number)
	r.latency.established.add(r)
}

// readClient reads what the client sends.
func (r *request) readClient() {
	for range readsPerTurn {
		if !r.readsClient() {
			return
		}
		n, err := r.downstream.Read(r.proxy.buffers.read)
		if errors.Is(err, eventloop.ErrAgain) {
			return
		}
		if err != nil {
			r.clientEnded(errors.Is(err, io.EOF))
			return
		}
		if r.state == stateEstablished {
			r.forwardToServer(r.proxy.buffers.read[:n])
		} else {
			r.rejectEarlyBytes()
		}
	}
	r.proxy.loop.After(0, r.readClient)
}

// readsClient reports whether the client is read now. While its server does not take what is pending it is not; it is
// read on once that has caught up.
func (r *request) readsClient() bool {
	switch r.state {
	case stateClosed, stateHalfClosed, stateTransferring:
		return false
	case stateEstablished:
		return !overload.IsStalled(r.attempt.upstream.Pending(), r.proxy.buffers.maxPending)
	case stateNew, statePending, stateReattaching:
	}
	return true
}

// rejectEarlyBytes ends a request whose client does not wait for its answer, as every client does. Forwarded, what it
// sends would be taken for lines of an established connection.
func (r *request) rejectEarlyBytes() {
	coreKnew := r.coreKnows
	r.fail(answercause.ClientTooEarly)
	if coreKnew {
		r.notifyCancelled()
	}
}

// clientEnded handles the client's end, a plain one or a reset. The server sees the same.
func (r *request) clientEnded(plain bool) {
	if r.state != stateEstablished {
		r.close()
		return
	}
	r.transition(stateHalfClosed)
	r.notifyCancelled()
	if plain {
		// The server may still have something to send.
		r.attempt.upstream.CloseWrite()
		r.startTimer(timeouts.HalfClose, r.close)
		return
	}
	r.attempt.upstream.Reset()
	r.close()
}

// clientCaughtUp handles that the client has read all that was pending.
func (r *request) clientCaughtUp() {
	if r.attempt == nil || r.state != stateEstablished && r.state != stateHalfClosed {
		return
	}
	if r.clientStalled {
		// What the server has sent meanwhile was left unread: how long that took is not the server's doing.
		r.clientStalled = false
		r.lastReply = r.proxy.loop.Now()
		r.replied(len(r.sentAt))
	}
	r.attempt.readServer()
}

// forwardToServer forwards the client's bytes and notes when its lines went.
func (r *request) forwardToServer(b []byte) {
	now := r.proxy.loop.Now()
	r.fromClient.Feed(b, func([]byte) {
		if len(r.sentAt) < messagedelay.MaxTimedLines {
			r.awaitReply(now)
		}
	})
	r.attempt.upstream.Write(b)
}

// awaitReply notes that a line went to the server at this time.
func (r *request) awaitReply(at monotime.Micros) {
	r.sentAt = append(r.sentAt, at)
	r.proxy.requests.awaitingReply.add(r)
}

// replied notes that the oldest n lines are answered, or no longer waited for.
func (r *request) replied(n int) {
	r.sentAt = slices.Delete(r.sentAt, 0, n)
	if len(r.sentAt) == 0 {
		r.proxy.requests.awaitingReply.remove(r)
	}
}

// forwardToClient forwards the server's bytes and notes what its lines report.
func (r *request) forwardToClient(b []byte) {
	if r.holdsPartialLines() {
		var sentAway bool
		if b, sentAway = r.partial.completeLines(b); sentAway {
			defer r.moveAway(outcome.Cancelled, false)
		}
	}
	if r.moving {
		b = firstLineOf(b) // MOVE comes next
	}
	load, reported := r.noteServerLines(b)
	r.downstream.Write(b)
	if reported {
		r.reportMetric(load)
	}
	if r.moving {
		r.move(outcome.Cancelled)
	}
}

// firstLineOf cuts off what comes behind the first line end, if there is one.
func firstLineOf(b []byte) []byte {
	if end := bytes.IndexByte(b, '\n'); end >= 0 {
		return b[:end+1]
	}
	return b
}

// noteServerLines notes what the server's lines report, and returns the last load among them, if there is one.
func (r *request) noteServerLines(b []byte) (load float64, reported bool) {
	now := r.proxy.loop.Now()
	r.fromServer.Feed(b, func(start []byte) {
		r.lastReply = now
		r.resumable.noteForwarded(start)
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
				r.replied(1)
			}
		}
	})
	return load, reported
}

// isSilent reports whether the server sends nothing back any more.
func (r *request) isSilent(now monotime.Micros) bool {
	return r.state == stateEstablished && len(r.sentAt) > 0 && timeouts.Silent(now, r.lastReply, r.sentAt[0])
}
