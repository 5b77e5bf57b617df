package membership

import "spurspread/decision/monotime"

// Local health: whether this member has reason to doubt its own observations rather than other members.

const (
	// pauseThreshold is the time between two Ticks from which on this process counts as having been paused.
	pauseThreshold = 300 * monotime.Millisecond
	// unhealthyAfterPause is how long a member reports no failure after a pause: answers may wait unread.
	unhealthyAfterPause = 1 * monotime.Second
	// isolationTimeout is how long a member receives nothing before it takes itself for isolated.
	isolationTimeout = 1 * monotime.Second

	// contactTimeout is how long after its last message a member can be expected to report what it fails to reach.
	contactTimeout = 1200 * monotime.Millisecond
	// confirmerCountInterval is the time between two counts of confirmers.
	confirmerCountInterval = 150 * monotime.Millisecond

	// failureRatioWeight is the weight of the earlier probes in the ratio of failures: each new probe counts for one
	// in failureRatioWeight.
	failureRatioWeight = 4

	// Weights of the earlier round trips in the smoothed ones: one new sample counts for one in so many. That of the
	// fleet rises fast and falls slowly, so that most answers stay under it.
	peerRTTWeight         = 8
	fleetRTTRisingWeight  = 8
	fleetRTTFallingWeight = 32
)

// Unhealthy decides whether this member's failed probes count for nothing: it was paused within unhealthyAfterPause,
// or is isolated.
func (f *Fleet) Unhealthy(now monotime.Micros) bool {
	return now < f.unhealthyUntil || f.isolated(now)
}

// isolated decides whether this member is cut off from all others: none has sent anything for isolationTimeout. A
// single other one may as well be dead, and is taken for that after PairSuspicionTimeout.
func (f *Fleet) isolated(now monotime.Micros) bool {
	silence := now - f.lastContact
	switch f.liveOthers() {
	case 0:
		return false
	case 1:
		return silence > isolationTimeout && silence < PairSuspicionTimeout
	}
	return silence > isolationTimeout
}

// checkPause starts over what was under way where this process was paused.
func (f *Fleet) checkPause(now monotime.Micros) {
	if now-f.lastTick <= pauseThreshold {
		return
	}
	f.Pauses++
	f.unhealthyUntil = now + unhealthyAfterPause
	f.lastContact = now
	f.restartSuspicions(now)
}

// checkIsolation starts over what was under way where this member is no longer isolated.
func (f *Fleet) checkIsolation(now monotime.Micros) {
	before := f.wasIsolated
	f.wasIsolated = f.isolated(now)
	if before && !f.wasIsolated {
		f.restartSuspicions(now)
	}
}

// restartSuspicions gives all suspected members their whole time again and drops this member's own failed probes:
// they may have been its own fault.
func (f *Fleet) restartSuspicions(now monotime.Micros) {
	for _, p := range f.peerList {
		p.probe = nil
		p.ownProbeFailed = false
		p.reportsUsDead = false
		if p.state == Suspect {
			p.suspicionStart = now
		}
	}
}

// countConfirmers counts the members that can be expected to confirm a failure: alive, in contact within
// contactTimeout, and not considering this member dead. Whether this member's pings reach them does not matter: the
// fault may be its own.
func (f *Fleet) countConfirmers(now monotime.Micros) {
	if now < f.nextConfirmerCountAt {
		return
	}
	f.nextConfirmerCountAt = now + confirmerCountInterval
	f.confirmers, f.suspectCount = 0, 0
	for _, p := range f.peerList {
		inContact := now-p.lastContact < contactTimeout
		p.partitioned = inContact && p.reportsUsDead
		p.canConfirm = inContact && !p.reportsUsDead && p.state == Alive
		if p.canConfirm {
			f.confirmers++
		}
		if p.state == Suspect {
			f.suspectCount++
		}
	}
}

// expectedRTT is how long an answer of p may take without being a sign of failure: as long as those of p, or as most
// of all members, take.
func (f *Fleet) expectedRTT(p *peer) monotime.Micros { return monotime.Micros(max(p.rtt, f.fleetRTT)) }

// recordRTT takes the round trip of an answered ping, in microseconds.
func (f *Fleet) recordRTT(p *peer, rtt float64) {
	if p.rtt == 0 {
		p.rtt = rtt
	}
	p.rtt += (rtt - p.rtt) / peerRTTWeight
	if rtt > f.fleetRTT {
		f.fleetRTT += (rtt - f.fleetRTT) / fleetRTTRisingWeight
	} else {
		f.fleetRTT += (rtt - f.fleetRTT) / fleetRTTFallingWeight
	}
}

func (f *Fleet) countFailedProbe()   { f.failureRatio += (1 - f.failureRatio) / failureRatioWeight }
func (f *Fleet) countAnsweredProbe() { f.failureRatio -= f.failureRatio / failureRatioWeight }
