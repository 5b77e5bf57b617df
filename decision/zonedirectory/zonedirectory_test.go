package zonedirectory

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"reflect"
	"slices"
	"spurspread/decision/membership"
	"spurspread/decision/monotime"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}), 7000)
}

func site(i int) Site { return Site{Region: "r", Zone: fmt.Sprint("z", i)} }

// directory is one of zone 0, with so many members there; it is the first.
func directory(members int, expected int) *Directory {
	d := New(
		Config{
			Self:            Self{ID: 1, Addr: addr(1), Instance: 1},
			Site:            site(0),
			ExpectedMembers: expected,
			RandomSeed:      1,
			RateDivisor:     &membership.RateDivisor{},
		},
		sec,
	)
	d.Tick(sec, localOf(members))
	return d
}

func localOf(members int) *LocalZone {
	l := &LocalZone{Revision: 1, Live: members, Known: members}
	for i := range members {
		l.Members = append(l.Members, Member{MemberID(i + 1), addr(i + 1)})
	}
	return l
}

func drawZones(r *rapid.T) (out []ID) {
	for z := range 3 {
		if rapid.Bool().Draw(r, "unreachable") {
			out = append(out, site(z).ID())
		}
	}
	slices.Sort(out)
	return out
}

// drawItem draws from few names and versions, so that many items meet.
func drawItem(r *rapid.T) Item {
	version := rapid.Uint64Range(1, 3).Draw(r, "version")
	switch rapid.IntRange(0, 2).Draw(r, "kind") {
	case 0:
		live := rapid.IntRange(0, 2).Draw(r, "live")
		issuer := MemberID(rapid.IntRange(1, 3).Draw(r, "issuer"))
		return Item{Summary: &Summary{
			Site: site(rapid.IntRange(0, MaxZones+4).Draw(r, "zone")), Version: version, Issuer: issuer,
			Live: live, Known: live, Unreachable: drawZones(r), Contacts: []Contact{{1, addr(rapid.IntRange(1, 2).Draw(r, "contact"))}},
		}}
	case 1:
		delegate := MemberID(rapid.IntRange(1, 3).Draw(r, "delegate"))
		return Item{
			Observation: &Observation{
				Zone:        site(0).ID(),
				Delegate:    delegate,
				Version:     version,
				Unreachable: drawZones(r),
			},
		}
	}
	name := fmt.Sprint("record", rapid.IntRange(0, MaxRecords+4).Draw(r, "name"))
	return Item{
		Record: &Record{
			Name:    name,
			Version: version,
			Value:   rapid.SampledFrom([]string{"", "a", "b"}).Draw(r, "value"),
		},
	}
}

func take(d *Directory, items []Item) {
	for _, it := range items {
		d.Receive(sec, addr(2), Message{Kind: Update, From: 2, Zone: site(0).ID(), Items: []Item{it}})
	}
}

func held(d *Directory) (out []Item) {
	for _, k := range d.keys {
		out = append(out, d.items[k].Item)
	}
	return out
}

// Whatever order items come in, and however often, the directory is the same in the end, and so is its digest; of
// each key it holds none that is older than another.
func TestMergingInAnyOrder(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		all := rapid.SliceOfN(rapid.Custom(drawItem), 0, 250).Draw(r, "items")
		again := append(rapid.Permutation(all).Draw(r, "order"), all[:len(all)/2]...)
		a, b := directory(3, 3), directory(3, 3)
		take(a, all)
		take(b, again)
		if a.Digest() != b.Digest() || a.globalDigest != b.globalDigest || !reflect.DeepEqual(held(a), held(b)) {
			r.Fatalf("%x %x\n%v\n%v", a.Digest(), b.Digest(), held(a), held(b))
		}
		if len(a.zones) > MaxZones || len(a.Records()) > MaxRecords {
			r.Fatalf("%d zones, %d records", len(a.zones), len(a.Records()))
		}
		for _, it := range all {
			if e := newEntry(it); a.items[e.key] != nil && e.newer(a.items[e.key]) {
				r.Fatalf("%+v is newer than what is held", it)
			}
		}
	})
}

// Two directories that compare themselves become the same, in messages of bounded size.
func TestComparing(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		a, b := directory(3, 3), directory(3, 3)
		b.cfg.Self = Self{ID: 2, Addr: addr(2), Instance: 2}
		a.synced, b.synced = true, true
		take(a, rapid.SliceOfN(rapid.Custom(drawItem), 0, 250).Draw(r, "items of one"))
		take(b, rapid.SliceOfN(rapid.Custom(drawItem), 0, 250).Draw(r, "items of the other"))
		for now := sec; a.Digest() != b.Digest(); now += sec {
			if now > 120*sec {
				r.Fatal("they differ for two minutes")
			}
			exchange(r, now, a, b, a.ObserveDatagram(now, addr(2), 2, b.ownZone, b.Digest()))
		}
		if !reflect.DeepEqual(held(a), held(b)) {
			r.Fatal("one digest, two contents")
		}
	})
}

// exchange delivers what one sends, and all answers to it.
func exchange(r *rapid.T, now monotime.Micros, a, b *Directory, out []Outgoing) {
	for n := 0; len(out) > 0; n++ {
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
		if out = answers; n > 8 {
			r.Fatal("answers without an end")
		}
	}
}

// What is out of bounds is refused, whole.
func TestOutOfBounds(t *testing.T) {
	d := directory(3, 3)
	long := strings.Repeat("x", MaxName+1)
	six := make([]Contact, MaxContacts+1)
	for i := range six {
		six[i] = Contact{1, addr(1)}
	}
	for i, it := range []Item{
		{},
		{Record: &Record{Name: "", Version: 1}},
		{Record: &Record{Name: long, Version: 1}},
		{Record: &Record{Name: "a", Version: 0}},
		{Record: &Record{Name: "a", Version: maxVersion + 1}},
		{Record: &Record{Name: "a", Version: 1, Value: long + long}},
		{Summary: &Summary{Site: Site{"r", long}, Version: 1}},
		{Summary: &Summary{Site: Site{"r", ""}, Version: 1}},
		{Summary: &Summary{Site: site(1), Version: 1, Live: 2, Known: 1}},
		{Summary: &Summary{Site: site(1), Version: 1, Contacts: six}},
		{Summary: &Summary{Site: site(1), Version: 1, Contacts: []Contact{{}}}},
		{Summary: &Summary{Site: site(1), Version: 1, Unreachable: []ID{2, 1}}},
		{Observation: &Observation{Zone: site(1).ID(), Delegate: 2, Version: 1}},
		{Observation: &Observation{Zone: site(0).ID(), Delegate: 9, Version: 1}},
		{Record: &Record{Name: "a", Version: 1}, Summary: &Summary{Site: site(1), Version: 1}},
	} {
		if take(d, []Item{it}); len(d.keys) > 0 {
			t.Errorf("item %d is taken", i)
			d = directory(3, 3)
		}
	}
	for _, m := range []Message{
		{Kind: 0, Zone: 1},
		{Kind: maxKind + 1, Zone: 1},
		{Kind: Probe},
		{Kind: Probe, Zone: 1, From: 1},
		{Kind: SyncVersions, Zone: 1, From: 2, Versions: []ItemVersion{{Key: 2}, {Key: 1}}},
		{Kind: SyncVersions, Zone: 1, From: 2},
		{Kind: SyncVersions, Zone: 1, From: 2, Versions: make([]ItemVersion, MaxVersions+1)},
	} {
		if out := d.Receive(sec, addr(2), m); len(out) > 0 {
			t.Errorf("%+v is answered", m)
		}
	}
	if _, err := d.Publish(sec, long, ""); err != ErrInvalidRecord {
		t.Error(err)
	}
	for i := range MaxRecords + 1 {
		if _, err := d.Publish(sec, fmt.Sprint(i), ""); (err == ErrTooManyRecords) != (i == MaxRecords) {
			t.Error(i, err)
		}
	}
}

// However much comes, what a member sends is within its budgets.
func TestBudgets(t *testing.T) {
	d := directory(125, 125)
	bytes := 0
	rng := rand.New(rand.NewPCG(1, 2))
	for step := range 400 {
		now := sec + monotime.Micros(step)*TickInterval
		var out []Outgoing
		for range 20 {
			out = append(
				out,
				d.ObserveDatagram(now, addr(rng.IntN(5000)), MemberID(rng.Uint64()), site(1).ID(), 0)...)
			out = append(
				out,
				d.Receive(
					now,
					addr(200),
					Message{
						Kind:     SyncVersions,
						From:     9,
						Zone:     site(1).ID(),
						Versions: []ItemVersion{{}, {Key: 1<<64 - 1}},
					},
				)...)
			v := Record{Name: fmt.Sprint(rng.IntN(MaxRecords)), Version: uint64(step + 1), Value: "v"}
			out = append(
				out,
				d.Receive(
					now,
					addr(201),
					Message{Kind: Update, From: 9, Zone: site(1).ID(), Items: []Item{{Record: &v}}},
				)...)
		}
		for _, s := range append(out, d.Tick(now, localOf(125))...) {
			bytes += ApproximateSize(&s.Message)
		}
	}
	if most := 20*(gossipBytesPerSecond+pushBytesPerSecond+repairBytesPerSecond) + gossipBytesBurst + pushBytesBurst + repairBytesBurst + 8*1250; bytes > most {
		t.Errorf("%d bytes in 20 s, %d at most", bytes, most)
	}
	if len(d.introducedAt) > maxIntroduced+1 || len(d.divergedSince) > maxDivergedPeers {
		t.Error("more addresses are remembered than are bounded")
	}
}

func far(version uint64) []Item {
	return []Item{
		{
			Summary: &Summary{
				Site:     site(1),
				Version:  version,
				Issuer:   9,
				Live:     5,
				Known:    5,
				Contacts: []Contact{{9, addr(9)}},
			},
		},
	}
}

// run ticks a directory, and answers nothing that it sends.
func run(d *Directory, from, until monotime.Micros) {
	for now := from; now <= until; now += TickInterval {
		d.Tick(now, localOf(1))
	}
}

// A zone that cannot be reached is Unknown, its members count as known for ten minutes, and what others still tell
// of it then is old; its own word is not.
func TestForgetting(t *testing.T) {
	d := directory(1, 1)
	d.Receive(sec, addr(8), Message{Kind: Update, From: 8, Zone: site(2).ID(), Items: far(7)})
	run(d, sec, 30*sec)
	if d.State(site(1).ID()) != Unknown || d.Live() != 1 || d.Known() != 6 {
		t.Fatalf("%v, %d live, %d known", d.State(site(1).ID()), d.Live(), d.Known())
	}
	run(d, 30*sec, 650*sec)
	d.Receive(650*sec, addr(8), Message{Kind: Update, From: 8, Zone: site(2).ID(), Items: far(7)})
	if run(d, 650*sec, 651*sec); d.State(site(1).ID()) != 0 || d.Known() != 1 {
		t.Fatalf("%v, %d known", d.State(site(1).ID()), d.Known())
	}
	d.Receive(651*sec, addr(9), Message{Kind: Update, From: 9, Zone: site(1).ID(), Items: far(7)})
	if run(d, 651*sec, 651*sec); d.State(site(1).ID()) != Reachable || d.Live() != 6 {
		t.Fatalf("%v, %d live", d.State(site(1).ID()), d.Live())
	}
}

// A process that has just started divides by what its settings say, and falls by half in half a minute.
func TestDivisorBeginsAtTheSettings(t *testing.T) {
	d := directory(1, 1500)
	if d.RateDivisor() < 1490 {
		t.Fatal(d.RateDivisor())
	}
	run(d, sec, 31*sec)
	if v := d.RateDivisor(); v < 600 || v > 1000 {
		t.Fatalf("%.0f after half a minute", v)
	}
	large := Summary{Site: site(1), Version: 1, Issuer: 9, Live: 2000, Known: 2000}
	d.Receive(31*sec, addr(9), Message{Kind: Update, From: 9, Zone: site(1).ID(), Items: []Item{{Summary: &large}}})
	if run(d, 31*sec, 32*sec); d.RateDivisor() != 2001 {
		t.Fatalf("%.0f: it rises at once", d.RateDivisor())
	}
}

// All members of a zone whose views agree choose the same delegates, whatever order they know them in, and one that
// goes takes no part.
func TestDelegatesAreTheSameForAll(t *testing.T) {
	chosen := func(self int, leaving bool, rng *rand.Rand) []Member {
		d := New(
			Config{
				Self:        Self{ID: MemberID(self), Addr: addr(self)},
				Site:        site(0),
				RandomSeed:  rng.Uint64(),
				RateDivisor: &membership.RateDivisor{},
			},
			sec,
		)
		l := localOf(20)
		l.Leaving = leaving
		rng.Shuffle(20, func(i, j int) { l.Members[i], l.Members[j] = l.Members[j], l.Members[i] })
		d.Tick(sec, l)
		return slices.Clone(d.candidates)
	}
	rng := rand.New(rand.NewPCG(3, 4))
	first := chosen(1, false, rng)
	for self := 2; self <= 20; self++ {
		if got := chosen(self, false, rng); !slices.Equal(got, first) {
			t.Fatalf("%v %v", got, first)
		}
	}
	gone := int(first[0].ID)
	if got := chosen(gone, true, rng); !slices.Equal(got[:MaxContacts-1], first[1:]) {
		t.Fatalf("%v %v", got, first)
	}
}
