package membership

import "spurspread/decision/monotime"

// peer is another member.
type peer struct {
	Self
	ringHash    [WatchersPerMember]uint64
	state       State
	incarnation uint64
	stateSince  monotime.Micros

	// What it has sent.
	lastContact   monotime.Micros // any message
	lastAck       monotime.Micros // an answer to a ping of this member
	reportsUsDead bool            // in its last message
	partitioned   bool            // it reported this member dead within contactTimeout
	canConfirm    bool            // see countConfirmers

	// Probes of it.
	probe     *probe // under way, nil where none is
	lastProbe monotime.Micros
	tracked   bool    // it is in trackedPeers
	rtt       float64 // of answered pings, smoothed, microseconds; 0 where none is known

	// Evidence that it has failed.
	ownProbeFailed bool            // the last probe by this member, under this incarnation
	failureReports []failureReport // before it is suspected
	reportAgainAt  monotime.Micros // when this member repeats its report; 0 where it does not
	suspicionStart monotime.Micros // from when on its suspicion counts
	deadByOwnProbe bool            // declared dead by this member itself
	firstDeadPing  uint32          // the first ping since then, 0 where there was none

	// Its view.
	restoredAt    monotime.Micros // when it was last considered alive again, 0 where never or since its view agreed
	divergedSince monotime.Micros // since when its digest has differed, 0 while it does not

	// Message loss in each direction.
	pingsSent           float64 // to it
	acksReceived        float64 // from it
	pingsDelivered      float64 // of pingsSent, by its acks
	pingsDeliveredTotal uint32  // as its last ack has it
	pingsReceivedTotal  uint32  // from it
}

// isReachable reports whether the peer is alive and this member's last probe of it did not fail.
func (p *peer) isReachable() bool { return p.state == Alive && !p.ownProbeFailed }

// clearEvidence drops all evidence that the peer has failed.
func (p *peer) clearEvidence() {
	p.failureReports = nil
	p.ownProbeFailed = false
	p.deadByOwnProbe = false
	p.firstDeadPing = 0
}

// addPeer adds a member that was not known. An update that declares an unknown member dead or gone is ignored, and so
// is a member beyond Config.MaxMembers.
func (f *Fleet) addPeer(now monotime.Micros, u Update) {
	known := u.State == Alive || u.State == Suspect
	if !known || !u.Addr.IsValid() || len(f.peers) >= f.cfg.MaxMembers {
		return
	}
	p := &peer{
		Self:        Self{ID: u.ID, Name: u.Name, Addr: u.Addr, Instance: u.Instance},
		ringHash:    ringHashes(u.ID),
		state:       Alive,
		incarnation: u.Incarnation,
		stateSince:  now,
		lastContact: now,
	}
	f.revision++
	f.peers[u.ID] = p
	f.peerList = append(f.peerList, p)
	f.addToRings(p)
	f.toggleDigest(p.ID, p.incarnation, Alive)
	f.recordChange(p, Unknown)
	u.State, u.ReportedBy = Alive, 0
	f.disseminate(u)
}

// setState puts an update of a known member into effect that overrides what was known, and disseminates it.
func (f *Fleet) setState(now monotime.Micros, p *peer, u Update) {
	before := p.state
	f.revision++
	f.toggleDigest(p.ID, p.incarnation, before)
	f.toggleDigest(p.ID, u.Incarnation, u.State)
	if u.Incarnation > p.incarnation && u.Addr.IsValid() {
		p.Addr, p.Instance = u.Addr, u.Instance
	}
	p.incarnation = u.Incarnation
	p.state = u.State
	p.clearEvidence()
	if before != p.state {
		p.stateSince = now
		f.recordChange(p, before)
	}
	switch {
	case p.state >= Dead:
		f.removeFromRings(p)
		p.probe = nil
	case before >= Dead:
		f.addToRings(p)
		p.lastContact = now
		p.restoredAt = now
		p.divergedSince = 0
	}
	f.disseminate(u)
}

func (f *Fleet) recordChange(p *peer, from State) {
	change := StateChange{ID: p.ID, Name: p.Name, From: from, To: p.state, Incarnation: p.incarnation}
	f.changes = append(f.changes, change)
}

// randomPeers draws up to n different members that are eligible.
func (f *Fleet) randomPeers(n int, eligible func(*peer) bool) []*peer {
	var candidates []*peer
	for _, p := range f.peerList {
		if eligible(p) {
			candidates = append(candidates, p)
		}
	}
	n = min(n, len(candidates))
	for i := range n {
		j := i + f.rng.IntN(len(candidates)-i)
		candidates[i], candidates[j] = candidates[j], candidates[i]
	}
	return candidates[:n]
}

func (f *Fleet) countState(s State) int {
	count := 0
	for _, p := range f.peerList {
		if p.state == s {
			count++
		}
	}
	return count
}

// liveOthers is how many other members are alive or suspected.
func (f *Fleet) liveOthers() int { return len(f.rings[0]) }
