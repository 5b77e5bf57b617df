package zonedirectory

import (
	"cmp"
	"errors"
	"math/rand/v2"
	"net/netip"
	"slices"
	"spurspread/decision/monotime"
)

// Spans, in microseconds.
const (
	ms  monotime.Micros = 1000
	sec                 = 1000 * ms
	// TickInterval is how often Tick is to be called.
	TickInterval = 50 * ms
)

// What may be wrong with a record to be published.
var (
	ErrInvalidRecord  = errors.New("zone: a record's name has 1 to 32 bytes, its value at most 64")
	ErrTooManyRecords = errors.New("zone: there are as many records as there may be")
)

// Config is what a directory is started with.
type Config struct {
	Self            Self
	Site            Site
	Seeds           []netip.AddrPort // of any zone
	ExpectedMembers int              // members of the fleet by its settings: what the rate divisor begins at
	RandomSeed      uint64
	// Divisor is the rule by which the fleet's budgets are divided: how many members are there and how many are
	// known it is told at each Tick. It is needed.
	RateDivisor RateDivisor
	// Rank orders the members of a zone, the lowest first, where it is not nil: a laboratory plants a fault here.
	Rank func(zone ID, id MemberID) uint64
}

// RateDivisor follows the size of the fleet, from a number that it begins with.
type RateDivisor interface {
	Start(now monotime.Micros, members int)
	Observe(now monotime.Micros, live, known int)
	Value() float64
}

// Member is one of this zone.
type Member struct {
	ID   MemberID
	Addr netip.AddrPort
}

// LocalZone is this member's view of its own zone.
type LocalZone struct {
	Revision              uint64   // changes with Members; member.Fleet has it
	Members               []Member // held alive and not suspected, this member among them
	Live, Known, Position int      // of member.Fleet
	Dead                  int      // of those Known: held dead, and have not left
	Unhealthy, Leaving    bool
}

// Directory is what one member knows of its fleet's zones.
type Directory struct {
	cfg       Config
	ownZone   ID
	rng       *rand.Rand
	startedAt monotime.Micros
	now       monotime.Micros
	local     LocalZone

	items                map[uint64]*entry
	keys                 []uint64        // of items, ascending
	digest, globalDigest uint64          // of all items, and of those that go to all zones
	changedAt            monotime.Micros // when global did
	itemCounts           [3]int          // items by kind
	zones                []*zoneState
	tombstones           map[uint64]tombstone

	candidates         []Member // the first MaxContacts by rank
	zonePeers          []Member // of the own zone, but for this one
	ownRank            int      // of this member; MaxContacts where it is not among the first
	lastToLeave        bool     // this member is the last of its zone, and goes
	leaveAnnouncements int      // how often it has told other zones so
	settled            bool     // see settle
	synced             bool     // has compared itself with a member of its zone, or agrees with one
	observing          observationState
	conflict           issuerConflict

	dissemination   disseminationState
	repairBudget    tokenBucket
	nextSyncAt      monotime.Micros
	divergedSince   map[MemberID]monotime.Micros // members of this zone whose directories differ, since when
	syncCursor      uint64                       // from which key on the next Compare is
	introducedAt    map[netip.AddrPort]monotime.Micros
	nextSeq         uint32
	nextSeedProbeAt monotime.Micros
	seedIndex       int
	seedZones       map[netip.AddrPort]ID // by what answered there

	nextJoinAt         monotime.Micros
	joinSeeds          []netip.AddrPort // see JoinSeeds
	nextIntroductionAt monotime.Micros
	nextEvaluationAt   monotime.Micros
	unreachableZones   []ID // see unreachable
	// Members of this zone that are not in the view are heard, since when and when last.
	unlistedSince, unlistedAt monotime.Micros
	remoteLive, remoteKnown   int
	membersBefore             int // members of the zones before this one
	outbox                    []Outgoing

	// Issued and Yielded count the own zone's summaries that this member issued, and how often it let another
	// issuer's stand.
	Issued, Yielded int
	Suppressed      int // messages not sent, for want of budget
}

// zoneState is one zone, the own one among them.
type zoneState struct {
	*Summary
	id               ID
	state            Reachability
	stateSince       monotime.Micros
	partitionedSince monotime.Micros // from when on it would be Cut, 0 where it would not
	link             link
}

// tombstone is an item that was dropped after its time, which others may have yet.
type tombstone struct {
	zone      ID
	version   ItemVersion
	expiresAt monotime.Micros
}

// New returns a directory that knows no zone.
func New(cfg Config, now monotime.Micros) *Directory {
	d := &Directory{
		cfg: cfg, ownZone: cfg.Site.ID(), rng: rand.New(rand.NewPCG(cfg.RandomSeed, uint64(cfg.Self.ID))), startedAt: now, now: now,
		items: map[uint64]*entry{}, tombstones: map[uint64]tombstone{}, ownRank: MaxContacts, divergedSince: map[MemberID]monotime.Micros{},
		introducedAt: map[netip.AddrPort]monotime.Micros{}, seedZones: map[netip.AddrPort]ID{}, changedAt: now,
	}
	d.dissemination.gossipBudget, d.dissemination.pushBudget = newTokenBucket(
		gossipBytesPerSecond,
		gossipBytesBurst,
		now,
	), newTokenBucket(
		pushBytesPerSecond,
		pushBytesBurst,
		now,
	)
	d.repairBudget = newTokenBucket(repairBytesPerSecond, repairBytesBurst, now)
	if d.cfg.Rank == nil {
		d.cfg.Rank = rankHash
	}
	d.cfg.RateDivisor.Start(now, max(cfg.ExpectedMembers, 1))
	return d
}

// Tick does what is due, each Step. It takes the view of the own zone as it is; nil where that has not changed in
// anything.
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

// send has a message sent, from this member.
func (d *Directory) send(to netip.AddrPort, id MemberID, m Message) {
	m.From, m.Instance, m.Zone, m.Digest = d.cfg.Self.ID, d.cfg.Self.Instance, d.ownZone, d.globalDigest
	d.outbox = append(d.outbox, Outgoing{to, id, m})
}

// Receive takes a message that came from an address; whose it is was proved before. Noticed need not be called for it.
func (d *Directory) Receive(now monotime.Micros, from netip.AddrPort, m Message) []Outgoing {
	if m.Kind == 0 || m.Kind > maxKind || m.Zone == 0 || m.From == d.cfg.Self.ID || len(m.Items) > MaxItems ||
		len(m.Versions) > MaxVersions {
		return nil
	}
	d.now = now
	for _, it := range m.Items {
		d.merge(now, it, &m)
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

// ObserveDatagram takes what any datagram of member messages says of its sender's zone and directory. One of another zone
// is not to be given to member.Fleet; it is answered with this zone's summary here.
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

// introduceZone tells a member of another zone, which has this one's address as a seed, of this zone and of what its
// own is said to be.
func (d *Directory) introduceZone(now monotime.Micros, from netip.AddrPort, id MemberID, zone ID) {
	if len(d.introducedAt) > maxIntroduced {
		clear(d.introducedAt)
	}
	if at, ok := d.introducedAt[from]; ok && now-at < introductionReplyInterval {
		return
	}
	d.introducedAt[from] = now
	var items []Item
	for _, z := range []ID{d.ownZone, zone} {
		if e := d.items[summaryKey(z)]; e != nil {
			items = append(items, e.Item)
		}
	}
	if len(items) > 0 {
		d.sendRepair(from, id, Message{Kind: Update, Items: items})
	}
}

// Digest stands for all items that this member has, those of its own zone among them: what datagrams of member
// messages carry.
func (d *Directory) Digest() uint64 { return d.digest }

// Records are all records by their names.
func (d *Directory) Records() (out []Record) {
	for _, k := range d.keys {
		if r := d.items[k].Record; r != nil {
			out = append(out, *r)
		}
	}
	slices.SortFunc(out, func(a, b Record) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Publish begins to spread a new value of a record.
func (d *Directory) Publish(now monotime.Micros, name, value string) (Record, error) {
	r := Record{Name: name, Value: value, Version: d.nextVersion(now, recordKey(name))}
	if !r.valid() {
		return Record{}, ErrInvalidRecord
	}
	if d.items[recordKey(name)] == nil && d.itemCounts[kindRecord] >= MaxRecords {
		return Record{}, ErrTooManyRecords
	}
	d.store(now, newEntry(Item{Record: &r}))
	return r, nil
}

// nextVersion is the next one of an item: later than the one that is held, and than those of before, as far as the
// clock tells.
func (d *Directory) nextVersion(now monotime.Micros, key uint64) uint64 {
	v := uint64(max(now/ms, 1))
	if e := d.items[key]; e != nil {
		v = max(v, e.version+1)
	}
	if f, ok := d.tombstones[key]; ok {
		v = max(v, f.version.Version+1)
	}
	return v
}

// SetSeeds takes the addresses that the seeds have now.
func (d *Directory) SetSeeds(addrs []netip.AddrPort) { d.cfg.Seeds = addrs }
