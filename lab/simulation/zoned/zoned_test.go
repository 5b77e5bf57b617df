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

// Bounds, the same as in the experiments of lab/scale.
const (
	countTime                 = 7 * time.Second // until all members count a change of the fleet
	recordTime                = 7 * time.Second // until all members have a published record
	maxRestBytesPerS          = 4096            // of any member, on average
	maxSpikeBytesPerS         = 28000           // of any member, in any ten seconds
	maxIssuerChangesPerMinute = 8
)

// seeds returns the number of seeds to run each case with: 3, or the value of SPURSPREAD_SOAK.
func seeds() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("SPURSPREAD_SOAK"), 10, 32); err == nil {
		return n
	}
	return 3
}

// TestMain makes garbage collection less frequent: a run allocates each datagram, and takes only a few seconds.
func TestMain(m *testing.M) {
	debug.SetGCPercent(800)
	os.Exit(m.Run())
}

// testRun is a fleet that has joined, in a test that checks it.
type testRun struct {
	*Fleet
	t    *testing.T
	seed uint64
}

// startFleet returns a fleet all of whose members have joined, with counts that begin from then on.
func startFleet(t *testing.T, topology Topology, seed uint64) *testRun {
	t.Helper()
	r := &testRun{New(topology, seed, nil), t, seed}
	r.RunFor(1100 * time.Millisecond)
	r.within(15*time.Second, "all members count the whole fleet after the start", r.AllReachable)
	r.RunFor(8 * time.Second)
	r.ResetCounts()
	return r
}

func (r *testRun) errorf(format string, args ...any) {
	r.t.Helper()
	r.t.Errorf("seed %d: %s", r.seed, fmt.Sprintf(format, args...))
}

// within runs the fleet until a condition holds, and fails the test if that takes longer than limit.
func (r *testRun) within(limit time.Duration, what string, holds func() bool) {
	r.t.Helper()
	if took := r.RunUntil(limit, holds); !holds() {
		r.errorf("condition not met within %v: %s", took, what)
	}
}

// checkBounds fails the test if a bound is broken that holds under all faults. Unless changesAllowed, it also fails if
// the state of any zone has changed in the view of any member.
func (r *testRun) checkBounds(changesAllowed bool) {
	r.t.Helper()
	if r.FalseDead > 0 || r.Flaps > 1 || r.MaxBudgetSum > membership.MaxBudgetExcess ||
		!changesAllowed && r.StateChanges > 0 {
		r.errorf("%d falsely dead, %d flaps, %d changes of zone states, sum of budget shares %.2f",
			r.FalseDead, r.Flaps, r.StateChanges, r.MaxBudgetSum)
	}
}

// count returns a condition: all running members of the given zones count this many live members in the whole fleet.
func (r *testRun) count(zones []int, live int) func() bool {
	return func() bool { return r.AllCount(zones, live, func(zonedirectory.Reachability) bool { return true }) }
}

// mustPublish publishes a record at a member, and ends the test if that fails.
func (r *testRun) mustPublish(i int, name, value string) zonedirectory.Record {
	r.t.Helper()
	record, err := r.Publish(i, name, value)
	if err != nil {
		r.t.Fatal(err)
	}
	return record
}

// Every bound holds in every case, on every seed.
func TestCases(t *testing.T) {
	for name, c := range cases() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range seeds() {
				c.run(startFleet(t, c.topology, seed))
			}
		})
	}
}

// The same seed produces the same events, and another seed others.
func TestSameSeedSameEvents(t *testing.T) {
	run := func(seed uint64) string {
		f := New(smallFleet(), seed, nil)
		f.RunFor(12 * time.Second)
		f.Crash(f.Zones[1]...)
		f.RunFor(8 * time.Second)
		return f.Hash() + fmt.Sprint(f.bytes())
	}
	if a, b := run(7), run(7); a != b {
		t.Fatalf("two runs with seed 7 differ:\n%s\n%s", a, b)
	}
	if run(7) == run(8) {
		t.Fatal("seeds 7 and 8 produced the same events")
	}
}

// Injected faults break a bound. If members disagree on the delegates, a fleet without changes exceeds the bound of
// bytes per second. If members accept older summaries, their counts and the states of zones oscillate, and the fleet
// does not count a crash in time.
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
				t.Logf("seed %d: %.0f bytes/s at most, %v until all count the crash, %d issuer changes, %d flaps",
					seed, highest, took, f.IssuerChanges, f.Flaps)
				if costly || took >= countTime {
					return
				}
			}
			t.Error("the fault broke no bound on five seeds")
		})
	}
}

// If a region is partitioned for longer than zones are remembered, both sides forget the zones of the other. After the
// partition they find each other again through the seeds.
func TestForgottenAndFoundAgain(t *testing.T) {
	r := startFleet(t, smallFleet(), 1)
	in, out := r.ZonesIn(0), r.ZonesOutside(0)
	r.SetPartition(in, out, true)
	r.SetPartition(out, in, true)
	r.RunFor(640 * time.Second)
	r.within(
		0,
		"both sides have forgotten the zones of the other",
		func() bool { return r.AllSee(in, out, 0) && r.AllSee(out, in, 0) },
	)
	r.ResetCounts()
	r.SetPartition(in, out, false)
	r.SetPartition(out, in, false)
	r.within(15*time.Second, "all members count the whole fleet again", r.AllReachable)
	r.RunFor(20 * time.Second)
	r.within(0, "all members count the whole fleet", r.AllReachable)
	r.checkBounds(true)
}
