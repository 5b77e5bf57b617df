package membership

import "spurspread/decision/monotime"

// Local health: detects when this member should doubt its own observations rather than other members.

const (
	// pauseThreshold is the time between two Ticks above which this process counts as having been paused.
	pauseThreshold = 300 * monotime.Millisecond
	// unhealthyAfterPause is the time after a pause in which a member reports no failures: acks may still be waiting
	// unread.
	unhealthyAfterPause = 1 * monotime.Second
	// isolationTimeout is the time without any received message after which a member considers itself isolated.
	isolationTimeout = 1 * monotime.Second

	// contactTimeout is the time since its last message within which a member is expected to report its failed probes.
	contactTimeout = 1200 * monotime.Millisecond
	// confirmerCountInterval is the time between two runs of countConfirmers.
	confirmerCountInterval = 150 * monotime.Millisecond

	// failureRatioWeight is the weight of earlier probes in the moving average of failures: a new probe contributes
	// 1/failureRatioWeight.
	failureRatioWeight = 4

	// Weights of earlier samples in the smoothed round-trip times: a new sample contributes 1/weight. The fleet-wide
	// estimate rises fast and falls slowly, so that most round trips stay below it.
	peerRTTWeight         = 8
	fleetRTTRisingWeight  = 8
	fleetRTTFallingWeight = 32
)

// Unhealthy reports whether this member's failed probes are to be ignored: it was paused within unhealthyAfterPause, or
// is isolated.
func (f *Fleet) Unhealthy(now monotime.Micros) bool {
	return now < f.unhealthyUntil || f.isolated(now)
}

// isolated reports whether this member appears cut off from all others: it has received nothing for isolationTimeout.
// If there is only one other member, silence may also mean that the other one has died; after PairSuspicionTimeout that
// is assumed, and this member no longer counts as isolated.
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

// checkPause handles a pause of this process: it restarts all suspicions, drops failed probes, and makes this member
// Unhealthy for unhealthyAfterPause.
func (f *Fleet) checkPause(now monotime.Micros) {
	if now-f.lastTick <= pauseThreshold {
		return
	}
	f.Pauses++
	f.unhealthyUntil = now + unhealthyAfterPause
	f.lastContact = now
	f.restartSuspicions(now)
}

// checkIsolation restarts all suspicions and drops failed probes when this member ceases to be isolated.
func (f *Fleet) checkIsolation(now monotime.Micros) {
	before := f.wasIsolated
	f.wasIsolated = f.isolated(now)
	if before && !f.wasIsolated {
		f.restartSuspicions(now)
	}
}

// restartSuspicions restarts the suspicion timeout of all suspected members and drops this member's probes and their
// failures, which may have been its own fault.
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

// countConfirmers counts the members that are able to confirm a failure: those that are alive, in contact within
// contactTimeout, and do not consider this member dead. It ignores whether this member's own pings reach them, since a
// failed ping may be this member's fault.
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

// expectedRTT returns the round-trip time up to which a missing ack of p is no sign of failure: the greater of p's
// smoothed round-trip time and the fleet-wide estimate.
func (f *Fleet) expectedRTT(p *peer) monotime.Micros { return monotime.Micros(max(p.rtt, f.fleetRTT)) }

// recordRTT adds the round-trip time of an answered ping, in microseconds, to the averages.
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
