package zonedirectory

import (
	"cmp"
	"net/netip"
	"slices"
	"spurspread/decision/monotime"
)

const (
	// issueEvery is the least time between two summaries of one issuer.
	issueEvery = 1 * sec
	// settleTime is how long the zones that are not reached have to be the same before they are told.
	settleTime = 300 * ms
	// observeEvery is the same of a delegate's observations.
	observeEvery = 500 * ms

	// readyMost is when a new process speaks for its zone even if it has met nobody there; of several that begin at
	// once each waits up to readySpread longer, by its rank, so that one is heard by the others before they speak.
	readyMost   = 2 * sec
	readySpread = 4 * sec
	// readyTime is the same for one that has met its zone: its view is mostly whole by then.
	readyTime = 1 * sec

	// A summary by another issuer of a zone with as many members, or more, is contradicted after contestMost; after
	// contestLeast by one that sees the most of all it knows, which may have lost its delegates. One that is alone
	// may just have started.
	contestLeast = 300 * ms
	contestMost  = 1 * sec
	contestAlone = 3 * sec
	// Who was contradicted in turn says nothing for backOffLeast, and twice as long each further time.
	backOffLeast = 5 * sec
	backOffMost  = 60 * sec

	introduceEvery = 1 * sec
	// strangerTime is how long a member that is heard counts as there; half of it is longer than it takes to get to
	// know one.
	strangerTime = 2 * sec
)

// opinion is what this member tells its zone as a delegate.
type opinion struct {
	formed bool // all zones were probed since it became one
	at     monotime.Micros
}

// contest is how this member stands to another issuer of its own zone's summary.
type contest struct {
	issuedAt   monotime.Micros
	since      monotime.Micros // another's summary contradicts this member's view, 0 where none does
	challenged bool            // and was contradicted
	until      monotime.Micros // back-off
	backOff    monotime.Micros

	unreachable []ID            // as the summary would have it
	changedAt   monotime.Micros // when that changed
	changing    monotime.Micros // since when it differs from what was issued, 0 where it does not
}

// rankHash orders the members of a zone, the same for all and each time.
func rankHash(zone ID, id MemberID) uint64 { return blend(uint64(zone) ^ blend(uint64(id))) }

// view takes the view of the own zone. Who is to speak for it follows from that alone, so that all whose views
// agree choose the same.
func (d *Directory) view(local Local) {
	same := local.Revision == d.local.Revision && local.Leaving == d.local.Leaving && len(d.local.Members) > 0
	if local.Known != d.local.Known || local.Live != d.local.Live {
		d.judgeAt = d.now
	}
	d.local = local
	if same {
		return
	}
	d.ranked, d.others, d.last = d.ranked[:0], d.others[:0], false
	for _, m := range local.Members {
		if m.ID != d.cfg.Self.ID {
			d.others = append(d.others, m)
		}
	}
	d.ranked = append(d.ranked, d.others...)
	if !local.Leaving || len(d.others) == 0 {
		d.last = local.Leaving
		d.ranked = append(d.ranked, Member{d.cfg.Self.ID, d.cfg.Self.Addr})
	}
	slices.SortFunc(
		d.ranked,
		func(a, b Member) int { return cmp.Compare(d.cfg.Rank(d.own, a.ID), d.cfg.Rank(d.own, b.ID)) },
	)
	d.ranked = d.ranked[:min(len(d.ranked), MaxContacts)]
	was := d.rank
	d.rank = MaxContacts
	if at := slices.IndexFunc(d.ranked, func(m Member) bool { return m.ID == d.cfg.Self.ID }); at >= 0 {
		d.rank = at
	}
	if was >= Delegates && d.rank < Delegates {
		d.begin()
	} else if was != d.rank {
		d.turnTo()
	}
	d.dropObservations()
}

// dropObservations drops what those said who are no delegates, nor would replace one.
func (d *Directory) dropObservations() {
	for _, k := range slices.Clone(d.keys) {
		e := d.items[k]
		if e.Observation != nil &&
			!slices.ContainsFunc(d.ranked, func(m Member) bool { return m.ID == e.Observation.Delegate }) {
			d.drop(e)
		}
	}
}

// settle finds out when a new process may speak for its zone.
func (d *Directory) settle(now monotime.Micros) {
	if d.ready {
		return
	}
	age := now - d.born
	wait := monotime.Micros(float64(readySpread) * float64(rankHash(d.own, d.cfg.Self.ID)>>11) / (1 << 53))
	d.ready = d.synced && len(d.others) > 0 && age >= readyTime || age >= readyMost+wait
}

// delegate tells whether this member exchanges messages with other zones now. One that doubts itself is silent.
func (d *Directory) delegate() bool {
	return d.ready && d.rank < Delegates && !d.local.Doubts && !d.deaf()
}

// heard notes members of this zone that are heard and are not in the view.
func (d *Directory) heard(now monotime.Micros, id MemberID) {
	if slices.ContainsFunc(d.others, func(m Member) bool { return m.ID == id }) {
		return
	}
	if now-d.strangerAt > strangerTime {
		d.strangerSince = now
	}
	d.strangerAt = now
}

// deaf tells that this member holds the most of its zone dead, and goes on hearing others of it: whom it holds dead
// are there, and hold it dead as rightly.
func (d *Directory) deaf() bool {
	return d.local.Live <= d.local.Dead && d.now-d.strangerAt < strangerTime &&
		d.now-d.strangerSince >= strangerTime/2
}

// delegates are the members that speak for this zone.
func (d *Directory) delegates() []Member { return d.ranked[:min(len(d.ranked), Delegates)] }

// observe tells the zone what this member, as a delegate, does not reach. One that is no delegate any more takes
// back what it said: see void.
func (d *Directory) observe(now monotime.Micros) {
	if !d.ready || d.local.Doubts || d.deaf() || now-d.opinion.at < observeEvery {
		return
	}
	key := observationKey(d.own, d.cfg.Self.ID)
	held := d.items[key]
	var says []ID
	switch {
	case d.rank >= Delegates && (held == nil || held.Observation.void()):
		return
	case d.rank >= Delegates:
		says = []ID{d.own}
	case !d.opinion.formed && !d.form():
		return
	default:
		says = d.unreached()
	}
	if held != nil && slices.Equal(held.Observation.Unreachable, says) {
		return
	}
	d.opinion.at = now
	o := &Observation{Zone: d.own, Delegate: d.cfg.Self.ID, Version: d.version(now, key), Unreachable: says}
	d.put(now, newEntry(Item{Observation: o}))
}

// void tells that an observation says nothing: one that names its own zone.
func (o *Observation) void() bool { return slices.Contains(o.Unreachable, o.Zone) }

// form tells whether each other zone was probed to the end since this member became a delegate.
func (d *Directory) form() bool {
	for _, z := range d.zones {
		if z.id != d.own && len(z.Contacts) > 0 && !z.link.known {
			return false
		}
	}
	d.opinion.formed = true
	return true
}

// unreached are the zones that this member does not reach; those that it has forgotten, too, or others that have
// not yet would take them for reached.
func (d *Directory) unreached() (out []ID) {
	for _, z := range d.zones {
		if z.id != d.own && len(z.Contacts) > 0 && z.link.down {
			out = append(out, z.id)
		}
	}
	if len(d.forgotten) == 0 {
		return out
	}
	for _, f := range d.forgotten {
		out = append(out, f.zone)
	}
	slices.Sort(out)
	return out[:min(len(out), MaxZones)]
}

// unreachable are the zones that no delegate reaches, as far as they say; where none has an opinion yet, what was
// said before.
func (d *Directory) unreachable() []ID {
	var out []ID
	said := false
	for _, m := range d.delegates() {
		e := d.items[observationKey(d.own, m.ID)]
		if e == nil || e.Observation.void() {
			continue
		}
		if !said {
			said, out = true, slices.Clone(e.Observation.Unreachable)
			continue
		}
		out = slices.DeleteFunc(out, func(id ID) bool { return !slices.Contains(e.Observation.Unreachable, id) })
	}
	if own := d.zone(d.own); !said && own != nil {
		out = slices.Clone(own.Unreachable)
	}
	return slices.DeleteFunc(out, func(id ID) bool { z := d.zone(id); return z != nil && z.Live == 0 })
}

// summary is what this member would say of its zone.
func (d *Directory) summary() Summary {
	s := Summary{
		Site:        d.cfg.Site,
		Issuer:      d.cfg.Self.ID,
		Live:        d.local.Live,
		Known:       max(d.local.Known, d.local.Live),
		Unreachable: d.unreachable(),
	}
	if d.last {
		s.Live, s.Unreachable = 0, nil
		return s
	}
	if d.local.Leaving {
		s.Live = max(s.Live-1, 0)
	}
	for _, m := range d.ranked {
		s.Contacts = append(s.Contacts, Contact(m))
	}
	return s
}

// says tells whether two summaries say the same.
func (s *Summary) says(o *Summary) bool {
	return s.Live == o.Live && s.Known == o.Known && slices.Equal(s.Contacts, o.Contacts) &&
		slices.Equal(s.Unreachable, o.Unreachable)
}

// issue says of this zone what has changed, where this member is the first by rank.
func (d *Directory) issue(now monotime.Micros) {
	if d.rank != 0 || !d.delegate() {
		return
	}
	want := d.summary()
	held := d.zone(d.own)
	c := &d.contest
	if held != nil && held.says(&want) {
		if c.since = 0; held.Issuer == want.Issuer && now-c.issuedAt > backOffMost {
			c.backOff, c.challenged = 0, false
		}
		return
	}
	if c.issuedAt > 0 && now-c.issuedAt < issueEvery && !d.last || now < c.until || d.unsettled(now, held, &want) {
		return
	}
	if held != nil && held.Issuer != want.Issuer && held.stands(&want) && !d.last && !d.challenge(now, &want) {
		return
	}
	c.issuedAt, c.since = now, 0
	d.Issued++
	want.Version = d.version(now, summaryKey(d.own))
	d.put(now, newEntry(Item{Summary: &want}))
}

// unsettled tells that what this zone does not reach is changing: more of it comes in a moment, and a summary of a
// part would put off the next one.
func (d *Directory) unsettled(now monotime.Micros, held *zoneState, want *Summary) bool {
	c := &d.contest
	switch {
	case held == nil || d.last || slices.Equal(held.Unreachable, want.Unreachable):
		c.changing = 0
		return false
	case !slices.Equal(c.unreachable, want.Unreachable):
		c.unreachable, c.changedAt = want.Unreachable, now
	}
	if c.changing == 0 {
		c.changing = now
	}
	return now-c.changedAt < settleTime && now-c.changing < issueEvery
}

// stands tells whether a summary is to be preferred to another one of the same zone: it has more members, or as
// many and the issuer that ranks first.
func (z *zoneState) stands(o *Summary) bool {
	if z.Live != o.Live {
		return z.Live > o.Live
	}
	return rankHash(z.id, z.Issuer) < rankHash(z.id, o.Issuer)
}

// challenge tells whether another's summary that is to be preferred is to be contradicted now: it may be of one
// that is gone. One that was contradicted in turn is of one that is there; it is left to stand for a while.
func (d *Directory) challenge(now monotime.Micros, want *Summary) bool {
	c := &d.contest
	if c.challenged {
		c.backOff = min(max(2*c.backOff, backOffLeast), backOffMost)
		c.until, c.since, c.challenged = now+c.backOff, 0, false
		d.Yielded++
		return false
	}
	if c.since == 0 {
		c.since = now
	}
	wait := contestMost
	if len(d.others) == 0 {
		wait = contestAlone
	} else if 2*want.Live > want.Known {
		wait = contestLeast
	}
	if now-c.since < wait {
		return false
	}
	c.challenged = true
	return true
}

// Introductions are addresses at which members of this zone are said to be who are not in its view. They are to be
// given to member.Fleet.Introduce after each Tick; mostly there are none.
func (d *Directory) Introductions(now monotime.Micros) []netip.AddrPort {
	held := d.zone(d.own)
	if now < d.introduceAt || held == nil || d.rank >= Delegates || d.local.Leaving {
		return nil
	}
	d.introduceAt = now + introduceEvery
	var strangers []netip.AddrPort
	for _, c := range held.Contacts {
		if c.ID != d.cfg.Self.ID && !slices.ContainsFunc(d.others, func(m Member) bool { return m.ID == c.ID }) {
			strangers = append(strangers, c.Addr)
		}
	}
	if len(strangers) < 2 {
		return strangers
	}
	at := d.rng.IntN(len(strangers))
	return strangers[at : at+1]
}
