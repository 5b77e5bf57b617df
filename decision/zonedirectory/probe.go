package zonedirectory

import (
	"net/netip"
	"slices"
	"spurspread/decision/monotime"
)

const (
	// probeEvery is how often a delegate probes each other zone. The first of three finds a cut in a third of it
	// and the time of the tries, and has the others look. With 11 other zones a delegate sends and receives 1,200
	// bytes a second of probes and answers, spread unevenly over 10 s, which with member.Fleet's stays under 4,096:
	// 3.25 s had 4,509 in the worst 10 s of 1,500.
	probeEvery = 4250 * ms
	// downEvery is the same for a zone that it does not reach.
	downEvery = 1250 * ms
	// tryTime is how long an answer is waited for, or twice what answers took, up to tryMost.
	tryTime = 400 * ms
	tryMost = 2 * sec
	// rounds is how often it tries before it holds the zone unreachable, with one probe more each time: the first
	// contact, two others, and three more, so that all six are asked, and one message in twenty may be lost without
	// being missed.
	rounds    = 3
	mostTries = rounds * (rounds + 1) / 2
	// hastenTime is within which all others are probed when a zone is no longer reached, or is again.
	hastenTime = 300 * ms
	// lateSeqs is how many of its probes back an answer is a sign that the zone is reached.
	lateSeqs = 4096

	// differWait is how long a directory may differ before it is compared: what is new comes by itself, mostly.
	differWait = 700 * ms
	// seedsEvery is how often seeds are asked that have not answered, or whose zone is not reached; so many at once.
	seedsEvery = 5 * sec
	seedsMost  = 4

	// joinEvery is how often a new process asks other seeds, joinNear how many that may be of its zone.
	joinEvery = 500 * ms
	joinNear  = 3
)

// link is a delegate's connection to one other zone.
type link struct {
	at       int // the contact that is asked first
	contacts []Contact
	dueAt    monotime.Micros
	// The probe under way: its numbers from seq on, when each was sent, and how often it was tried.
	seq         uint32
	sent        [mostTries]monotime.Micros
	count       int
	round       int
	triedAt     monotime.Micros
	known, down bool
	hurried     bool // the next probe asks two contacts at first
	rtt         float64
	differs     monotime.Micros // since when its directory differs
}

// begin has this member, that became a delegate, find out for itself what it reaches.
func (d *Directory) begin() {
	d.opinion.formed = false
	for _, z := range d.zones {
		z.link = link{}
		d.relink(d.now, z)
		z.link.dueAt = d.slot(d.now, z)
	}
}

// slot is when a zone is to be probed next, about probeEvery after a time. Each zone and each delegate has its own
// moment in that span, so that the first probe that fails comes soon after whatever befalls a zone, a region or
// all.
func (d *Directory) slot(after monotime.Micros, z *zoneState) monotime.Micros {
	at, _ := d.place(z.id)
	phase := (monotime.Micros(at)*probeEvery/monotime.Micros(len(d.zones)) + monotime.Micros(d.rank)*probeEvery/Delegates) % probeEvery
	soonest := after + probeEvery/2
	wait := (phase - soonest%probeEvery + probeEvery) % probeEvery
	return soonest + wait + monotime.Micros(d.rng.Int64N(int64(probeEvery/20)))
}

// turnTo has this member, whose rank has changed, ask the contacts that it is to ask by its rank.
func (d *Directory) turnTo() {
	for _, z := range d.zones {
		z.link.contacts = nil
		d.relink(d.now, z)
	}
}

// relink takes a zone's new contacts: each delegate asks another one first. Whoever has answered instead is asked
// as long as the contacts stay.
func (d *Directory) relink(now monotime.Micros, z *zoneState) {
	l := &z.link
	if n := min(len(z.Contacts), Delegates); n > 0 && !slices.Equal(l.contacts, z.Contacts) {
		l.at, l.contacts = d.rank%n, z.Contacts
	}
	if !l.known && l.dueAt == 0 {
		l.dueAt = now
	}
}

// probe asks the other zones what is due, and finds out what is not answered.
func (d *Directory) probe(now monotime.Micros) {
	if !d.delegate() {
		for _, z := range d.zones {
			z.link.round = 0
		}
		return
	}
	for _, z := range d.zones {
		if z.id == d.own || len(z.Contacts) == 0 {
			continue
		}
		switch l := &z.link; {
		case l.round == 0 && now >= l.dueAt:
			l.seq, l.count = d.seq, 0
			d.seq += mostTries
			if l.hurried {
				l.hurried, l.round = false, 1
			}
			d.try(now, z)
		case l.round > 0 && now-l.triedAt >= l.wait():
			d.unanswered(now, z)
		}
	}
	d.probeSeeds(now)
}

// wait is how long an answer may take.
func (l *link) wait() monotime.Micros { return min(max(tryTime, monotime.Micros(2*l.rtt)), tryMost) }

// try sends the probes of one round more.
func (d *Directory) try(now monotime.Micros, z *zoneState) {
	l := &z.link
	l.round++
	l.triedAt = now
	n := l.round
	if l.down {
		n = 1
	}
	for range n {
		to := z.Contacts[(l.at+l.count)%len(z.Contacts)]
		d.send(to.Addr, to.ID, Message{Kind: Probe, Seq: l.seq + uint32(l.count)})
		l.sent[l.count] = now
		l.count++
	}
}

// unanswered tries again, or holds the zone unreachable. From then on its contacts are asked in turn.
func (d *Directory) unanswered(now monotime.Micros, z *zoneState) {
	l := &z.link
	if !l.down && l.round < rounds {
		d.try(now, z)
		return
	}
	if l.down {
		l.at = (l.at + 1) % len(z.Contacts)
	} else {
		d.hasten(now)
	}
	l.known, l.down, l.round = true, true, 0
	l.dueAt = now + downEvery*3/4 + monotime.Micros(d.rng.Int64N(int64(downEvery/4)))
}

// hasten has all zones probed soon: what befell one connection has mostly befallen others.
func (d *Directory) hasten(now monotime.Micros) {
	for _, z := range d.zones {
		if l := &z.link; l.round == 0 {
			l.hurried, l.dueAt = true, min(l.dueAt, now+monotime.Micros(d.rng.Int64N(int64(hastenTime))))
		}
	}
}

// doubt probes zones at once that others do not reach and this member does, as far as it knows, and all others soon.
func (d *Directory) doubt(now monotime.Micros, unreachable []ID) {
	for _, id := range unreachable {
		if z := d.zone(id); z != nil && z.link.round == 0 && !z.link.down && id != d.own {
			d.hasten(now)
			z.link.dueAt = min(z.link.dueAt, now)
		}
	}
}

// acknowledged takes the answer to a probe.
func (d *Directory) acknowledged(now monotime.Micros, from netip.AddrPort, m *Message) {
	d.noteSeed(from, m.Zone)
	z := d.zone(m.Zone)
	if z == nil || z.id == d.own || d.seq-m.Seq > lateSeqs {
		if m.Digest != d.global && now >= d.syncAt { // a seed of a zone that is not known, or of this one
			d.ask(now, from, m.From, m.Zone)
		}
		return
	}
	l := &z.link
	wasDown := l.down || !l.known
	if l.down {
		d.hasten(now)
	}
	l.known, l.down = true, false
	if nth := m.Seq - l.seq; l.round > 0 && nth < uint32(l.count) {
		l.round = 0
		l.dueAt = d.slot(now, z)
		took := float64(now - l.sent[nth])
		if l.rtt == 0 {
			l.rtt = took
		}
		l.rtt += (took - l.rtt) / 4
		if at := slices.IndexFunc(z.Contacts, func(c Contact) bool { return c.ID == m.From }); at >= 0 {
			l.at = at
		}
	}
	d.differ(now, from, m, l, wasDown)
}

// differ has the directories compared where they differ: at once after a zone was not reached, else if that lasts.
func (d *Directory) differ(now monotime.Micros, from netip.AddrPort, m *Message, l *link, atOnce bool) {
	switch {
	case m.Digest == d.global:
		l.differs = 0
	case atOnce || l.differs > 0 && now-l.differs >= differWait || now-d.changedAt >= differWait:
		l.differs = 0
		d.ask(now, from, m.From, m.Zone)
		l.dueAt = min(l.dueAt, now+differWait)
	default:
		if l.differs == 0 {
			l.differs = now
		}
		l.dueAt = min(l.dueAt, now+differWait)
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
	if now < d.seedsAt || len(d.cfg.Seeds) == 0 {
		return
	}
	d.seedsAt = now + seedsEvery*9/10 + monotime.Micros(d.rng.Int64N(int64(seedsEvery/5)))
	asked := 0
	for range d.cfg.Seeds {
		d.seedAt = (d.seedAt + 1) % len(d.cfg.Seeds)
		at := d.cfg.Seeds[d.seedAt]
		if at == d.cfg.Self.Addr || slices.ContainsFunc(d.others, func(m Member) bool { return m.Addr == at }) ||
			d.reaches(d.seedZones[at]) {
			continue
		}
		d.send(at, 0, Message{Kind: Probe, Seq: d.seq})
		d.seq++
		if asked++; asked >= seedsMost {
			return
		}
	}
}

// reaches tells whether this member has a connection to another zone.
func (d *Directory) reaches(id ID) bool {
	z := d.zone(id)
	return id != 0 && z != nil && id != d.own && z.link.known && !z.link.down
}

// JoinSeeds are the seeds that member.Fleet is to ask from now on: a few of those that may be of this zone, and one
// of another, which tells of this zone's contacts. They are to be given to member.Fleet.Seeds before each Tick.
func (d *Directory) JoinSeeds(now monotime.Micros) []netip.AddrPort {
	if now < d.joinAt || len(d.others) > 0 && len(d.joins) > 0 {
		return d.joins
	}
	d.joinAt = now + joinEvery
	var near, far []netip.AddrPort
	for _, a := range d.cfg.Seeds {
		if z := d.seedZones[a]; z != 0 && z != d.own {
			far = append(far, a)
		} else {
			near = append(near, a)
		}
	}
	for _, list := range [][]netip.AddrPort{near, far} {
		d.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	d.joins = append(near[:min(len(near), joinNear)], far[:min(len(far), 1)]...)
	return d.joins
}
