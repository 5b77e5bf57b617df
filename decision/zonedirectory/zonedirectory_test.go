package zonedirectory

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"reflect"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"spurspread/decision/membership"
	"spurspread/decision/monotime"
)

const start = monotime.Second

func addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}), 7000)
}

func site(i int) Site { return Site{Region: "r", Zone: fmt.Sprint("z", i)} }

// newDirectory returns the directory of the first member of zone 0, which has the given number of members.
func newDirectory(members int, expected int) *Directory {
	d := New(Config{
		Self:            Self{ID: 1, Addr: addr(1), Instance: 1},
		Site:            site(0),
		ExpectedMembers: expected,
		RandomSeed:      1,
		RateDivisor:     &membership.RateDivisor{},
	}, start)
	d.Tick(start, localOf(members))
	return d
}

func localOf(members int) *LocalZone {
	local := &LocalZone{Revision: 1, Live: members, Known: members}
	for i := range members {
		local.Members = append(local.Members, Member{MemberID(i + 1), addr(i + 1)})
	}
	return local
}

func drawZones(r *rapid.T) []ID {
	var zones []ID
	for i := range 3 {
		if rapid.Bool().Draw(r, "unreachable") {
			zones = append(zones, site(i).ID())
		}
	}
	slices.Sort(zones)
	return zones
}

// drawItem draws from few names and versions, so that many items have the same key.
func drawItem(r *rapid.T) Item {
	version := rapid.Uint64Range(1, 3).Draw(r, "version")
	switch rapid.IntRange(0, 2).Draw(r, "kind") {
	case 0:
		live := rapid.IntRange(0, 2).Draw(r, "live")
		issuer := MemberID(rapid.IntRange(1, 3).Draw(r, "issuer"))
		return Item{Summary: &Summary{
			Site:        site(rapid.IntRange(0, MaxZones+4).Draw(r, "zone")),
			Version:     version,
			Issuer:      issuer,
			Live:        live,
			Known:       live,
			Unreachable: drawZones(r),
			Contacts:    []Contact{{1, addr(rapid.IntRange(1, 2).Draw(r, "contact"))}},
		}}
	case 1:
		return Item{Observation: &Observation{
			Zone:        site(0).ID(),
			Delegate:    MemberID(rapid.IntRange(1, 3).Draw(r, "delegate")),
			Version:     version,
			Unreachable: drawZones(r),
		}}
	}
	return Item{Record: &Record{
		Name:    fmt.Sprint("record", rapid.IntRange(0, MaxRecords+4).Draw(r, "name")),
		Version: version,
		Value:   rapid.SampledFrom([]string{"", "a", "b"}).Draw(r, "value"),
	}}
}

func drawItems(r *rapid.T, label string) []Item {
	return rapid.SliceOfN(rapid.Custom(drawItem), 0, 250).Draw(r, label)
}

// updateFrom returns an Update with items from a member.
func updateFrom(id MemberID, zone int, items ...Item) Message {
	return Message{Kind: Update, From: id, Zone: site(zone).ID(), Items: items}
}

// receiveItems delivers items one by one, from another member of the zone.
func receiveItems(d *Directory, items []Item) {
	for _, item := range items {
		d.Receive(start, addr(2), updateFrom(2, 0, item))
	}
}

func heldItems(d *Directory) []Item {
	var items []Item
	for _, key := range d.keys {
		items = append(items, d.items[key].Item)
	}
	return items
}

// The final content and digest of a directory do not depend on the order or the repetition of received items, and it
// holds the newest item of each key.
func TestMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		items := drawItems(r, "items")
		again := append(rapid.Permutation(items).Draw(r, "order"), items[:len(items)/2]...)
		a, b := newDirectory(3, 3), newDirectory(3, 3)
		receiveItems(a, items)
		receiveItems(b, again)
		if a.Digest() != b.Digest() || a.globalDigest != b.globalDigest ||
			!reflect.DeepEqual(heldItems(a), heldItems(b)) {
			r.Fatalf("digests %x and %x, items\n%v\n%v", a.Digest(), b.Digest(), heldItems(a), heldItems(b))
		}
		if len(a.zones) > MaxZones || len(a.Records()) > MaxRecords {
			r.Fatalf("%d zones, %d records", len(a.zones), len(a.Records()))
		}
		for _, item := range items {
			if e := newEntry(item); a.items[e.key] != nil && e.newer(a.items[e.key]) {
				r.Fatalf("%+v is newer than the entry in the directory", item)
			}
		}
	})
}

// Two directories become identical through comparisons, with messages of bounded size.
func TestSync(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		a, b := newDirectory(3, 3), newDirectory(3, 3)
		b.cfg.Self = Self{ID: 2, Addr: addr(2), Instance: 2}
		a.synced, b.synced = true, true
		receiveItems(a, drawItems(r, "items of one"))
		receiveItems(b, drawItems(r, "items of the other"))
		for now := start; a.Digest() != b.Digest(); now += monotime.Second {
			if now > 120*monotime.Second {
				r.Fatal("the directories still differ after two minutes")
			}
			exchange(r, now, a, b, a.ObserveDatagram(now, addr(2), 2, b.ownZone, b.Digest()))
		}
		if !reflect.DeepEqual(heldItems(a), heldItems(b)) {
			r.Fatal("equal digests, different contents")
		}
	})
}

// exchange delivers messages between two directories, and all answers to them.
func exchange(r *rapid.T, now monotime.Micros, a, b *Directory, out []Outgoing) {
	for round := 0; len(out) > 0; round++ {
		var answers []Outgoing
		for _, s := range out {
			if ApproximateSize(&s.Message) > 1250 || len(s.Message.Versions) > MaxVersions ||
				len(s.Message.Items) > MaxItems {
				r.Fatalf("a message of %d bytes", ApproximateSize(&s.Message))
			}
			if s.To == addr(2) {
				answers = append(answers, b.Receive(now, addr(1), s.Message)...)
			} else {
				answers = append(answers, a.Receive(now, addr(2), s.Message)...)
			}
		}
		if out = answers; round > 8 {
			r.Fatal("the exchange does not end")
		}
	}
}

// An item that is out of bounds is rejected.
func TestInvalidItems(t *testing.T) {
	d := newDirectory(3, 3)
	long := strings.Repeat("x", MaxName+1)
	tooMany := make([]Contact, MaxContacts+1)
	for i := range tooMany {
		tooMany[i] = Contact{1, addr(1)}
	}
	for i, item := range []Item{
		{},
		{Record: &Record{Name: "", Version: 1}},
		{Record: &Record{Name: long, Version: 1}},
		{Record: &Record{Name: "a", Version: 0}},
		{Record: &Record{Name: "a", Version: maxVersion + 1}},
		{Record: &Record{Name: "a", Version: 1, Value: long + long}},
		{Summary: &Summary{Site: Site{"r", long}, Version: 1}},
		{Summary: &Summary{Site: Site{"r", ""}, Version: 1}},
		{Summary: &Summary{Site: site(1), Version: 1, Live: 2, Known: 1}},
		{Summary: &Summary{Site: site(1), Version: 1, Contacts: tooMany}},
		{Summary: &Summary{Site: site(1), Version: 1, Contacts: []Contact{{}}}},
		{Summary: &Summary{Site: site(1), Version: 1, Unreachable: []ID{2, 1}}},
		{Observation: &Observation{Zone: site(1).ID(), Delegate: 2, Version: 1}},
		{Observation: &Observation{Zone: site(0).ID(), Delegate: 9, Version: 1}},
		{Record: &Record{Name: "a", Version: 1}, Summary: &Summary{Site: site(1), Version: 1}},
	} {
		if receiveItems(d, []Item{item}); len(d.keys) > 0 {
			t.Errorf("invalid item %d is accepted", i)
			d = newDirectory(3, 3)
		}
	}
}

// A message that is out of bounds is not answered.
func TestInvalidMessages(t *testing.T) {
	d := newDirectory(3, 3)
	for _, m := range []Message{
		{Kind: 0, Zone: 1},
		{Kind: maxKind + 1, Zone: 1},
		{Kind: Probe},
		{Kind: Probe, Zone: 1, From: 1},
		{Kind: SyncVersions, Zone: 1, From: 2, Versions: []ItemVersion{{Key: 2}, {Key: 1}}},
		{Kind: SyncVersions, Zone: 1, From: 2},
		{Kind: SyncVersions, Zone: 1, From: 2, Versions: make([]ItemVersion, MaxVersions+1)},
	} {
		if out := d.Receive(start, addr(2), m); len(out) > 0 {
			t.Errorf("invalid message %+v is answered", m)
		}
	}
}

// An invalid record is not published, nor is a record beyond MaxRecords.
func TestPublishErrors(t *testing.T) {
	d := newDirectory(3, 3)
	if _, err := d.Publish(start, strings.Repeat("x", MaxName+1), ""); !errors.Is(err, ErrInvalidRecord) {
		t.Errorf("Publish with a name over MaxName: %v, want %v", err, ErrInvalidRecord)
	}
	for i := range MaxRecords + 1 {
		_, err := d.Publish(start, fmt.Sprint(i), "")
		if tooMany := errors.Is(err, ErrTooManyRecords); tooMany != (i == MaxRecords) {
			t.Errorf("Publish of record %d: %v, want %v only from %d on", i, err, ErrTooManyRecords, MaxRecords)
		}
	}
}

// A member stays within its budgets regardless of the number of received messages.
func TestBudgets(t *testing.T) {
	d := newDirectory(125, 125)
	bytes := 0
	rng := rand.New(rand.NewPCG(1, 2))
	all := Message{
		Kind:     SyncVersions,
		From:     9,
		Zone:     site(1).ID(),
		Versions: []ItemVersion{{}, {Key: 1<<64 - 1}},
	}
	for step := range 400 {
		now := start + monotime.Micros(step)*TickInterval
		var out []Outgoing
		for range 20 {
			unknown, id := addr(rng.IntN(5000)), MemberID(rng.Uint64())
			out = append(out, d.ObserveDatagram(now, unknown, id, site(1).ID(), 0)...)
			out = append(out, d.Receive(now, addr(200), all)...)
			record := Record{Name: fmt.Sprint(rng.IntN(MaxRecords)), Version: uint64(step + 1), Value: "v"}
			out = append(out, d.Receive(now, addr(201), updateFrom(9, 1, Item{Record: &record}))...)
		}
		for _, s := range append(out, d.Tick(now, localOf(125))...) {
			bytes += ApproximateSize(&s.Message)
		}
	}
	const (
		perSecond = gossipBytesPerSecond + pushBytesPerSecond + repairBytesPerSecond
		bursts    = gossipBytesBurst + pushBytesBurst + repairBytesBurst
		limit     = 20*perSecond + bursts + 8*1250
	)
	if bytes > limit {
		t.Errorf("%d bytes in 20 s, want at most %d", bytes, limit)
	}
	if len(d.introducedAt) > maxIntroduced+1 || len(d.divergedSince) > maxDivergedPeers {
		t.Errorf("%d entries in introducedAt and %d in divergedSince, want at most %d and %d",
			len(d.introducedAt), len(d.divergedSince), maxIntroduced+1, maxDivergedPeers)
	}
}

// remoteSummary returns a summary of zone 1 with five members.
func remoteSummary(version uint64) Item {
	return Item{Summary: &Summary{
		Site:     site(1),
		Version:  version,
		Issuer:   9,
		Live:     5,
		Known:    5,
		Contacts: []Contact{{9, addr(9)}},
	}}
}

// run ticks a directory whose messages are all lost.
func run(d *Directory, from, until monotime.Micros) {
	for now := from; now <= until; now += TickInterval {
		d.Tick(now, localOf(1))
	}
}

// A zone that cannot be reached is Unknown, and its members count as known for zoneRetention. After that, a summary
// that another zone sends is ignored, while the same summary from the zone itself is accepted.
func TestForgetsZone(t *testing.T) {
	const sec = monotime.Second
	d := newDirectory(1, 1)
	zone := site(1).ID()
	d.Receive(sec, addr(8), updateFrom(8, 2, remoteSummary(7)))
	run(d, sec, 30*sec)
	if d.State(zone) != Unknown || d.Live() != 1 || d.Known() != 6 {
		t.Fatalf("zone is %v, %d live, %d known, want unknown, 1 and 6", d.State(zone), d.Live(), d.Known())
	}
	run(d, 30*sec, 650*sec)
	d.Receive(650*sec, addr(8), updateFrom(8, 2, remoteSummary(7)))
	if run(d, 650*sec, 651*sec); d.State(zone) != 0 || d.Known() != 1 {
		t.Fatalf("zone is %v, %d known, want a forgotten zone and 1", d.State(zone), d.Known())
	}
	d.Receive(651*sec, addr(9), updateFrom(9, 1, remoteSummary(7)))
	if run(d, 651*sec, 651*sec); d.State(zone) != Reachable || d.Live() != 6 {
		t.Fatalf("zone is %v, %d live, want reachable and 6", d.State(zone), d.Live())
	}
}

// A new process divides budgets by the expected size of the fleet, and by about half of that half a minute later. The
// divisor rises at once.
func TestDivisorStartsAtExpectedMembers(t *testing.T) {
	const sec = monotime.Second
	d := newDirectory(1, 1500)
	if d.RateDivisor() < 1490 {
		t.Fatalf("divisor %.0f at the start, want at least 1490", d.RateDivisor())
	}
	run(d, sec, 31*sec)
	if v := d.RateDivisor(); v < 600 || v > 1000 {
		t.Fatalf("divisor %.0f after half a minute, want 600 to 1000", v)
	}
	large := Summary{Site: site(1), Version: 1, Issuer: 9, Live: 2000, Known: 2000}
	d.Receive(31*sec, addr(9), updateFrom(9, 1, Item{Summary: &large}))
	if run(d, 31*sec, 32*sec); d.RateDivisor() != 2001 {
		t.Fatalf("divisor %.0f, want 2001 at once", d.RateDivisor())
	}
}

// candidatesOf returns the candidates for delegate chosen by a member of a zone of 20, which knows the members in
// random order.
func candidatesOf(self int, leaving bool, rng *rand.Rand) []Member {
	d := New(Config{
		Self:        Self{ID: MemberID(self), Addr: addr(self)},
		Site:        site(0),
		RandomSeed:  rng.Uint64(),
		RateDivisor: &membership.RateDivisor{},
	}, start)
	local := localOf(20)
	local.Leaving = leaving
	rng.Shuffle(20, func(i, j int) { local.Members[i], local.Members[j] = local.Members[j], local.Members[i] })
	d.Tick(start, local)
	return slices.Clone(d.candidates)
}

// All members of a zone whose views agree choose the same delegates, in whatever order they know the members, and a
// leaving member is not among them.
func TestDelegatesAreTheSameForAll(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	first := candidatesOf(1, false, rng)
	for self := 2; self <= 20; self++ {
		if got := candidatesOf(self, false, rng); !slices.Equal(got, first) {
			t.Fatalf("candidates %v, want %v", got, first)
		}
	}
	leaving := int(first[0].ID)
	if got := candidatesOf(leaving, true, rng); !slices.Equal(got[:MaxContacts-1], first[1:]) {
		t.Fatalf("candidates %v, want %v", got, first)
	}
}
