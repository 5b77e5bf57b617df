package decision

import (
	"spurspread/decision/answercause"
	"spurspread/decision/outcome"
)

const (
	// retryTokensPerRequest is what each request adds to the retry budget, in retries.
	retryTokensPerRequest = 0.5
	// fleetRetryTokens bounds the retry budgets of all balancers together, in retries. Each has at least
	// minRetryTokens.
	fleetRetryTokens = 60.0
	minRetryTokens   = 2.0

	// attemptTimeoutShare is the part of the time left that one attempt gets while another may follow.
	attemptTimeoutShare = 0.45
	// minAttemptTimeout is the least time-out of an attempt after which another may follow.
	minAttemptTimeout = 80 * ms
	// setupTimeoutFactor is how many times the present set-up latency an attempt gets at least.
	setupTimeoutFactor = 4.0
	// minSplitAttempts is how many attempts of minAttemptTimeout must fit into the time left for it to be split.
	minSplitAttempts = 2
)

// attemptForbidden reports whether no further attempt may be started for r, at any server, and why. An attempt needs
// one left under Settings.MaxAttempts and the consent of the class's retry policy; a pinned request gets one attempt
// only, and any but the first needs what retryForbidden says.
func (b *Balancer) attemptForbidden(now Micros, r *request) (cause answercause.Cause, forbidden bool) {
	switch {
	case r.attempts >= b.settings.MaxAttempts:
		return answercause.AttemptsUsed, true
	case r.class.RetryPolicy().RetryForbidden(&r.attemptHistory, now):
		return answercause.RetryForbidden, true
	case r.pinnedTo != nil && !pinnedAttemptAllowed(now, r):
		return answercause.PinnedUnavailable, true
	case r.attempts > 0:
		return b.retryForbidden()
	}
	return answercause.Unknown, false
}

// pinnedAttemptAllowed reports whether a pinned request may be sent to its server: once, if that is Ready and at
// least minAttemptTimeout is left. An attempt that ends early would use up the client's resume token; a client that
// is rejected can come again with it.
func pinnedAttemptAllowed(now Micros, r *request) bool {
	return r.attempts == 0 && r.pinnedTo.State == Ready && r.deadline-now >= minAttemptTimeout
}

// retryForbidden reports whether the fleet's condition forbids a retry, and why. A retry needs one token of the retry
// budget, and failures that are not shared by all servers: retrying those only adds load.
func (b *Balancer) retryForbidden() (cause answercause.Cause, forbidden bool) {
	switch {
	case b.retryTokens < 1:
		return answercause.RetryBudget, true
	case b.setups.FailuresShared():
		return answercause.FailuresShared, true
	}
	return answercause.Unknown, false
}

// maxRetryTokens is the bound of this balancer's retry budget, in retries: its share of the fleet's.
func (b *Balancer) maxRetryTokens() float64 {
	return max(fleetRetryTokens*b.fleetShare, minRetryTokens)
}

// earnRetryTokens adds to the retry budget what one request earns.
func (b *Balancer) earnRetryTokens() {
	b.retryTokens = min(b.retryTokens+retryTokensPerRequest, b.maxRetryTokens())
}

// attemptTimeout returns the time-out of the attempt that r has just started. It is the time left, or where another
// attempt may follow attemptTimeoutShare of it, but at least minAttemptTimeout and setupTimeoutFactor times the
// present set-up latency: no attempt is given up that would succeed.
func (b *Balancer) attemptTimeout(now Micros, r *request) Micros {
	timeLeft := r.deadline - now
	if !b.anotherAttemptPossible(r, timeLeft) {
		return timeLeft
	}
	part := Micros(float64(timeLeft) * attemptTimeoutShare)
	slowSetup := Micros(setupTimeoutFactor * b.setups.SetupLatency())
	return min(max(part, minAttemptTimeout, slowSetup), timeLeft)
}

// anotherAttemptPossible reports whether r could be retried after its present attempt timed out.
func (b *Balancer) anotherAttemptPossible(r *request, timeLeft Micros) bool {
	return r.attempts < b.settings.MaxAttempts &&
		timeLeft >= minSplitAttempts*minAttemptTimeout &&
		r.pinnedTo == nil && r.class.Idempotency != NonIdempotent
}

// mayHaveExecuted reports whether an attempt that ended like this may have had its effect at the server.
func mayHaveExecuted(status outcome.Status) bool {
	switch status {
	case outcome.ServerFull, outcome.ConnectFailed, outcome.Inconclusive:
		return false
	default:
		return true
	}
}

// errorNeedsConfirmation reports whether an attempt's end says nothing of its server until another server has had the
// request: an error response to an idempotent request may be the request's own fault, and one faulty client would
// otherwise demote all servers.
func errorNeedsConfirmation(r *request, status outcome.Status) bool {
	return status == outcome.ErrorResponse && !r.wasEstablished && r.class.Idempotency == Idempotent
}

// recordUnconfirmedError counts one failed set-up for a request that a server answered with an error and that ends
// without another server having accepted it. It counts against no server, as it may be the request's own fault, but
// where most requests end like this the fault is shared, and further attempts would only add load.
func (b *Balancer) recordUnconfirmedError(r *request) {
	if r.erroredServer != nil {
		b.recordSetup(outcome.ErrorResponse, 0)
		r.erroredServer = nil
	}
}

// confirmError counts an earlier error response against the server that gave it, now that another has accepted the
// request.
func (b *Balancer) confirmError(now Micros, r *request) {
	if r.erroredServer != nil && r.erroredServer != r.server {
		b.recordSetup(outcome.ErrorResponse, 0)
		b.updateHealth(now, r.erroredServer, outcome.ErrorResponse, false)
	}
	r.erroredServer = nil
}
