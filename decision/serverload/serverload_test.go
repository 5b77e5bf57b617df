package serverload

import (
	"math"
	"slices"
	"spurspread/decision/monotime"
	"testing"

	"pgregory.net/rapid"
)

func fleet(mean float64) *LoadModel {
	return &LoadModel{DynamicWeights: true, LoadsReported: true, meanLoad: mean}
}

func TestLiveWeightTellsSizeAndCrowd(t *testing.T) {
	f := &LoadModel{DynamicWeights: true}
	for _, c := range []struct{ weight, size, held float64 }{
		{2, 2, 0}, {1, 2, 2}, {0.2, 2, 18}, {4, 4, 0}, {2, 4, 4}, // a larger one shows what its kind can be
	} {
		if size, held := f.SizeFromWeight(1, c.weight); size != c.size || math.Abs(held-c.held) > 1e-9 {
			t.Errorf("weight %v: size %v, held %v, want %v and %v", c.weight, size, held, c.size, c.held)
		}
	}
	if size, _ := f.SizeFromWeight(2, 0.5); size != 0.5 {
		t.Errorf("one kind's size is taken for another's: %v", size)
	}
	if size, held := (&LoadModel{}).SizeFromWeight(1, 0.5); size != 0.5 || held != 0 {
		t.Errorf("a weight that is a size: %v, held %v", size, held)
	}
}

// A report tells of some moment lately: within what was known to be asked then it tells nothing new, beyond it it does.
func TestAReportIsOlderThanItsArrival(t *testing.T) {
	f, g := fleet(0.1), &Gauge{Size: 2}
	now := monotime.Micros(1000 * second)
	pass := func(seconds monotime.Micros) {
		for end := now + seconds*second; now < end; now += sampleInterval {
			g.SampleUtilization(now, f, 1)
		}
	}
	used := func(when string, want float64) {
		t.Helper()
		if u := g.Utilization(f, 1); math.Abs(u-want) > 1e-9 {
			t.Fatalf("%s: %v used, want %v", when, u, want)
		}
	}
	pass(4)
	g.OwnLoad = 1
	g.ApplyReport(now, f, 1, 0.2)
	used("a report of 0.2 while a half is placed", 0.5)
	g.ApplyReport(now, f, 1, 0.8)
	used("a report of 0.8 then", 0.8)
	pass(4)
	g.ApplyReport(now, f, 1, 0.7)
	used("0.7 long after", 0.7)
	g.OwnLoad = 0
	used("all has left since", 0.2)
	g.ApplyReport(now, f, 1, 0.45)
	used("a report from before they left", 0)
	pass(4)
	g.ApplyReport(now, f, 1, 0.45)
	used("another program's load", 0.45)
	g.ResetReports()
	used("after a restart", 0)
}

// What leaves is little and helps: the last of a group, with which its cost goes, before half of a larger one.
func TestLeaving(t *testing.T) {
	f := fleet(0.1) // so a group costs 0.3
	crowd := []Connection{{1, 0.1}, {1, 0.1}, {1, 0.1}, {1, 0.1}, {2, 0.05}, {1, 0.1}, {0, 0.02}, {0, 0.5}}
	for _, c := range []struct {
		want  float64
		leave []int
	}{
		{0, nil}, {-1, nil}, {0.3, []int{4}}, {0.05, []int{4}}, {0.8, []int{7}}, {1.0, []int{7, 4}}, {100, []int{7, 4, 6, 0, 1, 2, 3, 5}},
	} {
		leave, load := SelectConnectionsToMove(f, crowd, c.want)
		sum := 0.0
		for _, i := range leave {
			sum += crowd[i].Load
		}
		if !slices.Equal(leave, c.leave) || math.Abs(load-sum) > 1e-9 {
			t.Errorf("to take %v off: %v with %v, want %v", c.want, leave, load, c.leave)
		}
	}
	if leave, _ := SelectConnectionsToMove(f, []Connection{{1, 3}, {1, 3}}, 1); len(leave) != 0 {
		t.Errorf("%v leave, each three times what is to go", leave)
	}
}

// Nobody leaves twice, and never more load than wanted but for the last one's.
func TestLeavingIsBounded(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		items := rapid.SliceOfN(rapid.Custom(func(r *rapid.T) Connection {
			return Connection{rapid.Uint64Range(0, 4).Draw(r, "group"), rapid.Float64Range(0, 2).Draw(r, "load")}
		}), 0, 40).Draw(r, "items")
		want := rapid.Float64Range(-1, 20).Draw(r, "want")
		leave, load := SelectConnectionsToMove(fleet(rapid.Float64Range(0, 1).Draw(r, "mean")), items, want)
		if slices.Sort(leave); len(slices.Compact(slices.Clone(leave))) != len(leave) {
			r.Fatalf("%v", leave)
		}
		if load > max(want, 0)*moveOvershoot+1e-9 {
			r.Fatalf("%v leaves where %v was wanted", load, want)
		}
	})
}

// Excess is this balancer's own part of what is too much, once in a while.
func TestExcess(t *testing.T) {
	f := fleet(0)
	now := monotime.Micros(1000 * second)
	for _, c := range []struct{ own, used, want float64 }{{1, 0.89, 0}, {1, 1.6, 0.5}, {0, 3, 0}, {0.4, 8, 0.36}} {
		g := &Gauge{Size: 2, OwnLoad: c.own}
		g.ApplyReport(now, f, 1, c.used)
		if e := g.ExcessLoad(now, f, 1); math.Abs(e-c.want) > 1e-9 {
			t.Errorf("own %v, used %v: %v, want %v", c.own, c.used, e, c.want)
		}
		g.RebalancedAt = now
		if e := g.ExcessLoad(now+rebalanceInterval-1, f, 1); e != 0 {
			t.Errorf("%v more before it shows what the last ones did", e)
		}
	}
}

// The first load says little of the others; a hundred say what they are.
func TestMeanIsLearned(t *testing.T) {
	f := &LoadModel{}
	if f.Observe(1.5); f.MeanLoad() > 0.3 {
		t.Errorf("one heavy connection makes the mean %v", f.MeanLoad())
	}
	for i := range 200 {
		f.Observe([]float64{0.05, 0.15}[i%2])
	}
	f.ObserveHint(100)
	if math.Abs(f.MeanLoad()-0.1) > 0.02 {
		t.Errorf("mean %v of loads of 0.1", f.MeanLoad())
	}
}

// Whatever is told, an appeal is a number over 0, less for more load, more for a group that is there, less for another
// zone's server.
func TestAppealIsOrdered(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		part := func(name string, most float64) float64 { return rapid.Float64Range(0, most).Draw(r, name) }
		f := &LoadModel{}
		if rapid.Bool().Draw(r, "learned") {
			f.Observe(part("mean", 3))
		}
		g := Gauge{
			Size: 0.1 + part(
				"size",
				64,
			), OwnLoad: part("own", 100), GroupCount: rapid.IntRange(0, 50).Draw(r, "groups"),
			OtherConnections: part("others", 1000), reportOffset: part("offset", 5) - 2.5,
		}
		warmth, load := 0.05+part("warmth", 0.95), part("load", 10)
		a := g.SelectionWeight(f, warmth, load, false, false)
		if !(a > 0) || math.IsInf(a, 0) {
			r.Fatalf("appeal %v", a)
		}
		if b := g.SelectionWeight(f, warmth, load, true, false); b < a {
			r.Fatalf("%v with its group, %v without", b, a)
		}
		if b := g.SelectionWeight(f, warmth, load, false, true); b >= a {
			r.Fatalf("%v away, %v at home", b, a)
		}
		more := g
		if more.OwnLoad += 1 + part("more", 10); more.SelectionWeight(f, warmth, load, false, false) > a {
			r.Fatal("more load makes it more likely")
		}
	})
}

// The sum of what all balancers ask follows the requests, not the balancers.
func TestSurveysAreTheFleets(t *testing.T) {
	const fee, requests = 0.004, 1200
	sums := map[int]int{}
	for _, balancers := range []int{1, 3, 30, 300} {
		surveys := make([]ReportBudget, balancers)
		for i := range requests {
			s := &surveys[i%balancers]
			s.Earn(fee)
			for s.RequestDue(monotime.Micros(i)*second, &Gauge{}) {
				sums[balancers]++
			}
		}
		if want := requests * reportCostPart / fee; math.Abs(
			float64(sums[balancers])-want,
		) > 0.1*want+float64(
			balancers,
		) {
			t.Errorf("%d reports asked for by %d balancers, want about %.0f", sums[balancers], balancers, want)
		}
	}
	if first := (ReportBudget{}); first.RequestDue(100*second, &Gauge{}) {
		t.Error("asks with nothing earned")
	}
	var free ReportBudget
	if free.Earn(0); free.RequestDue(100*second, &Gauge{}) {
		t.Error("asks for reports whose price nobody tells")
	}
}
