package decision

import "spurspread/decision/answercause"

const (
	// answerMargin is how long before the request's time is up its final answer leaves: time to reach the client.
	answerMargin = 12 * ms
	// holdInterval is how long a request is held before it is placed again.
	holdInterval = 40 * ms
	// minRetryAfter is the least time that a rejected client waits before it retries, and retryAfterSpread what is
	// added at random, so that rejected clients do not come back together.
	minRetryAfter    = 200 * ms
	retryAfterSpread = 400 * ms
)

// placeRequest decides what happens to a request that waits: it is sent to a server, held until one has capacity, or
// given its final answer. That is given where its time is up, where no further attempt is allowed (attemptForbidden),
// and where the set-up is rejected (rejectSetup).
func (b *Balancer) placeRequest(now Micros, r *request) {
	timeLeft := r.deadline - now
	if timeLeft <= 0 {
		b.answerFinally(r, b.timeUpCause(now, r))
		return
	}
	if cause, forbidden := b.attemptForbidden(now, r); forbidden {
		b.answerFinally(r, cause)
		return
	}
	var s *server
	if b.listUsable(now) && b.setupAllowed() {
		s = b.pickServer(now, r)
	}
	if s == nil {
		b.holdRequest(r, timeLeft)
		return
	}
	if b.rejectSetup() {
		b.answerFinally(r, answercause.Shed)
		return
	}
	b.startAttempt(now, r, s)
}

// setupAllowed reports whether one more connection may be set up now. It compares the attempts under way at all
// servers with the concurrency limit: more at once would take so long that they are retried while they are still worked
// on. There is no limit in passthrough mode, where a set-up costs nothing.
func (b *Balancer) setupAllowed() bool {
	if b.settings.Passthrough {
		return true
	}
	return b.setups.Allows(b.setupsUnderWay)
}

// rejectSetup decides whether a set-up is not started although a server was found, and if so counts it as shed. The
// probability, 0 to 1, grows with the part of recent set-ups that failed: without it, retrying clients keep an
// overload alive that they cannot get past.
func (b *Balancer) rejectSetup() bool {
	if b.rng.Float64() >= b.setups.ShedProbability(b.fleetShare) {
		return false
	}
	b.setups.RecordShed()
	return true
}

// holdRequest places the request again after about holdInterval, or when its time is up.
func (b *Balancer) holdRequest(r *request, timeLeft Micros) {
	delay := min(b.jitterAround(holdInterval), timeLeft)
	b.setTimer(delay, holdTimer.forRequest(r.id))
}

// startAttempt sends the request to s.
func (b *Balancer) startAttempt(now Micros, r *request, s *server) {
	if r.attempts > 0 {
		b.retryTokens--
	}
	b.spendConnectionBudget(now, s, r)
	r.assign(now, s)
	start := StartAttempt{ID: r.id, Timeout: b.attemptTimeout(now, r), Server: s.Server}
	if writeBy, bounded := r.class.RetryPolicy().RetryDeadline(&r.attemptHistory); bounded {
		start.WriteTimeout = writeBy - now
	}
	b.emit(start)
}

// timeUpCause returns why a request is not established when its time is up: what it is held for now, or an attempt
// that took too long.
func (b *Balancer) timeUpCause(now Micros, r *request) answercause.Cause {
	if r.state != requestWaiting || r.attempts > 0 {
		return answercause.AttemptTimedOut
	}
	if b.settings.PollDiscovery && !b.polling.ListUsable(now) {
		return answercause.ListUnconfirmed
	}
	if !b.setupAllowed() {
		return answercause.SetupLimit
	}
	for _, s := range b.servers {
		if r.mayBeServedBy(s, r.class.RetryPolicy()) {
			return answercause.NoCapacity
		}
	}
	return answercause.NoReadyServer
}

// answerFinally gives the request its final answer, with its cause: Reject where a retry by the client repeats no
// effect, else Fail. That depends on the class's idempotency and on whether any attempt may have executed, or is still
// under way.
func (b *Balancer) answerFinally(r *request, cause answercause.Cause) {
	uncertain := r.attemptHistory.MayHaveExecuted() || r.server != nil
	b.recordUnconfirmedError(r)
	b.endRequest(r)
	if r.class.RetryPolicy().ClientRetrySafe(uncertain) {
		b.emit(Reject{ID: r.id, RetryAfter: b.retryAfter(), Cause: cause})
	} else {
		b.emit(Fail{ID: r.id, Cause: cause})
	}
}

// retryAfter returns how long a rejected client is to wait: see Settings.RetryAfter.
func (b *Balancer) retryAfter() Micros {
	if !b.settings.AllowRetryAfter {
		return 0
	}
	return b.settings.RetryAfter(b.rng.Float64())
}

// RetryAfter returns how long a rejected client is to wait, in microseconds: minRetryAfter and the part variate, 0 to 1
// at random, of retryAfterSpread, at most MaxRetryAfter; 0, which states nothing, unless AllowRetryAfter. The caller of
// a Balancer uses it for requests that it rejects itself.
func (s *Settings) RetryAfter(variate float64) Micros {
	if !s.AllowRetryAfter {
		return 0
	}
	return min(minRetryAfter+Micros(variate*float64(retryAfterSpread)), s.MaxRetryAfter)
}
