package zonedirectory

import (
	"net/netip"
	"slices"
	"spurspread/decision/monotime"
)

const (
	// probeInterval is how often a delegate probes each other zone. The first of three finds a cut in a third of it
	// and the time of the tries, and has the others look. With 11 other zones a delegate sends and receives 1,200
	// bytes a second of probes and answers, spread unevenly over 10 s, which with member.Fleet's stays under 4,096:
	// 3.25 s had 4,509 in the worst 10 s of 1,500.
	probeInterval = 4250 * ms
	// downProbeInterval is the same for a zone that it does not reach.
	downProbeInterval = 1250 * ms
	// minAckTimeout is how long an answer is waited for, or twice what answers took, up to tryMost.
	minAckTimeout = 400 * ms
	maxAckTimeout = 2 * sec
	// maxProbeRounds is how often it tries before it holds the zone unreachable, with one probe more each time: the first
	// contact, two others, and three more, so that all six are asked, and one message in twenty may be lost without
	// being missed.
	maxProbeRounds   = 3
	maxProbeAttempts = maxProbeRounds * (maxProbeRounds + 1) / 2
	// expediteWindow is within which all others are probed when a zone is no longer reached, or is again.
	expediteWindow = 300 * ms
	// lateAckWindow is how many of its probes back an answer is a sign that the zone is reached.
	lateAckWindow = 4096

	// divergenceTolerance is how long a directory may differ before it is compared: what is new comes by itself, mostly.
	divergenceTolerance = 700 * ms
	// seedProbeInterval is how often seeds are asked that have not answered, or whose zone is not reached; so many at once.
	seedProbeInterval = 5 * sec
	maxSeedProbes     = 4

	// joinInterval is how often a new process asks other seeds, joinNear how many that may be of its zone.
	joinInterval      = 500 * ms
	maxLocalJoinSeeds = 3
)

// link is a delegate's connection to one other zone.
type link struct {
	contactIndex int // the contact that is asked first
	contacts     []Contact
	nextProbeAt  monotime.Micros
	// The probe under way: its numbers from seq on, when each was sent, and how often it was tried.
	firstSeq       uint32
	sentAt         [maxProbeAttempts]monotime.Micros
	attempts       int
	round          int
	roundStartedAt monotime.Micros
	probed, down   bool
	expedited      bool // the next probe asks two contacts at first
	rtt            float64
	divergedSince  monotime.Micros // since when its directory differs
}

// becomeDelegate has this member, that became a delegate, find out for itself what it reaches.
func (d *Directory) becomeDelegate() {
	d.observing.complete = false
	for _, z := range d.zones {
		z.link = link{}
		d.refreshContacts(d.now, z)
		z.link.nextProbeAt = d.nextProbeSlot(d.now, z)
	}
}

// nextProbeSlot is when a zone is to be probed next, about probeEvery after a time. Each zone and each delegate has its own
// moment in that span, so that the first probe that fails comes soon after whatever befalls a zone, a region or
// all.
func (d *Directory) nextProbeSlot(after monotime.Micros, z *zoneState) monotime.Micros {
	at, _ := d.zoneIndex(z.id)
	phase := (monotime.Micros(at)*probeInterval/monotime.Micros(len(d.zones)) + monotime.Micros(d.ownRank)*probeInterval/Delegates) % probeInterval
	soonest := after + probeInterval/2
	wait := (phase - soonest%probeInterval + probeInterval) % probeInterval
	return soonest + wait + monotime.Micros(d.rng.Int64N(int64(probeInterval/20)))
}

// resetContacts has this member, whose rank has changed, ask the contacts that it is to ask by its rank.
func (d *Directory) resetContacts() {
	for _, z := range d.zones {
		z.link.contacts = nil
		d.refreshContacts(d.now, z)
	}
}

// refreshContacts takes a zone's new contacts: each delegate asks another one first. Whoever has answered instead is asked
// as long as the contacts stay.
func (d *Directory) refreshContacts(now monotime.Micros, z *zoneState) {
	l := &z.link
	if n := min(len(z.Contacts), Delegates); n > 0 && !slices.Equal(l.contacts, z.Contacts) {
		l.contactIndex, l.contacts = d.ownRank%n, z.Contacts
	}
	if !l.probed && l.nextProbeAt == 0 {
		l.nextProbeAt = now
	}
}

// runProbes asks the other zones what is due, and finds out what is not answered.
func (d *Directory) runProbes(now monotime.Micros) {
	if !d.isActiveDelegate() {
		for _, z := range d.zones {
			z.link.round = 0
		}
		return
	}
	for _, z := range d.zones {
		if z.id == d.ownZone || len(z.Contacts) == 0 {
			continue
		}
		switch l := &z.link; {
		case l.round == 0 && now >= l.nextProbeAt:
			l.firstSeq, l.attempts = d.nextSeq, 0
			d.nextSeq += maxProbeAttempts
			if l.expedited {
				l.expedited, l.round = false, 1
			}
			d.startProbeRound(now, z)
		case l.round > 0 && now-l.roundStartedAt >= l.ackTimeout():
			d.probeRoundTimedOut(now, z)
		}
	}
	d.probeSeeds(now)
}

// ackTimeout is how long an answer may take.
func (l *link) ackTimeout() monotime.Micros {
	return min(max(minAckTimeout, monotime.Micros(2*l.rtt)), maxAckTimeout)
}

// startProbeRound sends the probes of one round more.
func (d *Directory) startProbeRound(now monotime.Micros, z *zoneState) {
	l := &z.link
	l.round++
	l.roundStartedAt = now
	n := l.round
	if l.down {
		n = 1
	}
	for range n {
		to := z.Contacts[(l.contactIndex+l.attempts)%len(z.Contacts)]
		d.send(to.Addr, to.ID, Message{Kind: Probe, Seq: l.firstSeq + uint32(l.attempts)})
		l.sentAt[l.attempts] = now
		l.attempts++
	}
}

// probeRoundTimedOut tries again, or holds the zone unreachable. From then on its contacts are asked in turn.
func (d *Directory) probeRoundTimedOut(now monotime.Micros, z *zoneState) {
	l := &z.link
	if !l.down && l.round < maxProbeRounds {
		d.startProbeRound(now, z)
		return
	}
	if l.down {
		l.contactIndex = (l.contactIndex + 1) % len(z.Contacts)
	} else {
		d.expediteProbes(now)
	}
	l.probed, l.down, l.round = true, true, 0
	l.nextProbeAt = now + downProbeInterval*3/4 + monotime.Micros(d.rng.Int64N(int64(downProbeInterval/4)))
}

// expediteProbes has all zones probed soon: what befell one connection has mostly befallen others.
func (d *Directory) expediteProbes(now monotime.Micros) {
	for _, z := range d.zones {
		if l := &z.link; l.round == 0 {
			l.expedited, l.nextProbeAt = true, min(
				l.nextProbeAt,
				now+monotime.Micros(d.rng.Int64N(int64(expediteWindow))),
			)
		}
	}
}

// verifyUnreachable probes zones at once that others do not reach and this member does, as far as it knows, and all others soon.
func (d *Directory) verifyUnreachable(now monotime.Micros, unreachable []ID) {
	for _, id := range unreachable {
		if z := d.zoneByID(id); z != nil && z.link.round == 0 && !z.link.down && id != d.ownZone {
			d.expediteProbes(now)
			z.link.nextProbeAt = min(z.link.nextProbeAt, now)
		}
	}
}

// handleProbeAck takes the answer to a probe.
func (d *Directory) handleProbeAck(now monotime.Micros, from netip.AddrPort, m *Message) {
	d.noteSeed(from, m.Zone)
	z := d.zoneByID(m.Zone)
	if z == nil || z.id == d.ownZone || d.nextSeq-m.Seq > lateAckWindow {
		if m.Digest != d.globalDigest && now >= d.nextSyncAt { // a seed of a zone that is not known, or of this one
			d.requestSync(now, from, m.From, m.Zone)
		}
		return
	}
	l := &z.link
	wasDown := l.down || !l.probed
	if l.down {
		d.expediteProbes(now)
	}
	l.probed, l.down = true, false
	if nth := m.Seq - l.firstSeq; l.round > 0 && nth < uint32(l.attempts) {
		l.round = 0
		l.nextProbeAt = d.nextProbeSlot(now, z)
		took := float64(now - l.sentAt[nth])
		if l.rtt == 0 {
			l.rtt = took
		}
		l.rtt += (took - l.rtt) / 4
		if at := slices.IndexFunc(z.Contacts, func(c Contact) bool { return c.ID == m.From }); at >= 0 {
			l.contactIndex = at
		}
	}
	d.syncIfDiverged(now, from, m, l, wasDown)
}

// syncIfDiverged has the directories compared where they differ: at once after a zone was not reached, else if that lasts.
func (d *Directory) syncIfDiverged(now monotime.Micros, from netip.AddrPort, m *Message, l *link, atOnce bool) {
	switch {
	case m.Digest == d.globalDigest:
		l.divergedSince = 0
	case atOnce || l.divergedSince > 0 && now-l.divergedSince >= divergenceTolerance || now-d.changedAt >= divergenceTolerance:
		l.divergedSince = 0
		d.requestSync(now, from, m.From, m.Zone)
		l.nextProbeAt = min(l.nextProbeAt, now+divergenceTolerance)
	default:
		if l.divergedSince == 0 {
			l.divergedSince = now
		}
		l.nextProbeAt = min(l.nextProbeAt, now+divergenceTolerance)
	}
}

// noteSeed remembers in which zone a seed is.
func (d *Directory) noteSeed(from netip.AddrPort, zone ID) {
	if !slices.Contains(d.cfg.Seeds, from) {
		return
	}
	if len(d.seedZones) > 2*len(d.cfg.Seeds) { // they were others before
		clear(d.seedZones)
	}
	d.seedZones[from] = zone
}

// probeSeeds asks seeds that this zone may not know of: those that have not answered, and those whose zone is not
// reached.
func (d *Directory) probeSeeds(now monotime.Micros) {
	if now < d.nextSeedProbeAt || len(d.cfg.Seeds) == 0 {
		return
	}
	d.nextSeedProbeAt = now + seedProbeInterval*9/10 + monotime.Micros(d.rng.Int64N(int64(seedProbeInterval/5)))
	asked := 0
	for range d.cfg.Seeds {
		d.seedIndex = (d.seedIndex + 1) % len(d.cfg.Seeds)
		at := d.cfg.Seeds[d.seedIndex]
		if at == d.cfg.Self.Addr || slices.ContainsFunc(d.zonePeers, func(m Member) bool { return m.Addr == at }) ||
			d.reachesZone(d.seedZones[at]) {
			continue
		}
		d.send(at, 0, Message{Kind: Probe, Seq: d.nextSeq})
		d.nextSeq++
		if asked++; asked >= maxSeedProbes {
			return
		}
	}
}

// reachesZone tells whether this member has a connection to another zone.
func (d *Directory) reachesZone(id ID) bool {
	z := d.zoneByID(id)
	return id != 0 && z != nil && id != d.ownZone && z.link.probed && !z.link.down
}

// JoinSeeds are the seeds that member.Fleet is to ask from now on: a few of those that may be of this zone, and one
// of another, which tells of this zone's contacts. They are to be given to member.Fleet.Seeds before each Tick.
func (d *Directory) JoinSeeds(now monotime.Micros) []netip.AddrPort {
	if now < d.nextJoinAt || len(d.zonePeers) > 0 && len(d.joinSeeds) > 0 {
		return d.joinSeeds
	}
	d.nextJoinAt = now + joinInterval
	var near, far []netip.AddrPort
	for _, a := range d.cfg.Seeds {
		if z := d.seedZones[a]; z != 0 && z != d.ownZone {
			far = append(far, a)
		} else {
			near = append(near, a)
		}
	}
	for _, list := range [][]netip.AddrPort{near, far} {
		d.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	d.joinSeeds = append(near[:min(len(near), maxLocalJoinSeeds)], far[:min(len(far), 1)]...)
	return d.joinSeeds
}
