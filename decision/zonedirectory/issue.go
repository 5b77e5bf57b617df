package zonedirectory

import (
	"cmp"
	"net/netip"
	"slices"
	"spurspread/decision/monotime"
)

const (
	// issueInterval is the least time between two summaries of one issuer.
	issueInterval = 1 * sec
	// unreachableStableTime is how long the zones that are not reached have to be the same before they are told.
	unreachableStableTime = 300 * ms
	// observationInterval is the same of a delegate's observations.
	observationInterval = 500 * ms

	// unsyncedSettleTime is when a new process speaks for its zone even if it has met nobody there; of several that begin at
	// once each waits up to readySpread longer, by its rank, so that one is heard by the others before they speak.
	unsyncedSettleTime = 2 * sec
	settleStagger      = 4 * sec
	// syncedSettleTime is the same for one that has met its zone: its view is mostly whole by then.
	syncedSettleTime = 1 * sec

	// A summary by another issuer of a zone with as many members, or more, is contradicted after contestMost; after
	// contestLeast by one that sees the most of all it knows, which may have lost its delegates. One that is alone
	// may just have started.
	majorityConflictWait = 300 * ms
	conflictWait         = 1 * sec
	aloneConflictWait    = 3 * sec
	// Who was contradicted in turn says nothing for backOffLeast, and twice as long each further time.
	minIssuerBackoff = 5 * sec
	maxIssuerBackoff = 60 * sec

	introductionInterval = 1 * sec
	// unlistedTimeout is how long a member that is heard counts as there; half of it is longer than it takes to get to
	// know one.
	unlistedTimeout = 2 * sec
)

// observationState is what this member tells its zone as a delegate.
type observationState struct {
	complete    bool // all zones were probed since it became one
	publishedAt monotime.Micros
}

// issuerConflict is how this member stands to another issuer of its own zone's summary.
type issuerConflict struct {
	issuedAt      monotime.Micros
	conflictSince monotime.Micros // another's summary contradicts this member's view, 0 where none does
	contradicted  bool            // and was contradicted
	backoffUntil  monotime.Micros // back-off
	backoff       monotime.Micros

	pendingUnreachable []ID            // as the summary would have it
	pendingChangedAt   monotime.Micros // when that changed
	pendingSince       monotime.Micros // since when it differs from what was issued, 0 where it does not
}

// rankHash orders the members of a zone, the same for all and each time.
func rankHash(zone ID, id MemberID) uint64 { return mix64(uint64(zone) ^ mix64(uint64(id))) }

// applyLocalZone takes the view of the own zone. Who is to speak for it follows from that alone, so that all whose views
// agree choose the same.
func (d *Directory) applyLocalZone(local LocalZone) {
	same := local.Revision == d.local.Revision && local.Leaving == d.local.Leaving && len(d.local.Members) > 0
	if local.Known != d.local.Known || local.Live != d.local.Live {
		d.nextEvaluationAt = d.now
	}
	d.local = local
	if same {
		return
	}
	d.candidates, d.zonePeers, d.lastToLeave = d.candidates[:0], d.zonePeers[:0], false
	for _, m := range local.Members {
		if m.ID != d.cfg.Self.ID {
			d.zonePeers = append(d.zonePeers, m)
		}
	}
	d.candidates = append(d.candidates, d.zonePeers...)
	if !local.Leaving || len(d.zonePeers) == 0 {
		d.lastToLeave = local.Leaving
		d.candidates = append(d.candidates, Member{d.cfg.Self.ID, d.cfg.Self.Addr})
	}
	slices.SortFunc(
		d.candidates,
		func(a, b Member) int { return cmp.Compare(d.cfg.Rank(d.ownZone, a.ID), d.cfg.Rank(d.ownZone, b.ID)) },
	)
	d.candidates = d.candidates[:min(len(d.candidates), MaxContacts)]
	was := d.ownRank
	d.ownRank = MaxContacts
	if at := slices.IndexFunc(d.candidates, func(m Member) bool { return m.ID == d.cfg.Self.ID }); at >= 0 {
		d.ownRank = at
	}
	if was >= Delegates && d.ownRank < Delegates {
		d.becomeDelegate()
	} else if was != d.ownRank {
		d.resetContacts()
	}
	d.dropStaleObservations()
}

// dropStaleObservations drops what those said who are no delegates, nor would replace one.
func (d *Directory) dropStaleObservations() {
	for _, k := range slices.Clone(d.keys) {
		e := d.items[k]
		if e.Observation != nil &&
			!slices.ContainsFunc(d.candidates, func(m Member) bool { return m.ID == e.Observation.Delegate }) {
			d.remove(e)
		}
	}
}

// updateSettled finds out when a new process may speak for its zone.
func (d *Directory) updateSettled(now monotime.Micros) {
	if d.settled {
		return
	}
	age := now - d.startedAt
	wait := monotime.Micros(float64(settleStagger) * float64(rankHash(d.ownZone, d.cfg.Self.ID)>>11) / (1 << 53))
	d.settled = d.synced && len(d.zonePeers) > 0 && age >= syncedSettleTime || age >= unsyncedSettleTime+wait
}

// isActiveDelegate tells whether this member exchanges messages with other zones now. One that doubts itself is silent.
func (d *Directory) isActiveDelegate() bool {
	return d.settled && d.ownRank < Delegates && !d.local.Unhealthy && !d.notReceiving()
}

// noteUnlisted notes members of this zone that are heard and are not in the view.
func (d *Directory) noteUnlisted(now monotime.Micros, id MemberID) {
	if slices.ContainsFunc(d.zonePeers, func(m Member) bool { return m.ID == id }) {
		return
	}
	if now-d.unlistedAt > unlistedTimeout {
		d.unlistedSince = now
	}
	d.unlistedAt = now
}

// notReceiving tells that this member holds the most of its zone dead, and goes on hearing others of it: whom it holds dead
// are there, and hold it dead as rightly.
func (d *Directory) notReceiving() bool {
	return d.local.Live <= d.local.Dead && d.now-d.unlistedAt < unlistedTimeout &&
		d.now-d.unlistedSince >= unlistedTimeout/2
}

// delegates are the members that speak for this zone.
func (d *Directory) delegates() []Member { return d.candidates[:min(len(d.candidates), Delegates)] }

// publishObservation tells the zone what this member, as a delegate, does not reach. One that is no delegate any more takes
// back what it said: see void.
func (d *Directory) publishObservation(now monotime.Micros) {
	if !d.settled || d.local.Unhealthy || d.notReceiving() || now-d.observing.publishedAt < observationInterval {
		return
	}
	key := observationKey(d.ownZone, d.cfg.Self.ID)
	held := d.items[key]
	var says []ID
	switch {
	case d.ownRank >= Delegates && (held == nil || held.Observation.withdrawn()):
		return
	case d.ownRank >= Delegates:
		says = []ID{d.ownZone}
	case !d.observing.complete && !d.allZonesProbed():
		return
	default:
		says = d.unreachableFromHere()
	}
	if held != nil && slices.Equal(held.Observation.Unreachable, says) {
		return
	}
	d.observing.publishedAt = now
	o := &Observation{Zone: d.ownZone, Delegate: d.cfg.Self.ID, Version: d.nextVersion(now, key), Unreachable: says}
	d.store(now, newEntry(Item{Observation: o}))
}

// withdrawn tells that an observation says nothing: one that names its own zone.
func (o *Observation) withdrawn() bool { return slices.Contains(o.Unreachable, o.Zone) }

// allZonesProbed tells whether each other zone was probed to the end since this member became a delegate.
func (d *Directory) allZonesProbed() bool {
	for _, z := range d.zones {
		if z.id != d.ownZone && len(z.Contacts) > 0 && !z.link.probed {
			return false
		}
	}
	d.observing.complete = true
	return true
}

// unreachableFromHere are the zones that this member does not reach; those that it has forgotten, too, or others that have
// not yet would take them for reached.
func (d *Directory) unreachableFromHere() (out []ID) {
	for _, z := range d.zones {
		if z.id != d.ownZone && len(z.Contacts) > 0 && z.link.down {
			out = append(out, z.id)
		}
	}
	if len(d.tombstones) == 0 {
		return out
	}
	for _, f := range d.tombstones {
		out = append(out, f.zone)
	}
	slices.Sort(out)
	return out[:min(len(out), MaxZones)]
}

// unreachableFromZone are the zones that no delegate reaches, as far as they say; where none has an opinion yet, what was
// said before.
func (d *Directory) unreachableFromZone() []ID {
	var out []ID
	said := false
	for _, m := range d.delegates() {
		e := d.items[observationKey(d.ownZone, m.ID)]
		if e == nil || e.Observation.withdrawn() {
			continue
		}
		if !said {
			said, out = true, slices.Clone(e.Observation.Unreachable)
			continue
		}
		out = slices.DeleteFunc(out, func(id ID) bool { return !slices.Contains(e.Observation.Unreachable, id) })
	}
	if own := d.zoneByID(d.ownZone); !said && own != nil {
		out = slices.Clone(own.Unreachable)
	}
	return slices.DeleteFunc(out, func(id ID) bool { z := d.zoneByID(id); return z != nil && z.Live == 0 })
}

// ownSummary is what this member would say of its zone.
func (d *Directory) ownSummary() Summary {
	s := Summary{
		Site:        d.cfg.Site,
		Issuer:      d.cfg.Self.ID,
		Live:        d.local.Live,
		Known:       max(d.local.Known, d.local.Live),
		Unreachable: d.unreachableFromZone(),
	}
	if d.lastToLeave {
		s.Live, s.Unreachable = 0, nil
		return s
	}
	if d.local.Leaving {
		s.Live = max(s.Live-1, 0)
	}
	for _, m := range d.candidates {
		s.Contacts = append(s.Contacts, Contact(m))
	}
	return s
}

// sameContent tells whether two summaries say the same.
func (s *Summary) sameContent(o *Summary) bool {
	return s.Live == o.Live && s.Known == o.Known && slices.Equal(s.Contacts, o.Contacts) &&
		slices.Equal(s.Unreachable, o.Unreachable)
}

// issueSummary says of this zone what has changed, where this member is the first by rank.
func (d *Directory) issueSummary(now monotime.Micros) {
	if d.ownRank != 0 || !d.isActiveDelegate() {
		return
	}
	want := d.ownSummary()
	held := d.zoneByID(d.ownZone)
	c := &d.conflict
	if held != nil && held.sameContent(&want) {
		if c.conflictSince = 0; held.Issuer == want.Issuer && now-c.issuedAt > maxIssuerBackoff {
			c.backoff, c.contradicted = 0, false
		}
		return
	}
	if c.issuedAt > 0 && now-c.issuedAt < issueInterval && !d.lastToLeave || now < c.backoffUntil ||
		d.unreachableChanging(now, held, &want) {
		return
	}
	if held != nil && held.Issuer != want.Issuer && held.preferredOver(&want) && !d.lastToLeave &&
		!d.mayContradict(now, &want) {
		return
	}
	c.issuedAt, c.conflictSince = now, 0
	d.Issued++
	want.Version = d.nextVersion(now, summaryKey(d.ownZone))
	d.store(now, newEntry(Item{Summary: &want}))
}

// unreachableChanging tells that what this zone does not reach is changing: more of it comes in a moment, and a summary of a
// part would put off the next one.
func (d *Directory) unreachableChanging(now monotime.Micros, held *zoneState, want *Summary) bool {
	c := &d.conflict
	switch {
	case held == nil || d.lastToLeave || slices.Equal(held.Unreachable, want.Unreachable):
		c.pendingSince = 0
		return false
	case !slices.Equal(c.pendingUnreachable, want.Unreachable):
		c.pendingUnreachable, c.pendingChangedAt = want.Unreachable, now
	}
	if c.pendingSince == 0 {
		c.pendingSince = now
	}
	return now-c.pendingChangedAt < unreachableStableTime && now-c.pendingSince < issueInterval
}

// preferredOver tells whether a summary is to be preferred to another one of the same zone: it has more members, or as
// many and the issuer that ranks first.
func (z *zoneState) preferredOver(o *Summary) bool {
	if z.Live != o.Live {
		return z.Live > o.Live
	}
	return rankHash(z.id, z.Issuer) < rankHash(z.id, o.Issuer)
}

// mayContradict tells whether another's summary that is to be preferred is to be contradicted now: it may be of one
// that is gone. One that was contradicted in turn is of one that is there; it is left to stand for a while.
func (d *Directory) mayContradict(now monotime.Micros, want *Summary) bool {
	c := &d.conflict
	if c.contradicted {
		c.backoff = min(max(2*c.backoff, minIssuerBackoff), maxIssuerBackoff)
		c.backoffUntil, c.conflictSince, c.contradicted = now+c.backoff, 0, false
		d.Yielded++
		return false
	}
	if c.conflictSince == 0 {
		c.conflictSince = now
	}
	wait := conflictWait
	if len(d.zonePeers) == 0 {
		wait = aloneConflictWait
	} else if 2*want.Live > want.Known {
		wait = majorityConflictWait
	}
	if now-c.conflictSince < wait {
		return false
	}
	c.contradicted = true
	return true
}

// Introductions are addresses at which members of this zone are said to be who are not in its view. They are to be
// given to member.Fleet.Introduce after each Tick; mostly there are none.
func (d *Directory) Introductions(now monotime.Micros) []netip.AddrPort {
	held := d.zoneByID(d.ownZone)
	if now < d.nextIntroductionAt || held == nil || d.ownRank >= Delegates || d.local.Leaving {
		return nil
	}
	d.nextIntroductionAt = now + introductionInterval
	var strangers []netip.AddrPort
	for _, c := range held.Contacts {
		if c.ID != d.cfg.Self.ID && !slices.ContainsFunc(d.zonePeers, func(m Member) bool { return m.ID == c.ID }) {
			strangers = append(strangers, c.Addr)
		}
	}
	if len(strangers) < 2 {
		return strangers
	}
	at := d.rng.IntN(len(strangers))
	return strangers[at : at+1]
}
