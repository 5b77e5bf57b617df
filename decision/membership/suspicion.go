package membership

import (
	"cmp"
	"slices"

	"spurspread/decision/monotime"
)

// How a member comes to be dead: a probe of it fails (see probeFailsAfter), and the observer reports that, unless
// it is Unhealthy. Once the observer has requiredReports, its own among them, it suspects the member and
// disseminates that. The member can refute it until MinSuspicionTimeout after suspicionStart. Then each observer
// whose own probes have failed declares it dead and disseminates that; all others take it from these.

const (
	// maxRequiredReports is how many members must have failed to reach one before it is suspected, where that many
	// can report. Of ten that probe with one message in five lost, two fail by chance a hundred times as often as
	// three.
	maxRequiredReports = 3
	// minRequiredOfSeveral is the same while there is a third member, though it is not in contact.
	minRequiredOfSeveral = 2
	// failureReportTimeout is how long a report that is not confirmed counts.
	failureReportTimeout = 2 * monotime.Second
	// indirectEvidenceDelay is how long others have known, at least, what this member learns from them: about the
	// time that an update takes through the fleet.
	indirectEvidenceDelay = 300 * monotime.Millisecond
	// maxSuspicionBackdate bounds how far before its confirmation a suspicion begins.
	maxSuspicionBackdate = 1 * monotime.Second
	// reportFanout is how many members receive a failure report.
	reportFanout = WatchersPerMember
)

// failureReport says that a member could not reach a peer, and since when.
type failureReport struct {
	by    ID
	since monotime.Micros
}

// suspectUpdate is this member's own report that it could not reach p.
func (f *Fleet) suspectUpdate(p *peer) Update {
	return Update{ID: p.ID, State: Suspect, Incarnation: p.incarnation, ReportedBy: f.self.ID}
}

// reportFailure takes a failed probe of this member. It counts for nothing while this member is Unhealthy.
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
	// Not enough reports yet: those that requested this probe get its result. Where it was this member's own, some
	// members get a report, so that they probe, and once more a little later, since either message may be lost.
	if !f.reportToRequesters(failed, report) {
		f.pendingReports = append(f.pendingReports, report)
		p.reportAgainAt = now + ackTimeout + f.expectedRTT(p)
	}
}

// reportToRequesters sends a report to those that requested the probe. It returns whether there are any.
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

// repeatReport queues this member's report once more where that is due.
func (f *Fleet) repeatReport(now monotime.Micros, p *peer) {
	if p.reportAgainAt == 0 || now < p.reportAgainAt {
		return
	}
	p.reportAgainAt = 0
	if p.ownProbeFailed && p.state == Alive {
		f.pendingReports = append(f.pendingReports, f.suspectUpdate(p))
	}
}

// sendFailureReports sends the pending reports in one message to some members, so that they probe for themselves.
// Those in contact come first.
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

// recordFailureReport takes a report that u.ReportedBy could not reach p since a time, or, without ReportedBy, that
// enough members could not. A single report makes p suspected by nobody: the reporter's own link may have failed.
// Some of those that receive it probe p themselves.
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

func (p *peer) reportedBy(id ID) bool {
	return slices.ContainsFunc(p.failureReports, func(report failureReport) bool { return report.by == id })
}

// corroborate decides whether this member probes p because another one reported it: its watchers always do, and of
// the others WatchersPerMember on average in a fleet of any size, all in a small one, since its watchers may be gone,
// too.
func (f *Fleet) corroborate(now monotime.Micros, p *peer) {
	drawn := f.rng.IntN(max(f.countState(Alive), 1)) < WatchersPerMember
	if drawn || slices.Contains(f.watchTargets(), p) {
		f.startProbe(now, p)
	}
}

// requiredReports decides how many members must have failed to reach p before it is suspected, this one among them:
// as many as can report, up to maxRequiredReports; only this one where p sends messages and reports it dead.
func (f *Fleet) requiredReports(p *peer) int {
	if p.partitioned {
		return 1
	}
	reporters := f.confirmers + 1
	if p.canConfirm {
		reporters--
	}
	if f.liveOthers() > 1 {
		reporters = max(reporters, minRequiredOfSeveral)
	}
	return min(maxRequiredReports, reporters)
}

// suspectIfConfirmed makes p suspected once this member's own probe has failed and requiredReports are there.
func (f *Fleet) suspectIfConfirmed(now monotime.Micros, p *peer) {
	if p.state == Alive && p.ownProbeFailed && len(p.failureReports) >= f.requiredReports(p) {
		f.suspect(now, f.suspicionStart(now, p), p)
	}
}

// suspect makes p suspected, counted from a time on, and disseminates that without naming the reporters.
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

// suspicionStart decides from when on a confirmed suspicion counts: from the second report on, but not before this
// member's own by more than an update takes, since earlier ones may be by chance, and at most maxSuspicionBackdate
// ago.
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

// declareDead declares those members dead whose suspicion has lasted for MinSuspicionTimeout and which this member
// could not reach itself, unless inContactWithOnlyPeer. One that still sends messages and reports this member dead is
// not paused: it is declared dead at once.
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

// inContactWithOnlyPeer reports whether this member, of two, received something of the other within contactTimeout.
// Nobody else can confirm that the other is gone, and it runs: what is lost is this member's way to it. Where that is
// cut for good the other one misses its answers, and reports this member dead.
func (f *Fleet) inContactWithOnlyPeer(now monotime.Micros, p *peer) bool {
	return f.liveOthers() <= 1 && now-p.lastContact < contactTimeout
}

// clearOwnFailure drops the evidence against a member that this one has just reached. A suspicion that others have
// confirmed stays until the member refutes it.
func (p *peer) clearOwnFailure() {
	p.ownProbeFailed = false
	if p.state == Alive {
		p.failureReports = nil
	}
}

// dropExpiredReports drops the reports that were not confirmed within failureReportTimeout.
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
