package zonedirectory

import (
	"slices"

	"spurspread/decision/monotime"
)

const (
	// issueInterval is the minimum time between two summaries by one issuer.
	issueInterval = 1 * monotime.Second
	// unreachableStableTime is the time for which the set of unreachable zones must be stable before it is issued,
	// within issueInterval.
	unreachableStableTime = 300 * monotime.Millisecond

	// Delays before this member overrides another issuer's summary that is preferred but whose issuer may have stopped.
	// overrideDelay is the normal one. majorityOverrideDelay applies to a member that sees more than half of the zone,
	// which may have lost its delegates. aloneOverrideDelay applies to a member that sees no other one, and may just
	// have started.
	overrideDelay         = 1 * monotime.Second
	majorityOverrideDelay = 300 * monotime.Millisecond
	aloneOverrideDelay    = 3 * monotime.Second
	// An issuer whose summary was overridden in turn issues nothing for minIssuerBackoff. Each further time the backoff
	// doubles, up to maxIssuerBackoff.
	minIssuerBackoff = 5 * monotime.Second
	maxIssuerBackoff = 60 * monotime.Second
	backoffFactor    = 2
)

// issuerState is the state of this member as an issuer of the local zone's summary: its last summary, a conflict with
// another issuer, and changes of the unreachable zones that the next summary will report.
type issuerState struct {
	issuedAt      monotime.Micros // time of the last summary by this member, 0 if there is none
	conflictSince monotime.Micros // start of the current conflict, 0 if there is none
	overridden    bool            // this member has overridden the other issuer's summary
	backoffUntil  monotime.Micros
	backoff       monotime.Micros // current length, 0 if there was none lately

	pendingUnreachable []ID            // Unreachable of the next summary
	pendingChangedAt   monotime.Micros // time of its last change
	pendingSince       monotime.Micros // start of its difference from the issued summary, 0 if there is none
}

// ownSummary returns the summary that this member would issue now, without a version.
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

// sameContent reports whether two summaries of a zone have the same content, regardless of issuer and version.
func (s *Summary) sameContent(other *Summary) bool {
	return s.Live == other.Live && s.Known == other.Known && slices.Equal(s.Contacts, other.Contacts) &&
		slices.Equal(s.Unreachable, other.Unreachable)
}

// issueSummary issues a summary of the local zone if this member is the first delegate and active, the summary has
// changed, neither issueInterval nor a backoff delays it, and no other issuer's summary is to be kept.
func (d *Directory) issueSummary(now monotime.Micros) {
	if d.ownRank != 0 || !d.isActiveDelegate() {
		return
	}
	next := d.ownSummary()
	current := d.zoneByID(d.ownZone)
	issuing := &d.issuing
	if current != nil && current.sameContent(&next) {
		d.endConflict(now, current.Issuer)
		return
	}
	tooEarly := issuing.issuedAt > 0 && now-issuing.issuedAt < issueInterval && !d.lastToLeave
	if tooEarly || now < issuing.backoffUntil || d.unreachableChanging(now, current, &next) {
		return
	}
	if current != nil && d.acceptsCompetingSummary(now, current, &next) {
		return
	}
	issuing.issuedAt = now
	issuing.conflictSince = 0
	d.Issued++
	next.Version = d.nextVersion(now, summaryKey(d.ownZone))
	d.store(now, newEntry(Item{Summary: &next}))
}

// endConflict records that the current summary is correct. It resets the backoff if this member issued that summary
// more than maxIssuerBackoff ago.
func (d *Directory) endConflict(now monotime.Micros, issuer MemberID) {
	issuing := &d.issuing
	issuing.conflictSince = 0
	if issuer == d.cfg.Self.ID && now-issuing.issuedAt > maxIssuerBackoff {
		issuing.backoff = 0
		issuing.overridden = false
	}
}

// unreachableChanging reports whether to delay the next summary because the set of unreachable zones is still changing:
// more changes usually follow at once, and issuing an incomplete set would delay the complete one by issueInterval.
func (d *Directory) unreachableChanging(now monotime.Micros, current *zoneState, next *Summary) bool {
	issuing := &d.issuing
	if current == nil || d.lastToLeave || slices.Equal(current.Unreachable, next.Unreachable) {
		issuing.pendingSince = 0
		return false
	}
	if !slices.Equal(issuing.pendingUnreachable, next.Unreachable) {
		issuing.pendingUnreachable = next.Unreachable
		issuing.pendingChangedAt = now
	}
	if issuing.pendingSince == 0 {
		issuing.pendingSince = now
	}
	return now-issuing.pendingChangedAt < unreachableStableTime && now-issuing.pendingSince < issueInterval
}

// preferredOver reports whether the current summary of a zone is preferred to another one: the one with more live
// members is preferred, and among equals the one whose issuer ranks first.
func (z *zoneState) preferredOver(other *Summary) bool {
	if z.Live != other.Live {
		return z.Live > other.Live
	}
	return rankHash(z.id, z.Issuer) < rankHash(z.id, other.Issuer)
}

// acceptsCompetingSummary reports whether to keep another issuer's summary for now, though this member would issue a
// different one.
func (d *Directory) acceptsCompetingSummary(now monotime.Micros, current *zoneState, next *Summary) bool {
	if current.Issuer == next.Issuer || d.lastToLeave || !current.preferredOver(next) {
		return false
	}
	return !d.mayOverride(now, next)
}

// mayOverride reports whether to override another issuer's preferred summary now, which is after overrideDelayFor. If
// the other issuer issues again after that, it is still running, and its summary is kept for the duration of the
// backoff.
func (d *Directory) mayOverride(now monotime.Micros, next *Summary) bool {
	issuing := &d.issuing
	if issuing.overridden {
		issuing.backoff = min(max(backoffFactor*issuing.backoff, minIssuerBackoff), maxIssuerBackoff)
		issuing.backoffUntil = now + issuing.backoff
		issuing.conflictSince = 0
		issuing.overridden = false
		d.IssuerBackoffs++
		return false
	}
	if issuing.conflictSince == 0 {
		issuing.conflictSince = now
	}
	if now-issuing.conflictSince < d.overrideDelayFor(next) {
		return false
	}
	issuing.overridden = true
	return true
}

// overrideDelayFor returns the time for which to keep another issuer's summary before overriding it with next.
func (d *Directory) overrideDelayFor(next *Summary) monotime.Micros {
	switch majority := next.Live+next.Live > next.Known; {
	case len(d.zonePeers) == 0:
		return aloneOverrideDelay
	case majority:
		return majorityOverrideDelay
	}
	return overrideDelay
}
