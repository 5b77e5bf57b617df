package membership

import (
	"slices"
	"spurspread/decision/monotime"
)

// watchTargets are those that this member watches: on each ring the next one, and as long as that is suspected, or is
// late with its answer, the next again, so that whoever is watched by one that may be gone has another watcher at
// once.
func (f *Fleet) watchTargets() (out []*peer) {
	for k, ring := range f.rings {
		at, _ := ringPosition(ring, f.ringHash[k], k, f.self.ID)
		for i := range min(len(ring), 2*WatchersPerMember) {
			p := ring[(at+i)%len(ring)]
			if !slices.Contains(out, p) {
				out = append(out, p)
			}
			if p.state == Alive && (p.probe == nil || !p.probe.indirectSent) {
				break
			}
		}
	}
	return out
}

// runProbes pings the next of those that are watched. What is suspected is asked more often, so that it can say that it
// lives.
func (f *Fleet) runProbes(now monotime.Micros) {
	busy := f.trackedPeers
	f.trackedPeers = nil
	for _, p := range busy {
		p.tracked = false
		if f.advanceProbe(now, p); p.probe != nil || p.state == Suspect || p.reportAgainAt > 0 ||
			len(p.failureReports) > 0 {
			f.track(p)
		}
	}
	f.sendFailureReports()
	f.sweep(now)
	if now < f.nextProbeAt {
		return
	}
	f.nextProbeAt = now + ProbeInterval*9/10 + f.jitter(ProbeInterval/5)
	if len(f.probeQueue) == 0 {
		// always in the same order, so that each is asked once a round, and not early in one and late in the next
		f.probeQueue = f.watchTargets()
	}
	for range (len(f.probeQueue) + WatchersPerMember - 1) / WatchersPerMember {
		p := f.probeQueue[0]
		f.probeQueue = f.probeQueue[1:]
		f.startProbe(now, p)
	}
}

// track has a peer looked after at each Tick: there is something about it.
func (f *Fleet) track(p *peer) {
	if !p.tracked {
		p.tracked = true
		f.trackedPeers = append(f.trackedPeers, p)
	}
}

// startProbe begins a probe, unless one is under way or none is due.
func (f *Fleet) startProbe(now monotime.Micros, p *peer) {
	if p.probe != nil || p.state != Alive && p.state != Suspect {
		return
	}
	f.lastSeq += maxPingAttempts
	p.probe, p.lastProbe = &probe{firstSeq: f.lastSeq, startedAt: now}, now
	f.track(p)
	f.sendPing(now, p)
}

// startIndirectProbe asks a peer for another member, that could not reach it: if this one fails, too, it says so.
func (f *Fleet) startIndirectProbe(now monotime.Micros, p *peer, asker ID, theirs uint32) {
	if p.probe == nil {
		if f.startProbe(now, p); p.probe == nil {
			return
		}
		p.probe.indirectSent = true // helpers need no helpers
	}
	f.indirectPings = append(
		f.indirectPings,
		indirectPing{p.probe.firstSeq, theirs, asker, p.ID, now + 2*maxProbeTimeout},
	)
}

// sendPing sends a probe's ping, the first or one more: each under a number of its own, so that an answer tells how
// long it took.
func (f *Fleet) sendPing(now monotime.Micros, p *peer) {
	q := p.probe
	p.pingsSent++
	q.sentAt[q.attempts] = now
	f.send(p.Addr, p, Message{Kind: Ping, Seq: q.firstSeq + uint32(q.attempts)})
	q.attempts++
}

// expectedRTT is how long an answer may take that is no sign of anything: what most take from any member, or from this one.
func (f *Fleet) expectedRTT(p *peer) monotime.Micros { return monotime.Micros(max(p.rtt, f.fleetRTT)) }

// againAt, helpAt and endAt are how long after a ping it is repeated, helpers are asked, and the verdict falls.
func retransmitAfter(usual monotime.Micros) monotime.Micros {
	return min(max(ackTimeout, usual), maxProbeTimeout/3)
}
func indirectAfter(usual monotime.Micros) monotime.Micros { return 2 * retransmitAfter(usual) }
func probeFailsAfter(usual monotime.Micros) monotime.Micros {
	return min(indirectAfter(usual)+max(probeTimeout-2*ackTimeout, usual), maxProbeTimeout)
}

// advanceProbe looks after a probe: helpers are asked, and in the end this member has failed to reach the peer.
func (f *Fleet) advanceProbe(now monotime.Micros, p *peer) {
	switch {
	case p.state != Suspect || p.probe != nil:
	case p.ownProbeFailed && now-p.lastProbe >= probeTimeout*monotime.Micros(1+f.suspectCount/suspectsPerSlowdown):
		f.startProbe(now, p)
	case !p.ownProbeFailed && now-max(p.stateSince, p.lastProbe) >= ownProbeDelay:
		p.lastProbe = now
		f.corroborate(now, p)
	}
	f.suspectIfConfirmed(now, p) // fewer may be enough than a moment ago
	if p.reportAgainAt > 0 && now >= p.reportAgainAt {
		if p.reportAgainAt = 0; p.ownProbeFailed && p.state == Alive {
			f.pendingReports = append(f.pendingReports, f.suspectUpdate(p))
		}
	}
	q := p.probe
	if q == nil {
		return
	}
	late := now - q.startedAt
	usual := f.expectedRTT(p)
	// A suspect is asked again and again, by all that failed to reach it.
	if p.state == Alive && q.attempts < maxPingAttempts &&
		late >= monotime.Micros(q.attempts)*retransmitAfter(usual) {
		f.sendPing(now, p)
	}
	if !q.indirectSent && late >= indirectAfter(usual) {
		if q.indirectSent = true; f.failureRatio > sweepFailureRatio {
			return // as many helpers would be gone, and all find out by themselves
		}
		for _, h := range f.randomPeers(indirectPingHelpers, func(o *peer) bool { return o != p && o.state == Alive && !o.ownProbeFailed }) {
			f.send(h.Addr, h, Message{Kind: IndirectPing, Seq: q.firstSeq, Target: p.ID})
		}
	}
	if late >= probeFailsAfter(usual) {
		p.probe = nil
		f.expiredProbes[q.firstSeq] = expiredProbe{p.ID, now}
		f.reportFailure(now, p, q)
	}
}

// sweep asks whoever was not asked for longest, while much of what this member asks fails: in a crash of many, or a
// cut, most watchers are gone themselves, and waiting for one to find out after the other would take too long.
func (f *Fleet) sweep(now monotime.Micros) {
	for range min(maxSweepPingsPerTick, f.pendingSweepPings) {
		var oldest *peer
		for _, p := range f.peerList {
			if p.state == Alive && p.probe == nil && now-p.lastProbe >= ProbeInterval*WatchersPerMember &&
				(oldest == nil || p.lastProbe < oldest.lastProbe) {
				oldest = p
			}
		}
		if oldest == nil {
			return
		}
		f.pendingSweepPings--
		f.startProbe(now, oldest)
	}
}

// corroborate has some of those who hear of a suspicion find out for themselves, besides its watchers: as many in a
// fleet of any size, all in a small one, since its watchers may be gone as well.
func (f *Fleet) corroborate(now monotime.Micros, p *peer) {
	if f.rng.IntN(max(f.countState(Alive), 1)) < WatchersPerMember || slices.Contains(f.watchTargets(), p) {
		f.startProbe(now, p)
	}
}

func (f *Fleet) suspectUpdate(p *peer) Update {
	return Update{ID: p.ID, State: Suspect, Incarnation: p.incarnation, ReportedBy: f.self.ID}
}

// reportFailure says that this member could not reach the peer. It says nothing while it doubts itself.
func (f *Fleet) reportFailure(now monotime.Micros, p *peer, q *probe) {
	if f.Unhealthy(now) || p.state != Alive && p.state != Suspect {
		return
	}
	f.FailureReports++
	r := f.suspectUpdate(p)
	if f.failureRatio += (1 - f.failureRatio) / failureRatioWeight; f.failureRatio > sweepFailureRatio {
		f.pendingSweepPings = min(f.pendingSweepPings+sweepPingsPerFailure, maxPendingSweepPings)
	}
	p.ownProbeFailed = true
	f.recordFailureReport(q.startedAt+max(probeTimeout, 2*f.expectedRTT(p)), now, p, r)
	if p.state != Alive {
		return
	}
	// Not enough have failed to reach it: those who asked are told, or where nobody did, a few are asked to try,
	// and once more a little later, since either may be lost.
	asked := false
	for _, a := range f.indirectPings {
		if o := f.peers[a.requester]; a.ownSeq == q.firstSeq && o != nil {
			asked = true
			f.send(o.Addr, o, Message{Kind: Gossip, Updates: []Update{r}})
		}
	}
	if !asked {
		f.pendingReports = append(f.pendingReports, r)
		p.reportAgainAt = now + ackTimeout + f.expectedRTT(p)
	}
}

// sendFailureReports tells some what this member has failed to reach, so that they find out for themselves: all of it in
// one message.
func (f *Fleet) sendFailureReports() {
	f.pendingReports = slices.DeleteFunc(
		f.pendingReports,
		func(r Update) bool { p := f.peers[r.ID]; return p == nil || p.state != Alive || !p.ownProbeFailed },
	)
	part := f.pendingReports[:countFitting(f.pendingReports, maxUpdateBytes)]
	if f.pendingReports = f.pendingReports[len(part):]; len(part) == 0 {
		return
	}
	to := f.randomPeers(WatchersPerMember, func(o *peer) bool { return o.canConfirm && !o.ownProbeFailed })
	if len(to) < WatchersPerMember {
		to = append(
			to,
			f.randomPeers(
				WatchersPerMember-len(to),
				func(o *peer) bool { return o.state == Alive && !o.canConfirm && !o.ownProbeFailed },
			)...)
	}
	for _, o := range to {
		f.send(o.Addr, o, Message{Kind: Gossip, Updates: slices.Clone(part)})
	}
}

// requiredReports is how many must have failed to reach one that is suspected: as many as there are that could say so, this
// member among them, up to confirms.
func (f *Fleet) requiredReports(p *peer) int {
	if p.partitioned { // whoever of the two is right, they are apart
		return 1
	}
	able := f.confirmers + 1
	if p.canConfirm {
		able--
	}
	if len(f.rings[0]) > 1 { // besides the peer there is somebody who has to say so, too, though he is not heard now
		able = max(able, 2)
	}
	return min(maxRequiredReports, able)
}

// declareDead holds those dead whose suspicion has lasted, as far as this member could not reach them itself.
func (f *Fleet) declareDead(now monotime.Micros) {
	if f.suspectCount == 0 || f.Unhealthy(now) {
		return
	}
	for _, p := range slices.Clone(f.peerList) {
		if p.state != Suspect || !p.ownProbeFailed {
			continue
		}
		// One that speaks, and holds this member dead, is not paused: there is nothing to wait for.
		if p.partitioned || now-p.suspicionStart >= MinSuspicionTimeout {
			f.applyUpdate(now, Update{ID: p.ID, State: Dead, Incarnation: p.incarnation})
			p.deadByOwnProbe = true
		}
	}
}

// recordAck takes the sign of life that an answer is.
func (f *Fleet) recordAck(now monotime.Micros, id ID, seq uint32, direct bool) {
	p := f.peers[id]
	if p == nil {
		return
	}
	if q := p.probe; q != nil && q.firstSeq == seq-seq%maxPingAttempts {
		if nth := int(seq % maxPingAttempts); direct && nth < q.attempts {
			p.acksReceived++
			p.lastAck = now
			f.failureRatio -= f.failureRatio / failureRatioWeight
			took := float64(now - q.sentAt[nth])
			if p.rtt == 0 {
				p.rtt = took
			}
			p.rtt += (took - p.rtt) / 8
			f.recordRTT(took)
		}
		p.probe = nil
		f.clearFailure(p)
		return
	}
	if l, ok := f.expiredProbes[seq-seq%maxPingAttempts]; ok && l.id == id {
		delete(f.expiredProbes, seq-seq%maxPingAttempts)
		f.clearFailure(p)
		p.rtt = max(p.rtt, float64(now-l.expiredAt)+float64(probeTimeout)) // it is slow, not gone
	}
}

// recordRTT notes how long an answer has taken: what most take rises fast and falls slowly.
func (f *Fleet) recordRTT(t float64) {
	if t > f.fleetRTT {
		f.fleetRTT += (t - f.fleetRTT) / 8
	} else {
		f.fleetRTT += (t - f.fleetRTT) / 32
	}
}

// clearFailure forgets what was said against one that this member has just reached itself, as far as nobody else holds
// to it.
func (f *Fleet) clearFailure(p *peer) {
	if p.ownProbeFailed = false; p.state == Alive {
		p.failureReports = nil
	}
}

// probeDead asks one of the dead: where a cut has healed, it learns what it is held to be, and says otherwise.
func (f *Fleet) probeDead(now monotime.Micros) {
	f.probeQueuedDead(now)
	if now < f.nextDeadProbeAt {
		return
	}
	f.nextDeadProbeAt = now + deadProbeInterval*3/4 + f.jitter(deadProbeInterval/2)
	for _, p := range f.randomPeers(1, func(p *peer) bool { return p.state == Dead }) {
		f.pingDead(now, p, p.Addr)
	}
}

// recoverFromDeath is what a member does that was held dead, and is there: what it found out meanwhile about others is as
// likely its own fault, so it is not spread, and all whom it holds dead are asked, some at each Tick.
func (f *Fleet) recoverFromDeath(now monotime.Micros) {
	f.dissemination.remove(func(r *Update) bool { return r.State == Suspect || r.State == Dead })
	f.deadToProbe = f.deadToProbe[:0]
	for _, p := range f.peerList {
		if p.state == Dead {
			f.deadToProbe = append(f.deadToProbe, p)
		}
	}
}

func (f *Fleet) probeQueuedDead(now monotime.Micros) {
	n := min(len(f.deadToProbe), maxSweepPingsPerTick)
	for _, p := range f.deadToProbe[:n] {
		if p.state == Dead {
			f.pingDead(now, p, p.Addr)
		}
	}
	f.deadToProbe = f.deadToProbe[n:]
}

// cleanup forgets what is over.
func (f *Fleet) cleanup(now monotime.Micros) {
	if now < f.nextCleanupAt {
		return
	}
	f.nextCleanupAt = now + cleanupInterval
	f.indirectPings = slices.DeleteFunc(f.indirectPings, func(r indirectPing) bool { return now >= r.expiresAt })
	for seq, l := range f.expiredProbes {
		if now-l.expiredAt > 4*maxProbeTimeout {
			delete(f.expiredProbes, seq)
		}
	}
	for _, p := range f.peerList {
		if p.state == Alive && len(p.failureReports) > 0 {
			p.failureReports = slices.DeleteFunc(
				p.failureReports,
				func(a failureReport) bool { return now-a.since > failureReportTimeout },
			)
			p.ownProbeFailed = p.ownProbeFailed && len(p.failureReports) > 0
		}
	}
	f.peerList = slices.DeleteFunc(f.peerList, func(p *peer) bool {
		over := p.state >= Dead && now-p.stateSince > deadRetention
		if over {
			f.revision++
			f.toggleDigest(p.ID, p.incarnation, p.state)
			delete(f.peers, p.ID)
		}
		return over
	})
}
