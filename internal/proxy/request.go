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

// unknownClass is the index of a request class that the settings don't have.
const unknownClass = -1

// request is a client's request and, once it is established, its stream of lines.
type request struct {
	proxy      *Proxy
	ref        eventloop.Ref // its slot, and its id in the decision core
	downstream downstream
	state      requestState
	coreKnows  bool // the decision core knows it, or did until it was over; set by transition
	timer      eventloop.Ref

	firstLine   []byte // with its line end, until the server has accepted it
	open        lineproto.Open
	idTaken     bool            // its id is among the known ones
	class       int             // index in classNames
	classNames  []string        // as they were when it was accepted
	retryPolicy retry.Policy    // of its class, as it was then
	deadline    monotime.Micros // when the client gives up

	attempt  *attempt // under way, or the established one
	attempts int      // started so far

	reattachFailures int // in a row, while it reattaches

	established

	unansweredIndex    int32 // in requestTable.unanswered
	awaitingReplyIndex int32 // in requestTable.awaitingReply
	establishedIndex   int32 // in serverLatency.established
}

// openRequest begins a request with its first line, which text holds without its end and line with it. rejectOnly has
// the client rejected. The request is over if the slots are used up.
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
	p.fitBuffersToGrowth()
	if problem, ok := r.parse(text); !ok {
		r.fail(problem)
		return r
	}
	r.admit(rejectOnly)
	return r
}

// parse reads the first line. One that is malformed, or whose id or class can't be served, is a problem.
func (r *request) parse(text []byte) (problem answercause.Cause, ok bool) {
	var err error
	if r.open, err = lineproto.ParseOpen(text); err != nil {
		return answercause.Malformed, false
	}
	// The id is new for every connection; a server that sees one again answers ERR, whoever used it before.
	if !r.proxy.requests.ids.Add(r.open.ID) {
		return answercause.DuplicateID, false
	}
	r.idTaken = true
	r.classNames = r.proxy.cfg.Settings.ClassNames
	r.class = indexOr(r.classNames, string(r.open.Class), unknownClass)
	if r.class == unknownClass {
		return answercause.UnknownClass, false
	}
	r.retryPolicy = r.proxy.cfg.Settings.Decision.Classes[r.class].RetryPolicy()
	return answercause.Unknown, true
}

// admit rejects the request, or has it placed or reattached.
func (r *request) admit(rejectOnly bool) {
	p := r.proxy
	p.stats.accepted++
	cause, rejected := overload.RejectsRequest(overload.Arrival{
		AcceptedShort: rejectOnly,
		ShuttingDown:  p.drain.rejectsNew(),
		Held:          p.requests.len(),
		MaxHeld:       p.cfg.Settings.Decision.MaxHeldRequests,
	})
	if rejected {
		r.rejectHere(cause)
		return
	}
	if !r.presentToken() {
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
	// The core answers before; should it ever not, the client must still get its answer.
	r.startTimer(left, r.coreOverdue)
	p.core.dispatch(r.event())
}

// announcedDeadline is how long the client says it waits.
func (r *request) announcedDeadline() monotime.Micros {
	return monotime.Micros(r.open.DeadlineMillis) * monotime.Millisecond
}

// event is the request as the decision core sees it.
func (r *request) event() decision.Request {
	// Reloaded settings may number the classes otherwise; a class that they dropped has the strictest rules.
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

func (r *request) coreOverdue() {
	r.proxy.log.Warn("request expired: no decision was made in time")
	r.expire()
}

// expire has the request answered at once. What the answer may promise is for the decision core to say.
func (r *request) expire() {
	r.proxy.core.dispatch(decision.RequestExpired{ID: uint32(r.ref)})
	if r.state == statePending {
		r.fail(answercause.Overdue)
		r.notifyCancelled()
	}
}

// retryAfter draws how long a client waits that the proxy itself rejects; 0 states nothing.
func (p *Proxy) retryAfter() monotime.Micros {
	return p.cfg.Settings.Decision.RetryAfter(p.random.Float64())
}

// rejectHere rejects the request without the decision core.
func (r *request) rejectHere(cause answercause.Cause) { r.reject(r.proxy.retryAfter(), cause) }

// reject answers that the client may try again after a span, for a cause that is counted.
func (r *request) reject(retryAfter monotime.Micros, cause answercause.Cause) {
	if r.state.unanswered() && !r.answeredStale() {
		r.proxy.stats.rejected++
		r.proxy.countUnserved(r.className(), cause)
		r.answer(lineproto.AppendBusy(nil, millisRoundedUp(retryAfter)))
	}
}

// fail answers that the request failed, and may have been executed, for a cause that is counted.
func (r *request) fail(cause answercause.Cause) {
	if r.state.unanswered() && !r.answeredStale() {
		r.proxy.stats.failed++
		r.proxy.countUnserved(r.className(), cause)
		r.answer([]byte("ERR\r\n"))
	}
}

// className is the request's class; empty for one that the settings don't have, or that was not read.
func (r *request) className() string {
	if r.class < 0 || r.class >= len(r.classNames) {
		return ""
	}
	return r.classNames[r.class]
}

// answer gives the final answer, a line with its end.
func (r *request) answer(line []byte) {
	r.downstream.sendFinal(line)
	r.finish(outcome.Cancelled)
}

// finish ends both sides gracefully. status is the outcome of an attempt that is still there.
func (r *request) finish(status outcome.Status) {
	if r.state == stateClosed {
		return
	}
	r.downstream.closeGracefully()
	r.release(status)
}

// close ends a request whose client is gone.
func (r *request) close() {
	if r.state == stateClosed {
		return
	}
	// Of a half-closed one the core was notified when its client ended its side.
	notify := r.coreKnows && r.state != stateHalfClosed
	r.downstream.Close()
	r.release(outcome.Cancelled)
	if notify {
		r.notifyCancelled()
	}
}

// release frees what the request has. Its slot is freed once the core has handled all events that name it.
func (r *request) release(status outcome.Status) {
	p := r.proxy
	r.transition(stateClosed)
	p.loop.Cancel(&r.timer)
	if r.idTaken {
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

// millisRoundedUp is a span in whole milliseconds, no shorter than the span.
func millisRoundedUp(span monotime.Micros) int64 {
	return int64((span + monotime.Millisecond - 1) / monotime.Millisecond)
}
