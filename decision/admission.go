package decision

import "spurspread/decision/answercause"

const (
	// answerMargin is the time reserved before a request's deadline for its final answer to reach the client.
	answerMargin = 12 * ms
	// holdInterval is the mean time after which a held request is placed again.
	holdInterval = 40 * ms
	// minRetryAfter is the minimum time that a rejected client waits before it retries. A random part of
	// retryAfterSpread is added, so that rejected clients do not return at the same moment.
	minRetryAfter    = 200 * ms
	retryAfterSpread = 400 * ms
)

// placeRequest sends a waiting request to a server, holds it until a server has capacity, or gives it its final answer.
// It is answered if its deadline has passed, if no further attempt is allowed (attemptForbidden), or if its set-up is
// shed (shedSetup).
func (b *Balancer) placeRequest(now Micros, r *request) {
	timeLeft := r.deadline - now
	if timeLeft <= 0 {
		b.sendFinalAnswer(r, b.deadlineCause(now, r))
		return
	}
	if cause, forbidden := b.attemptForbidden(now, r); forbidden {
		b.sendFinalAnswer(r, cause)
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
	if b.shedSetup() {
		b.sendFinalAnswer(r, answercause.Shed)
		return
	}
	b.startAttempt(now, r, s)
}

// setupAllowed reports whether the concurrency limit allows one more set-up, given the attempts under way at all
// servers. Beyond the limit, set-ups would take so long that clients retry them while servers still work on them. There
// is no limit in passthrough mode, where set-ups cost nothing.
func (b *Balancer) setupAllowed() bool {
	if b.settings.Passthrough {
		return true
	}
	return b.setupLimiter.Allows(b.setupsUnderWay)
}

// shedSetup reports whether a set-up is rejected although a server was found for it, and counts it as shed if so. The
// decision is random, with a probability that grows with the fraction of recent set-ups that failed: without shedding,
// retrying clients would keep overloaded servers from recovering.
func (b *Balancer) shedSetup() bool {
	if b.rng.Float64() >= b.setupLimiter.ShedProbability(b.fleetShare) {
		return false
	}
	b.setupLimiter.RecordShed()
	return true
}

// holdRequest schedules another placement of the request after about holdInterval, or at its deadline if that is
// sooner.
func (b *Balancer) holdRequest(r *request, timeLeft Micros) {
	delay := min(b.jitterAround(holdInterval), timeLeft)
	b.setTimer(delay, holdTimer.forRequest(r.id))
}

// startAttempt sends the request to s and charges the attempt to the retry and connection budgets.
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

// deadlineCause returns why a request gets its final answer, at its deadline or on RequestExpired, before it has a
// connection: AttemptTimedOut if any attempt was started, otherwise the reason for which it is held.
func (b *Balancer) deadlineCause(now Micros, r *request) answercause.Cause {
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

// sendFinalAnswer ends the request with a Reject if the client may safely retry it, otherwise with a Fail. Whether a
// retry is safe depends on the class's idempotency and on whether an attempt may have been executed or is still under
// way.
func (b *Balancer) sendFinalAnswer(r *request, cause answercause.Cause) {
	uncertain := r.attemptHistory.MayHaveExecuted() || r.server != nil
	b.recordUnconfirmedError(r)
	b.endRequest(r)
	if r.class.RetryPolicy().ClientRetrySafe(uncertain) {
		b.emit(Reject{ID: r.id, RetryAfter: b.retryAfter(), Cause: cause})
	} else {
		b.emit(Fail{ID: r.id, Cause: cause})
	}
}

// retryAfter returns how long a rejected client should wait, with a random part; see Settings.RetryAfter. It draws no
// random number while AllowRetryAfter is off.
func (b *Balancer) retryAfter() Micros {
	if !b.settings.AllowRetryAfter {
		return 0
	}
	return b.settings.RetryAfter(b.rng.Float64())
}

// RetryAfter returns how long a rejected client should wait: minRetryAfter plus the given fraction of retryAfterSpread,
// at most MaxRetryAfter. variate is a random number from 0 to 1. The result is 0, for unspecified, unless
// AllowRetryAfter is set. The caller of a Balancer uses it for requests that it rejects itself.
func (s *Settings) RetryAfter(variate float64) Micros {
	if !s.AllowRetryAfter {
		return 0
	}
	return min(minRetryAfter+Micros(variate*float64(retryAfterSpread)), s.MaxRetryAfter)
}
