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

// attempt is one attempt to establish a request at a server and, if the server accepts it, the upstream side of the
// connection. It ends exactly once and reports one outcome to the decision core.
type attempt struct {
	proxy         *Proxy
	request       *request
	server        *discovery.Server
	chosenListing recall.Listing // listing of the server when the attempt started
	number        int            // index among the request's attempts, from 0 on
	upstream      upstream       // nil until it is dialed or its channel opened
	muxConn       *muxUpstreamConn
	startedAt     monotime.Micros
	deadline      monotime.Micros // the attempt ends then unless it is established
	writeDeadline monotime.Micros // end of the time in which the request may be written; 0 for no limit
	connected     bool            // the dedicated connection is established or the channel opened
	written       bool            // the request is written to its last byte, so the server may have executed it
	answerBuf     []byte          // received part of the server's first line
	timer         eventloop.Ref
	failureShared bool // ended by a failure that was already counted, so no further evidence against the server
	ended         bool
	furtherRead   eventloop.Continuation // of the server
}

// attemptLimits are the number and the time limits of a new attempt. After the write timeout the server could no longer
// distinguish a retry from a new request, so the request must not be written any more.
type attemptLimits struct {
	number       int
	timeout      monotime.Micros // from the start until the attempt must be established
	writeTimeout monotime.Micros // from the start until the request must be written; 0 for no limit
}

// startAttempt starts an attempt that the decision core decided on. If the request can no longer use it, or the server
// is no longer in the list, the attempt is reported as ended at once.
func (r *request) startAttempt(decided decision.StartAttempt) {
	p := r.proxy
	number := r.attempts
	r.attempts++
	server := p.servers.list.ByNumber(decided.Server)
	if r.state == statePending {
		r.readClient() // the client may have closed its connection or sent data too early, not yet read
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
		number:       number,
		timeout:      timeouts.Attempt(decided.Timeout, r.deadline-p.loop.Now()),
		writeTimeout: decided.WriteTimeout,
	})
}

// newAttempt starts an attempt, on a multiplexed or a dedicated connection.
func newAttempt(r *request, server *discovery.Server, limits attemptLimits) *attempt {
	p := r.proxy
	now := p.loop.Now()
	a := &attempt{
		proxy:         p,
		request:       r,
		server:        server,
		chosenListing: listingOf(server),
		number:        limits.number,
		startedAt:     now,
		deadline:      now + limits.timeout,
	}
	if limits.writeTimeout > 0 {
		a.writeDeadline = now + limits.writeTimeout
	}
	if p.cfg.Channels == nil || !p.cfg.Channels.UseUpstream || !a.startOnMux() {
		a.dial()
	}
	return a
}

// listingOf returns the parts of a server's listing that decide whether a request may still be written to it.
func listingOf(server *discovery.Server) recall.Listing {
	return recall.Listing{
		Ready:     server.State == discovery.Ready,
		StartedAt: server.StartedMillis,
		Addr:      server.Addr,
	}
}

// invalidatedByListChange reports whether the attempt must end, and its request be placed anew, because its server is
// no longer ready, has restarted or has another address. The attempt must have no answer yet.
func (a *attempt) invalidatedByListChange() bool {
	return recall.Needed(recall.Attempt{
		Placed:  a.request.state == statePending,
		Written: a.written,
		Chosen:  a.chosenListing,
		Current: listingOf(a.server),
	})
}

// dial starts a dedicated connection to the server.
func (a *attempt) dial() {
	p := a.proxy
	p.listener.evictIdle()
	conn, err := p.dialServer(a.server, a)
	if err != nil {
		a.scheduleEnd(dialOutcome(err))
		return
	}
	a.upstream = conn
	wait := timeouts.Connect(a.deadline-p.loop.Now(), p.cfg.Settings.ConnectTimeout)
	a.timer = p.loop.After(wait, func() {
		conn.CheckConnected() // the connect event may be pending in this turn of the event loop
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
	if !a.recheckBeforeWrite() {
		return
	}
	conn.Write(a.requestLine())
	a.written = conn.Pending() == 0 && !conn.WriteFailed()
	a.awaitAnswer()
}

// recheckBeforeWrite checks whether the request may still be written; if not, it ends the attempt and returns false.
// While the attempt was connecting, the write deadline may have passed, or the client may have closed its connection
// and the EOF is still unread. Changes of the server list need no check here: requestTable.handleServerListUpdate ends
// the attempts concerned at once.
func (a *attempt) recheckBeforeWrite() bool {
	a.request.readClient()
	if a.ended {
		return false
	}
	if timeouts.WriteForbidden(a.proxy.loop.Now(), a.writeDeadline) {
		a.end(outcome.Inconclusive)
		return false
	}
	return true
}

// requestLine returns the first line for the server in three parts: the client's line byte for byte, except that wait,
// the time left until the attempt's deadline in milliseconds, replaces the client's deadline.
func (a *attempt) requestLine() (head, wait, tail []byte) {
	const digits = 20 // of the largest int64
	line, open := a.request.firstLine, &a.request.open
	millis := timeouts.AnnouncedDeadline(a.deadline - a.proxy.loop.Now())
	wait = strconv.AppendInt(make([]byte, 0, digits), millis, 10)
	return line[:open.DeadlineStart], wait, line[open.DeadlineEnd:]
}

// awaitAnswer starts the timer that ends the attempt if the request is not written or the server does not answer in
// time.
func (a *attempt) awaitAnswer() {
	p := a.proxy
	until := timeouts.AnswerDeadline(a.deadline, a.writeDeadline, a.written)
	p.loop.Cancel(&a.timer)
	a.timer = p.loop.After(until-p.loop.Now(), func() {
		a.readServer() // an answer that has arrived but is not yet read still counts
		if a.ended || a.request.state == stateEstablished {
			return
		}
		if a.written && p.loop.Now() < a.deadline {
			// The request was written after the timer was set for writeDeadline, which no longer applies.
			a.awaitAnswer()
			return
		}
		a.end(attemptoutcome.OfUnanswered(outcome.TimedOut, a.written))
	})
}

// Flushed is part of eventloop.Owner.
func (a *attempt) Flushed(*eventloop.Conn) { a.upstreamFlushed() }

// upstreamFlushed is called when all data pending for the server has been written. It resumes reading from the client.
func (a *attempt) upstreamFlushed() {
	a.written = true
	if a.request.state == stateEstablished {
		a.request.readClient()
	}
}

// Readable is part of eventloop.Owner.
func (a *attempt) Readable(*eventloop.Conn) { a.readServer() }

// readServer reads from the server and forwards to the client. It stops while too much data is pending for the client;
// downstreamFlushed resumes it.
func (a *attempt) readServer() {
	r := a.request
	buffers := &a.proxy.buffers.read
	buffer := buffers.get()
	defer buffers.put(buffer)
	for range readsPerTurn {
		if a.ended || !a.connected || r.state == stateTransferring {
			return
		}
		if overload.IsStalled(r.downstream.Pending(), a.proxy.buffers.maxPending) {
			r.clientStalled = true
			return
		}
		n, err := a.upstream.Read(r.pendingMove.limitRead(buffer))
		if errors.Is(err, eventloop.ErrAgain) {
			return
		}
		if err != nil {
			a.handleServerClosed(errors.Is(err, io.EOF))
			return
		}
		if r.state == stateEstablished || r.state == stateHalfClosed {
			r.forwardToClient(buffer[:n])
		} else {
			a.readAnswer(buffer[:n])
		}
	}
	a.furtherRead.Schedule(a.proxy.loop, a.readServer)
}

// readAnswer collects the server's first line and handles it once it is complete.
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
	a.handleAnswer(text)
	if a.request.state == stateEstablished && len(rest) > 0 {
		a.request.forwardToClient(rest)
	}
}

// handleAnswer handles the server's answer, a line without its line end.
func (a *attempt) handleAnswer(text []byte) {
	r := a.request
	switch verb, _ := lineproto.ParseServerLine(text); verb {
	case lineproto.Up:
		r.readClient() // detect data that the client sent before it had its answer
		if a.ended || !r.checkContinuation(text) {
			return
		}
		a.proxy.loop.Cancel(&a.timer)
		r.establish(text)
	case lineproto.Bye:
		// The server has already served the whole request (BYE): its line is the final answer.
		r.downstream.sendFinal(append(text, lineEnd...))
		r.finish(outcome.OK)
	case lineproto.Stale:
		r.handleTokenRejection(lineproto.Argument(text))
	default:
		status, known := answerOutcome(verb)
		if !known {
			a.proxy.stats.protocolErrors++
		}
		a.end(status)
	}
}

// answerOutcome returns the outcome of an attempt whose server did not accept the request. known is false if the answer
// is not part of the protocol.
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

// handleServerClosed handles EOF (graceful) or a read error from the server.
func (a *attempt) handleServerClosed(graceful bool) {
	r := a.request
	if r.state != stateEstablished && r.state != stateHalfClosed {
		a.end(attemptoutcome.OfUnanswered(outcome.Reset, a.written))
		return
	}
	if r.continuesOnAnotherServer() {
		r.startMove(r.endStatus, false)
		return
	}
	status := attemptoutcome.OfEstablished(r.endStatus, r.state == stateHalfClosed)
	if graceful {
		r.finish(status)
		return
	}
	a.end(status)
	r.abort()
}

// scheduleEnd ends the attempt after the current event has been handled, so that no outcome is reported while the
// attempt is being started.
func (a *attempt) scheduleEnd(status outcome.Status) {
	a.timer = a.proxy.loop.After(0, func() { a.end(status) })
}

// cancelAttempt cancels the current attempt if it has this number and is not established.
func (r *request) cancelAttempt(number int) {
	if r.attempt != nil && r.attempt.number == number && r.state != stateEstablished {
		r.attempt.end(outcome.Cancelled)
	}
}

// end closes the attempt's connection or channel and reports its outcome to the decision core. Only the first call has
// an effect.
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
	if r.registered {
		p.core.dispatch(decision.AttemptEnded{
			ID:                   uint32(r.ref),
			Attempt:              a.number,
			Server:               a.server.Number,
			Status:               status,
			Duration:             p.loop.Now() - a.startedAt,
			RequestClosed:        r.state != statePending,
			CauseAlreadyReported: a.failureShared,
		})
	} else if r.state == stateReattaching {
		r.reattachFailed(status)
	}
}
