package zonedirectory

import (
	"net/netip"
	"slices"

	"spurspread/decision/monotime"
)

const (
	// probeInterval is how often a delegate probes each other zone. The first of three delegates finds a failure in a
	// third of it and the time of the rounds, and has the others look. A shorter one finds it sooner and costs
	// messages between zones: with 11 other zones a delegate sends and receives 1,200 bytes a second of probes and
	// acks, unevenly, which with those of membership stays under 4,096 in any 10 s.
	probeInterval = 4250 * monotime.Millisecond
	// minProbeInterval is the least time after a probe until the next one, probeJitter what is added at random.
	minProbeInterval = probeInterval / 2
	probeJitter      = probeInterval / 20
	// downProbeInterval is how often, at most, a delegate probes a zone that it doesn't reach; up to downProbeJitter
	// less.
	downProbeInterval = 1250 * monotime.Millisecond
	downProbeJitter   = downProbeInterval / 4
	// minAckTimeout is how long an answer may take, or twice the usual round trip, up to maxAckTimeout.
	minAckTimeout    = 400 * monotime.Millisecond
	maxAckTimeout    = 2 * monotime.Second
	ackTimeoutPerRTT = 2
	rttWeight        = 4 // one new round trip counts for one in so many in the smoothed one
	// maxProbeRounds is how often a zone is probed before it counts as not reached, with one probe more each time:
	// the first contact, two others, and three more. So all MaxContacts are probed, and one message in twenty may be
	// lost.
	maxProbeRounds   = 3
	maxProbeAttempts = maxProbeRounds * (maxProbeRounds + 1) / 2
	// expediteWindow is the time within which all zones are probed where one is no longer reached, or is again.
	expediteWindow = 300 * monotime.Millisecond
	// lateAckWindow is how many of its own probes back an answer still shows that a zone is reached.
	lateAckWindow = 4096
)

// link is a delegate's connection to one other zone.
type link struct {
	contacts     []Contact
	contactIndex int // of the contact that is probed first
	nextProbeAt  monotime.Micros
	expedited    bool // the next probe begins with its second round

	probed bool // a probe has ended
	down   bool // the last one without an answer
	rtt    float64
	// divergedSince is since when the digest of the other zone's directories has differed, 0 while it does not.
	divergedSince monotime.Micros

	// The probe under way.
	round          int // 0 where none is
	roundStartedAt monotime.Micros
	firstSeq       uint32
	attempts       int // probes sent, numbered from firstSeq on
	sentAt         [maxProbeAttempts]monotime.Micros
}

// becomeDelegate has this member, which is a delegate now, find out for itself which zones it reaches.
func (d *Directory) becomeDelegate() {
	d.observing.complete = false
	for _, z := range d.zones {
		z.link = link{}
		d.refreshContacts(d.now, z)
		z.link.nextProbeAt = d.nextProbeSlot(d.now, z)
	}
}

// nextProbeSlot decides when a zone is probed next, minProbeInterval after a time at the earliest. Each zone and each
// delegate has a slot of its own in probeInterval, so that the first probe that fails follows soon on any failure of
// a zone, a region or all.
func (d *Directory) nextProbeSlot(after monotime.Micros, z *zoneState) monotime.Micros {
	at, _ := d.zoneIndex(z.id)
	zoneSlot := monotime.Micros(at) * probeInterval / monotime.Micros(len(d.zones))
	delegateSlot := monotime.Micros(d.ownRank) * probeInterval / Delegates
	slot := (zoneSlot + delegateSlot) % probeInterval
	earliest := after + minProbeInterval
	wait := (slot - earliest%probeInterval + probeInterval) % probeInterval
	return earliest + wait + d.jitter(probeJitter)
}

// resetContacts has this member, whose rank has changed, probe the contacts that are its own by that rank.
func (d *Directory) resetContacts() {
	for _, z := range d.zones {
		z.link.contacts = nil
		d.refreshContacts(d.now, z)
	}
}

// refreshContacts takes a zone's new contacts. Each delegate begins with another one, and keeps to one that answers
// as long as the contacts are the same.
func (d *Directory) refreshContacts(now monotime.Micros, z *zoneState) {
	l := &z.link
	if n := min(len(z.Contacts), Delegates); n > 0 && !slices.Equal(l.contacts, z.Contacts) {
		l.contacts = z.Contacts
		l.contactIndex = d.ownRank % n
	}
	if !l.probed && l.nextProbeAt == 0 {
		l.nextProbeAt = now
	}
}

// runProbes carries on the probes under way, and begins those that are due.
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
			d.startProbe(now, z)
		case l.round > 0 && now-l.roundStartedAt >= l.ackTimeout():
			d.probeRoundTimedOut(now, z)
		}
	}
	d.probeSeeds(now)
}

// ackTimeout decides how long an answer may take: minAckTimeout to maxAckTimeout.
func (l *link) ackTimeout() monotime.Micros {
	return min(max(minAckTimeout, monotime.Micros(ackTimeoutPerRTT*l.rtt)), maxAckTimeout)
}

func (d *Directory) startProbe(now monotime.Micros, z *zoneState) {
	l := &z.link
	l.firstSeq = d.nextSeq
	l.attempts = 0
	d.nextSeq += maxProbeAttempts
	if l.expedited {
		l.expedited = false
		l.round = 1
	}
	d.startProbeRound(now, z)
}

// startProbeRound sends as many probes as the round's number, one to a zone that is not reached.
func (d *Directory) startProbeRound(now monotime.Micros, z *zoneState) {
	l := &z.link
	l.round++
	l.roundStartedAt = now
	probes := l.round
	if l.down {
		probes = 1
	}
	for range probes {
		to := z.Contacts[(l.contactIndex+l.attempts)%len(z.Contacts)]
		d.send(to.Addr, to.ID, Message{Kind: Probe, Seq: l.firstSeq + uint32(l.attempts)})
		l.sentAt[l.attempts] = now
		l.attempts++
	}
}

// probeRoundTimedOut decides what follows a round without an answer: another round, or the zone is not reached. From
// then on its contacts are probed in turn.
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
	l.probed = true
	l.down = true
	l.round = 0
	l.nextProbeAt = now + downProbeInterval - downProbeJitter + d.jitter(downProbeJitter)
}

// expediteProbes has all zones probed within expediteWindow: what breaks one connection mostly breaks others.
func (d *Directory) expediteProbes(now monotime.Micros) {
	for _, z := range d.zones {
		if l := &z.link; l.round == 0 {
			l.expedited = true
			l.nextProbeAt = min(l.nextProbeAt, now+d.jitter(expediteWindow))
		}
	}
}

// verifyUnreachable has zones probed at once that others don't reach and this member does, as far as it knows, and
// all others within expediteWindow.
func (d *Directory) verifyUnreachable(now monotime.Micros, unreachable []ID) {
	for _, id := range unreachable {
		z := d.zoneByID(id)
		if z != nil && z.link.round == 0 && !z.link.down && id != d.ownZone {
			d.expediteProbes(now)
			z.link.nextProbeAt = min(z.link.nextProbeAt, now)
		}
	}
}

// handleProbeAck takes the answer to a probe: its zone is reached.
func (d *Directory) handleProbeAck(now monotime.Micros, from netip.AddrPort, m *Message) {
	d.noteSeed(from, m.Zone)
	z := d.zoneByID(m.Zone)
	if z == nil || z.id == d.ownZone || d.nextSeq-m.Seq > lateAckWindow {
		// A seed in a zone that is not known, or in the own one.
		if m.Digest != d.globalDigest && now >= d.nextSyncAt {
			d.requestSync(now, from, m.From, m.Zone)
		}
		return
	}
	l := &z.link
	newlyReached := l.down || !l.probed
	if l.down {
		d.expediteProbes(now)
	}
	l.probed = true
	l.down = false
	if attempt := m.Seq - l.firstSeq; l.round > 0 && attempt < uint32(l.attempts) {
		d.endProbe(now, z, m.From, now-l.sentAt[attempt])
	}
	d.syncIfDiverged(now, from, m, l, newlyReached)
}

// endProbe ends the probe under way with an answer of a contact, which is probed first from now on.
func (d *Directory) endProbe(now monotime.Micros, z *zoneState, contact MemberID, rtt monotime.Micros) {
	l := &z.link
	l.round = 0
	l.nextProbeAt = d.nextProbeSlot(now, z)
	if l.rtt == 0 {
		l.rtt = float64(rtt)
	}
	l.rtt += (float64(rtt) - l.rtt) / rttWeight
	if at := slices.IndexFunc(z.Contacts, func(c Contact) bool { return c.ID == contact }); at >= 0 {
		l.contactIndex = at
	}
}

// reachesZone reports whether this member has a connection to another zone.
func (d *Directory) reachesZone(id ID) bool {
	z := d.zoneByID(id)
	return id != 0 && z != nil && id != d.ownZone && z.link.probed && !z.link.down
}
