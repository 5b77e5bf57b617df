package zonedirectory

import (
	"math/rand/v2"
	"net/netip"

	"spurspread/decision/monotime"
)

// Directory is one member's knowledge of the zones of its fleet, and its part in the protocol.
type Directory struct {
	cfg       Config
	ownZone   ID
	rng       *rand.Rand
	startedAt monotime.Micros
	now       monotime.Micros
	outbox    []Outgoing

	// Items.
	items        map[uint64]*entry
	keys         []uint64 // of items, ascending
	itemCounts   [itemKindCount]int
	tombstones   map[uint64]tombstone
	digest       uint64          // of all items
	globalDigest uint64          // of the items that go to all zones
	changedAt    monotime.Micros // time of the last change of globalDigest

	// The local zone.
	local              LocalZone
	zonePeers          []Member        // members of local without this one
	candidates         []Member        // the first MaxContacts of local by rank
	ownRank            int             // index of this member in candidates, MaxContacts if absent
	settled            bool            // see updateSettled
	synced             bool            // has synchronized with a member of the zone
	lastToLeave        bool            // this member is the last one of its zone, and is leaving
	leaveAnnouncements int             // times that lastToLeave was announced to other zones
	unlistedSince      monotime.Micros // start of the series of such messages that ends at unlistedAt
	unlistedAt         monotime.Micros // last message from a member of the local zone that is not in local
	observation        observationState
	issuing            issuerState

	// The zones.
	zones            []*zoneState // ascending by ID, including the local zone
	unreachableZones []ID         // see unreachableFromZone
	nextEvaluationAt monotime.Micros
	remoteLive       int // members of other zones, see evaluateZones
	remoteKnown      int
	membersBefore    int // live members of the zones whose IDs precede ownZone

	// Dissemination and anti-entropy.
	dissemination disseminationState
	repairBudget  tokenBucket
	nextSyncAt    monotime.Micros
	syncCursor    uint64                       // first key of the next SyncVersions
	divergedSince map[MemberID]monotime.Micros // start of the digest mismatch with members of the local zone

	// Probes, seeds and introductions.
	nextSeq            uint32
	nextSeedProbeAt    monotime.Micros
	seedIndex          int                   // of the last seed considered
	seedZones          map[netip.AddrPort]ID // zones of the seeds that have answered
	nextJoinAt         monotime.Micros
	joinSeeds          []netip.AddrPort // see JoinSeeds
	introducedAt       map[netip.AddrPort]monotime.Micros
	nextIntroductionAt monotime.Micros

	// Issued counts the summaries of the local zone that this member issued; IssuerBackoffs counts how often it backed
	// off because another issuer kept issuing a preferred summary.
	Issued, IssuerBackoffs int
	// Suppressed counts the messages that were dropped because the budget was exhausted.
	Suppressed int
}

// New returns a directory that knows no zone yet.
func New(cfg Config, now monotime.Micros) *Directory {
	if cfg.Rank == nil {
		cfg.Rank = rankHash
	}
	d := &Directory{
		cfg:           cfg,
		ownZone:       cfg.Site.ID(),
		rng:           rand.New(rand.NewPCG(cfg.RandomSeed, uint64(cfg.Self.ID))),
		startedAt:     now,
		now:           now,
		items:         map[uint64]*entry{},
		tombstones:    map[uint64]tombstone{},
		changedAt:     now,
		ownRank:       MaxContacts,
		dissemination: newDisseminationState(now),
		repairBudget:  newTokenBucket(repairBytesPerSecond, repairBytesBurst, now),
		divergedSince: map[MemberID]monotime.Micros{},
		seedZones:     map[netip.AddrPort]ID{},
		introducedAt:  map[netip.AddrPort]monotime.Micros{},
	}
	cfg.RateDivisor.Start(now, max(cfg.ExpectedMembers, 1))
	return d
}

// Tick runs all actions that are due and returns the messages to send. The owner calls it every TickInterval with the
// view of the local zone, or with nil if that has not changed.
func (d *Directory) Tick(now monotime.Micros, local *LocalZone) []Outgoing {
	d.now = now
	if local != nil {
		d.applyLocalZone(*local)
	}
	d.updateSettled(now)
	d.publishObservation(now)
	d.issueSummary(now)
	d.runProbes(now)
	d.pushItems(now)
	d.gossip(now)
	d.evaluateZones(now)
	d.cfg.RateDivisor.Observe(now, d.Live(), d.Known())
	return d.takeOutput()
}

func (d *Directory) takeOutput() []Outgoing {
	out := d.outbox
	d.outbox = nil
	return out
}

// send queues a message from this member.
func (d *Directory) send(to netip.AddrPort, receiver MemberID, m Message) {
	m.From = d.cfg.Self.ID
	m.Instance = d.cfg.Self.Instance
	m.Zone = d.ownZone
	m.Digest = d.globalDigest
	d.outbox = append(d.outbox, Outgoing{To: to, Receiver: receiver, Message: m})
}

// Receive processes a message from an authenticated sender, which can be reached at the address from. Messages that are
// out of bounds are ignored. ObserveDatagram need not be called for the same datagram.
func (d *Directory) Receive(now monotime.Micros, from netip.AddrPort, m Message) []Outgoing {
	if !m.valid() || m.From == d.cfg.Self.ID {
		return nil
	}
	d.now = now
	for _, item := range m.Items {
		d.merge(now, item, &m)
	}
	switch m.Kind {
	case Probe:
		d.send(from, m.From, Message{Kind: ProbeAck, Seq: m.Seq})
	case ProbeAck:
		d.handleProbeAck(now, from, &m)
	case Update:
		d.handleUpdate(now, from, &m)
	case SyncVersions:
		d.handleSyncVersions(from, &m)
	}
	return d.takeOutput()
}

// ObserveDatagram processes the sender's zone and directory digest from a datagram of package membership. A message
// from a sender in another zone must not be passed to membership.Fleet; ObserveDatagram answers it with the summary of
// the local zone.
func (d *Directory) ObserveDatagram(
	now monotime.Micros,
	from netip.AddrPort,
	id MemberID,
	zone ID,
	digest uint64,
) []Outgoing {
	d.now = now
	if id == d.cfg.Self.ID || zone == 0 {
		return nil
	}
	if zone != d.ownZone {
		d.introduceZone(now, from, id, zone)
	} else {
		d.recordUnlisted(now, id)
		d.observeZonePeer(now, from, id, digest)
	}
	return d.takeOutput()
}

// Digest returns the digest of all items, including those of the local zone. Datagrams of membership carry it.
func (d *Directory) Digest() uint64 { return d.digest }

// SetSeeds replaces the seed addresses.
func (d *Directory) SetSeeds(addrs []netip.AddrPort) { d.cfg.Seeds = addrs }

// jitter returns a random duration in [0, limit); limit must be positive.
func (d *Directory) jitter(limit monotime.Micros) monotime.Micros {
	return monotime.Micros(d.rng.Int64N(int64(limit)))
}

// spreadAround returns a random duration with mean interval and a total range of spread.
func (d *Directory) spreadAround(interval, spread monotime.Micros) monotime.Micros {
	return interval - spread/2 + d.jitter(spread)
}
