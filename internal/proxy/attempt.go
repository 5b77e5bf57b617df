package proxy

import (
	"errors"
	"io"
	"strconv"

	"spurspread/decision"
	"spurspread/decision/attemptoutcome"
	"spurspread/decision/monotime"
	"spurspread/decision/outcome"
	"spurspread/decision/overload"
	"spurspread/decision/recall"
	"spurspread/decision/timeouts"
	"spurspread/internal/discovery"
	"spurspread/internal/eventloop"
	"spurspread/internal/lineproto"
)

// attempt is one attempt to have a server accept a request and, if it does, the upstream side of the connection. It
// ends once, with one outcome for the decision core.
type attempt struct {
	proxy         *Proxy
	request       *request
	server        *discovery.Server
	chosen        recall.Listing // of the server, when it was chosen
	number        int            // among the request's attempts, from 0 on
	upstream      transport      // nil until there is one
	muxConn       *muxUpstreamConn
	began         monotime.Micros
	deadline      monotime.Micros // it is given up then, unless it is established
	writeBy       monotime.Micros // the request is written by then or not at all; 0 for no such limit
	connected     bool
	written       bool   // the request's last byte is written: the server may have executed it
	answerBuf     []byte // the server's first line, as far as it has arrived
	timer         eventloop.Ref
	failureShared bool // its end is not evidence of the server's health: another attempt's end was, of the same cause
	ended         bool
}

// attemptLimits are the limits of an attempt.
type attemptLimits struct {
	number      int
	timeout     monotime.Micros // it is given up after it
	writeWithin monotime.Micros // the request is written within it or not at all; 0 for no such limit
}

// startAttempt starts the attempt that the decision core has decided on.
func (r *request) startAttempt(decided decision.StartAttempt) {
	p := r.proxy
	number := r.attempts
	r.attempts++
	server := p.servers.list.ByNumber(decided.Server)
	if r.state == statePending {
		r.readClient() // its client may have left, its end not read yet, or may not wait for its answer
	}
	if r.state != statePending || r.attempt != nil || server == nil {
		p.core.dispatch(decision.AttemptEnded{
			ID:            decided.ID,
			Attempt:       number,
			Server:        decided.Server,
			Status:        outcome.Inconclusive,
			RequestClosed: r.state != statePending,
		})
		return
	}
	r.attempt = newAttempt(r, server, attemptLimits{
		number:      number,
		timeout:     timeouts.Attempt(decided.Timeout, r.deadline-p.loop.Now()),
		writeWithin: decided.WriteWithin,
	})
}

// newAttempt starts an attempt, on a multiplexed connection or with one of its own.
func newAttempt(r *request, server *discovery.Server, limits attemptLimits) *attempt {
	p := r.proxy
	now := p.loop.Now()
	a := &attempt{
		proxy:    p,
		request:  r,
		server:   server,
		chosen:   listingOf(server),
		number:   limits.number,
		began:    now,
		deadline: now + limits.timeout,
	}
	if limits.writeWithin > 0 {
		a.writeBy = now + limits.writeWithin
	}
	if p.cfg.Channels == nil || !p.cfg.Channels.Upstreams || !a.startOnMux() {
		a.dial()
	}
	return a
}

// listingOf is what of a server's listing matters to a request that is about to be written to it.
func listingOf(server *discovery.Server) recall.Listing {
	return recall.Listing{
		Ready:     server.State == discovery.Ready,
		StartedAt: server.StartedMillis,
		Addr:      server.Addr,
	}
}

// recalled reports whether the attempt, which has no answer yet, is recalled for a change of its server's listing.
func (a *attempt) recalled() bool {
	return recall.Needed(recall.Attempt{
		Placed:  a.request.state == statePending,
		Written: a.written,
		Chosen:  a.chosen,
		Current: listingOf(a.server),
	})
}

// dial gives the attempt a connection of its own.
func (a *attempt) dial() {
	p := a.proxy
	p.listener.evictIdle()
	conn, err := p.dialServer(a.server, a)
	if err != nil {
		a.endNextTurn(dialOutcome(err))
		return
	}
	a.upstream = conn
	wait := timeouts.Connect(a.deadline-p.loop.Now(), p.cfg.Settings.ConnectTimeout)
	a.timer = p.loop.After(wait, func() {
		conn.CheckConnected() // its success may be waiting in this very turn
		if !a.connected {
			a.end(outcome.ConnectFailed)
		}
	})
}

// Connected is part of eventloop.Owner.
func (a *attempt) Connected(conn *eventloop.Conn, err error) {
	if err != nil {
		a.end(outcome.ConnectFailed)
		return
	}
	a.connected = true
	if !a.mayWrite() {
		return
	}
	conn.Write(a.requestLine())
	a.written = conn.Pending() == 0 && !conn.Broken()
	a.awaitAnswer()
}

// mayWrite looks once more before the request is written; if it may not be any more, the attempt has ended. Connecting
// takes some time, in which the client may have left, its end still unread behind this very event, or the window may
// have passed in which the request may be retried. A change of the server list recalls the attempt at once: see
// requestTable.followServerList.
func (a *attempt) mayWrite() bool {
	a.request.readClient()
	if a.ended {
		return false
	}
	if timeouts.WriteForbidden(a.proxy.loop.Now(), a.writeBy) {
		a.end(outcome.Inconclusive)
		return false
	}
	return true
}

// requestLine is what the server is sent, in three parts: as the client sent it, byte for byte, but with how long this
// attempt waits in place of how long the client does.
func (a *attempt) requestLine() (head, wait, tail []byte) {
	const digits = 20 // of the largest int64
	line, open := a.request.firstLine, &a.request.open
	millis := timeouts.AnnouncedDeadline(a.deadline - a.proxy.loop.Now())
	wait = strconv.AppendInt(make([]byte, 0, digits), millis, 10)
	return line[:open.DeadlineStart], wait, line[open.DeadlineEnd:]
}

// awaitAnswer has the attempt end if its server does not answer in time, or the request can't be written in time.
func (a *attempt) awaitAnswer() {
	p := a.proxy
	until := timeouts.Answer(a.deadline, a.writeBy, a.written)
	p.loop.Cancel(&a.timer)
	a.timer = p.loop.After(until-p.loop.Now(), func() {
		a.readServer() // an answer that arrived in this very turn still counts
		if a.ended || a.request.state == stateEstablished {
			return
		}
		if a.written && p.loop.Now() < a.deadline {
			a.awaitAnswer()
			return
		}
		a.end(attemptoutcome.OfUnanswered(outcome.TimedOut, a.written))
	})
}

// Flushed is part of eventloop.Owner.
func (a *attempt) Flushed(*eventloop.Conn) { a.serverCaughtUp() }

// serverCaughtUp handles that the server has been written all that was pending.
func (a *attempt) serverCaughtUp() {
	a.written = true
	if a.request.state == stateEstablished {
		a.request.readClient()
	}
}

// Readable is part of eventloop.Owner.
func (a *attempt) Readable(*eventloop.Conn) { a.readServer() }

// readServer reads what the server sends. While the client does not read what is pending it is left unread.
func (a *attempt) readServer() {
	r := a.request
	for range readsPerTurn {
		if a.ended || !a.connected || r.state == stateTransferring {
			return
		}
		if overload.IsStalled(r.downstream.Pending(), a.proxy.buffers.maxPending) {
			r.clientStalled = true
			return
		}
		n, err := a.upstream.Read(a.proxy.buffers.read)
		if errors.Is(err, eventloop.ErrAgain) {
			return
		}
		if err != nil {
			a.serverEnded(errors.Is(err, io.EOF))
			return
		}
		b := a.proxy.buffers.read[:n]
		if r.state == stateEstablished || r.state == stateHalfClosed {
			r.forwardToClient(b)
		} else {
			a.readAnswer(b)
		}
	}
	a.proxy.loop.After(0, a.readServer)
}

// readAnswer reads the server's first line.
func (a *attempt) readAnswer(b []byte) {
	a.answerBuf = append(a.answerBuf, b...)
	text, n, err := lineproto.SplitLine(a.answerBuf)
	if err != nil {
		a.end(outcome.ErrorResponse)
		return
	}
	if n == 0 {
		return
	}
	rest := a.answerBuf[n:]
	a.answerBuf = nil
	a.answered(text)
	if a.request.state == stateEstablished && len(rest) > 0 {
		a.request.forwardToClient(rest)
	}
}

// answered handles the server's answer, a line without its end.
func (a *attempt) answered(text []byte) {
	r := a.request
	switch verb, _ := lineproto.ParseServerLine(text); verb {
	case lineproto.Up:
		r.readClient() // what the client sent before its answer shows now at the latest
		if a.ended || !r.checkNumbering(text) {
			return
		}
		a.proxy.loop.Cancel(&a.timer)
		r.establish(text)
	case lineproto.Bye:
		// Served to its end at once: the server's line is the answer.
		r.downstream.sendFinal(append(text, lineEnd...))
		r.finish(outcome.OK)
	case lineproto.Stale:
		r.tokenRejectedByServer(lineproto.Argument(text))
	default:
		status, known := answerOutcome(verb)
		if !known {
			a.proxy.stats.protocolErrors++
		}
		a.end(status)
	}
}

// answerOutcome is the outcome of an attempt whose server did not accept the request; known is false for an answer that
// the protocol does not have.
func answerOutcome(verb lineproto.ServerVerb) (status outcome.Status, known bool) {
	switch verb {
	case lineproto.Move:
		return outcome.Cancelled, true
	case lineproto.Busy:
		return outcome.ServerFull, true
	case lineproto.Err:
		return outcome.ErrorResponse, true
	default:
		return outcome.ErrorResponse, false
	}
}

// serverEnded handles the end of the server's side, a plain one or a reset.
func (a *attempt) serverEnded(plain bool) {
	r := a.request
	if r.state != stateEstablished && r.state != stateHalfClosed {
		a.end(attemptoutcome.OfUnanswered(outcome.Reset, a.written))
		return
	}
	if r.continuesOnAnotherServer() {
		r.moveAway(r.endStatus, false)
		return
	}
	status := attemptoutcome.OfEstablished(r.endStatus, r.state == stateHalfClosed)
	if plain {
		r.finish(status)
		return
	}
	a.end(status)
	r.abort()
}

// endNextTurn ends the attempt in a later turn, like every other outcome.
func (a *attempt) endNextTurn(status outcome.Status) {
	a.timer = a.proxy.loop.After(0, func() { a.end(status) })
}

// cancelAttempt ends the attempt with this number, unless its server has answered.
func (r *request) cancelAttempt(number int) {
	if r.attempt != nil && r.attempt.number == number && r.state != stateEstablished {
		r.attempt.end(outcome.Cancelled)
	}
}

// end closes the attempt's connection or channel and reports its outcome to the decision core, once.
func (a *attempt) end(status outcome.Status) {
	if a.ended {
		return
	}
	p, r := a.proxy, a.request
	a.ended = true
	p.loop.Cancel(&a.timer)
	if a.upstream != nil {
		a.upstream.Close()
	}
	if a.muxConn != nil {
		a.muxConn.releaseAttempt(a)
	}
	r.attempt = nil
	r.releaseClaim(a, status)
	if r.coreKnows {
		p.core.dispatch(decision.AttemptEnded{
			ID:            uint32(r.ref),
			Attempt:       a.number,
			Server:        a.server.Number,
			Status:        status,
			Duration:      p.loop.Now() - a.began,
			RequestClosed: r.state != statePending,
			SharedCause:   a.failureShared,
		})
	} else if r.state == stateReattaching {
		r.reattachFailed(status)
	}
}
