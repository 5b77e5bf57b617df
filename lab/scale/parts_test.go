package scale

import (
	"errors"
	"math"
	"os"
	"os/exec"
	"slices"
	"strings"
	"testing"

	"spurspread/lab/link"
	"spurspread/lab/report"
)

// Sums are read between the moments at which they were told, and a window takes what fell into it.
func TestRates(t *testing.T) {
	const s = 1_000_000
	var one series
	for at := int64(0); at <= 30; at++ {
		more := 100.0
		if at > 10 && at <= 20 {
			more = 300
		}
		one.add(at*s, more)
	}
	if got := slices.Max(rates([]*series{&one}, span{0, 30 * s})); math.Abs(got-300) > 1e-6 {
		t.Errorf("the worst window is %v", got)
	}
	if got := mean([]*series{&one, &one}, span{s / 2, 10 * s}); math.Abs(got-200) > 1e-6 {
		t.Errorf("the mean is %v", got)
	}
	if rates([]*series{&one}, span{}) != nil || mean(nil, span{5, 5}) != 0 || (&series{}).value(5) != 0 {
		t.Error("of nothing")
	}
}

// Members stand in all zones and racks alike, know seeds in other zones, and the same seed brings the same delays,
// within bounds.
func TestTopology(t *testing.T) {
	top := &Topology{Members: 1500, Reals: 24, Regions: 5, Zones: 12, Seed: 7}
	racks := make([]int, top.Racks())
	for i := range top.Members {
		racks[top.Rack(i)]++
		others := map[int]bool{}
		for _, s := range top.Seeds(i) {
			others[top.Zone(s)] = true
			if s == i {
				t.Errorf("%d is its own seed", i)
			}
		}
		if len(others) != 3 || !others[top.Zone(i)] {
			t.Fatalf("the seeds of %d stand in zones %v", i, others)
		}
	}
	if least, most := slices.Min(racks), slices.Max(racks); most-least > 1 {
		t.Errorf("racks have %d to %d members", least, most)
	}
	a, b := top.Links(1), top.Links(2)
	for x := range top.Racks() {
		for y := range top.Racks() {
			d, zx, zy := a.Between(x, y).Delay, x/racksPerZone, y/racksPerZone
			least, most := regionDelay, maxRegionDelay
			if zx == zy {
				least, most = 0, 0
			} else if top.Region(zx) == top.Region(zy) {
				least, most = zoneDelay, zoneDelay
			}
			if d != b.Between(x, y).Delay || d != a.Between(y, x).Delay || d < least || d > most {
				t.Fatalf("from rack %d to %d it takes %v", x, y, d)
			}
		}
	}
}

// A cut goes one way, and what members are to count follows from it.
func TestWhatIsToBeCounted(t *testing.T) {
	top := &Topology{Members: 9, Regions: 3, Zones: 3}
	l := top.Links(0)
	l.Set(top.RacksOf([]int{0}), top.RacksOf([]int{1}), func(l *link.Link) { l.Partitioned = true })
	if len(l.Draw(0, racksPerZone)) != 0 || len(l.Draw(racksPerZone, 0)) != 1 {
		t.Error("a cut one way is not one way")
	}
	w := newWatch(top)
	for i := range top.Members {
		w.started(i)
	}
	for _, c := range []struct {
		cut  [][2]int
		want []int
	}{{nil, []int{9, 9, 9}}, {[][2]int{{0, 1}}, []int{9, 9, 9}}, {[][2]int{{0, 1}, {2, 0}}, []int{3, 6, 6}}} {
		clear(w.partitioned)
		for _, pair := range c.cut {
			w.linked(top.RacksOf(pair[:1]), top.RacksOf(pair[1:]), true)
		}
		if got := w.expected(); !slices.Equal(got, c.want) {
			t.Errorf("with %v cut: %v, want %v", c.cut, got, c.want)
		}
	}
	clear(w.partitioned)
	w.ended(4, false)
	if got := w.expected(); got[2] != 8 {
		t.Errorf("after a crash: %v", got)
	}
}

// The checker counts a death of one that runs, but not one that falls into a time when timers came late, and
// takings back.
func TestWhatIsHeldAgainstMembers(t *testing.T) {
	w := newWatch(&Topology{Members: 4, Regions: 1, Zones: 1})
	w.addLoop(0, 0, []int{0, 1, 2, 3})
	w.judged = true
	for i := range 4 {
		w.started(i)
	}
	w.ended(3, false)
	dead := func(at int64, of int) Sample {
		return Sample{At: at, Changes: []Change{{Observer: 0, Of: of, From: "suspect", To: "dead", At: at}}}
	}
	for _, s := range []Sample{
		dead(1, 3), dead(2, 1),
		{At: 3, Changes: []Change{{0, 1, "dead", "alive", 3}}},
		{At: 4, Lags: []int64{starvedLag + 1}},
		dead(5, 2),
	} {
		w.take(0, &s)
	}
	if w.falseDead != 1 || w.excused != 1 || w.flaps != 1 {
		t.Errorf("%d false, %d excused, %d flaps", w.falseDead, w.excused, w.flaps)
	}
	if _, all := w.seenDead(3)(); all {
		t.Error("a crash that one of three has seen is seen by all")
	}
}

// A run whose timers came late has no figures but those that say so, and does not pass.
func TestStarvedRunIsNotValid(t *testing.T) {
	r := &report.Report{
		Figures: map[string]float64{
			"harness_lag_p99_ms": maxLagP99 + 1, "harness_core_share": 0.1,
			"control_bytes_per_s": 5, "processes": 3,
		},
		Notes: map[string]string{},
	}
	why := starved(r.Figures)
	notValid(r, why)
	check(r)
	if why == "" || r.Pass || len(r.Figures) != 3 {
		t.Errorf("%q, %+v", why, r)
	}
	if starved(
		map[string]float64{
			"harness_lag_p99_ms": 1,
			"harness_lag_max_ms": maxLag,
			"harness_core_share": maxCoreShare,
		},
	) != "" {
		t.Error("starved at the limits")
	}
}

// A run that takes more than it may is ended; the kernel tells of this process and of what it has started.
func TestLimits(t *testing.T) {
	cmd := exec.Command("sleep", "60")
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _, _ = cmd.Process.Kill(), cmd.Wait() }()
	all, err := parents()
	if err != nil || !descends(all, cmd.Process.Pid, os.Getpid()) || descends(all, 1, os.Getpid()) {
		t.Errorf("%v", err)
	}
	u, err := measure()
	if err != nil || u.processes < 2 || u.bytes <= 0 || limits(u) != nil {
		t.Errorf("%+v, %v", u, err)
	}
	if limits(usage{processes: maxRunProcesses + 1}) == nil ||
		limits(usage{bytes: (maxRunMegabytes + 1) << 20}) == nil {
		t.Error("no limit")
	}
}

// A process that does not end by itself is ended by its id, one that has ended is noticed.
func TestHollowProcessIsEnded(t *testing.T) {
	own := hollowCommand
	defer func() { hollowCommand = own }()
	hollowCommand = func() (*exec.Cmd, error) { return exec.Command("sleep", "60"), nil }
	p, err := startProcess(&Setup{}, func(*Sample) {})
	if err != nil {
		t.Fatal(err)
	}
	if p.ended() || !p.end(0) || !p.ended() {
		t.Error("it is still there")
	}
	if err := Hollow(strings.NewReader("{}\nnonsense"), nil); err == nil {
		t.Error("nonsense is obeyed")
	}
	if err := Hollow(strings.NewReader(""), nil); err == nil || errors.Is(err, os.ErrNotExist) {
		t.Errorf("no setup: %v", err)
	}
}

// A report of several sizes has each one's figures by its size, the worst of each bound, and says which sizes are
// not valid.
func TestSweep(t *testing.T) {
	s := newSweep(Options{})
	for _, members := range []int{60, 125, 300} {
		r := newReport("x", Options{})
		for _, b := range bounds {
			r.Figures[b.name] = 0
		}
		r.Figures["control_bytes_per_s"] = float64(members)
		if members == 300 {
			notValid(r, "late")
			r.Figures["harness_lag_p99_ms"] = maxLagP99 + 1
		}
		check(r)
		s.add(members, r)
	}
	r := s.report()
	if r.Pass || r.Figures["control_bytes_per_s"] != 125 || r.Figures["control_bytes_per_s_at_60"] != 60 ||
		r.Notes["not valid_at_300"] != "late" {
		t.Errorf("%+v", r)
	}
	if _, had := r.Figures["control_bytes_per_s_at_300"]; had || len(r.Charts) == 0 ||
		len(r.Charts[0].Series[0].X) != 2 {
		t.Errorf("a size that is not valid has figures: %+v", r.Charts)
	}
	if err := r.Keep(t.TempDir()); err != nil {
		t.Error(err)
	}
}

// What is sent to a member that was killed is not counted as its cost.
func TestRanEndsWithTheKill(t *testing.T) {
	p := &play{killed: map[int]int64{3: 500}}
	whole := span{100, 1000}
	if got := p.ran(3, whole); got != (span{100, 500}) {
		t.Errorf("a killed member ran in %v", got)
	}
	if got := p.ran(1, whole); got != whole {
		t.Errorf("one that was not ran in %v", got)
	}
}
