package zonedirectory

import (
	"net/netip"
	"slices"

	"spurspread/decision/monotime"
)

const (
	// probeInterval is the interval at which a delegate probes each other zone. The probes of the three delegates are
	// staggered: the first of them detects a failure within a third of the interval plus the time of the probe rounds,
	// and triggers probes by the others. A shorter interval detects a failure sooner and costs messages between zones:
	// with 11 other zones, a delegate sends and receives 1,200 bytes per second of probes and acks, unevenly
	// distributed. Together with membership messages that stays under 4,096 bytes per second over any 10 s.
	probeInterval = 4250 * monotime.Millisecond
	// minProbeInterval is the minimum time between two probes of a zone; probeJitter is the maximum random addition.
	minProbeInterval = probeInterval / 2
	probeJitter      = probeInterval / 20
	// downProbeInterval is the maximum time between two probes of a zone that a delegate cannot reach. A random time up
	// to downProbeJitter is subtracted.
	downProbeInterval = 1250 * monotime.Millisecond
	downProbeJitter   = downProbeInterval / 4
	// The ack timeout is ackTimeoutPerRTT times the smoothed round-trip time, at least minAckTimeout and at most
	// maxAckTimeout.
	minAckTimeout    = 400 * monotime.Millisecond
	maxAckTimeout    = 2 * monotime.Second
	ackTimeoutPerRTT = 2
	rttWeight        = 4 // a new sample contributes 1/rttWeight to the smoothed round-trip time
	// maxProbeRounds is the number of unanswered rounds after which a zone counts as down. Each round sends one probe
	// more than the previous one: to the first contact, to two others, and to three more. All MaxContacts are thereby
	// probed, and one message in twenty may be lost without a false result.
	maxProbeRounds   = 3
	maxProbeAttempts = maxProbeRounds * (maxProbeRounds + 1) / 2
	// expediteWindow is the time within which all zones are probed after one of them became unreachable or reachable
	// again.
	expediteWindow = 300 * monotime.Millisecond
	// lateAckWindow is the age of a probe, in sequence numbers of this member, up to which its ack still shows that a
	// zone is reachable.
	lateAckWindow = 4096
)

// link is a delegate's connection to one other zone.
type link struct {
	contacts     []Contact
	contactIndex int // of the contact to probe first
	nextProbeAt  monotime.Micros
	expedited    bool // the next probe starts with its second round

	probed bool // a probe has been completed
	down   bool // the last completed probe got no ack
	rtt    float64
	// divergedSince is the start of the current mismatch with the other zone's digest, 0 if the digests match.
	divergedSince monotime.Micros

	// The probe in progress.
	round          int // 0 if there is none
	roundStartedAt monotime.Micros
	firstSeq       uint32
	attempts       int // probes sent, numbered from firstSeq on
	sentAt         [maxProbeAttempts]monotime.Micros
}

// becomeDelegate resets the links of this member, which has just become a delegate, so that it determines for itself
// which zones it can reach.
func (d *Directory) becomeDelegate() {
	d.observation.complete = false
	for _, z := range d.zones {
		z.link = link{}
		d.refreshContacts(d.now, z)
		z.link.nextProbeAt = d.nextProbeSlot(d.now, z)
	}
}

// nextProbeSlot returns the time of a zone's next probe, at least minProbeInterval after the given time. Each zone and
// each delegate has its own slot within probeInterval, so that any failure of a zone, a region or all zones is soon
// followed by a probe that detects it.
func (d *Directory) nextProbeSlot(after monotime.Micros, z *zoneState) monotime.Micros {
	at, _ := d.zoneIndex(z.id)
	zoneSlot := monotime.Micros(at) * probeInterval / monotime.Micros(len(d.zones))
	delegateSlot := monotime.Micros(d.ownRank) * probeInterval / Delegates
	slot := (zoneSlot + delegateSlot) % probeInterval
	earliest := after + minProbeInterval
	wait := (slot - earliest%probeInterval + probeInterval) % probeInterval
	return earliest + wait + d.jitter(probeJitter)
}

// resetContacts makes this member, whose rank has changed, start with the contacts that its new rank assigns to it.
func (d *Directory) resetContacts() {
	for _, z := range d.zones {
		z.link.contacts = nil
		d.refreshContacts(d.now, z)
	}
}

// refreshContacts applies a zone's new contacts. Each delegate starts with a different contact, and keeps using one
// that answers until the contacts change.
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

// runProbes advances the probes in progress and starts those that are due.
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
			d.handleProbeTimeout(now, z)
		}
	}
	d.probeSeeds(now)
}

// ackTimeout returns the time to wait for an ack, from minAckTimeout to maxAckTimeout.
func (l *link) ackTimeout() monotime.Micros {
	return min(max(minAckTimeout, monotime.Micros(ackTimeoutPerRTT*l.rtt)), maxAckTimeout)
}

// startProbe starts a probe of a zone with its first round, or with the second one if it is expedited.
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

// startProbeRound starts the next round of a probe. It sends as many probe messages as the round's number, or only one
// to a zone that is down.
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

// handleProbeTimeout handles a round without an ack: it starts another round, or marks the zone as down. From then on
// the contacts of the zone are probed in turn.
func (d *Directory) handleProbeTimeout(now monotime.Micros, z *zoneState) {
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

// expediteProbes schedules probes of all zones within expediteWindow, since a fault that breaks one connection usually
// breaks others as well.
func (d *Directory) expediteProbes(now monotime.Micros) {
	for _, z := range d.zones {
		if l := &z.link; l.round == 0 {
			l.expedited = true
			l.nextProbeAt = min(l.nextProbeAt, now+d.jitter(expediteWindow))
		}
	}
}

// verifyUnreachable is called with zones that others cannot reach. Those that this member considers reachable are
// probed at once, and then also all other zones within expediteWindow.
func (d *Directory) verifyUnreachable(now monotime.Micros, unreachable []ID) {
	for _, id := range unreachable {
		z := d.zoneByID(id)
		if z != nil && z.link.round == 0 && !z.link.down && id != d.ownZone {
			d.expediteProbes(now)
			z.link.nextProbeAt = min(z.link.nextProbeAt, now)
		}
	}
}

// handleProbeAck processes the ack of a probe, which shows that its zone is reachable.
func (d *Directory) handleProbeAck(now monotime.Micros, from netip.AddrPort, m *Message) {
	d.recordSeedZone(from, m.Zone)
	z := d.zoneByID(m.Zone)
	if z == nil || z.id == d.ownZone || d.nextSeq-m.Seq > lateAckWindow {
		// The ack of a seed in an unknown zone or in the local one, or a very late ack.
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

// endProbe ends the probe in progress with an ack from a contact, which is probed first from now on.
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

// reachesZone reports whether this member has a working connection to another zone.
func (d *Directory) reachesZone(id ID) bool {
	z := d.zoneByID(id)
	return id != 0 && z != nil && id != d.ownZone && z.link.probed && !z.link.down
}
