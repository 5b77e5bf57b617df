package membership

import (
	"slices"

	"spurspread/decision/monotime"
)

const (
	// probeJitter is by how much the interval between two regular pings varies.
	probeJitter = ProbeInterval / 5
	// ackTimeout is the time from a ping to the next one of the same probe, where answers take less; indirect pings
	// follow after two of them.
	ackTimeout = 150 * monotime.Millisecond
	// probeTimeout is the time from the first ping of a probe to its failure, where answers take less than
	// ackTimeout.
	probeTimeout = 500 * monotime.Millisecond
	// maxProbeTimeout bounds it where answers take longer.
	maxProbeTimeout = 2 * monotime.Second
	// maxRetransmitAfter bounds the time between two pings, so that the last one has time for an answer.
	maxRetransmitAfter = maxProbeTimeout / 3
	// maxPingAttempts bounds the pings of one probe. It is a power of two: the lowest bits of a ping's number count
	// the attempts, and the numbers wrap around.
	maxPingAttempts = 4

	// indirectPingHelpers is how many members are requested to ping one that does not answer.
	indirectPingHelpers = 3
	// maxIndirectPings bounds the requests of others that are under way here.
	maxIndirectPings = 128
	// indirectPingRetention is how long such a request waits for an answer.
	indirectPingRetention = 2 * maxProbeTimeout
	// expiredProbeRetention is how long a late answer to a failed probe still clears its target.
	expiredProbeRetention = 4 * maxProbeTimeout

	// suspectsPerSlowdown is by how many more suspects the interval between two probes of each grows by probeTimeout.
	suspectsPerSlowdown = 8
	// ownProbeDelay is how long a member considers another suspected before it probes that one itself.
	ownProbeDelay = 4 * monotime.Second

	// A sweep probes members that this one does not watch. It begins while more than sweepFailureRatio of the latest
	// probes have failed, two of three, adds sweepPingsPerFailure pings for each, at most maxPendingSweepPings, and
	// sends maxSweepPingsPerTick at a time.
	sweepFailureRatio    = 0.3
	sweepPingsPerFailure = 6
	maxPendingSweepPings = 48
	maxSweepPingsPerTick = 4
	// minSweepInterval is the time between two probes of one member below which a sweep passes over it.
	minSweepInterval = ProbeInterval * WatchersPerMember
)

// probe is a sequence of pings to one member that waits for an answer.
type probe struct {
	firstSeq     uint32 // of the first ping; the following ones count on
	startedAt    monotime.Micros
	sentAt       [maxPingAttempts]monotime.Micros
	attempts     int  // pings sent so far
	indirectSent bool // or not needed, as the probe is an indirect one itself
}

// expiredProbe is a probe that failed not long ago.
type expiredProbe struct {
	target    ID
	expiredAt monotime.Micros
}

// indirectPing is a probe of target at the request of another member.
type indirectPing struct {
	firstSeq     uint32 // of the probe here
	requester    ID
	requesterSeq uint32 // of the requester's own probe
	target       ID
	expiresAt    monotime.Micros
}

// probeOf returns the number of the first ping of the probe to which a ping belongs.
func probeOf(seq uint32) uint32 { return seq - seq%maxPingAttempts }

// runProbes carries on the probes under way and begins those that are due.
func (f *Fleet) runProbes(now monotime.Micros) {
	f.followTracked(now)
	f.sendFailureReports()
	f.sweep(now)
	if now < f.nextProbeAt {
		return
	}
	f.nextProbeAt = now + f.spreadAround(ProbeInterval, probeJitter)
	if len(f.probeQueue) == 0 {
		// The order stays the same, so that each member is pinged once a round at about the same time in it.
		f.probeQueue = f.watchTargets()
	}
	for range (len(f.probeQueue) + WatchersPerMember - 1) / WatchersPerMember {
		target := f.probeQueue[0]
		f.probeQueue = f.probeQueue[1:]
		f.startProbe(now, target)
	}
}

// track has a peer looked at at each Tick while there is a probe, a suspicion or a report about it.
func (f *Fleet) track(p *peer) {
	if !p.tracked {
		p.tracked = true
		f.trackedPeers = append(f.trackedPeers, p)
	}
}

func (f *Fleet) followTracked(now monotime.Micros) {
	tracked := f.trackedPeers
	f.trackedPeers = nil
	for _, p := range tracked {
		p.tracked = false
		f.follow(now, p)
		if p.probe != nil || p.state == Suspect || p.reportAgainAt > 0 || len(p.failureReports) > 0 {
			f.track(p)
		}
	}
}

func (f *Fleet) follow(now monotime.Micros, p *peer) {
	f.probeSuspect(now, p)
	f.suspectIfConfirmed(now, p) // fewer reports may be required than at the last Tick
	f.repeatReport(now, p)
	if p.probe != nil {
		f.advanceProbe(now, p)
	}
}

// startProbe begins a probe of p, unless one is under way or p is dead or gone.
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

// sendPing sends the next ping of a probe. Each has a number of its own, so that its answer shows the round trip.
func (f *Fleet) sendPing(now monotime.Micros, p *peer) {
	probe := p.probe
	p.pingsSent++
	probe.sentAt[probe.attempts] = now
	f.send(p.Addr, p, Message{Kind: Ping, Seq: probe.firstSeq + uint32(probe.attempts)})
	probe.attempts++
}

// retransmitAfter decides how long after a ping the next one of a probe is sent, by the round trip that is expected:
// ackTimeout to maxRetransmitAfter.
func retransmitAfter(expectedRTT monotime.Micros) monotime.Micros {
	return min(max(ackTimeout, expectedRTT), maxRetransmitAfter)
}

// indirectAfter decides how long after the start of a probe indirect pings are requested.
func indirectAfter(expectedRTT monotime.Micros) monotime.Micros {
	wait := retransmitAfter(expectedRTT)
	return wait + wait
}

// probeFailsAfter decides how long after its start a probe has failed: probeTimeout to maxProbeTimeout.
func probeFailsAfter(expectedRTT monotime.Micros) monotime.Micros {
	const indirectTime = probeTimeout - 2*ackTimeout
	return min(indirectAfter(expectedRTT)+max(indirectTime, expectedRTT), maxProbeTimeout)
}

// advanceProbe takes the next step of a probe that is due: one more ping, indirect pings, failure.
func (f *Fleet) advanceProbe(now monotime.Micros, p *peer) {
	probe := p.probe
	elapsed := now - probe.startedAt
	expectedRTT := f.expectedRTT(p)
	nextPingAfter := monotime.Micros(probe.attempts) * retransmitAfter(expectedRTT)
	// A suspect gets one ping a probe: all whose probes of it failed go on probing it.
	if p.state == Alive && probe.attempts < maxPingAttempts && elapsed >= nextPingAfter {
		f.sendPing(now, p)
	}
	if !probe.indirectSent && elapsed >= indirectAfter(expectedRTT) {
		probe.indirectSent = true
		if f.sweeping() {
			return // as many helpers would be gone, and all find out by their own probes
		}
		f.sendIndirectPings(p)
	}
	if elapsed >= probeFailsAfter(expectedRTT) {
		p.probe = nil
		f.expiredProbes[probe.firstSeq] = expiredProbe{target: p.ID, expiredAt: now}
		f.reportFailure(now, p, probe)
	}
}

// sendIndirectPings requests indirect pings of p from some members.
func (f *Fleet) sendIndirectPings(p *peer) {
	helpers := f.randomPeers(indirectPingHelpers, func(o *peer) bool { return o != p && o.isReachable() })
	for _, helper := range helpers {
		f.send(helper.Addr, helper, Message{Kind: IndirectPing, Seq: p.probe.firstSeq, Target: p.ID})
	}
}

// startIndirectProbe probes target for another member. If that fails, the requester learns it, too.
func (f *Fleet) startIndirectProbe(now monotime.Micros, target *peer, requester ID, requesterSeq uint32) {
	if target.probe == nil {
		f.startProbe(now, target)
		if target.probe == nil {
			return
		}
		target.probe.indirectSent = true // helpers need no helpers
	}
	f.indirectPings = append(f.indirectPings, indirectPing{
		firstSeq:     target.probe.firstSeq,
		requester:    requester,
		requesterSeq: requesterSeq,
		target:       target.ID,
		expiresAt:    now + indirectPingRetention,
	})
}

// forwardAcks passes an answer on to those that asked for the ping.
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

// handleAck takes an answer to a ping: p's own, or that of a helper which m.Target has answered. p is nil where the
// sender is not known.
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

// recordAck ends the probe that an answer belongs to: id is there. A late answer to a failed probe clears id, too.
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
	if late, found := f.expiredProbes[firstSeq]; found && late.target == id {
		delete(f.expiredProbes, firstSeq)
		p.clearOwnFailure()
		p.rtt = max(p.rtt, float64(now-late.expiredAt)+float64(probeTimeout)) // it is slow, not gone
	}
}

// probeSuspect probes a suspected member again, so that it can refute: those whose probe failed after probeTimeout,
// longer with many suspects, and others after ownProbeDelay.
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

// sweeping decides whether members are probed beyond those that this one watches: in a crash of many, or a partition,
// most watchers are gone themselves, and waiting for one after the other to find out would take too long.
func (f *Fleet) sweeping() bool { return f.failureRatio > sweepFailureRatio }

// sweep probes those members that were not probed for longest.
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

// longestUnprobed returns the member alive that was not probed for longest, nil where all were within
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

func (f *Fleet) dropExpiredProbes(now monotime.Micros) {
	f.indirectPings = slices.DeleteFunc(f.indirectPings, func(r indirectPing) bool { return now >= r.expiresAt })
	for seq, expired := range f.expiredProbes {
		if now-expired.expiredAt > expiredProbeRetention {
			delete(f.expiredProbes, seq)
		}
	}
}
