package zonedirectory

import (
	"slices"

	"spurspread/decision/monotime"
)

const (
	// issueInterval is the least time between two summaries of one issuer.
	issueInterval = 1 * monotime.Second
	// unreachableStableTime is how long the zones that are not reached stay the same before they are issued, within
	// issueInterval.
	unreachableStableTime = 300 * monotime.Millisecond

	// How long another issuer's summary that is preferred stays before it is contradicted: it may be of one that is
	// gone. conflictWait is the usual time; majorityConflictWait that of a member that sees more than half of the
	// zone, which may have lost its delegates; aloneConflictWait that of one that sees no other, and may just have
	// started.
	conflictWait         = 1 * monotime.Second
	majorityConflictWait = 300 * monotime.Millisecond
	aloneConflictWait    = 3 * monotime.Second
	// An issuer that was contradicted in turn issues nothing for minIssuerBackoff, and each further time for twice as
	// long, up to maxIssuerBackoff.
	minIssuerBackoff = 5 * monotime.Second
	maxIssuerBackoff = 60 * monotime.Second
	backoffFactor    = 2
)

// issuerConflict is how this member deals with another issuer of its own zone's summary.
type issuerConflict struct {
	issuedAt      monotime.Micros
	conflictSince monotime.Micros // another's summary contradicts this member's view, 0 where none does
	contradicted  bool            // and this member has contradicted it
	backoffUntil  monotime.Micros
	backoff       monotime.Micros // the last one

	pendingUnreachable []ID            // as the next summary would have them
	pendingChangedAt   monotime.Micros // when they changed
	pendingSince       monotime.Micros // since when they differ from those issued, 0 where they don't
}

// ownSummary is what this member would issue now, without a version.
func (d *Directory) ownSummary() Summary {
	s := Summary{
		Site:        d.cfg.Site,
		Issuer:      d.cfg.Self.ID,
		Live:        d.local.Live,
		Known:       max(d.local.Known, d.local.Live),
		Unreachable: d.unreachableFromZone(),
	}
	if d.lastToLeave {
		s.Live = 0
		s.Unreachable = nil
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

// sameContent reports whether two summaries of a zone say the same, whoever issued them.
func (s *Summary) sameContent(other *Summary) bool {
	return s.Live == other.Live && s.Known == other.Known && slices.Equal(s.Contacts, other.Contacts) &&
		slices.Equal(s.Unreachable, other.Unreachable)
}

// issueSummary decides whether this member issues a summary of its zone: it is the first by rank and active, the
// summary has changed, neither issueInterval nor a backoff holds it, and no other issuer's is to stay.
func (d *Directory) issueSummary(now monotime.Micros) {
	if d.ownRank != 0 || !d.isActiveDelegate() {
		return
	}
	next := d.ownSummary()
	held := d.zoneByID(d.ownZone)
	conflict := &d.conflict
	if held != nil && held.sameContent(&next) {
		d.endConflict(now, held.Issuer)
		return
	}
	tooEarly := conflict.issuedAt > 0 && now-conflict.issuedAt < issueInterval && !d.lastToLeave
	if tooEarly || now < conflict.backoffUntil || d.unreachableChanging(now, held, &next) {
		return
	}
	if held != nil && d.yieldsTo(now, held, &next) {
		return
	}
	conflict.issuedAt = now
	conflict.conflictSince = 0
	d.Issued++
	next.Version = d.nextVersion(now, summaryKey(d.ownZone))
	d.store(now, newEntry(Item{Summary: &next}))
}

// endConflict notes that the summary that is held is right. The backoff begins again at its minimum once this
// member's own has stayed for long.
func (d *Directory) endConflict(now monotime.Micros, issuer MemberID) {
	conflict := &d.conflict
	conflict.conflictSince = 0
	if issuer == d.cfg.Self.ID && now-conflict.issuedAt > maxIssuerBackoff {
		conflict.backoff = 0
		conflict.contradicted = false
	}
}

// unreachableChanging decides whether a summary waits because the zones that the own one doesn't reach are changing:
// more of them follow in a moment, and a summary of a part would put off the next one.
func (d *Directory) unreachableChanging(now monotime.Micros, held *zoneState, next *Summary) bool {
	conflict := &d.conflict
	if held == nil || d.lastToLeave || slices.Equal(held.Unreachable, next.Unreachable) {
		conflict.pendingSince = 0
		return false
	}
	if !slices.Equal(conflict.pendingUnreachable, next.Unreachable) {
		conflict.pendingUnreachable = next.Unreachable
		conflict.pendingChangedAt = now
	}
	if conflict.pendingSince == 0 {
		conflict.pendingSince = now
	}
	return now-conflict.pendingChangedAt < unreachableStableTime && now-conflict.pendingSince < issueInterval
}

// preferredOver decides which of two summaries of one zone is preferred: the one with more members, or with as many
// and the issuer that ranks first.
func (z *zoneState) preferredOver(other *Summary) bool {
	if z.Live != other.Live {
		return z.Live > other.Live
	}
	return rankHash(z.id, z.Issuer) < rankHash(z.id, other.Issuer)
}

// yieldsTo decides whether another issuer's summary stays for now though this member would issue a different one.
func (d *Directory) yieldsTo(now monotime.Micros, held *zoneState, next *Summary) bool {
	if held.Issuer == next.Issuer || d.lastToLeave || !held.preferredOver(next) {
		return false
	}
	return !d.mayContradict(now, next)
}

// mayContradict decides whether another issuer's summary that is preferred is contradicted now: once it has stayed
// for the time that conflictWaitFor says. One that was issued again after that is of an issuer that is there: it
// stays for the backoff.
func (d *Directory) mayContradict(now monotime.Micros, next *Summary) bool {
	conflict := &d.conflict
	if conflict.contradicted {
		conflict.backoff = min(max(backoffFactor*conflict.backoff, minIssuerBackoff), maxIssuerBackoff)
		conflict.backoffUntil = now + conflict.backoff
		conflict.conflictSince = 0
		conflict.contradicted = false
		d.IssuerBackoffs++
		return false
	}
	if conflict.conflictSince == 0 {
		conflict.conflictSince = now
	}
	if now-conflict.conflictSince < d.conflictWaitFor(next) {
		return false
	}
	conflict.contradicted = true
	return true
}

// conflictWaitFor decides how long another issuer's summary stays before this member contradicts it with next.
func (d *Directory) conflictWaitFor(next *Summary) monotime.Micros {
	switch majority := next.Live+next.Live > next.Known; {
	case len(d.zonePeers) == 0:
		return aloneConflictWait
	case majority:
		return majorityConflictWait
	}
	return conflictWait
}
