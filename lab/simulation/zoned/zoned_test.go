package zoned

import (
	"fmt"
	"os"
	"runtime/debug"
	"spurspread/decision/membership"
	"spurspread/decision/zonedirectory"
	"strconv"
	"testing"
	"time"
)

// Bounds, as the scale runs have them.
const (
	countTime  = 7 * time.Second
	recordTime = 7 * time.Second
	atRest     = 4096
	anySpan    = 28000
)

// seeds is how many each case is played with; SPURSPREAD_SOAK has more.
func seeds() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("SPURSPREAD_SOAK"), 10, 32); err == nil {
		return n
	}
	return 3
}

// TestMain has less garbage collected: plays allocate each datagram, and live for some seconds.
func TestMain(m *testing.M) {
	debug.SetGCPercent(800)
	os.Exit(m.Run())
}

// play is a fleet that has just come together, and what is asked of it.
type play struct {
	*Fleet
	t    *testing.T
	seed uint64
}

func begin(t *testing.T, shape Shape, seed uint64) *play {
	p := &play{New(shape, seed, nil), t, seed}
	p.For(1100 * time.Millisecond)
	p.within(15*time.Second, "all count all after the start", p.AllReachable)
	p.For(8 * time.Second)
	p.Mark()
	return p
}

func (p *play) errorf(format string, args ...any) {
	p.t.Helper()
	p.t.Errorf("seed %d: %s", p.seed, fmt.Sprintf(format, args...))
}

// within asks that something comes to hold in time.
func (p *play) within(most time.Duration, what string, holds func() bool) {
	p.t.Helper()
	if took := p.Until(most, holds); !holds() {
		p.errorf("not within %v: %s", took, what)
	}
}

// held asks for what is to hold whatever happens. A part of a zone that is cut off holds the others dead rightly.
func (p *play) held(changes bool) {
	p.t.Helper()
	if p.FalseDead > 0 || p.Flaps > 1 || p.Factor > membership.MaxBudgetExcess || !changes && p.Changes > 0 {
		p.errorf(
			"%d falsely dead, %d flaps, %d changes of zones' states, sum of parts %.2f",
			p.FalseDead,
			p.Flaps,
			p.Changes,
			p.Factor,
		)
	}
}

func (p *play) count(zones []int, live int) func() bool {
	return func() bool { return p.Count(zones, live, func(zonedirectory.Reachability) bool { return true }) }
}

func (p *play) mustPublish(i int, name, value string) zonedirectory.Record {
	r, err := p.Publish(i, name, value)
	if err != nil {
		p.t.Fatal(err)
	}
	return r
}

// small is a fleet of 30 members: regions 0 and 1 have two zones each, region 2 one.
var small = Even(30, 5, 3)

var cases = map[string]struct {
	shape Shape
	do    func(p *play)
}{
	"rest": {small, func(p *play) {
		p.For(30 * time.Second)
		if mean, most, worst := p.BytesPerS(); most > atRest || worst > anySpan {
			p.errorf("%.0f bytes a second on average, %.0f at most, %.0f in the worst ten seconds", mean, most, worst)
		}
		p.held(false)
	}},
	"all delegates die": {small, func(p *play) {
		p.Crash(p.Delegates(1, zonedirectory.Delegates)...)
		p.within(countTime, "all count the rest", p.AllReachable)
		r := p.mustPublish(p.Zones[0][2], "a", "1")
		p.within(recordTime, "all have a record", func() bool { return p.HaveRecord(nil, r) })
		p.For(10 * time.Second)
		p.held(false)
	}},
	"a delegate only receives from other zones": {small, func(p *play) { oneWay(p, true) }},
	"a delegate only sends to other zones":      {small, func(p *play) { oneWay(p, false) }},
	"a delegate only receives": {small, func(p *play) {
		d := p.Delegates(1, 1)
		p.Sever(d, p.MembersOf(p.all()))
		p.within(countTime, "all others count the rest", func() bool { return p.others(d[0], 29) })
		p.For(20 * time.Second)
		p.Reconnect()
		p.within(countTime, "all count all again", p.AllReachable)
		p.Changes -= p.changesOf(d[0])
		p.held(false)
	}},
	"a delegate only sends": {small, func(p *play) {
		d := p.Delegates(1, 1)
		p.Sever(p.MembersOf(p.all()), d)
		p.within(countTime, "all others count the rest", func() bool { return p.others(d[0], 29) })
		p.For(20 * time.Second)
		p.Reconnect()
		p.within(countTime, "all count all again", p.AllReachable)
		p.Changes -= p.changesOf(d[0])
		p.held(false)
	}},
	"all delegates pause": {small, func(p *play) {
		for _, i := range p.Delegates(1, zonedirectory.Delegates) {
			p.Pause(i, 2*time.Second)
		}
		p.For(20 * time.Second)
		p.within(0, "all count all", p.AllReachable)
		p.held(false)
	}},
	"a rack is cut off":           {Shape{Members: []int{12, 6, 6, 6}, Region: []int{0, 1, 2, 0}}, rack},
	"a region is cut off":         {small, func(p *play) { region(p, true, true) }},
	"a region is cut off one way": {small, func(p *play) { region(p, p.seed%2 == 0, p.seed%2 != 0) }},
	"two regions lose each other": {small, func(p *play) {
		a, b := p.In(0), p.In(1)
		p.SetPartition(a, b, true)
		if p.seed%2 == 0 {
			p.SetPartition(b, a, true)
		}
		p.within(
			12*time.Second,
			"both hold each other cut",
			func() bool { return p.Hold(a, b, zonedirectory.Partitioned) && p.Hold(b, a, zonedirectory.Partitioned) },
		)
		p.Crash(p.Zones[a[0]][3])
		p.within(countTime, "all count the rest", p.count(nil, 29))
		r := p.mustPublish(p.Zones[a[1]][1], "a", "1")
		p.within(recordTime, "all have a record", func() bool { return p.HaveRecord(nil, r) })
		p.For(10 * time.Second)
		p.held(true)
		p.Mark()
		p.SetPartition(a, b, false)
		p.SetPartition(b, a, false)
		p.within(countTime, "all count all again", p.AllReachable)
		p.For(5 * time.Second)
		p.held(true)
	}},
	"a zone of one member": {Shape{Members: []int{8, 1, 8, 8}, Region: []int{0, 1, 2, 0}}, func(p *play) {
		p.For(20 * time.Second)
		p.held(false)
		p.Crash(p.Zones[1][0])
		p.within(
			countTime,
			"it is unknown",
			func() bool { return p.Hold([]int{0, 2, 3}, []int{1}, zonedirectory.Unknown) },
		)
		p.For(5 * time.Second)
		p.held(true)
		p.Mark()
		p.Restart(p.Zones[1][0])
		p.within(countTime+time.Second, "all count all again", p.AllReachable)
		p.For(5 * time.Second)
		p.held(true)
	}},
	"one message in twenty is lost": {Shape{Members: small.Members, Region: small.Region, Loss: 0.05}, func(p *play) {
		p.For(40 * time.Second)
		p.Crash(p.Zones[2][1])
		p.within(countTime, "all count the rest", p.AllReachable)
		r := p.mustPublish(p.Zones[3][1], "a", "1")
		p.within(recordTime, "all have a record", func() bool { return p.HaveRecord(nil, r) })
		p.For(20 * time.Second)
		p.held(false)
	}},
	"a zone dies": {small, func(p *play) {
		p.Crash(p.Zones[1]...)
		p.within(countTime, "all count the rest", p.count(nil, 24))
		p.within(
			0,
			"it is unknown",
			func() bool { return p.Hold([]int{0, 2, 3, 4}, []int{1}, zonedirectory.Unknown) },
		)
		p.For(20 * time.Second)
		p.held(true)
		p.Mark()
		p.Restart(p.Zones[1]...)
		p.within(10*time.Second, "all count all again", p.AllReachable)
		p.For(5 * time.Second)
		p.held(true)
	}},
	"a zone is torn": {Shape{Members: []int{12, 6, 6, 6}, Region: []int{0, 1, 2, 0}}, torn},
	"records on both sides of a cut": {small, func(p *play) {
		in, out := p.In(2), p.Outside(2)
		p.SetPartition(in, out, true)
		p.SetPartition(out, in, true)
		p.For(10 * time.Second)
		p.mustPublish(p.Zones[in[0]][1], "a", "older")
		only := p.mustPublish(p.Zones[in[0]][2], "b", "there")
		p.For(time.Second)
		newer := p.mustPublish(p.Zones[out[0]][1], "a", "newer")
		p.within(recordTime, "all on one side have the newer", func() bool { return p.HaveRecord(out, newer) })
		p.SetPartition(in, out, false)
		p.SetPartition(out, in, false)
		p.within(
			recordTime,
			"all have both",
			func() bool { return p.HaveRecord(nil, newer) && p.HaveRecord(nil, only) },
		)
		p.For(10 * time.Second)
		p.held(true)
	}},
	"many are restarted": {small, func(p *play) {
		for z := range p.Zones {
			p.Restart(p.Zones[z][:4]...)
		}
		p.within(15*time.Second, "all count all again", p.AllReachable)
		p.Restart(p.Zones[1]...)
		p.Restart(p.Zones[4]...)
		p.within(15*time.Second, "all count all again", p.AllReachable)
		p.For(70 * time.Second)
		p.held(true)
	}},
	"all are restarted while a region is cut off": {small, func(p *play) {
		in, out := p.In(0), p.Outside(0)
		p.SetPartition(in, out, true)
		p.SetPartition(out, in, true)
		p.For(8 * time.Second)
		p.Restart(p.MembersOf(p.all())...)
		p.For(80 * time.Second)
		p.SetPartition(in, out, false)
		p.SetPartition(out, in, false)
		p.within(12*time.Second, "all count all again", p.AllReachable)
		p.For(5 * time.Second)
		if p.FalseDead > 0 || p.Factor > membership.MaxBudgetExcess {
			p.errorf("%d falsely dead, sum of parts %.2f", p.FalseDead, p.Factor)
		}
	}},
	"seeds in one zone": {Shape{Members: small.Members, Region: small.Region, SeedZones: []int{3}}, func(p *play) {
		p.Restart(p.Zones[1]...)
		p.Restart(p.Zones[4][:3]...)
		p.within(15*time.Second, "all count all again", p.AllReachable)
		p.For(5 * time.Second)
		p.held(true)
	}},
	"a zone leaves": {small, func(p *play) {
		for _, i := range p.Zones[1] {
			p.Leave(i)
			p.For(1500 * time.Millisecond)
		}
		p.within(
			countTime,
			"all hold that it has left",
			func() bool { return p.Hold([]int{0, 2, 3, 4}, []int{1}, zonedirectory.Left) },
		)
		p.held(true)
		p.Mark()
		p.Restart(p.Zones[1]...)
		p.within(10*time.Second, "all count all again", p.AllReachable)
		p.held(true)
	}},
}

// others tells whether all but one member count so many.
func (p *play) others(but, live int) bool {
	up := p.up[but]
	p.up[but] = false
	defer func() { p.up[but] = up }()
	return p.count(nil, live)()
}

// changesOf is how often one member has changed what it holds zones to be.
func (p *play) changesOf(i int) (n int) {
	for _, c := range p.changed[i] {
		n += c
	}
	return n
}

// oneWay has a delegate, the issuer or another one, not be heard by other zones, or not hear them.
func oneWay(p *play, receives bool) {
	d := p.Delegates(1, zonedirectory.Delegates)[p.seed%zonedirectory.Delegates : p.seed%zonedirectory.Delegates+1]
	rest := p.MembersOf([]int{0, 2, 3, 4})
	if receives {
		p.Sever(d, rest)
	} else {
		p.Sever(rest, d)
	}
	p.For(15 * time.Second)
	r := p.mustPublish(d[0], "a", "1")
	p.within(recordTime, "all have its record", func() bool { return p.HaveRecord(nil, r) })
	p.Crash(p.Zones[2][2])
	p.within(countTime, "all count the rest", p.AllReachable)
	p.held(false)
	p.Reconnect()
	p.For(10 * time.Second)
	p.held(false)
}

// region cuts region 0 off, one way or both, and heals the cut.
func region(p *play, from, to bool) {
	in, out := p.In(0), p.Outside(0)
	p.SetPartition(in, out, from)
	p.SetPartition(out, in, to)
	p.within(
		countTime,
		"both sides hold the other unknown",
		func() bool { return p.Hold(in, out, zonedirectory.Unknown) && p.Hold(out, in, zonedirectory.Unknown) },
	)
	p.Crash(p.Zones[out[0]][3])
	p.within(countTime, "all count the rest of their side", func() bool {
		return p.count(in, len(p.MembersOf(in)))() && p.count(out, len(p.MembersOf(out))-1)()
	})
	p.For(30 * time.Second)
	p.held(true)
	p.Mark()
	p.SetPartition(in, out, false)
	p.SetPartition(out, in, false)
	p.within(countTime, "all count all again", p.AllReachable)
	p.For(10 * time.Second)
	p.held(true)
}

// rack has three members of a zone of twelve lose all others, and be heard again.
func rack(p *play) {
	lost, rest := p.Zones[0][9:], append(p.Zones[0][:9:9], p.MembersOf([]int{1, 2, 3})...)
	p.Sever(lost, rest)
	p.Sever(rest, lost)
	p.within(countTime, "all others count the rest", func() bool { return p.count([]int{1, 2, 3}, 27)() })
	p.For(20 * time.Second)
	p.Reconnect()
	p.within(countTime, "all count all again", p.AllReachable)
	p.For(10 * time.Second)
	for _, i := range lost { // they hold all other zones unknown, rightly
		p.Changes -= p.changesOf(i)
	}
	p.held(false)
}

// torn has four members of a zone lose the other eight, though both parts are connected to all other zones.
func torn(p *play) {
	large, less := p.Zones[0][:8], p.Zones[0][8:]
	p.Sever(large, less)
	p.Sever(less, large)
	p.within(20*time.Second, "the larger part speaks", p.count([]int{1, 2, 3}, 26))
	p.Mark()
	p.For(60 * time.Second)
	yielded := 0
	for _, i := range p.Zones[0] {
		yielded += p.members[i].directory.Yielded
	}
	if p.Issuers > 8 || yielded == 0 {
		p.errorf("the issuer has changed %d times in a minute, %d times one has yielded", p.Issuers, yielded)
	}
	p.within(5*time.Second, "the larger part speaks", p.count([]int{1, 2, 3}, 26))
	if p.Changes > 0 {
		p.errorf("%d changes of zones' states", p.Changes)
	}
	p.Reconnect()
	p.within(10*time.Second, "all count all again", p.AllReachable)
	p.held(false)
}

// Every bound holds on every seed.
func TestCases(t *testing.T) {
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range seeds() {
				c.do(begin(t, c.shape, seed))
			}
		})
	}
}

// The same seed brings the same events.
func TestSameSeedSameEvents(t *testing.T) {
	run := func(seed uint64) string {
		f := New(small, seed, nil)
		f.For(12 * time.Second)
		f.Crash(f.Zones[1]...)
		f.For(8 * time.Second)
		return f.Hash() + fmt.Sprint(f.bytes())
	}
	if a, b := run(7), run(7); a != b {
		t.Fatalf("%s\n%s", a, b)
	}
	if run(7) == run(8) {
		t.Fatal("another seed brings the same")
	}
}

// What the bounds are for is found: delegates that each chooses by itself cost more than a fleet has at rest, and
// summaries of which the last to come stands let the count and the states go back and forth.
func TestPlantedFaultsAreFound(t *testing.T) {
	for name, plant := range Faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(5) {
				f := New(small, seed, plant)
				f.For(16 * time.Second)
				f.Mark()
				f.For(10 * time.Second)
				_, most, _ := f.BytesPerS()
				costly := most > atRest
				f.Crash(f.Zones[1][2])
				took := f.Until(countTime, f.AllReachable)
				t.Logf(
					"seed %d: %.0f bytes a second, %v until all count the rest, %d issuers, %d flaps",
					seed,
					most,
					took,
					f.Issuers,
					f.Flaps,
				)
				if costly || took >= countTime {
					return
				}
			}
			t.Error("not found on five seeds")
		})
	}
}

// A region that is cut off for longer than its members are known is forgotten, by both sides, and found again by
// the seeds.
func TestForgottenAndFoundAgain(t *testing.T) {
	p := begin(t, small, 1)
	in, out := p.In(0), p.Outside(0)
	p.SetPartition(in, out, true)
	p.SetPartition(out, in, true)
	p.For(640 * time.Second)
	p.within(
		0,
		"both sides have forgotten the other",
		func() bool { return p.Hold(in, out, 0) && p.Hold(out, in, 0) },
	)
	p.Mark()
	p.SetPartition(in, out, false)
	p.SetPartition(out, in, false)
	p.within(15*time.Second, "all count all again", p.AllReachable)
	p.For(20 * time.Second)
	p.within(0, "all count all", p.AllReachable)
	p.held(true)
}
