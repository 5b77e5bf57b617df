package membership

import (
	"cmp"
	"net/netip"
	"slices"
	"spurspread/decision/monotime"
)

// applyUpdate takes news, from whomever, and passes on what is new.
func (f *Fleet) applyUpdate(now monotime.Micros, r Update) {
	if r.ID == f.self.ID {
		f.applyOwnUpdate(now, r)
		return
	}
	p := f.peers[r.ID]
	if p == nil {
		f.addPeer(now, r)
		return
	}
	if r.Incarnation < p.incarnation || r.Incarnation == p.incarnation && r.State < p.state {
		return
	}
	if r.Incarnation == p.incarnation && r.State == p.state && r.ReportedBy == 0 {
		f.dissemination.countReceived(r, f.transmitLimit())
		return
	}
	if r.Incarnation == p.incarnation && r.State == Suspect {
		f.recordFailureReport(now, now, p, r)
		return
	}
	if r.State == Suspect { // under an incarnation that was not heard of: it lives there
		alive := r
		alive.State, alive.ReportedBy = Alive, 0
		f.setState(now, p, alive)
		f.recordFailureReport(now, now, p, r)
		return
	}
	if p.deadByOwnProbe && r.State == Alive {
		// news goes round where answers do not: whom this member could not reach it must reach first
		f.pingDead(now, p, r.Addr)
		return
	}
	if r.Incarnation > p.incarnation || r.State != p.state {
		f.setState(now, p, r)
	}
}

// pingDead pings one that this member holds dead, and that says otherwise.
func (f *Fleet) pingDead(now monotime.Micros, p *peer, at netip.AddrPort) {
	if now-p.lastProbe < ackTimeout {
		return
	}
	if !at.IsValid() {
		at = p.Addr
	}
	f.lastSeq += maxPingAttempts
	if p.lastProbe = now; p.firstDeadPing == 0 {
		p.firstDeadPing = f.lastSeq
	}
	f.send(at, p, Message{Kind: Ping, Seq: f.lastSeq})
}

// applyOwnUpdate takes what is said of this member itself.
func (f *Fleet) applyOwnUpdate(now monotime.Micros, r Update) {
	switch {
	case f.leaving:
	case r.State != Alive && r.Incarnation >= f.incarnation:
		if f.refute(r.Incarnation); r.State == Dead {
			f.recoverFromDeath(now)
		}
	case r.State == Alive && r.Instance != f.self.Instance && r.Instance != 0:
		if r.Incarnation >= f.incarnation || r.Instance > f.self.Instance {
			f.handleDuplicate(r.Instance, r.Incarnation)
		}
	case r.State == Alive && r.Incarnation > f.incarnation:
		f.refute(r.Incarnation) // from before this process, whose clock was ahead
	}
}

// handleDuplicate is word of another process that has this member's name. The later one is the member, so that a new version
// beside the old one is, and of two that claim a name by mistake at least one stays. Of a later one that has gone
// since, as where this machine's clock was set back, there may be word, too: it is contradicted once, and only one
// that answers is there.
func (f *Fleet) handleDuplicate(instance, inc uint64) {
	switch {
	case instance <= f.self.Instance || instance != f.duplicateInstance:
		f.refute(max(inc, f.incarnation))
		if instance > f.self.Instance {
			f.duplicateInstance, f.refutedIncarnation = instance, f.incarnation
		}
	case inc > f.refutedIncarnation:
		f.superseded = true
	}
}

// addPeer takes a member that was not known. Who is said to be dead and was never known is no news.
func (f *Fleet) addPeer(now monotime.Micros, r Update) {
	if r.State != Alive && r.State != Suspect || !r.Addr.IsValid() || len(f.peers) >= f.cfg.MaxMembers {
		return
	}
	p := &peer{
		Self:        Self{r.ID, r.Name, r.Addr, r.Instance},
		ringHash:    ringHashes(r.ID),
		incarnation: r.Incarnation,
		state:       Alive,
		stateSince:  now,
		lastContact: now,
	}
	f.revision++
	f.peers[r.ID] = p
	f.peerList = append(f.peerList, p)
	f.addToRings(p)
	f.toggleDigest(p.ID, p.incarnation, Alive)
	f.changes = append(f.changes, StateChange{p.ID, p.Name, Unknown, Alive, p.incarnation})
	r.State, r.ReportedBy = Alive, 0
	f.disseminate(r)
}

// setState changes what a member is held to be.
func (f *Fleet) setState(now monotime.Micros, p *peer, r Update) {
	was := p.state
	f.revision++
	f.toggleDigest(p.ID, p.incarnation, was)
	f.toggleDigest(p.ID, r.Incarnation, r.State)
	newer := r.Incarnation > p.incarnation
	if p.incarnation = r.Incarnation; newer && r.Addr.IsValid() {
		p.Addr, p.Instance = r.Addr, r.Instance
	}
	p.failureReports, p.ownProbeFailed, p.deadByOwnProbe, p.firstDeadPing, p.state = nil, false, false, 0, r.State
	if was != r.State {
		p.stateSince = now
		f.changes = append(f.changes, StateChange{p.ID, p.Name, was, r.State, r.Incarnation})
	}
	if r.State >= Dead {
		f.removeFromRings(p)
		p.probe = nil
	} else if was >= Dead {
		f.addToRings(p)
		p.lastContact, p.restoredAt, p.divergedSince = now, now, 0
	}
	f.disseminate(r)
}

// recordFailureReport takes word of one that could not reach a member since then, or, from nobody in particular, of as many as
// it takes. One alone makes nobody suspect: it may be its own link that is cut. Some of those who hear of it find
// out for themselves; once there are enough, this member among them, it is suspected, and all are told.
func (f *Fleet) recordFailureReport(since, now monotime.Micros, p *peer, r Update) {
	if r.ReportedBy == p.ID || p.state != Alive {
		return
	}
	if r.ReportedBy != 0 &&
		!slices.ContainsFunc(p.failureReports, func(a failureReport) bool { return a.by == r.ReportedBy }) {
		p.failureReports = append(p.failureReports, failureReport{r.ReportedBy, since})
		f.track(p)
	}
	if r.ReportedBy == 0 {
		f.suspect(now, now-indirectEvidenceDelay, p)
	}
	f.suspectIfConfirmed(now, p)
	if !p.ownProbeFailed && !f.leaving {
		f.corroborate(now, p)
	}
}

// suspectIfConfirmed has a peer suspected that as many have failed to reach as it takes, this member among them.
func (f *Fleet) suspectIfConfirmed(now monotime.Micros, p *peer) {
	if p.state == Alive && p.ownProbeFailed && len(p.failureReports) >= f.requiredReports(p) {
		f.suspect(now, f.suspicionStart(now, p), p)
	}
}

func (f *Fleet) suspect(now, since monotime.Micros, p *peer) {
	p.state, p.stateSince, p.suspicionStart, p.failureReports = Suspect, now, since, nil
	f.revision++
	f.suspectCount++
	f.track(p)
	f.changes = append(f.changes, StateChange{p.ID, p.Name, Alive, Suspect, p.incarnation})
	r := f.suspectUpdate(p)
	r.ReportedBy = 0
	f.disseminate(r)
}

// suspicionStart is from when on a suspicion counts: from the second accusation on, but from little before this member's
// own, since the others may be by chance, from before the peer fell silent, and its own is taken back when it
// reaches the peer.
func (f *Fleet) suspicionStart(now monotime.Micros, p *peer) monotime.Micros {
	slices.SortFunc(p.failureReports, func(a, b failureReport) int { return cmp.Compare(a.since, b.since) })
	at := p.failureReports[min(1, len(p.failureReports)-1)].since
	for _, a := range p.failureReports {
		if a.by == f.self.ID {
			at = max(at, a.since-indirectEvidenceDelay-f.expectedRTT(p))
		}
	}
	return max(at, now-maxSuspicionBackdate)
}

// syncIfDiverged has views compared that have differed for a while.
func (f *Fleet) syncIfDiverged(now monotime.Micros, p *peer, digest uint64) {
	if digest == f.digest {
		p.divergedSince, p.restoredAt = 0, 0
		f.joined = true
		return
	}
	if p.divergedSince == 0 {
		p.divergedSince = now
	}
	if now-p.divergedSince >= divergenceTolerance && now >= f.nextSyncAt {
		f.nextSyncAt, p.divergedSince = now+syncInterval+f.jitter(syncInterval/2), now
		f.send(p.Addr, p, Message{Kind: SyncSums, BucketSums: f.foldedSums()})
	}
}

// replyEntries answers with what this view has in the buckets that differ, as far as a few messages hold; which ones changes
// with each answer, so that all come in time.
func (f *Fleet) replyEntries(m Message, reply func(Message)) {
	if len(m.BucketSums) != SyncBuckets {
		return
	}
	sums := f.foldedSums()
	var out []Update
	add := func(id ID, r Update) {
		if b := uint64(id) % SyncBuckets; sums[b] != m.BucketSums[b] {
			out = append(out, r)
		}
	}
	if add(f.self.ID, f.ownUpdate(Alive)); f.leaving {
		out = nil
	}
	for _, p := range f.peerList {
		s := p.state
		if s == Suspect {
			s = Alive
		}
		add(
			p.ID,
			Update{ID: p.ID, State: s, Incarnation: p.incarnation, Instance: p.Instance, Name: p.Name, Addr: p.Addr},
		)
	}
	f.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	for range maxSyncReplies {
		part := out[:countFitting(out, max(int(f.controlBudget), 0))]
		if out = out[len(part):]; len(part) == 0 {
			return
		}
		reply(Message{Kind: SyncEntries, Updates: part})
	}
}
