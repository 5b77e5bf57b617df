package proxy

import (
	"spurspread/decision"
	"spurspread/decision/answercause"
	"spurspread/decision/monotime"
	"spurspread/decision/outcome"
	"spurspread/decision/overload"
	"spurspread/decision/retry"
	"spurspread/decision/timeouts"
	"spurspread/internal/eventloop"
	"spurspread/internal/lineproto"
)

// unknownClass is the index of a request class that is not in the settings.
const unknownClass = -1

// request is a client's request and, once it is established, the stream of lines in both directions.
type request struct {
	proxy      *Proxy
	ref        eventloop.Ref // slot in requestTable, and id in the decision core
	downstream downstream
	state      requestState
	registered bool // the decision core knows or knew the request; set by transition
	timer      eventloop.Ref

	firstLine   []byte // with its line end; nil once the server has accepted the request
	open        lineproto.Open
	idReserved  bool            // open.ID is in requestTable.ids and must be released
	class       int             // index in classNames, or unknownClass
	classNames  []string        // of the settings when the request arrived
	retryPolicy retry.Policy    // of the class, when the request arrived
	deadline    monotime.Micros // latest time of the final answer, unless it is established by then

	attempt  *attempt // current or established attempt; nil for none
	attempts int      // number of attempts started

	furtherRead eventloop.Continuation // of the client

	reattachFailures int // consecutive, in stateReattaching

	establishedStream

	unansweredIndex    int32 // in requestTable.unanswered
	awaitingReplyIndex int32 // in requestTable.awaitingReply
	establishedIndex   int32 // in serverLatency.established
}

// openRequest starts a request from its first line, given without its line end (text) and with it (line). With
// rejectOnly the request is rejected. If the client is answered at once, for example because no slot is free, the
// returned request is in stateClosed.
func (p *Proxy) openRequest(client downstream, text, line []byte, rejectOnly bool) *request {
	r := &request{proxy: p, downstream: client, firstLine: line}
	if !p.requests.put(r) {
		p.stats.rejected++
		p.countUnserved("", answercause.SlotsUsed)
		client.sendFinal(lineproto.AppendBusy(nil, millisRoundedUp(p.retryAfter())))
		client.closeGracefully()
		r.transition(stateClosed)
		return r
	}
	p.requests.unanswered.add(r)
	p.updateBufferLimitsIfGrown()
	if cause, ok := r.parse(text); !ok {
		r.fail(cause)
		return r
	}
	r.admit(rejectOnly)
	return r
}

// parse parses the first line. If the line is malformed, or its id or class can't be served, it returns false and the
// cause.
func (r *request) parse(text []byte) (cause answercause.Cause, ok bool) {
	var err error
	if r.open, err = lineproto.ParseOpen(text); err != nil {
		return answercause.Malformed, false
	}
	// Clients use a new id for every connection; servers answer ERR to an id that they have seen before.
	if !r.proxy.requests.ids.Add(r.open.ID) {
		return answercause.DuplicateID, false
	}
	r.idReserved = true
	r.classNames = r.proxy.cfg.Settings.ClassNames
	r.class = indexOr(r.classNames, string(r.open.Class), unknownClass)
	if r.class == unknownClass {
		return answercause.UnknownClass, false
	}
	r.retryPolicy = r.proxy.cfg.Settings.Decision.Classes[r.class].RetryPolicy()
	return answercause.Unknown, true
}

// admit rejects the request, hands it to the decision core for placement, or starts to reattach it.
func (r *request) admit(rejectOnly bool) {
	p := r.proxy
	p.stats.accepted++
	cause, rejected := overload.RejectsRequest(overload.Arrival{
		DescriptorsShort: rejectOnly,
		ShuttingDown:     p.drain.rejectsNew(),
		Held:             p.requests.len(),
		MaxHeld:          p.cfg.Settings.Decision.MaxHeldRequests,
	})
	if rejected {
		r.rejectLocally(cause)
		return
	}
	if !r.handleToken() {
		return
	}
	if len(r.open.CurrentServer) > 0 {
		r.startReattaching()
	} else {
		r.place()
	}
}

// place hands the request to the decision core.
func (r *request) place() {
	p := r.proxy
	class := &p.cfg.Settings.Decision.Classes[r.class]
	left := timeouts.Request(r.announcedDeadline(), class.Deadline)
	r.deadline = p.loop.Now() + left
	r.transition(statePending)
	// The core normally answers earlier; the timer guarantees an answer if it ever doesn't.
	r.startTimer(left, r.decisionTimedOut)
	p.core.dispatch(r.decisionRequest())
}

// announcedDeadline returns the time that the client waits for its answer, counted from now, as its OPEN line states
// it.
func (r *request) announcedDeadline() monotime.Micros {
	return monotime.Micros(r.open.DeadlineMillis) * monotime.Millisecond
}

// decisionRequest returns the request as an event for the decision core.
func (r *request) decisionRequest() decision.Request {
	// Class indexes may differ after a reload. A class that was removed gets an index out of range, for which the core
	// applies its strictest rules.
	names := r.proxy.cfg.Settings.ClassNames
	ev := decision.Request{
		ID:          uint32(r.ref),
		TimeLeft:    r.deadline - r.proxy.loop.Now(),
		Class:       indexOr(names, r.classNames[r.class], len(names)),
		Key:         r.open.Key,
		Group:       r.open.Group,
		LoadHint:    r.open.LoadHint,
		HasLoadHint: r.open.HasLoadHint,
		Retry:       r.open.Retry,
		Reconnected: r.open.Reconnected,
	}
	if r.resumable != nil {
		ev.Resumable = true
		ev.Pinned = r.resumable.pinned
		ev.PinnedServer = r.resumable.server
	}
	return ev
}

func (r *request) startTimer(span monotime.Micros, due func()) {
	r.proxy.loop.Cancel(&r.timer)
	r.timer = r.proxy.loop.After(span, due)
}

func (r *request) decisionTimedOut() {
	r.proxy.log.Warn("request expired: no decision was made in time")
	r.expire()
}

// expire asks the decision core for the final answer at once; the core decides whether the client may retry. If the
// core does not answer, the request fails.
func (r *request) expire() {
	r.proxy.core.dispatch(decision.RequestExpired{ID: uint32(r.ref)})
	if r.state == statePending {
		r.fail(answercause.Overdue)
		r.notifyCancelled()
	}
}

// retryAfter returns the randomized retry delay for a client that the proxy itself rejects; 0 omits the delay from the
// answer.
func (p *Proxy) retryAfter() monotime.Micros {
	return p.cfg.Settings.Decision.RetryAfter(p.random.Float64())
}

// rejectLocally rejects the request without asking the decision core.
func (r *request) rejectLocally(cause answercause.Cause) { r.reject(r.proxy.retryAfter(), cause) }

// reject sends BUSY with the delay after which the client may retry, or STALE if that is due, and counts the cause of a
// BUSY. It does nothing if the request is already answered or established.
func (r *request) reject(retryAfter monotime.Micros, cause answercause.Cause) {
	if r.state.unanswered() && !r.answerStaleIfDue() {
		r.proxy.stats.rejected++
		r.proxy.countUnserved(r.className(), cause)
		r.answer(lineproto.AppendBusy(nil, millisRoundedUp(retryAfter)))
	}
}

// fail sends ERR, which means that the request failed and may have been executed, or STALE if that is due, and counts
// the cause of an ERR. It does nothing if the request is already answered or established.
func (r *request) fail(cause answercause.Cause) {
	if r.state.unanswered() && !r.answerStaleIfDue() {
		r.proxy.stats.failed++
		r.proxy.countUnserved(r.className(), cause)
		r.answer([]byte("ERR\r\n"))
	}
}

// className returns the request's class; empty if the class is unknown or the first line was not parsed.
func (r *request) className() string {
	if r.class < 0 || r.class >= len(r.classNames) {
		return ""
	}
	return r.classNames[r.class]
}

// answer sends the final answer, a line with its line end, and ends the request.
func (r *request) answer(line []byte) {
	r.downstream.sendFinal(line)
	r.finish(outcome.Cancelled)
}

// finish closes the downstream gracefully and releases the request. status is the outcome of the current attempt, if
// there is one.
func (r *request) finish(status outcome.Status) {
	if r.state == stateClosed {
		return
	}
	r.downstream.closeGracefully()
	r.release(status)
}

// close closes the downstream at once, releases the request and notifies the core that it was cancelled.
func (r *request) close() {
	if r.state == stateClosed {
		return
	}
	// For a half-closed request the core was notified when the client closed its sending side.
	notify := r.registered && r.state != stateHalfClosed
	r.downstream.Close()
	r.release(outcome.Cancelled)
	if notify {
		r.notifyCancelled()
	}
}

// release ends the request's attempt with status and frees its resources. The slot is freed only once the core has
// handled all queued events, since they may refer to the request.
func (r *request) release(status outcome.Status) {
	p := r.proxy
	r.transition(stateClosed)
	p.loop.Cancel(&r.timer)
	if r.idReserved {
		p.requests.ids.Finish(r.open.ID)
	}
	r.firstLine = nil
	r.sentAt = nil
	r.partial = lineBuffer{}
	p.requests.unanswered.remove(r)
	p.requests.awaitingReply.remove(r)
	if r.latency != nil {
		r.latency.established.remove(r)
		r.latency = nil
	}
	if r.attempt != nil {
		r.attempt.end(status)
	}
	r.releaseClaim(nil, status)
	p.requests.closed = append(p.requests.closed, r)
	if !p.core.dispatching {
		p.requests.freeClosed()
	}
}

func (r *request) notifyCancelled() {
	r.proxy.core.dispatch(decision.RequestCancelled{ID: uint32(r.ref)})
}

// millisRoundedUp converts a duration to milliseconds, rounded up.
func millisRoundedUp(span monotime.Micros) int64 {
	return int64((span + monotime.Millisecond - 1) / monotime.Millisecond)
}
