package membership

import (
	"cmp"
	"slices"

	"spurspread/decision/monotime"
)

// How a member is declared dead: when an observer's probe of it fails (see probeFailsAfter), the observer reports that
// to other members, unless it is Unhealthy. Once the observer has requiredReports, including its own, it suspects the
// member and disseminates the suspicion. The member can refute it until MinSuspicionTimeout after suspicionStart. After
// that, each observer whose own probes have failed declares the member dead and disseminates that; all other members
// adopt it from these updates.

const (
	// maxRequiredReports is the number of members whose probes must have failed before a member is suspected, if that
	// many are able to report. With ten observers and one message in five lost, two observers fail by chance a hundred
	// times as often as three.
	maxRequiredReports = 3
	// minRequiredReports is the lower bound while there is a third live member, even if that one is not in contact.
	minRequiredReports = 2
	// failureReportTimeout is the time after which an unconfirmed failure report expires.
	failureReportTimeout = 2 * monotime.Second
	// indirectEvidenceDelay is about the time that an update takes to reach all members. A suspicion learned from
	// others is assumed to have started this long ago. One confirmed by this member starts at most this long, plus one
	// round trip, before its own report.
	indirectEvidenceDelay = 300 * monotime.Millisecond
	// maxSuspicionBackdate bounds the time by which the start of a suspicion precedes its confirmation.
	maxSuspicionBackdate = 1 * monotime.Second
	// reportFanout is the number of members that receive a failure report.
	reportFanout = WatchersPerMember
)

// failureReport records that a member has failed to reach a peer, and since when.
type failureReport struct {
	by    ID
	since monotime.Micros
}

// suspectUpdate returns this member's failure report about p.
func (f *Fleet) suspectUpdate(p *peer) Update {
	return Update{ID: p.ID, State: Suspect, Incarnation: p.incarnation, ReportedBy: f.self.ID}
}

// reportFailure processes a failed probe by this member. It is ignored while this member is Unhealthy.
func (f *Fleet) reportFailure(now monotime.Micros, p *peer, failed *probe) {
	if f.Unhealthy(now) || p.state != Alive && p.state != Suspect {
		return
	}
	f.FailureReports++
	report := f.suspectUpdate(p)
	f.countFailedProbe()
	if f.sweeping() {
		f.pendingSweepPings = min(f.pendingSweepPings+sweepPingsPerFailure, maxPendingSweepPings)
	}
	p.ownProbeFailed = true
	expectedRTT := f.expectedRTT(p)
	since := failed.startedAt + max(probeTimeout, expectedRTT+expectedRTT)
	f.recordFailureReport(now, since, p, report)
	if p.state != Alive {
		return
	}
	// There are not enough reports yet. If other members requested this probe, they get the report. Otherwise the
	// report goes to some members, so that these probe p as well, and is repeated a little later, since either message
	// may get lost.
	if !f.reportToRequesters(failed, report) {
		f.pendingReports = append(f.pendingReports, report)
		p.reportAgainAt = now + ackTimeout + f.expectedRTT(p)
	}
}

// reportToRequesters sends a report to the members that requested the probe. It reports whether there are any.
func (f *Fleet) reportToRequesters(failed *probe, report Update) bool {
	found := false
	for _, request := range f.indirectPings {
		requester := f.peers[request.requester]
		if request.firstSeq == failed.firstSeq && requester != nil {
			found = true
			f.send(requester.Addr, requester, Message{Kind: Gossip, Updates: []Update{report}})
		}
	}
	return found
}

// repeatReport queues this member's report about p once more when that is due.
func (f *Fleet) repeatReport(now monotime.Micros, p *peer) {
	if p.reportAgainAt == 0 || now < p.reportAgainAt {
		return
	}
	p.reportAgainAt = 0
	if p.ownProbeFailed && p.state == Alive {
		f.pendingReports = append(f.pendingReports, f.suspectUpdate(p))
	}
}

// sendFailureReports sends the pending reports in one message to some members, so that these probe for themselves.
// Members that can confirm a failure are preferred.
func (f *Fleet) sendFailureReports() {
	f.pendingReports = slices.DeleteFunc(f.pendingReports, func(report Update) bool {
		p := f.peers[report.ID]
		return p == nil || p.state != Alive || !p.ownProbeFailed
	})
	reports := f.pendingReports[:countFitting(f.pendingReports, maxUpdateBytes)]
	f.pendingReports = f.pendingReports[len(reports):]
	if len(reports) == 0 {
		return
	}
	receivers := f.randomPeers(reportFanout, func(p *peer) bool { return p.canConfirm && !p.ownProbeFailed })
	if missing := reportFanout - len(receivers); missing > 0 {
		others := f.randomPeers(missing, func(p *peer) bool { return p.isReachable() && !p.canConfirm })
		receivers = append(receivers, others...)
	}
	for _, p := range receivers {
		f.send(p.Addr, p, Message{Kind: Gossip, Updates: slices.Clone(reports)})
	}
}

// recordFailureReport records the report that u.ReportedBy has failed to reach p since the given time, or, if
// ReportedBy is 0, that enough members have. One report never makes p suspected, since the reporter's own link may have
// failed; some of the members that receive it probe p themselves.
func (f *Fleet) recordFailureReport(now, since monotime.Micros, p *peer, u Update) {
	if u.ReportedBy == p.ID || p.state != Alive {
		return
	}
	if u.ReportedBy == 0 {
		f.suspect(now, now-indirectEvidenceDelay, p)
	} else if !p.reportedBy(u.ReportedBy) {
		p.failureReports = append(p.failureReports, failureReport{by: u.ReportedBy, since: since})
		f.track(p)
	}
	f.suspectIfConfirmed(now, p)
	if !p.ownProbeFailed && !f.leaving {
		f.corroborate(now, p)
	}
}

// reportedBy reports whether there is a failure report by the member id.
func (p *peer) reportedBy(id ID) bool {
	return slices.ContainsFunc(p.failureReports, func(report failureReport) bool { return report.by == id })
}

// corroborate decides whether this member probes p because another one has reported it, and if so starts the probe. The
// watchers of p always do. Since these may have failed too, each other member does so with a probability that gives
// WatchersPerMember probes on average, regardless of the fleet's size; in a small fleet, all do.
func (f *Fleet) corroborate(now monotime.Micros, p *peer) {
	drawn := f.rng.IntN(max(f.countState(Alive), 1)) < WatchersPerMember
	if drawn || slices.Contains(f.watchTargets(), p) {
		f.startProbe(now, p)
	}
}

// requiredReports returns the number of reports, including this member's own, that make p suspected: the number of
// members able to report, up to maxRequiredReports. This member's own report suffices if p still sends messages and
// considers this member dead.
func (f *Fleet) requiredReports(p *peer) int {
	if p.partitioned {
		return 1
	}
	reporters := f.confirmers + 1
	if p.canConfirm {
		reporters--
	}
	if f.liveOthers() > 1 {
		reporters = max(reporters, minRequiredReports)
	}
	return min(maxRequiredReports, reporters)
}

// suspectIfConfirmed makes p suspected if this member's own probe has failed and there are requiredReports.
func (f *Fleet) suspectIfConfirmed(now monotime.Micros, p *peer) {
	if p.state == Alive && p.ownProbeFailed && len(p.failureReports) >= f.requiredReports(p) {
		f.suspect(now, f.suspicionStart(now, p), p)
	}
}

// suspect makes p suspected, with a timeout that starts at since, and disseminates the suspicion without naming the
// reporters.
func (f *Fleet) suspect(now, since monotime.Micros, p *peer) {
	p.state = Suspect
	p.stateSince = now
	p.suspicionStart = since
	p.failureReports = nil
	f.revision++
	f.suspectCount++
	f.track(p)
	f.recordChange(p, Alive)
	confirmed := f.suspectUpdate(p)
	confirmed.ReportedBy = 0
	f.disseminate(confirmed)
}

// suspicionStart returns the start of a confirmed suspicion: the time of the second report, since the first may be due
// to chance. It is at most indirectEvidenceDelay plus one round trip before this member's own report, and at most
// maxSuspicionBackdate ago.
func (f *Fleet) suspicionStart(now monotime.Micros, p *peer) monotime.Micros {
	slices.SortFunc(p.failureReports, func(a, b failureReport) int { return cmp.Compare(a.since, b.since) })
	second := min(1, len(p.failureReports)-1)
	start := p.failureReports[second].since
	for _, report := range p.failureReports {
		if report.by == f.self.ID {
			start = max(start, report.since-indirectEvidenceDelay-f.expectedRTT(p))
		}
	}
	return max(start, now-maxSuspicionBackdate)
}

// declareDead declares dead the suspects that this member's own probes failed to reach and whose suspicion has lasted
// for MinSuspicionTimeout, unless inContactWithOnlyPeer. A suspect that still sends messages and reports this member
// dead is not just paused, and is declared dead at once.
func (f *Fleet) declareDead(now monotime.Micros) {
	if f.suspectCount == 0 || f.Unhealthy(now) {
		return
	}
	for _, p := range slices.Clone(f.peerList) {
		if p.state != Suspect || !p.ownProbeFailed {
			continue
		}
		if p.partitioned || now-p.suspicionStart >= MinSuspicionTimeout && !f.inContactWithOnlyPeer(now, p) {
			f.applyUpdate(now, Update{ID: p.ID, State: Dead, Incarnation: p.incarnation})
			p.deadByOwnProbe = true
		}
	}
}

// inContactWithOnlyPeer reports whether p is the only other live member and has sent a message within contactTimeout.
// In that case nobody else can confirm a failure, and p is running: only the path from this member to p loses messages.
// If that path stays cut, p misses this member's acks and reports it dead.
func (f *Fleet) inContactWithOnlyPeer(now monotime.Micros, p *peer) bool {
	return f.liveOthers() <= 1 && now-p.lastContact < contactTimeout
}

// clearOwnFailure drops the evidence against a member that this one has just reached. A confirmed suspicion remains
// until the member refutes it.
func (p *peer) clearOwnFailure() {
	p.ownProbeFailed = false
	if p.state == Alive {
		p.failureReports = nil
	}
}

// dropExpiredReports removes the reports that were not confirmed within failureReportTimeout.
func (f *Fleet) dropExpiredReports(now monotime.Micros) {
	for _, p := range f.peerList {
		if p.state != Alive || len(p.failureReports) == 0 {
			continue
		}
		p.failureReports = slices.DeleteFunc(p.failureReports, func(report failureReport) bool {
			return now-report.since > failureReportTimeout
		})
		p.ownProbeFailed = p.ownProbeFailed && len(p.failureReports) > 0
	}
}
