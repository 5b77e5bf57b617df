package decision

import (
	"spurspread/decision/answercause"
	"spurspread/decision/outcome"
)

const (
	// retryTokensPerRequest is the number of retries that each request adds to the retry budget.
	retryTokensPerRequest = 0.5
	// fleetRetryTokens is the maximum of the retry budgets of all balancers together, in retries. Each balancer's
	// maximum is at least minRetryTokens.
	fleetRetryTokens = 60.0
	minRetryTokens   = 2.0

	// attemptTimeoutShare is the fraction of the remaining time that an attempt gets if another attempt may follow.
	attemptTimeoutShare = 0.45
	// minAttemptTimeout is the minimum timeout of an attempt after which another may follow.
	minAttemptTimeout = 80 * ms
	// setupTimeoutFactor is the minimum timeout of such an attempt as a multiple of the present set-up latency.
	setupTimeoutFactor = 4.0
	// minSplitAttempts is the number of attempts of minAttemptTimeout that must fit into the remaining time for an
	// attempt to get only a part of it.
	minSplitAttempts = 2
)

// attemptForbidden reports whether no further attempt may be started for r at any server, and the cause if so. Attempts
// are limited by Settings.MaxAttempts and by the class's retry policy. A pinned request gets a single attempt; see
// pinnedAttemptAllowed. No attempt after the first is started while retriesSuspended.
func (b *Balancer) attemptForbidden(now Micros, r *request) (cause answercause.Cause, forbidden bool) {
	switch {
	case r.attempts >= b.settings.MaxAttempts:
		return answercause.AttemptsUsed, true
	case r.class.RetryPolicy().RetryForbidden(&r.attemptHistory, now):
		return answercause.RetryForbidden, true
	case r.pinnedTo != nil && !pinnedAttemptAllowed(now, r):
		return answercause.PinnedUnavailable, true
	case r.attempts > 0:
		return b.retriesSuspended()
	}
	return answercause.Unknown, false
}

// pinnedAttemptAllowed reports whether a pinned request may be sent to its server. It gets one attempt, while the
// server is Ready and at least minAttemptTimeout remains: an attempt that times out early would use up the client's
// resume token, while a client that is rejected can return with it.
func pinnedAttemptAllowed(now Micros, r *request) bool {
	return r.attempts == 0 && r.pinnedTo.State == Ready && r.deadline-now >= minAttemptTimeout
}

// retriesSuspended reports whether no request at all may be retried now, and the cause if so. A retry needs a token of
// the retry budget. While failures are shared by all servers, retries would only add load.
func (b *Balancer) retriesSuspended() (cause answercause.Cause, suspended bool) {
	switch {
	case b.retryTokens < 1:
		return answercause.RetryBudget, true
	case b.setupLimiter.FailuresShared():
		return answercause.FailuresShared, true
	}
	return answercause.Unknown, false
}

// maxRetryTokens returns the maximum of this balancer's retry budget, in retries: its share of fleetRetryTokens, but at
// least minRetryTokens.
func (b *Balancer) maxRetryTokens() float64 {
	return max(fleetRetryTokens*b.fleetShare, minRetryTokens)
}

// addRetryTokens adds one request's retryTokensPerRequest to the retry budget.
func (b *Balancer) addRetryTokens() {
	b.retryTokens = min(b.retryTokens+retryTokensPerRequest, b.maxRetryTokens())
}

// attemptTimeout returns the timeout of the attempt that r has just started. It is all of the remaining time if no
// other attempt can follow. Otherwise it is attemptTimeoutShare of that time, but at least minAttemptTimeout and
// setupTimeoutFactor times the present set-up latency, so that slow set-ups are not abandoned just before they succeed.
func (b *Balancer) attemptTimeout(now Micros, r *request) Micros {
	timeLeft := r.deadline - now
	if !b.anotherAttemptPossible(r, timeLeft) {
		return timeLeft
	}
	part := Micros(float64(timeLeft) * attemptTimeoutShare)
	slowSetup := Micros(setupTimeoutFactor * b.setupLimiter.SetupLatency())
	return min(max(part, minAttemptTimeout, slowSetup), timeLeft)
}

// anotherAttemptPossible reports whether r could be retried if its present attempt timed out, with timeLeft until its
// deadline.
func (b *Balancer) anotherAttemptPossible(r *request, timeLeft Micros) bool {
	return r.attempts < b.settings.MaxAttempts &&
		timeLeft >= minSplitAttempts*minAttemptTimeout &&
		r.pinnedTo == nil && r.class.Idempotency != NonIdempotent
}

// mayHaveExecuted reports whether a server may have executed a request whose attempt ended with this status.
func mayHaveExecuted(status outcome.Status) bool {
	switch status {
	case outcome.ServerFull, outcome.ConnectFailed, outcome.Inconclusive:
		return false
	default:
		return true
	}
}

// errorNeedsConfirmation reports whether an attempt ended with an error that counts against its server only once
// another server has accepted the request. An error response to an idempotent request may be caused by the request
// itself; without confirmation, one faulty client would get all servers demoted. If a second server answers with an
// error too, the request gets its final answer (answercause.ErrorConfirmed), and no server is demoted.
func errorNeedsConfirmation(r *request, status outcome.Status) bool {
	return status == outcome.ErrorResponse && !r.wasEstablished && r.class.Idempotency == Idempotent
}

// recordUnconfirmedError records a failed set-up for a request that ends with an unconfirmed error response. No server
// is demoted for it, since the request itself may be the cause. But if most requests end like this, the servers share a
// failure, and further attempts would only add load.
func (b *Balancer) recordUnconfirmedError(r *request) {
	if r.erroredServer != nil {
		b.recordSetup(outcome.ErrorResponse, 0)
		r.erroredServer = nil
	}
}

// confirmError counts an earlier error response against the server that gave it, because another server has accepted
// the request.
func (b *Balancer) confirmError(now Micros, r *request) {
	if r.erroredServer != nil && r.erroredServer != r.server {
		b.recordSetup(outcome.ErrorResponse, 0)
		b.updateHealth(now, r.erroredServer, outcome.ErrorResponse, false)
	}
	r.erroredServer = nil
}
