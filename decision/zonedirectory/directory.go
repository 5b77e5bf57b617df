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
	// Step is how often Tick is to be called.
	Step = 50 * ms
)

// What may be wrong with a record to be published.
var (
	ErrRecord = errors.New("zone: a record's name has 1 to 32 bytes, its value at most 64")
	ErrSpace  = errors.New("zone: there are as many records as there may be")
)

// Config is what a directory is started with.
type Config struct {
	Self     Self
	Site     Site
	Seeds    []netip.AddrPort // of any zone
	Expected int              // members of the fleet by its settings: what the rate divisor begins at
	Seed     uint64
	// Divisor is the rule by which the fleet's budgets are divided: how many members are there and how many are
	// known it is told at each Tick. It is needed.
	Divisor Divisor
	// Rank orders the members of a zone, the lowest first, where it is not nil: a laboratory plants a fault here.
	Rank func(zone ID, id MemberID) uint64
}

// Divisor follows the size of the fleet, from a number that it begins with.
type Divisor interface {
	Begin(now monotime.Micros, members int)
	Note(now monotime.Micros, live, known int)
	Value() float64
}

// Member is one of this zone.
type Member struct {
	ID   MemberID
	Addr netip.AddrPort
}

// Local is this member's view of its own zone.
type Local struct {
	Revision           uint64   // changes with Members; member.Fleet has it
	Members            []Member // held alive and not suspected, this member among them
	Live, Known, Place int      // of member.Fleet
	Dead               int      // of those Known: held dead, and have not left
	Doubts, Leaving    bool
}

// Directory is what one member knows of its fleet's zones.
type Directory struct {
	cfg   Config
	own   ID
	rng   *rand.Rand
	born  monotime.Micros
	now   monotime.Micros
	local Local

	items          map[uint64]*entry
	keys           []uint64        // of items, ascending
	digest, global uint64          // of all items, and of those that go to all zones
	changedAt      monotime.Micros // when global did
	counts         [3]int          // items by kind
	zones          []*zoneState
	forgotten      map[uint64]forgotten

	ranked     []Member // the first MaxContacts by rank
	others     []Member // of the own zone, but for this one
	rank       int      // of this member; MaxContacts where it is not among the first
	last       bool     // this member is the last of its zone, and goes
	leaveSends int      // how often it has told other zones so
	ready      bool     // see settle
	synced     bool     // has compared itself with a member of its zone, or agrees with one
	opinion    opinion
	contest    contest

	spread    spreading
	repair    bucket
	syncAt    monotime.Micros
	differs   map[MemberID]monotime.Micros // members of this zone whose directories differ, since when
	cursor    uint64                       // from which key on the next Compare is
	answered  map[netip.AddrPort]monotime.Micros
	seq       uint32
	seedsAt   monotime.Micros
	seedAt    int
	seedZones map[netip.AddrPort]ID // by what answered there

	joinAt      monotime.Micros
	joins       []netip.AddrPort // see JoinSeeds
	introduceAt monotime.Micros
	judgeAt     monotime.Micros
	missing     []ID // see unreachable
	// Members of this zone that are not in the view are heard, since when and when last.
	strangerSince, strangerAt monotime.Micros
	live, known               int
	before                    int // members of the zones before this one
	out                       []Send

	// Issued and Yielded count the own zone's summaries that this member issued, and how often it let another
	// issuer's stand.
	Issued, Yielded int
	Saved           int // messages not sent, for want of budget
}

// zoneState is one zone, the own one among them.
type zoneState struct {
	*Summary
	id       ID
	state    Reachability
	since    monotime.Micros
	cutSince monotime.Micros // from when on it would be Cut, 0 where it would not
	link     link
}

// forgotten is an item that was dropped after its time, which others may have yet.
type forgotten struct {
	zone    ID
	version ItemVersion
	until   monotime.Micros
}

// New returns a directory that knows no zone.
func New(cfg Config, now monotime.Micros) *Directory {
	d := &Directory{
		cfg: cfg, own: cfg.Site.ID(), rng: rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Self.ID))), born: now, now: now,
		items: map[uint64]*entry{}, forgotten: map[uint64]forgotten{}, rank: MaxContacts, differs: map[MemberID]monotime.Micros{},
		answered: map[netip.AddrPort]monotime.Micros{}, seedZones: map[netip.AddrPort]ID{}, changedAt: now,
	}
	d.spread.gossip, d.spread.push = newBucket(
		gossipBudget,
		gossipReserve,
		now,
	), newBucket(
		pushBudget,
		pushReserve,
		now,
	)
	d.repair = newBucket(repairBudget, repairReserve, now)
	if d.cfg.Rank == nil {
		d.cfg.Rank = rankHash
	}
	d.cfg.Divisor.Begin(now, max(cfg.Expected, 1))
	return d
}

// Tick does what is due, each Step. It takes the view of the own zone as it is; nil where that has not changed in
// anything.
func (d *Directory) Tick(now monotime.Micros, local *Local) []Send {
	d.now = now
	if local != nil {
		d.view(*local)
	}
	d.settle(now)
	d.observe(now)
	d.issue(now)
	d.probe(now)
	d.pushOut(now)
	d.gossip(now)
	d.judge(now)
	d.cfg.Divisor.Note(now, d.Live(), d.Known())
	return d.take()
}

func (d *Directory) take() []Send {
	out := d.out
	d.out = nil
	return out
}

// send has a message sent, from this member.
func (d *Directory) send(to netip.AddrPort, id MemberID, m Message) {
	m.From, m.Instance, m.Zone, m.Digest = d.cfg.Self.ID, d.cfg.Self.Instance, d.own, d.global
	d.out = append(d.out, Send{to, id, m})
}

// Receive takes a message that came from an address; whose it is was proved before. Noticed need not be called for it.
func (d *Directory) Receive(now monotime.Micros, from netip.AddrPort, m Message) []Send {
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
		d.acknowledged(now, from, &m)
	case Update:
		d.updated(now, from, &m)
	case Compare:
		d.compared(from, &m)
	}
	return d.take()
}

// Noticed takes what any datagram of member messages says of its sender's zone and directory. One of another zone
// is not to be given to member.Fleet; it is answered with this zone's summary here.
func (d *Directory) Noticed(now monotime.Micros, from netip.AddrPort, id MemberID, zone ID, digest uint64) []Send {
	d.now = now
	if id == d.cfg.Self.ID || zone == 0 {
		return nil
	}
	if zone != d.own {
		d.introduce(now, from, id, zone)
	} else {
		d.heard(now, id)
		d.noticedHere(now, from, id, digest)
	}
	return d.take()
}

// introduce tells a member of another zone, which has this one's address as a seed, of this zone and of what its
// own is said to be.
func (d *Directory) introduce(now monotime.Micros, from netip.AddrPort, id MemberID, zone ID) {
	if len(d.answered) > maxAnswered {
		clear(d.answered)
	}
	if at, ok := d.answered[from]; ok && now-at < answerEvery {
		return
	}
	d.answered[from] = now
	var items []Item
	for _, z := range []ID{d.own, zone} {
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
	r := Record{Name: name, Value: value, Version: d.version(now, recordKey(name))}
	if !r.valid() {
		return Record{}, ErrRecord
	}
	if d.items[recordKey(name)] == nil && d.counts[kindRecord] >= MaxRecords {
		return Record{}, ErrSpace
	}
	d.put(now, newEntry(Item{Record: &r}))
	return r, nil
}

// version is the next one of an item: later than the one that is held, and than those of before, as far as the
// clock tells.
func (d *Directory) version(now monotime.Micros, key uint64) uint64 {
	v := uint64(max(now/ms, 1))
	if e := d.items[key]; e != nil {
		v = max(v, e.version+1)
	}
	if f, ok := d.forgotten[key]; ok {
		v = max(v, f.version.Version+1)
	}
	return v
}

// Seeds takes the addresses that the seeds have now.
func (d *Directory) Seeds(addrs []netip.AddrPort) { d.cfg.Seeds = addrs }
