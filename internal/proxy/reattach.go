package proxy

import (
	"spurspread/decision/answercause"
	"spurspread/decision/attemptoutcome"
	"spurspread/decision/outcome"
	"spurspread/decision/timeouts"
)

// startReattaching sends the request to the server that the client named, to which an earlier process of this
// deployment had connected it. The decision core is notified once the request is established.
func (r *request) startReattaching() {
	left := timeouts.Reattach(r.announcedDeadline())
	r.deadline = r.proxy.loop.Now() + left
	r.transition(stateReattaching)
	r.startTimer(left, func() { r.fail(answercause.ReattachFailed) })
	r.reattach()
}

// reattach starts an attempt at the server that the client named, if that server is listed and no attempt is in
// progress.
func (r *request) reattach() {
	if r.state != stateReattaching || r.attempt != nil {
		return
	}
	server := r.proxy.servers.list.ByID(r.open.CurrentServer)
	if server == nil {
		return
	}
	r.readClient() // the client may have closed its connection or sent data too early, not yet read
	if r.state != stateReattaching {
		return
	}
	left := timeouts.ReattachAttempt(r.deadline - r.proxy.loop.Now())
	r.attempts = 1 // of any number of reattach attempts, the core counts only the one that succeeds
	r.attempt = newAttempt(r, server, attemptLimits{number: 0, timeout: left})
}

// reattachFailed handles a failed reattach attempt: it schedules another or fails the request.
func (r *request) reattachFailed(status outcome.Status) {
	if attemptoutcome.RetriesReattach(status) {
		r.reattachFailures++
		r.proxy.loop.After(timeouts.ReattachRetry(r.reattachFailures, r.proxy.random.Float64()), r.reattach)
		return
	}
	r.fail(answercause.ReattachFailed)
}

// answerReattaching sends the final answer of a reattaching request at once: BUSY if its class allows the client to
// retry, else ERR. It does not involve the decision core, which does not know the request.
func (r *request) answerReattaching() {
	mayHaveExecuted := r.attempt != nil && r.attempt.written
	if r.retryPolicy.ClientRetrySafe(mayHaveExecuted) {
		r.rejectLocally(answercause.ShuttingDown)
	} else {
		r.fail(answercause.ShuttingDown)
	}
}
