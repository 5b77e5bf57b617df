package decision

import (
	"spurspread/decision/backoff"
	"spurspread/decision/concurrency"
	"spurspread/decision/latency"
	"spurspread/decision/outcome"
	"spurspread/decision/slowstart"
)

// healthState is a server's health as this balancer sees it, from its own attempts, probes and metrics.
//
//	Unknown    newly listed or restarted; selected like Connected
//	Connected  an attempt or a probe has succeeded, or a slow server has stopped reporting its latency
//	Pending    being validated (recoverServer); selected after the first two for pendingTimeout, then like them
//	Unhealthy  demoted for failures (updateHealth) or slowness (demoteForSlowness); selected last
//
// An established attempt, or a latency report that is not above latency.SlowThreshold, makes a server Connected. The
// function updateHealth decides which outcomes make it Unhealthy, and which do not: a full server, a single reset, and
// failures shared by all servers. A Pending server that nothing validates ranks with the healthy ones after
// pendingTimeout.
type healthState uint8

// The health states.
const (
	healthConnected healthState = iota
	healthUnknown
	healthPending
	healthUnhealthy

	healthStateCount = iota
)

const (
	// pendingTimeout is the time for which a Pending server ranks after the healthy ones.
	pendingTimeout = 10 * sec
	// minValidationDelay is the mean delay from a server's first demotion to its validation. The delay doubles with
	// each consecutive demotion, at most maxValidationDoublings times and up to maxValidationDelay.
	minValidationDelay     = 1 * sec
	maxValidationDelay     = 6 * sec
	maxValidationDoublings = 8
	// demotionResetAfter is the time for which a server must be Connected for its next demotion to count as the first
	// again.
	demotionResetAfter = 10 * sec
	// maxConcurrentProbes limits the probes under way to all servers together.
	maxConcurrentProbes = 4
	// maxSlowUnhealthyShare is the fraction of a zone's Ready servers that may be Unhealthy after one is demoted for
	// slowness.
	maxSlowUnhealthyShare = 0.5
	// maxValidationUtilization is the reported utilization above which a probe does not validate a server.
	maxValidationUtilization = 0.85

	// serverFullPause is the mean time for which a server gets no new attempt after it rejected one because it was
	// full, resetPause the same after it reset two connections within resetPairWindow.
	serverFullPause = 300 * ms
	resetPause      = 2 * sec
	// resetPairWindow is the time within which two resets are attributed to the server rather than to the network.
	resetPairWindow = 1 * sec
)

// Health ranks of servers in a selection, best first.
const (
	rankHealthy = iota
	rankPending
	rankUnhealthy
	healthRankCount
)

// healthRank returns the rank of a server's health state. A server is selected only if no server of a better rank can
// receive the request.
func healthRank(now Micros, s *server) int {
	switch s.health {
	case healthUnhealthy:
		return rankUnhealthy
	case healthPending:
		if now-s.enteredAt[healthPending] < pendingTimeout {
			return rankPending
		}
	}
	return rankHealthy
}

// setHealth enters state h, also if the server is in it already.
func (s *server) setHealth(now Micros, h healthState) {
	s.health = h
	s.enteredAt[h] = now
}

// markConnected makes the server Connected, because an attempt or a validation succeeded, it is no longer slow, or it
// has a connection from before this balancer's start.
func (b *Balancer) markConnected(now Micros, s *server) {
	s.demotedForFailure = false
	if s.health != healthConnected {
		s.setHealth(now, healthConnected)
	}
}

// updateHealth updates a server's health by the outcome of an attempt or a connection:
//
//   - An attempt that ends with OK, without having been established, makes the server Connected.
//   - A failed connect demotes it.
//   - An error response demotes it, unless failures are shared by all servers.
//   - A timeout demotes it for slowness, unless failures are shared by all servers.
//   - A second reset within resetPairWindow demotes and pauses it: an overloaded server drops connections, and one that
//     has died resets all of them.
//   - A rejection because the server is full only pauses it.
func (b *Balancer) updateHealth(now Micros, s *server, status outcome.Status, wasEstablished bool) {
	switch status {
	case outcome.OK:
		if !wasEstablished {
			b.markConnected(now, s)
		}
	case outcome.ServerFull:
		s.pauseUntil(now + b.jitterAround(serverFullPause))
	case outcome.Reset:
		if now-s.lastResetAt < resetPairWindow {
			b.demoteForFailure(now, s)
			s.pauseUntil(now + b.jitterAround(resetPause))
		}
		s.lastResetAt = now
	case outcome.ConnectFailed:
		b.demoteForFailure(now, s)
	case outcome.ErrorResponse:
		if !b.setupLimiter.FailuresShared() {
			b.demoteForFailure(now, s)
		}
	case outcome.TimedOut:
		if !b.setupLimiter.FailuresShared() {
			b.demoteForSlowness(now, s)
		}
	}
}

// recordSetup reports the outcome and duration of a set-up to the concurrency limiter.
func (b *Balancer) recordSetup(status outcome.Status, duration Micros) {
	b.setupLimiter.Record(setupOutcome(status), float64(duration))
}

// setupOutcome converts an attempt's status for the concurrency limiter. OK, ErrorResponse and TimedOut show how
// set-ups in general proceed; every other status is Inconclusive.
func setupOutcome(status outcome.Status) concurrency.Outcome {
	switch status {
	case outcome.OK:
		return concurrency.Established
	case outcome.ErrorResponse:
		return concurrency.Failed
	case outcome.TimedOut:
		return concurrency.TimedOut
	default:
		return concurrency.Inconclusive
	}
}

// demoteForFailure makes a server Unhealthy because of a failure, unless it is Unhealthy already.
func (b *Balancer) demoteForFailure(now Micros, s *server) {
	if s.health != healthUnhealthy {
		b.demote(now, s, true)
	}
}

// demoteForSlowness makes a server Unhealthy because it is slow, unless it is Unhealthy already or slowness is shared
// in its zone.
func (b *Balancer) demoteForSlowness(now Micros, s *server) {
	if s.health != healthUnhealthy && !b.slownessShared(s) {
		b.demote(now, s, false)
	}
}

// slownessShared reports whether the demotion of s would leave more than maxSlowUnhealthyShare of its zone's Ready
// servers Unhealthy. Their slowness then probably has a common cause, such as a store, a link or overload, and demoting
// all of them would only shift the load.
func (b *Balancer) slownessShared(s *server) bool {
	ready, unhealthy := 0, 0
	for _, other := range b.servers {
		if other.State != Ready || other.Zone != s.Zone {
			continue
		}
		ready++
		if other.health == healthUnhealthy {
			unhealthy++
		}
	}
	return float64(unhealthy+1) > maxSlowUnhealthyShare*float64(ready)
}

// demote makes a server Unhealthy, for a failure or (forFailure false) for slowness, and schedules its validation. The
// count of consecutive demotions starts over if the server was Connected for demotionResetAfter.
func (b *Balancer) demote(now Micros, s *server, forFailure bool) {
	if s.health == healthConnected && now-s.enteredAt[healthConnected] > demotionResetAfter {
		s.consecutiveDemotions = 0
	}
	s.setHealth(now, healthUnhealthy)
	s.demotedForFailure = forFailure
	b.updateFleetSize(now)
	s.validateAt = now + b.jitterAround(validationDelay(s.consecutiveDemotions))
	s.consecutiveDemotions++
}

// validationDelay returns the mean delay from a demotion to the validation, given the number of consecutive demotions
// before it.
func validationDelay(consecutiveDemotions int) Micros {
	return backoff.Exponential(minValidationDelay, maxValidationDelay, consecutiveDemotions, maxValidationDoublings)
}

// recoverServer starts the return of an Unhealthy server whose validation delay is over. A server that was demoted for
// a failure, or that has no connections, must be validated. A slow one with connections is Connected again once its
// last latency report has expired: if it were still slow, the connections would report it.
func (b *Balancer) recoverServer(now Micros, s *server) {
	if s.State != Ready || s.health != healthUnhealthy || now < s.validateAt {
		return
	}
	if s.demotedForFailure || len(s.connections) == 0 {
		b.validateServer(now, s)
	} else if !s.latency.DelayKnown(now) {
		b.markConnected(now, s)
	}
}

// validateServer makes an Unhealthy server Pending and probes it. If Settings.AllowProbes is not set, the next request
// that it gets validates it instead. The server stays Unhealthy until a later tick if it is being probed already, or if
// maxConcurrentProbes are under way.
func (b *Balancer) validateServer(now Micros, s *server) {
	if b.settings.AllowProbes {
		if b.probesUnderWay >= maxConcurrentProbes || s.probing {
			return
		}
		b.probeServer(s)
	}
	s.setHealth(now, healthPending)
}

// probeServer emits a probe, which is under way until its ProbeResult.
func (b *Balancer) probeServer(s *server) {
	s.probing = true
	b.probesUnderWay++
	b.emit(ProbeServer{Server: s.Server})
}

// onProbeResult applies the load report of a probe and, for a Pending server, ends its validation.
func (b *Balancer) onProbeResult(now Micros, ev ProbeResult) {
	s := b.serversByID[ev.Server]
	if s == nil || !s.probing {
		return
	}
	s.probing = false
	b.probesUnderWay--
	utilization, reported := b.reportedUtilization(ev.LoadReport)
	if reported {
		s.load.ApplyReport(now, &b.loadModel, b.warmupFactor(now, s), utilization)
	}
	if s.health == healthPending {
		b.endValidation(now, s, ev.Status, utilization)
	}
}

// endValidation makes a Pending server Connected if its probe succeeded and reported a utilization of at most
// maxValidationUtilization, or none (utilization 0); otherwise it demotes the server. A probe that was never sent is
// inconclusive: it is repeated after about minValidationDelay and does not count as a demotion.
func (b *Balancer) endValidation(now Micros, s *server, status outcome.Status, utilization float64) {
	switch {
	case status == outcome.Inconclusive:
		s.setHealth(now, healthUnhealthy)
		s.validateAt = now + b.jitterAround(minValidationDelay)
	case status == outcome.OK && utilization <= maxValidationUtilization:
		b.markConnected(now, s)
	default:
		b.demoteForFailure(now, s)
	}
}

// onMessageLatencyMetric updates the latency estimate of a server. A server that is slow is demoted, and the tokens of
// all servers are capped at a burst, since the others are about to get its load. If its latency also exceeds the move
// threshold (latency.MoveThreshold), it is paused and some of its connections move. A report that the server is not
// slow makes it Connected.
func (b *Balancer) onMessageLatencyMetric(now Micros, ev ConnectionMetric) {
	s := b.serversByID[ev.Server]
	if s == nil {
		return
	}
	objective := float64(b.shortestMessageObjective())
	if !s.latency.ObserveDelay(now, ev.Value*float64(ms), objective, s.connectionCount()) {
		return
	}
	if !s.latency.MeasuredSlow() {
		if s.health != healthConnected {
			b.markConnected(now, s)
		}
		return
	}
	share := max(b.fleetShare, slowstart.MinFleetShare)
	for _, other := range b.servers {
		other.budget.CapTokens(share)
	}
	b.demoteForSlowness(now, s)
	if s.latency.AboveMoveThreshold(now) {
		s.pauseUntil(now + latency.ReportLifetime)
		b.moveFromSlowServer(now, s)
	}
}
