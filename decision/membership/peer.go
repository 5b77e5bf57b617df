package membership

import "spurspread/decision/monotime"

// peer is this member's state about another member.
type peer struct {
	Self
	ringHash    [WatchersPerMember]uint64
	state       State
	incarnation uint64
	stateSince  monotime.Micros

	// Messages received from it.
	lastContact   monotime.Micros // last message of any kind
	lastAck       monotime.Micros // last answer to one of this member's pings
	reportsUsDead bool            // by its last message, this member is dead or has left
	partitioned   bool            // reportsUsDead, by a message within the last contactTimeout
	canConfirm    bool            // see countConfirmers

	// Probes of it.
	probe     *probe // in progress, nil if there is none
	lastProbe monotime.Micros
	tracked   bool    // in trackedPeers
	rtt       float64 // smoothed round-trip time, microseconds; 0 if unknown

	// Evidence that it has failed.
	ownProbeFailed bool            // this member's last probe of it failed, under this incarnation
	failureReports []failureReport // received before it is suspected
	reportAgainAt  monotime.Micros // when this member repeats its report, 0 if it does not
	suspicionStart monotime.Micros // start of the suspicion timeout
	deadByOwnProbe bool            // declared dead by this member
	firstDeadPing  uint32          // sequence number of the first ping since then, 0 if none

	// View synchronization.
	restoredAt    monotime.Micros // last return from Dead or Left, 0 if never or once its digest has matched
	divergedSince monotime.Micros // start of the current digest mismatch, 0 if the digests match

	// Message loss in each direction.
	pingsSent           float64 // to it
	acksReceived        float64 // from it
	pingsDelivered      float64 // of pingsSent, as counted by its acks
	pingsDeliveredTotal uint32  // PingsReceived of its last ack
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

// addPeer adds an unknown member. It ignores an update that declares an unknown member dead or says that it has left,
// and members beyond Config.MaxMembers.
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

// setState applies an overriding update to a known member and disseminates it.
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

// randomPeers returns up to n distinct random members that are eligible.
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

// countState returns the number of other members in a state.
func (f *Fleet) countState(s State) int {
	count := 0
	for _, p := range f.peerList {
		if p.state == s {
			count++
		}
	}
	return count
}

// liveOthers returns the number of other members that are alive or suspected.
func (f *Fleet) liveOthers() int { return len(f.rings[0]) }
