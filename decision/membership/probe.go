package membership

import (
	"slices"

	"spurspread/decision/monotime"
)

const (
	// probeJitter is the range of variation of the interval between two regular pings.
	probeJitter = ProbeInterval / 5
	// ackTimeout is the time from a ping to the next one of the same probe if round-trip times are shorter. Indirect
	// pings are requested after twice this time.
	ackTimeout = 150 * monotime.Millisecond
	// probeTimeout is the time from the first ping of a probe to its failure if round-trip times are shorter than
	// ackTimeout.
	probeTimeout = 500 * monotime.Millisecond
	// maxProbeTimeout bounds that time if round-trip times are longer.
	maxProbeTimeout = 2 * monotime.Second
	// maxRetransmitAfter bounds the time between two pings of a probe, so that there is time left for an ack of the
	// last one.
	maxRetransmitAfter = maxProbeTimeout / 3
	// maxPingAttempts bounds the pings of one probe. It is a power of two: the lowest bits of a sequence number are the
	// index of the attempt, and sequence numbers wrap around.
	maxPingAttempts = 4

	// indirectPingHelpers is the number of members that are asked to ping an unresponsive one.
	indirectPingHelpers = 3
	// maxIndirectPings bounds the pending indirect pings that other members have requested.
	maxIndirectPings = 128
	// indirectPingRetention is the time after which a requested indirect ping is dropped.
	indirectPingRetention = 2 * maxProbeTimeout
	// failedProbeRetention is the time after the failure of a probe in which a late ack still clears its target.
	failedProbeRetention = 4 * maxProbeTimeout

	// suspectsPerSlowdown is the number of additional suspects for which the interval between two probes of each
	// suspect grows by probeTimeout.
	suspectsPerSlowdown = 8
	// ownProbeDelay is the interval at which a member considers probing a suspect that none of its own probes has
	// failed to reach; see probeSuspect.
	ownProbeDelay = 4 * monotime.Second

	// A sweep probes members that this one does not watch. It is active while the moving average of failed probes
	// exceeds sweepFailureRatio, e.g. after two of the last three failed. Each failed probe then adds
	// sweepPingsPerFailure pings, up to maxPendingSweepPings, of which maxSweepPingsPerTick are sent per Tick.
	sweepFailureRatio    = 0.3
	sweepPingsPerFailure = 6
	maxPendingSweepPings = 48
	maxSweepPingsPerTick = 4
	// minSweepInterval is the time since the last probe of a member within which a sweep skips it.
	minSweepInterval = ProbeInterval * WatchersPerMember
)

// probe is a sequence of pings to one member, pending until the first ack.
type probe struct {
	firstSeq     uint32 // of the first ping; later pings use the numbers that follow
	startedAt    monotime.Micros
	sentAt       [maxPingAttempts]monotime.Micros
	attempts     int  // pings sent so far
	indirectSent bool // requested, or not needed because this probe is itself indirect
}

// failedProbe is a probe that has failed recently.
type failedProbe struct {
	target   ID
	failedAt monotime.Micros
}

// indirectPing is a probe of target on behalf of another member.
type indirectPing struct {
	firstSeq     uint32 // of this member's probe
	requester    ID
	requesterSeq uint32 // of the requester's probe
	target       ID
	expiresAt    monotime.Micros
}

// probeOf returns the sequence number of the first ping of the probe that a ping belongs to.
func probeOf(seq uint32) uint32 { return seq - seq%maxPingAttempts }

// runProbes advances the probes in progress and starts those that are due.
func (f *Fleet) runProbes(now monotime.Micros) {
	f.checkTrackedPeers(now)
	f.sendFailureReports()
	f.sweep(now)
	if now < f.nextProbeAt {
		return
	}
	f.nextProbeAt = now + f.spreadAround(ProbeInterval, probeJitter)
	if len(f.probeQueue) == 0 {
		// The order is the same in every round, so that each member is pinged at regular intervals.
		f.probeQueue = f.watchTargets()
	}
	for range (len(f.probeQueue) + WatchersPerMember - 1) / WatchersPerMember {
		target := f.probeQueue[0]
		f.probeQueue = f.probeQueue[1:]
		f.startProbe(now, target)
	}
}

// track includes p in the checks of every Tick while there is a probe, a suspicion or a failure report about it.
func (f *Fleet) track(p *peer) {
	if !p.tracked {
		p.tracked = true
		f.trackedPeers = append(f.trackedPeers, p)
	}
}

// checkTrackedPeers checks all tracked members, and stops tracking those that no longer need it.
func (f *Fleet) checkTrackedPeers(now monotime.Micros) {
	tracked := f.trackedPeers
	f.trackedPeers = nil
	for _, p := range tracked {
		p.tracked = false
		f.checkPeer(now, p)
		if p.probe != nil || p.state == Suspect || p.reportAgainAt > 0 || len(p.failureReports) > 0 {
			f.track(p)
		}
	}
}

// checkPeer runs the actions on p that are due.
func (f *Fleet) checkPeer(now monotime.Micros, p *peer) {
	f.probeSuspect(now, p)
	f.suspectIfConfirmed(now, p) // the number of required reports may have dropped since the last Tick
	f.repeatReport(now, p)
	if p.probe != nil {
		f.advanceProbe(now, p)
	}
}

// startProbe starts a probe of p, unless one is in progress or p is dead or has left.
func (f *Fleet) startProbe(now monotime.Micros, p *peer) {
	if p.probe != nil || p.state != Alive && p.state != Suspect {
		return
	}
	f.lastSeq += maxPingAttempts
	p.probe = &probe{firstSeq: f.lastSeq, startedAt: now}
	p.lastProbe = now
	f.track(p)
	f.sendPing(now, p)
}

// sendPing sends the next ping of a probe. Each ping has its own sequence number, so that the ack yields a round-trip
// time.
func (f *Fleet) sendPing(now monotime.Micros, p *peer) {
	probe := p.probe
	p.pingsSent++
	probe.sentAt[probe.attempts] = now
	f.send(p.Addr, p, Message{Kind: Ping, Seq: probe.firstSeq + uint32(probe.attempts)})
	probe.attempts++
}

// retransmitAfter returns the time from a ping to the next one of the same probe: the expected round-trip time, limited
// to the range from ackTimeout to maxRetransmitAfter.
func retransmitAfter(expectedRTT monotime.Micros) monotime.Micros {
	return min(max(ackTimeout, expectedRTT), maxRetransmitAfter)
}

// indirectAfter returns the time from the start of a probe to the requests for indirect pings.
func indirectAfter(expectedRTT monotime.Micros) monotime.Micros {
	wait := retransmitAfter(expectedRTT)
	return wait + wait
}

// probeFailsAfter returns the time from the start of a probe to its failure, between probeTimeout and maxProbeTimeout.
func probeFailsAfter(expectedRTT monotime.Micros) monotime.Micros {
	const indirectTime = probeTimeout - 2*ackTimeout
	return min(indirectAfter(expectedRTT)+max(indirectTime, expectedRTT), maxProbeTimeout)
}

// advanceProbe performs the steps of a probe that are due: another ping, indirect pings, failure.
func (f *Fleet) advanceProbe(now monotime.Micros, p *peer) {
	probe := p.probe
	elapsed := now - probe.startedAt
	expectedRTT := f.expectedRTT(p)
	nextPingAfter := monotime.Micros(probe.attempts) * retransmitAfter(expectedRTT)
	// A suspect gets only one ping per probe, since every member whose probe of it failed keeps probing it.
	if p.state == Alive && probe.attempts < maxPingAttempts && elapsed >= nextPingAfter {
		f.sendPing(now, p)
	}
	if !probe.indirectSent && elapsed >= indirectAfter(expectedRTT) {
		probe.indirectSent = true
		if f.sweeping() {
			return // most helpers would have failed too, and all members are probing for themselves
		}
		f.sendIndirectPings(p)
	}
	if elapsed >= probeFailsAfter(expectedRTT) {
		p.probe = nil
		f.failedProbes[probe.firstSeq] = failedProbe{target: p.ID, failedAt: now}
		f.reportFailure(now, p, probe)
	}
}

// sendIndirectPings asks some reachable members to ping p.
func (f *Fleet) sendIndirectPings(p *peer) {
	helpers := f.randomPeers(indirectPingHelpers, func(o *peer) bool { return o != p && o.isReachable() })
	for _, helper := range helpers {
		f.send(helper.Addr, helper, Message{Kind: IndirectPing, Seq: p.probe.firstSeq, Target: p.ID})
	}
}

// startIndirectProbe probes target on behalf of another member, which is notified of an ack as well as of a failure.
func (f *Fleet) startIndirectProbe(now monotime.Micros, target *peer, requester ID, requesterSeq uint32) {
	if target.probe == nil {
		f.startProbe(now, target)
		if target.probe == nil {
			return
		}
		target.probe.indirectSent = true // a helper requests no indirect pings itself
	}
	f.indirectPings = append(f.indirectPings, indirectPing{
		firstSeq:     target.probe.firstSeq,
		requester:    requester,
		requesterSeq: requesterSeq,
		target:       target.ID,
		expiresAt:    now + indirectPingRetention,
	})
}

// forwardAcks forwards an ack to the members that requested the ping.
func (f *Fleet) forwardAcks(m *Message) {
	f.indirectPings = slices.DeleteFunc(f.indirectPings, func(request indirectPing) bool {
		if request.firstSeq != probeOf(m.Seq) || request.target != m.From {
			return false
		}
		if requester := f.peers[request.requester]; requester != nil {
			ack := Message{Kind: Ack, Seq: request.requesterSeq, Target: request.target}
			f.send(requester.Addr, requester, ack)
		}
		return true
	})
}

// handleAck processes an ack: either of p itself, or of a helper that reports an answer of m.Target. p is nil if the
// sender is unknown.
func (f *Fleet) handleAck(now monotime.Micros, p *peer, m *Message) {
	if m.Target != 0 {
		f.recordAck(now, m.Target, m.Seq, false)
		return
	}
	f.forwardAcks(m)
	if p != nil && m.PingsReceived > p.pingsDeliveredTotal {
		p.pingsDelivered += float64(m.PingsReceived - p.pingsDeliveredTotal)
		p.pingsDeliveredTotal = m.PingsReceived
	}
	f.recordAck(now, m.From, m.Seq, true)
}

// recordAck ends the probe that an ack from the member id belongs to. A late ack of a failed probe clears the member,
// too. direct is false for an ack that a helper forwarded.
func (f *Fleet) recordAck(now monotime.Micros, id ID, seq uint32, direct bool) {
	p := f.peers[id]
	if p == nil {
		return
	}
	firstSeq := probeOf(seq)
	if probe := p.probe; probe != nil && probe.firstSeq == firstSeq {
		attempt := int(seq % maxPingAttempts)
		if direct && attempt < probe.attempts {
			p.acksReceived++
			p.lastAck = now
			f.countAnsweredProbe()
			f.recordRTT(p, float64(now-probe.sentAt[attempt]))
		}
		p.probe = nil
		p.clearOwnFailure()
		return
	}
	if late, found := f.failedProbes[firstSeq]; found && late.target == id {
		delete(f.failedProbes, firstSeq)
		p.clearOwnFailure()
		p.rtt = max(p.rtt, float64(now-late.failedAt)+float64(probeTimeout)) // slow, not failed
	}
}

// probeSuspect probes a suspect again, so that it learns of the suspicion and can refute it. If this member's own probe
// has failed, the interval is probeTimeout, and longer if there are many suspects. Otherwise this member decides every
// ownProbeDelay whether to probe, as it does for a failure report (corroborate).
func (f *Fleet) probeSuspect(now monotime.Micros, p *peer) {
	if p.state != Suspect || p.probe != nil {
		return
	}
	if p.ownProbeFailed {
		slowdown := monotime.Micros(1 + f.suspectCount/suspectsPerSlowdown)
		if now-p.lastProbe >= probeTimeout*slowdown {
			f.startProbe(now, p)
		}
		return
	}
	if now-max(p.stateSince, p.lastProbe) >= ownProbeDelay {
		p.lastProbe = now
		f.corroborate(now, p)
	}
}

// sweeping reports whether members other than the watch targets are to be probed. After a crash of many members or in a
// partition, most watchers have failed themselves, and it would take too long to detect that one after the other.
func (f *Fleet) sweeping() bool { return f.failureRatio > sweepFailureRatio }

// sweep probes the members whose last probe is the longest ago.
func (f *Fleet) sweep(now monotime.Micros) {
	for range min(maxSweepPingsPerTick, f.pendingSweepPings) {
		target := f.longestUnprobed(now)
		if target == nil {
			return
		}
		f.pendingSweepPings--
		f.startProbe(now, target)
	}
}

// longestUnprobed returns the alive member whose last probe is the longest ago, or nil if all have been probed within
// minSweepInterval.
func (f *Fleet) longestUnprobed(now monotime.Micros) *peer {
	var oldest *peer
	for _, p := range f.peerList {
		if p.state != Alive || p.probe != nil || now-p.lastProbe < minSweepInterval {
			continue
		}
		if oldest == nil || p.lastProbe < oldest.lastProbe {
			oldest = p
		}
	}
	return oldest
}

// dropExpiredProbes removes expired indirect pings and failed probes that are too old to be cleared by a late ack.
func (f *Fleet) dropExpiredProbes(now monotime.Micros) {
	f.indirectPings = slices.DeleteFunc(f.indirectPings, func(r indirectPing) bool { return now >= r.expiresAt })
	for seq, failed := range f.failedProbes {
		if now-failed.failedAt > failedProbeRetention {
			delete(f.failedProbes, seq)
		}
	}
}
