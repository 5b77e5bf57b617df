package proxy

import (
	"spurspread/decision/answercause"
	"spurspread/decision/attemptoutcome"
	"spurspread/decision/outcome"
	"spurspread/decision/timeouts"
)

// startReattaching has the request go to the server that its client names, which an earlier process of this deployment
// connected it to. The decision core knows it once it is established.
func (r *request) startReattaching() {
	left := timeouts.Reattach(r.announcedDeadline())
	r.deadline = r.proxy.loop.Now() + left
	r.transition(stateReattaching)
	r.startTimer(left, func() { r.fail(answercause.ReattachFailed) })
	r.reattach()
}

// reattach starts an attempt at the server that the client names, if that is listed.
func (r *request) reattach() {
	if r.state != stateReattaching || r.attempt != nil {
		return
	}
	server := r.proxy.servers.list.ByID(r.open.CurrentServer)
	if server == nil {
		return
	}
	r.readClient() // its client may have left meanwhile, its end not read yet, or may not wait for its answer
	if r.state != stateReattaching {
		return
	}
	left := timeouts.ReattachAttempt(r.deadline - r.proxy.loop.Now())
	r.attempts = 1
	r.attempt = newAttempt(r, server, attemptLimits{number: 0, timeout: left})
}

// reattachFailed handles the end of such an attempt.
func (r *request) reattachFailed(status outcome.Status) {
	if attemptoutcome.RetriesReattach(status) {
		r.reattachFailures++
		r.proxy.loop.After(timeouts.ReattachRetry(r.reattachFailures, r.proxy.random.Float64()), r.reattach)
		return
	}
	r.fail(answercause.ReattachFailed)
}

// rejectReattaching answers a request at once that waits for its server. The decision core does not know it.
func (r *request) rejectReattaching() {
	mayHaveExecuted := r.attempt != nil && r.attempt.written
	if r.retryPolicy.ClientRetrySafe(mayHaveExecuted) {
		r.rejectHere(answercause.ShuttingDown)
	} else {
		r.fail(answercause.ShuttingDown)
	}
}
