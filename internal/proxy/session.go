package proxy

import (
	"bytes"
	"errors"
	"io"
	"slices"
	"spurspread/decision"
	"spurspread/decision/outcome"
	"spurspread/decision/retry"
	"spurspread/internal/eventloop"
	"spurspread/internal/lineproto"
)

type requestState uint8

const (
	statePending      requestState = iota // the module owes it an answer
	stateReattaching                      // it says which target holds it; that has not answered
	stateEstablished                      // it stands
	stateHalfClosed                       // its client has ended its side, the target has not
	stateClosed                           // answered, moved or ended
	stateTransferring                     // offered to the successor, which has not answered: nobody reads it meanwhile
)

const (
	maxReattachTime  = 40 * second
	halfCloseTimeout = 5 * second        // for a target to end what its client has ended
	moveLineTimeout  = 900 * millisecond // for a line to end where a client is to be moved
	// nothing back for so long: it is ended; with moveTime and a sweep still within 7 s
	silenceTimeout = 5500 * millisecond
	maxTimedLines  = 64 // lines of a client that are timed at once
	readsPerTurn   = 4  // reads from one socket before the others have their turn

	clientLineInterval = 2 * second // clients send a line so often
	reattachRetryDelay = 250 * millisecond
	proxyRetryAfter    = 300 * millisecond // what a client is told that the relay itself sheds
)

// transport is a session's client, or a hop's target: a connection of its own, or a channel of one that is shared. Its calls
// mean what those of loop.Conn of the same names do.
type transport interface {
	Read(b []byte) (int, error)
	Write(parts ...[]byte)
	Pending() int
	CloseWrite()
	Close()
	Reset()
}

// downstream is the side that asks. What it is answered has a form of its own on each kind of ingress.
type downstream interface {
	transport
	// up passes on the target's UP line, with its end.
	sendUp(line []byte)
	// refuse gives the final answer, a line with its end, and ends.
	sendFinal(answer []byte)
	// move sends the client away, with a token or none, and ends.
	sendMove(token []byte)
	// end ends politely, in both directions.
	closeGracefully()
	// whole tells that only whole lines may be passed on, and that a target's MOVE is not one of them.
	completeLinesOnly() bool
}

// request is one request of a client's and, once it stands, its stream.
type request struct {
	proxy       *Proxy
	ref         eventloop.Ref // also the request's id at the module
	downstream  downstream
	state       requestState
	firstLine   []byte // the first line with its end, until the target has answered it
	open        lineproto.Open
	idTaken     bool             // its id is among those that the relay has seen
	class       int              // in classes
	classNames  []string         // the names of the classes as they were when it asked
	retryPolicy retry.Policy     // its class's, as it was then
	deadline    eventloop.Micros // when the client gives up
	attempt     *upstreamAttempt
	attempts    int
	moduleKnows bool // the module has heard of it
	timer       eventloop.Ref

	fromClient, fromServer lineproto.Scanner  // the lines to and from the target
	sentAt                 []eventloop.Micros // when its lines went that are unanswered; see expects and caughtUp
	lastReply              eventloop.Micros
	endStatus              outcome.Status   // what the target's last words make of its end
	clientStalled          bool             // its client does not read, and so its target is not read either
	moving                 bool             // moved as soon as the line under way has ended
	partial                lineBuffer       // of lines, where only whole ones are passed on
	resumable              *resumableStream // of a client that takes tokens

	latency                                               *serverLatency // of the target that it stands at
	unansweredIndex, awaitingReplyIndex, establishedIndex int32          // places in rosters
}

// openRequest opens a session for a first line, which stands in text without its end; whole has it with its end. shed has the
// client told that it is turned away.
func (r *Proxy) openRequest(in downstream, text, whole []byte, shed bool) *request {
	s := &request{proxy: r, downstream: in, firstLine: whole}
	if s.ref = r.requests.Put(s); s.ref == 0 {
		in.sendFinal(lineproto.AppendBusy(nil, int64(proxyRetryAfter/millisecond)))
		in.closeGracefully()
		s.state = stateClosed
		return s
	}
	r.unanswered.add(s)
	if r.requests.Len() > r.buffersSizedFor {
		r.sizeBuffers()
	}
	s.parseAndPlace(text, shed)
	return s
}

// Flushed tells that the client has caught up.
func (s *request) Flushed() {
	if s.attempt == nil || s.state != stateEstablished && s.state != stateHalfClosed {
		return
	}
	if s.clientStalled {
		// What its target has answered meanwhile was left unread: how long that took is no fault of the target's.
		s.clientStalled, s.lastReply = false, s.proxy.loop.Now()
		s.replied(len(s.sentAt))
	}
	s.attempt.read()
}

// Readable reads what the client sends.
func (s *request) Readable() {
	for range readsPerTurn {
		if s.state == stateClosed || s.state == stateHalfClosed || s.state == stateTransferring ||
			s.state == stateEstablished && s.attempt.upstream.Pending() > s.proxy.maxPending {
			return // in the last case it is read on once there is room
		}
		n, err := s.downstream.Read(s.proxy.readBuf)
		if errors.Is(err, eventloop.ErrAgain) {
			return
		}
		if err != nil {
			s.clientEnded(errors.Is(err, io.EOF))
			return
		}
		if s.state == stateEstablished {
			s.forwardLines(s.proxy.readBuf[:n])
			continue
		}
		s.rejectEarlyBytes()
	}
	s.proxy.loop.After(0, s.Readable)
}

// rejectEarlyBytes ends a request whose client does not wait for its answer, as every client does. Passed on, what it sends
// would be taken for lines of a connection that stands.
func (s *request) rejectEarlyBytes() {
	known := s.moduleKnows
	s.fail()
	if known {
		s.notifyWithdrawn()
	}
}

func (s *request) startTimer(span eventloop.Micros, due func()) {
	s.proxy.loop.Cancel(&s.timer)
	s.timer = s.proxy.loop.After(span, due)
}

// parseAndPlace takes the client's request.
func (s *request) parseAndPlace(text []byte, shed bool) {
	var err error
	// The id is new for every connection; a target that sees one again answers ERR, whoever used it before.
	if s.open, err = lineproto.ParseOpen(text); err != nil || !s.proxy.requestIDs.add(s.open.ID) {
		s.fail()
		return
	}
	s.idTaken = true
	s.classNames = s.proxy.cfg.Settings.ClassNames
	if s.class = indexOr(s.classNames, string(s.open.Class), -1); s.class < 0 {
		s.fail()
		return
	}
	s.retryPolicy = s.proxy.cfg.Settings.Decision.Classes[s.class].RetryPolicy()
	s.proxy.counters.accepted++
	if shed || s.proxy.rejectsNew() || s.proxy.requests.Len() > s.proxy.cfg.Settings.Decision.MaxHeldRequests {
		s.reject(proxyRetryAfter)
		return
	}
	if !s.presentToken() {
		return
	}
	if len(s.open.At) > 0 {
		left := min(eventloop.Micros(s.open.Millis)*millisecond, maxReattachTime)
		s.deadline = s.proxy.loop.Now() + left
		s.state = stateReattaching
		s.startTimer(left, s.fail)
		s.reattach()
		return
	}
	// No client waits longer than its class allows, whatever it says.
	left := min(
		eventloop.Micros(s.open.Millis)*millisecond,
		eventloop.Micros(s.proxy.cfg.Settings.Decision.Classes[s.class].Deadline),
	)
	s.deadline = s.proxy.loop.Now() + left
	s.state, s.moduleKnows = statePending, true
	// The module answers before; were it ever not to, the client must still get its answer.
	s.startTimer(left, s.moduleOverdue)
	s.proxy.dispatch(s.decisionRequest())
}

func (s *request) decisionRequest() decision.Request {
	// Settings read again since it asked may number the classes otherwise; one that they dropped has the strictest
	// rules.
	class := indexOr(s.proxy.cfg.Settings.ClassNames, s.classNames[s.class], len(s.proxy.cfg.Settings.ClassNames))
	q := decision.Request{
		ID: uint32(s.ref), TimeLeft: decision.Micros(s.deadline - s.proxy.loop.Now()), Class: class, Key: s.open.Key,
		Group: s.open.Group, LoadHint: s.open.Hint, HasLoadHint: s.open.HasHint, Retry: s.open.Retry,
		Reconnected: s.open.Returned,
	}
	if s.resumable != nil {
		q.Resumable, q.Pinned, q.PinnedServer = true, s.resumable.pinned, s.resumable.server
	}
	return q
}

func (s *request) moduleOverdue() {
	s.proxy.log.Warn("request expired: no decision was made in time")
	s.expire()
}

// expire has the request answered at once. What the answer may promise is for the module to say.
func (s *request) expire() {
	if s.proxy.dispatch(decision.RequestExpired{ID: uint32(s.ref)}); s.state == statePending {
		s.fail()
		s.notifyWithdrawn()
	}
}

// rejectReattaching answers a request at once that goes where its client says, of which the module has not heard.
func (s *request) rejectReattaching() {
	if s.retryPolicy.ClientRetrySafe(s.attempt != nil && s.attempt.sent) {
		s.reject(proxyRetryAfter)
	} else {
		s.fail()
	}
}

// reattach sends a connection to the target that holds it, as soon as that is listed.
func (s *request) reattach() {
	if s.state != stateReattaching || s.attempt != nil {
		return
	}
	if t := s.proxy.servers.ByID(s.open.At); t != nil {
		if s.Readable(); s.state != stateReattaching {
			return // its client has left meanwhile, its end not read yet, or does not wait
		}
		s.attempts = 1
		s.attempt = s.proxy.startAttempt(s, t, 0, max(s.deadline-s.proxy.loop.Now(), millisecond), 0)
	}
}

// reattachFailed tries again where the target was never reached, else tells the client.
func (s *request) reattachFailed(status outcome.Status) {
	if status == outcome.ConnectFailed {
		s.proxy.loop.After(reattachRetryDelay, s.reattach)
		return
	}
	s.fail()
}

// send starts the hop that the module decided on.
func (s *request) send(a decision.StartAttempt) {
	attempt := s.attempts
	s.attempts++
	t := s.proxy.servers.ByNumber(a.Server)
	if s.state == statePending {
		s.Readable() // a client that has left, its end not read yet, or that does not wait, is not sent on
	}
	if s.state != statePending || s.attempt != nil || t == nil {
		s.proxy.dispatch(decision.AttemptEnded{
			ID: a.ID, Attempt: attempt, Server: a.Server, Status: outcome.Inconclusive,
			RequestClosed: s.state != statePending,
		})
		return
	}
	wait := eventloop.Micros(a.Timeout)
	if left := s.deadline - s.proxy.loop.Now(); wait == 0 || wait > left {
		wait = left
	}
	s.attempt = s.proxy.startAttempt(s, t, attempt, max(wait, 0), eventloop.Micros(a.WriteWithin))
}

// reject refuses the client, which may try again after the hold-off.
func (s *request) reject(holdOff eventloop.Micros) {
	if s.state <= stateReattaching && !s.answeredStale() {
		s.proxy.counters.rejected++
		s.answer(lineproto.AppendBusy(nil, int64((holdOff+millisecond-1)/millisecond)))
	}
}

// fail tells the client that its request failed.
func (s *request) fail() {
	if s.state <= stateReattaching && !s.answeredStale() {
		s.proxy.counters.failed++
		s.answer([]byte("ERR\r\n"))
	}
}

func (s *request) answer(text []byte) {
	s.downstream.sendFinal(text)
	s.finish(outcome.Cancelled)
}

// finish ends both sides politely; status is what the module hears of a hop that is still there.
func (s *request) finish(status outcome.Status) {
	if s.state == stateClosed {
		return
	}
	s.downstream.closeGracefully()
	s.release(status)
}

// close ends a session whose client is gone.
func (s *request) close() {
	if s.state == stateClosed {
		return
	}
	owed := s.moduleKnows && (s.state == statePending || s.state == stateEstablished)
	s.downstream.Close()
	s.release(outcome.Cancelled)
	if owed {
		s.notifyWithdrawn()
	}
}

// release frees the session. Its slot stays until the module has heard all that is in line for it.
func (s *request) release(status outcome.Status) {
	s.state = stateClosed
	s.proxy.loop.Cancel(&s.timer)
	if s.idTaken {
		s.proxy.requestIDs.finish(s.open.ID)
	}
	s.firstLine, s.sentAt, s.partial = nil, nil, lineBuffer{}
	s.proxy.unanswered.remove(s)
	s.proxy.awaitingReply.remove(s)
	if s.latency != nil {
		s.latency.established.remove(s)
		s.latency = nil
	}
	if s.attempt != nil {
		s.attempt.end(status)
	}
	s.releaseClaim(nil, status)
	s.proxy.closedRequests = append(s.proxy.closedRequests, s)
	s.proxy.releaseClosed()
}

func (s *request) notifyWithdrawn() { s.proxy.dispatch(decision.RequestCancelled{ID: uint32(s.ref)}) }

// clientEnded takes the client's end: a plain one, or a reset. Ends are passed on in kind.
func (s *request) clientEnded(plain bool) {
	if s.state != stateEstablished {
		s.close()
		return
	}
	s.state = stateHalfClosed
	s.notifyWithdrawn()
	if plain {
		// The target may still have something to say.
		s.attempt.upstream.CloseWrite()
		s.startTimer(halfCloseTimeout, s.close)
		return
	}
	s.attempt.upstream.Reset()
	s.close()
}

// establish passes on UP, a line without its end; from now on the connection stands.
func (s *request) establish(up []byte) {
	h := s.attempt
	s.proxy.counters.established++
	resumed := s.state == stateReattaching
	s.state, s.moduleKnows = stateEstablished, true
	s.proxy.unanswered.remove(s)
	s.noteEstablished()
	s.lastReply, s.endStatus = s.proxy.loop.Now(), outcome.Reset
	s.proxy.loop.Cancel(&s.timer)
	s.firstLine = nil
	if s.resumable == nil {
		s.open.Class, s.open.At = nil, nil // which would keep the whole first line for as long as the session stands
	}
	s.downstream.sendUp(append(up, "\r\n"...))
	if resumed {
		s.proxy.dispatch(decision.ExistingConnection{Request: s.decisionRequest(), Server: h.server.Number})
	} else {
		s.proxy.dispatch(decision.Established{
			ID: uint32(s.ref), Attempt: h.number, Server: h.server.Number,
			SetupTime: decision.Micros(s.proxy.loop.Now() - h.began),
		})
	}
	if s.proxy.drain.on {
		s.proxy.moveAfterFirstLines(s)
	}
	s.joinDrain()
	s.Readable()
}

// noteEstablished notes where the session stands.
func (s *request) noteEstablished() {
	s.latency = s.proxy.latencyOf(s.attempt.server.Number)
	s.latency.established.add(s)
}

// forwardLines passes the client's bytes on and notes when its lines went.
func (s *request) forwardLines(b []byte) {
	now := s.proxy.loop.Now()
	s.fromClient.Feed(b, func([]byte) {
		if len(s.sentAt) < maxTimedLines {
			s.awaitReply(now)
		}
	})
	s.attempt.upstream.Write(b)
}

// awaitReply notes that a line which went at a time is to be answered.
func (s *request) awaitReply(went eventloop.Micros) {
	s.sentAt = append(s.sentAt, went)
	s.proxy.awaitingReply.add(s)
}

// replied notes that the oldest n lines are no longer waited for.
func (s *request) replied(n int) {
	if s.sentAt = slices.Delete(s.sentAt, 0, n); len(s.sentAt) == 0 {
		s.proxy.awaitingReply.remove(s)
	}
}

// forwardReply passes the target's bytes on and notes what its lines say.
func (s *request) forwardReply(b []byte) {
	if s.holdsPartialLines() {
		var left bool
		if b, left = s.partial.completeLines(b); left {
			defer s.moveAway(outcome.Cancelled, false)
		}
	}
	if end := bytes.IndexByte(b, '\n'); s.moving && end >= 0 {
		b = b[:end+1] // nothing after this line: MOVE comes next
	}
	now, load := s.proxy.loop.Now(), -1.0
	s.fromServer.Feed(b, func(start []byte) {
		s.lastReply = now
		s.resumable.forwarded(start)
		switch kind, value := lineproto.ParseServerLine(start); kind {
		case lineproto.Goaway:
			s.endStatus = outcome.OK
		case lineproto.Move:
			s.endStatus = outcome.Cancelled
		case lineproto.Load:
			load = value
		default:
			if len(s.sentAt) > 0 {
				s.latency.record(now, now-s.sentAt[0])
				s.replied(1)
			}
		}
	})
	s.downstream.Write(b)
	if load >= 0 {
		s.proxy.reportedLoad(s, load)
	}
	if s.moving {
		s.move(outcome.Cancelled)
	}
}

// move ends the connection politely, between two lines; status is what the module hears of its hop.
func (s *request) move(status outcome.Status) {
	if s.state != stateEstablished {
		return
	}
	if s.fromServer.Between() {
		s.proxy.counters.moved++
		s.downstream.sendMove(s.appendToken(nil))
		s.finish(status)
	} else if !s.moving {
		s.moving = true
		s.startTimer(moveLineTimeout, s.abort)
	}
}

// abort ends a connection on which not even MOVE can be said.
func (s *request) abort() {
	s.downstream.Reset()
	s.close()
}

// isSilent tells that a connection brings nothing back. The module moves clients away from slow targets long before;
// this is the protocol's limit, held for what the module leaves standing.
func (s *request) isSilent(now eventloop.Micros) bool {
	return s.state == stateEstablished && len(s.sentAt) > 0 &&
		now-max(s.lastReply, s.sentAt[0]-clientLineInterval) > silenceTimeout
}
