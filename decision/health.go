package decision

import (
	"spurspread/decision/backoff"
	"spurspread/decision/concurrency"
	"spurspread/decision/latency"
	"spurspread/decision/outcome"
	"spurspread/decision/slowstart"
)

// healthState is what a balancer knows of a server's health, from its own attempts, probes and metrics.
//
//	Unknown    newly listed or restarted; selected like Connected
//	Connected  an attempt or a probe has succeeded, or a slow server reports no latency any more
//	Pending    being validated (recoverServer); selected after the first two for pendingTimeout, then like them
//	Unhealthy  demoted for failures (updateHealth) or slowness (demoteForSlowness); selected last
//
// Any established attempt, and any latency report that is in time, makes a state Connected. Which outcomes make it
// Unhealthy, and which do not (a full server, a first reset, failures that all servers share), is updateHealth's rule.
// Where nothing validates a Pending server, it ranks with the healthy ones after pendingTimeout all the same.
type healthState uint8

// The four states.
const (
	healthConnected healthState = iota
	healthUnknown
	healthPending
	healthUnhealthy

	healthStateCount = iota
)

const (
	// pendingTimeout is how long a server that is being validated ranks after the healthy ones.
	pendingTimeout = 10 * sec
	// minValidationDelay is the mean time from a server's first demotion to its validation. It doubles with each
	// consecutive demotion, maxValidationDoublings times at most, up to maxValidationDelay.
	minValidationDelay     = 1 * sec
	maxValidationDelay     = 6 * sec
	maxValidationDoublings = 8
	// demotionResetAfter is how long a server has to be Connected for its next demotion to count as the first.
	demotionResetAfter = 10 * sec
	// maxConcurrentProbes bounds the probes under way at all servers.
	maxConcurrentProbes = 4
	// maxSlowUnhealthyShare is the part of a zone's Ready servers that may be Unhealthy after one is demoted for
	// slowness.
	maxSlowUnhealthyShare = 0.5
	// maxValidationUtilization is the reported utilization above which a probe does not validate a server.
	maxValidationUtilization = 0.85

	// serverFullPause is how long a server that rejected an attempt as full gets nothing new, resetPause the same
	// for one that reset connections.
	serverFullPause = 300 * ms
	resetPause      = 2 * sec
	// resetPairWindow is the time within which two resets count as the server's fault rather than the network's.
	resetPairWindow = 1 * sec
)

// Ranks of servers in a selection, best first.
const (
	rankHealthy = iota
	rankPending
	rankUnhealthy
	healthRankCount
)

// healthRank returns a server's rank by its state: one of lower rank is selected only if none of a better rank may
// have the request.
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

func (s *server) setHealth(now Micros, h healthState) {
	s.health = h
	s.enteredAt[h] = now
}

// markConnected records that an attempt, a message or a validation succeeded.
func (b *Balancer) markConnected(now Micros, s *server) {
	s.demotedForFailure = false
	if s.health != healthConnected {
		s.setHealth(now, healthConnected)
	}
}

// updateHealth draws the server's health from how an attempt or a connection ended. A failed connect demotes; an error
// response and a time-out do unless failures are shared by all servers, the time-out as slowness. A second reset within
// resetPairWindow demotes and pauses the server: one that is overloaded drops connections, one that died resets all. A
// server that is full is paused only.
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
		if !b.setups.FailuresShared() {
			b.demoteForFailure(now, s)
		}
	case outcome.TimedOut:
		if !b.setups.FailuresShared() {
			b.demoteForSlowness(now, s)
		}
	}
}

// recordSetup counts the end of a set-up, which took that long, in what is known of set-ups at all servers.
func (b *Balancer) recordSetup(status outcome.Status, duration Micros) {
	b.setups.Record(setupOutcome(status), float64(duration))
}

// setupOutcome returns what an attempt's status says of set-ups in general: nothing, unless the server had it.
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

// demoteForFailure makes a server Unhealthy that is not.
func (b *Balancer) demoteForFailure(now Micros, s *server) {
	if s.health != healthUnhealthy {
		b.demote(now, s, true)
	}
}

// demoteForSlowness makes a server Unhealthy that is not, unless slowness seems to be shared in its zone.
func (b *Balancer) demoteForSlowness(now Micros, s *server) {
	if s.health != healthUnhealthy && !b.slownessShared(s) {
		b.demote(now, s, false)
	}
}

// slownessShared reports whether the demotion of s would leave over maxSlowUnhealthyShare of the Ready servers of
// its zone Unhealthy. The cause is then one that they share (a store, a link, overload), and demoting all only
// moves the load.
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

// demote makes a server Unhealthy and schedules its validation.
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

// validationDelay is the mean time from a demotion to the validation, by the number of demotions before it.
func validationDelay(consecutiveDemotions int) Micros {
	return backoff.Exponential(minValidationDelay, maxValidationDelay, consecutiveDemotions, maxValidationDoublings)
}

// recoverServer decides how an Unhealthy server whose delay is over comes back. One that failed, or has no
// connections, has to be validated. One that was slow and has connections is Connected again once these report no
// latency any more: they would, if it still was slow.
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

// validateServer makes an Unhealthy server Pending and probes it. Where Settings.AllowProbes is not set,
// the next request that it gets validates it. With maxConcurrentProbes under way it stays Unhealthy until a later
// tick.
func (b *Balancer) validateServer(now Micros, s *server) {
	if b.settings.AllowProbes {
		if b.probesUnderWay >= maxConcurrentProbes || s.probing {
			return
		}
		b.probeServer(s)
	}
	s.setHealth(now, healthPending)
}

func (b *Balancer) probeServer(s *server) {
	s.probing = true
	b.probesUnderWay++
	b.emit(ProbeServer{Server: s.Server})
}

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

// endValidation decides whether a validated server is Connected: if the probe succeeded and it reports a
// utilization of no more than maxValidationUtilization. A probe that was never sent says nothing: it is repeated
// after minValidationDelay.
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

// onMessageLatencyMetric updates what is known of a server's latency. A slow server is demoted, and all servers
// lose the tokens beyond a burst, since others are about to get its load. One that misses the shortest message
// objective is paused too, and some of its connections move. One that is in time again is Connected.
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
	if s.latency.MissesObjective(now) {
		s.pauseUntil(now + latency.ReportLifetime)
		b.moveFromLateServer(now, s)
	}
}
