package zonedirectory

import (
	"cmp"
	"net/netip"
	"slices"

	"spurspread/decision/monotime"
	"spurspread/decision/splitmix"
)

const (
	// unsyncedSettleTime is the time before a new process that has not synchronized with any member of its zone may act
	// for the zone. A share of settleStagger, which depends on its ID, is added: of several members that start at once,
	// one is known to the others before they act.
	unsyncedSettleTime = 2 * monotime.Second
	settleStagger      = 4 * monotime.Second
	// syncedSettleTime is the same for a process that has synchronized with its zone. Its view is mostly complete by
	// then.
	syncedSettleTime = 1 * monotime.Second
	// unlistedTimeout is the time after its last message for which a member that is not in the view counts as running.
	// Half of it is longer than the time until such a member normally is in the view.
	unlistedTimeout = 2 * monotime.Second
	// minUnlistedTime is the time for which messages from unlisted members must arrive before this member considers its
	// own view unreliable.
	minUnlistedTime = unlistedTimeout / 2
)

// Member is a member of the local zone.
type Member struct {
	ID   MemberID
	Addr netip.AddrPort
}

// LocalZone is this member's view of its own zone.
type LocalZone struct {
	// Revision changes whenever Members may have changed.
	Revision uint64
	// Members are those that are alive and not suspected, including this one.
	Members []Member
	// Live also counts suspected members; Known also counts those that died or left recently. Position is this member's
	// index among the live ones.
	Live, Known, Position int
	// Dead is the number of known members that are considered dead.
	Dead int
	// Unhealthy means that this member should doubt its own observations; Leaving means that it has announced its
	// departure.
	Unhealthy, Leaving bool
}

// rankHash is the default order of the members of a zone, the same in all members and at all times.
func rankHash(zone ID, id MemberID) uint64 {
	return splitmix.Mix64(uint64(zone) ^ splitmix.Mix64(uint64(id)))
}

// applyLocalZone applies a new view of the local zone and determines the candidates for delegate.
func (d *Directory) applyLocalZone(local LocalZone) {
	sameMembers := local.Revision == d.local.Revision && local.Leaving == d.local.Leaving && len(d.local.Members) > 0
	if local.Known != d.local.Known || local.Live != d.local.Live {
		d.nextEvaluationAt = d.now
	}
	d.local = local
	if sameMembers {
		return
	}
	d.rankCandidates()
	before := d.ownRank
	d.ownRank = MaxContacts
	if rank := slices.IndexFunc(d.candidates, d.isSelf); rank >= 0 {
		d.ownRank = rank
	}
	if before >= Delegates && d.ownRank < Delegates {
		d.becomeDelegate()
	} else if before != d.ownRank {
		d.resetContacts()
	}
	d.dropStaleObservations()
}

func (d *Directory) isSelf(m Member) bool { return m.ID == d.cfg.Self.ID }

// rankCandidates determines the candidates for delegate: the first members of the local zone by rank, at most
// MaxContacts. They depend only on the view, so all members whose views agree choose the same ones. A leaving member is
// not a candidate unless it is the last one.
func (d *Directory) rankCandidates() {
	d.zonePeers = d.zonePeers[:0]
	for _, m := range d.local.Members {
		if !d.isSelf(m) {
			d.zonePeers = append(d.zonePeers, m)
		}
	}
	alone := len(d.zonePeers) == 0
	d.lastToLeave = d.local.Leaving && alone
	d.candidates = append(d.candidates[:0], d.zonePeers...)
	if !d.local.Leaving || alone {
		d.candidates = append(d.candidates, Member{ID: d.cfg.Self.ID, Addr: d.cfg.Self.Addr})
	}
	slices.SortFunc(d.candidates, func(a, b Member) int {
		return cmp.Compare(d.cfg.Rank(d.ownZone, a.ID), d.cfg.Rank(d.ownZone, b.ID))
	})
	d.candidates = d.candidates[:min(len(d.candidates), MaxContacts)]
}

// isCandidate reports whether a member is a delegate of the local zone, or one of the possible replacements.
func (d *Directory) isCandidate(id MemberID) bool {
	return slices.ContainsFunc(d.candidates, func(m Member) bool { return m.ID == id })
}

// isZonePeer reports whether a member is another one in the view of the local zone.
func (d *Directory) isZonePeer(id MemberID) bool {
	return slices.ContainsFunc(d.zonePeers, func(m Member) bool { return m.ID == id })
}

// delegates returns the members that act for the local zone.
func (d *Directory) delegates() []Member { return d.candidates[:min(len(d.candidates), Delegates)] }

// updateSettled decides whether a new process may act for its zone: after syncedSettleTime if it has synchronized with
// the zone, otherwise after unsyncedSettleTime plus its share of settleStagger.
func (d *Directory) updateSettled(now monotime.Micros) {
	if d.settled {
		return
	}
	age := now - d.startedAt
	syncedWithPeers := d.synced && len(d.zonePeers) > 0
	d.settled = syncedWithPeers && age >= syncedSettleTime || age >= unsyncedSettleTime+d.stagger()
}

// stagger returns this member's share of settleStagger, in proportion to its rank hash.
func (d *Directory) stagger() monotime.Micros {
	const (
		hashBits     = 64
		mantissaBits = 53
	)
	fraction := float64(rankHash(d.ownZone, d.cfg.Self.ID)>>(hashBits-mantissaBits)) / (1 << mantissaBits)
	return monotime.Micros(float64(settleStagger) * fraction)
}

// isActiveDelegate reports whether this member currently exchanges messages with other zones: it is a delegate, has
// settled and is not unhealthy.
func (d *Directory) isActiveDelegate() bool {
	return d.settled && d.ownRank < Delegates && !d.unhealthy()
}

// unhealthy reports whether this member's own observations are to be ignored.
func (d *Directory) unhealthy() bool { return d.local.Unhealthy || d.viewUnreliable() }

// recordUnlisted records a message from a member of the local zone if that member is not in the view.
func (d *Directory) recordUnlisted(now monotime.Micros, id MemberID) {
	if d.isZonePeer(id) {
		return
	}
	if now-d.unlistedAt > unlistedTimeout {
		d.unlistedSince = now
	}
	d.unlistedAt = now
}

// viewUnreliable reports whether this member is probably the one that is cut off: it considers at least half of its
// zone dead, and yet keeps receiving messages from members that are not in its view. These are running, and probably
// consider this member dead as well.
func (d *Directory) viewUnreliable() bool {
	receivesUnlisted := d.now-d.unlistedAt < unlistedTimeout && d.now-d.unlistedSince >= minUnlistedTime
	return d.local.Live <= d.local.Dead && receivesUnlisted
}
