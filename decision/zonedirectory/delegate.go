package zonedirectory

import (
	"cmp"
	"net/netip"
	"slices"

	"spurspread/decision/monotime"
	"spurspread/decision/splitmix"
)

const (
	// unsyncedSettleTime is how long a new process that has met no member of its zone waits before it represents the
	// zone. settleStagger is added by its id: of several that start at once, one is received by the others before
	// they do the same.
	unsyncedSettleTime = 2 * monotime.Second
	settleStagger      = 4 * monotime.Second
	// syncedSettleTime is the same for one that has met its zone: its view is mostly complete by then.
	syncedSettleTime = 1 * monotime.Second
	// unlistedTimeout is how long a member that was received counts as there. Half of it is longer than it takes
	// until such a member is in the view.
	unlistedTimeout = 2 * monotime.Second
	// minUnlistedTime is how long unlisted members are received before this one takes itself for not receiving.
	minUnlistedTime = unlistedTimeout / 2
)

// Member is a member of the own zone.
type Member struct {
	ID   MemberID
	Addr netip.AddrPort
}

// LocalZone is this member's view of its own zone.
type LocalZone struct {
	// Revision changes whenever Members may have changed.
	Revision uint64
	// Members are those that are alive and not suspected, this one included.
	Members []Member
	// Live counts those that are suspected, too, Known those that died or left lately as well; Position is that of
	// this member among the live ones.
	Live, Known, Position int
	// Dead are those of Known that are considered dead.
	Dead int
	// Unhealthy says that this member has reason to doubt its own observations, Leaving that it leaves.
	Unhealthy, Leaving bool
}

// rankHash orders the members of a zone, the same in all members and at all times.
func rankHash(zone ID, id MemberID) uint64 {
	return splitmix.Mix64(uint64(zone) ^ splitmix.Mix64(uint64(id)))
}

// applyLocalZone takes a new view of the own zone, and with it who represents the zone.
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

// rankCandidates decides who represents the own zone: its first members by rank, MaxContacts at most. That follows
// from the view alone, so that all members whose views agree choose the same. A member that leaves is none, unless it
// is the last one.
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

// isCandidate reports whether a member is a delegate of the own zone, or would replace one.
func (d *Directory) isCandidate(id MemberID) bool {
	return slices.ContainsFunc(d.candidates, func(m Member) bool { return m.ID == id })
}

// isZonePeer reports whether a member is another one of the own zone's view.
func (d *Directory) isZonePeer(id MemberID) bool {
	return slices.ContainsFunc(d.zonePeers, func(m Member) bool { return m.ID == id })
}

// delegates are the members that represent the own zone.
func (d *Directory) delegates() []Member { return d.candidates[:min(len(d.candidates), Delegates)] }

// updateSettled decides when a new process may represent its zone: syncedSettleTime after its start if it has met the
// zone, otherwise unsyncedSettleTime and a part of settleStagger.
func (d *Directory) updateSettled(now monotime.Micros) {
	if d.settled {
		return
	}
	age := now - d.startedAt
	met := d.synced && len(d.zonePeers) > 0
	d.settled = met && age >= syncedSettleTime || age >= unsyncedSettleTime+d.stagger()
}

// stagger is this member's part of settleStagger, by its rank among all possible ones.
func (d *Directory) stagger() monotime.Micros {
	const (
		hashBits     = 64
		mantissaBits = 53
	)
	fraction := float64(rankHash(d.ownZone, d.cfg.Self.ID)>>(hashBits-mantissaBits)) / (1 << mantissaBits)
	return monotime.Micros(float64(settleStagger) * fraction)
}

// isActiveDelegate decides whether this member exchanges messages with other zones now: it is a delegate, has
// settled, and has no reason to doubt its own observations.
func (d *Directory) isActiveDelegate() bool {
	return d.settled && d.ownRank < Delegates && !d.doubtful()
}

// doubtful decides whether this member's own observations count for nothing.
func (d *Directory) doubtful() bool { return d.local.Unhealthy || d.notReceiving() }

// noteUnlisted remembers that a member of the own zone is received that is not in the view.
func (d *Directory) noteUnlisted(now monotime.Micros, id MemberID) {
	if d.isZonePeer(id) {
		return
	}
	if now-d.unlistedAt > unlistedTimeout {
		d.unlistedSince = now
	}
	d.unlistedAt = now
}

// notReceiving decides whether this member is the one that is cut off: it considers at least half of its zone dead,
// and goes on receiving members that are not in its view. They are there, and consider it dead as rightly.
func (d *Directory) notReceiving() bool {
	receivesUnlisted := d.now-d.unlistedAt < unlistedTimeout && d.now-d.unlistedSince >= minUnlistedTime
	return d.local.Live <= d.local.Dead && receivesUnlisted
}
