package zonedirectory

import (
	"math/rand/v2"
	"net/netip"

	"spurspread/decision/monotime"
)

// Directory is what one member knows of its fleet's zones, and its part in the protocol.
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
	itemCounts   [itemKinds]int
	tombstones   map[uint64]tombstone
	digest       uint64          // of all items
	globalDigest uint64          // of those that go to all zones
	changedAt    monotime.Micros // when globalDigest did

	// The own zone.
	local              LocalZone
	zonePeers          []Member // of local, without this one
	candidates         []Member // the first MaxContacts of local by rank
	ownRank            int      // of this member among them, MaxContacts where it is not
	settled            bool     // see updateSettled
	synced             bool     // compared with a member of the zone, or agreeing with one
	lastToLeave        bool     // the last member of the zone, and leaving
	leaveAnnouncements int      // how often other zones were notified of that
	unlistedSince      monotime.Micros
	unlistedAt         monotime.Micros // when a member of the zone that is not in local sent something last
	observing          observationState
	conflict           issuerConflict

	// The zones.
	zones            []*zoneState // ascending by id, the own one among them
	unreachableZones []ID         // see unreachableFromZone
	nextEvaluationAt monotime.Micros
	remoteLive       int // members of other zones, see evaluateZones
	remoteKnown      int
	membersBefore    int // live members of the zones before the own one

	// Dissemination and anti-entropy.
	dissemination disseminationState
	repairBudget  tokenBucket
	nextSyncAt    monotime.Micros
	syncCursor    uint64                       // the key at which the next SyncVersions begins
	divergedSince map[MemberID]monotime.Micros // members of the own zone whose digests differ

	// Probes, seeds and introductions.
	nextSeq            uint32
	nextSeedProbeAt    monotime.Micros
	seedIndex          int                   // of the seed that was looked at last
	seedZones          map[netip.AddrPort]ID // of seeds that have answered
	nextJoinAt         monotime.Micros
	joinSeeds          []netip.AddrPort // see JoinSeeds
	introducedAt       map[netip.AddrPort]monotime.Micros
	nextIntroductionAt monotime.Micros

	// Issued counts the summaries of the own zone that this member issued; IssuerBackoffs counts how often it backed
	// off because another issuer kept issuing a preferred summary.
	Issued, IssuerBackoffs int
	// Suppressed counts the messages that were not sent for want of budget.
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

// Tick does what is due. It is to be called every TickInterval, with the view of the own zone, or with nil where that
// has not changed.
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

// send sends a message from this member.
func (d *Directory) send(to netip.AddrPort, receiver MemberID, m Message) {
	m.From = d.cfg.Self.ID
	m.Instance = d.cfg.Self.Instance
	m.Zone = d.ownZone
	m.Digest = d.globalDigest
	d.outbox = append(d.outbox, Outgoing{To: to, Receiver: receiver, Message: m})
}

// Receive takes a message from the address that its sender has. The sender is authenticated. A message that is out of
// bounds is ignored. ObserveDatagram need not be called for it.
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
		d.handleSync(from, &m)
	}
	return d.takeOutput()
}

// ObserveDatagram takes what any datagram of package membership says of its sender: its zone, and the Digest of its
// directory. The message of a sender in another zone is not to be given to membership.Fleet; here it is answered with
// the own zone's summary.
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
		d.noteUnlisted(now, id)
		d.observeZonePeer(now, from, id, digest)
	}
	return d.takeOutput()
}

// Digest is that of all items, those of the own zone included: what datagrams of membership carry.
func (d *Directory) Digest() uint64 { return d.digest }

// SetSeeds replaces the addresses of the seeds.
func (d *Directory) SetSeeds(addrs []netip.AddrPort) { d.cfg.Seeds = addrs }

// jitter draws a span under limit, in microseconds; limit is over 0.
func (d *Directory) jitter(limit monotime.Micros) monotime.Micros {
	return monotime.Micros(d.rng.Int64N(int64(limit)))
}

// spreadAround draws a span of interval on average that varies by spread.
func (d *Directory) spreadAround(interval, spread monotime.Micros) monotime.Micros {
	return interval - spread/2 + d.jitter(spread)
}
