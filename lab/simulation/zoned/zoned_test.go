package zoned

import (
	"fmt"
	"os"
	"runtime/debug"
	"strconv"
	"testing"
	"time"

	"spurspread/decision/membership"
	"spurspread/decision/zonedirectory"
)

// Bounds, as the scale runs have them.
const (
	countTime          = 7 * time.Second // until all count a change
	recordTime         = 7 * time.Second // until all have a record
	maxRestBytesPerS   = 4096            // of any member, on average
	maxSpikeBytesPerS  = 28000           // of any member, in any ten seconds
	maxIssuersInMinute = 8
)

// seeds is how many seeds each case is played with; SPURSPREAD_SOAK has more.
func seeds() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("SPURSPREAD_SOAK"), 10, 32); err == nil {
		return n
	}
	return 3
}

// TestMain collects garbage less often: plays allocate each datagram, and last for some seconds.
func TestMain(m *testing.M) {
	debug.SetGCPercent(800)
	os.Exit(m.Run())
}

// testRun is a fleet that has joined, and what is checked of it.
type testRun struct {
	*Fleet
	t    *testing.T
	seed uint64
}

// startFleet plays until all members have joined.
func startFleet(t *testing.T, shape Topology, seed uint64) *testRun {
	t.Helper()
	p := &testRun{New(shape, seed, nil), t, seed}
	p.RunFor(1100 * time.Millisecond)
	p.within(15*time.Second, "all count all after the start", p.AllReachable)
	p.RunFor(8 * time.Second)
	p.ResetCounts()
	return p
}

func (p *testRun) errorf(format string, args ...any) {
	p.t.Helper()
	p.t.Errorf("seed %d: %s", p.seed, fmt.Sprintf(format, args...))
}

// within fails where a condition does not hold in time.
func (p *testRun) within(limit time.Duration, what string, holds func() bool) {
	p.t.Helper()
	if took := p.RunUntil(limit, holds); !holds() {
		p.errorf("not within %v: %s", took, what)
	}
}

// checkBounds fails where a bound is broken that holds whatever happens; without changesAllowed, where any member has
// considered a zone to be something else than before.
func (p *testRun) checkBounds(changesAllowed bool) {
	p.t.Helper()
	if p.FalseDead > 0 || p.Flaps > 1 || p.MaxBudgetSum > membership.MaxBudgetExcess ||
		!changesAllowed && p.StateChanges > 0 {
		p.errorf("%d falsely dead, %d flaps, %d changes of zones' states, sum of parts %.2f",
			p.FalseDead, p.Flaps, p.StateChanges, p.MaxBudgetSum)
	}
}

// count is the condition that all members of zones count so many live ones.
func (p *testRun) count(zones []int, live int) func() bool {
	return func() bool { return p.AllCount(zones, live, func(zonedirectory.Reachability) bool { return true }) }
}

// mustPublish has a member publish a record.
func (p *testRun) mustPublish(i int, name, value string) zonedirectory.Record {
	p.t.Helper()
	record, err := p.Publish(i, name, value)
	if err != nil {
		p.t.Fatal(err)
	}
	return record
}

// Every bound holds on every seed.
func TestCases(t *testing.T) {
	for name, c := range cases() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range seeds() {
				c.run(startFleet(t, c.shape, seed))
			}
		})
	}
}

// The same seed brings the same events.
func TestSameSeedSameEvents(t *testing.T) {
	run := func(seed uint64) string {
		f := New(smallFleet(), seed, nil)
		f.RunFor(12 * time.Second)
		f.Crash(f.Zones[1]...)
		f.RunFor(8 * time.Second)
		return f.Hash() + fmt.Sprint(f.bytes())
	}
	if a, b := run(7), run(7); a != b {
		t.Fatalf("%s\n%s", a, b)
	}
	if run(7) == run(8) {
		t.Fatal("another seed brings the same")
	}
}

// Planted faults break bounds: delegates that each member chooses by itself cost more than a fleet has at rest, and
// summaries of which the last to arrive is kept make the count and the states go back and forth.
func TestInjectedFaultsAreFound(t *testing.T) {
	for name, fault := range Faults() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(5) {
				f := New(smallFleet(), seed, fault)
				f.RunFor(16 * time.Second)
				f.ResetCounts()
				f.RunFor(10 * time.Second)
				_, highest, _ := f.BytesPerS()
				costly := highest > maxRestBytesPerS
				f.Crash(f.Zones[1][2])
				took := f.RunUntil(countTime, f.AllReachable)
				t.Logf("seed %d: %.0f bytes a second, %v until all count the rest, %d issuers, %d flaps",
					seed, highest, took, f.IssuerChanges, f.Flaps)
				if costly || took >= countTime {
					return
				}
			}
			t.Error("not found on five seeds")
		})
	}
}

// A region that is partitioned for longer than zones are known is forgotten, by both sides, and found again by the
// seeds.
func TestForgottenAndFoundAgain(t *testing.T) {
	p := startFleet(t, smallFleet(), 1)
	in, out := p.ZonesIn(0), p.ZonesOutside(0)
	p.SetPartition(in, out, true)
	p.SetPartition(out, in, true)
	p.RunFor(640 * time.Second)
	p.within(
		0,
		"both sides have forgotten the other",
		func() bool { return p.AllSee(in, out, 0) && p.AllSee(out, in, 0) },
	)
	p.ResetCounts()
	p.SetPartition(in, out, false)
	p.SetPartition(out, in, false)
	p.within(15*time.Second, "all count all again", p.AllReachable)
	p.RunFor(20 * time.Second)
	p.within(0, "all count all", p.AllReachable)
	p.checkBounds(true)
}
