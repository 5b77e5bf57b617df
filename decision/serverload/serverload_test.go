package serverload

import (
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"spurspread/decision/monotime"
)

const second = monotime.Second

func modelWithMean(meanLoad float64) *LoadModel {
	return &LoadModel{DynamicWeights: true, LoadsReported: true, meanLoad: meanLoad}
}

func TestDynamicWeightShowsSizeAndConnections(t *testing.T) {
	m := &LoadModel{DynamicWeights: true}
	for _, c := range []struct{ weight, size, connections float64 }{
		{2, 2, 0}, {1, 2, 2}, {0.2, 2, 18}, {4, 4, 0}, {2, 4, 4}, // the larger weight becomes the size of its kind
	} {
		size, connections := m.SizeFromWeight(1, c.weight)
		if size != c.size || math.Abs(connections-c.connections) > 1e-9 {
			t.Errorf("weight %v: size %v, %v connections, want %v and %v",
				c.weight, size, connections, c.size, c.connections)
		}
	}
	if size, _ := m.SizeFromWeight(2, 0.5); size != 0.5 {
		t.Errorf("size of another kind is used: size %v, want 0.5", size)
	}
	if size, connections := (&LoadModel{}).SizeFromWeight(1, 0.5); size != 0.5 || connections != 0 {
		t.Errorf("static weight 0.5: size %v, %v connections, want 0.5 and 0", size, connections)
	}
}

// A report shows an earlier moment: it corrects nothing within the range of utilizations known around then, and does
// outside of that range.
func TestReportIsOlderThanItsArrival(t *testing.T) {
	m, g := modelWithMean(0.1), &Gauge{Size: 2}
	now := 1000 * second
	advance := func(span monotime.Micros) {
		for end := now + span; now < end; now += sampleInterval {
			g.SampleUtilization(now, m, 1)
		}
	}
	expect := func(when string, want float64) {
		t.Helper()
		if u := g.Utilization(m, 1); math.Abs(u-want) > 1e-9 {
			t.Fatalf("%s: utilization %v, want %v", when, u, want)
		}
	}
	advance(4 * second)
	g.OwnLoad = 1
	g.ApplyReport(now, m, 1, 0.2)
	expect("report of 0.2 after a load of 0.5 was placed", 0.5)
	g.ApplyReport(now, m, 1, 0.8)
	expect("report of 0.8 at the same time", 0.8)
	advance(4 * second)
	g.ApplyReport(now, m, 1, 0.7)
	expect("report of 0.7 long after", 0.7)
	g.OwnLoad = 0
	expect("all connections have ended since the report", 0.2)
	g.ApplyReport(now, m, 1, 0.45)
	expect("report from before they ended", 0)
	advance(4 * second)
	g.ApplyReport(now, m, 1, 0.45)
	expect("load of another program", 0.45)
	g.ResetReports()
	expect("after a restart", 0)
}

// Few connections are moved, and those that relieve the server most: the last of a group, which takes the group's cost
// along, before half of a larger group.
func TestSelectConnectionsToMove(t *testing.T) {
	m := modelWithMean(0.1) // so that a group costs 0.3
	connections := []Connection{{1, 0.1}, {1, 0.1}, {1, 0.1}, {1, 0.1}, {2, 0.05}, {1, 0.1}, {0, 0.02}, {0, 0.5}}
	for _, c := range []struct {
		wanted   float64
		selected []int
	}{
		{0, nil},
		{-1, nil},
		{0.3, []int{4}},
		{0.05, []int{4}},
		{0.8, []int{7}},
		{1.0, []int{7, 4}},
		{100, []int{7, 4, 6, 0, 1, 2, 3, 5}},
	} {
		selected, load := SelectConnectionsToMove(m, connections, c.wanted)
		sum := 0.0
		for _, i := range selected {
			sum += connections[i].Load
		}
		if !slices.Equal(selected, c.selected) || math.Abs(load-sum) > 1e-9 {
			t.Errorf("wanted load %v: selected %v with load %v, want %v", c.wanted, selected, load, c.selected)
		}
	}
	if selected, _ := SelectConnectionsToMove(m, []Connection{{1, 3}, {1, 3}}, 1); len(selected) != 0 {
		t.Errorf("selected %v, each with three times the wanted load", selected)
	}
}

// No connection is selected twice, and the selected load exceeds the wanted load by at most the overshoot.
func TestMovesAreBounded(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		connections := rapid.SliceOfN(rapid.Custom(func(r *rapid.T) Connection {
			return Connection{rapid.Uint64Range(0, 4).Draw(r, "group"), rapid.Float64Range(0, 2).Draw(r, "load")}
		}), 0, 40).Draw(r, "connections")
		wanted := rapid.Float64Range(-1, 20).Draw(r, "wanted")
		m := modelWithMean(rapid.Float64Range(0, 1).Draw(r, "mean"))
		selected, load := SelectConnectionsToMove(m, connections, wanted)
		if slices.Sort(selected); len(slices.Compact(slices.Clone(selected))) != len(selected) {
			r.Fatalf("connection selected twice: %v", selected)
		}
		if load > max(wanted, 0)*moveOvershoot+1e-9 {
			r.Fatalf("load %v selected, wanted %v", load, wanted)
		}
	})
}

// The excess load is this balancer's proportional part, and 0 until the effect of the last moves shows.
func TestExcessLoad(t *testing.T) {
	m := modelWithMean(0)
	now := 1000 * second
	for _, c := range []struct{ own, utilization, want float64 }{
		{1, 0.89, 0}, {1, 1.6, 0.5}, {0, 3, 0}, {0.4, 8, 0.36},
	} {
		g := &Gauge{Size: 2, OwnLoad: c.own}
		g.ApplyReport(now, m, 1, c.utilization)
		if e := g.ExcessLoad(now, m, 1); math.Abs(e-c.want) > 1e-9 {
			t.Errorf("own load %v, utilization %v: excess load %v, want %v", c.own, c.utilization, e, c.want)
		}
		g.RebalancedAt = now
		if e := g.ExcessLoad(now+rebalanceInterval-1, m, 1); e != 0 {
			t.Errorf("excess load %v before the effect of the last moves shows, want 0", e)
		}
	}
}

// One load hardly changes the mean; a hundred loads determine it, and hints are ignored from then on.
func TestMeanLoad(t *testing.T) {
	m := &LoadModel{}
	if m.Observe(1.5); m.MeanLoad() > 0.3 {
		t.Errorf("mean %v after one heavy connection, want at most 0.3", m.MeanLoad())
	}
	for i := range 200 {
		m.Observe([]float64{0.05, 0.15}[i%2])
	}
	m.ObserveHint(100)
	if math.Abs(m.MeanLoad()-0.1) > 0.02 {
		t.Errorf("mean %v of loads around 0.1, want 0.08 to 0.12", m.MeanLoad())
	}
}

// Whatever is observed, a selection weight is a finite number above 0. It does not rise with load, does not fall if the
// server has the connection's group, and is lower across zones.
func TestSelectionWeightIsOrdered(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		upTo := func(most float64, name string) float64 { return rapid.Float64Range(0, most).Draw(r, name) }
		m := &LoadModel{}
		if rapid.Bool().Draw(r, "observed") {
			m.Observe(upTo(3, "mean"))
		}
		g := Gauge{
			Size:             0.1 + upTo(64, "size"),
			OwnLoad:          upTo(100, "own"),
			GroupCount:       rapid.IntRange(0, 50).Draw(r, "groups"),
			OtherConnections: upTo(1000, "others"),
			reportOffset:     upTo(5, "offset") - 2.5,
		}
		warmup, load := 0.05+upTo(0.95, "warm-up factor"), upTo(10, "load")
		weight := g.SelectionWeight(m, warmup, load, false, false)
		if !(weight > 0) || math.IsInf(weight, 0) {
			r.Fatalf("weight %v", weight)
		}
		if grouped := g.SelectionWeight(m, warmup, load, true, false); grouped < weight {
			r.Fatalf("weight %v with its group, %v without", grouped, weight)
		}
		if crossZone := g.SelectionWeight(m, warmup, load, false, true); crossZone >= weight {
			r.Fatalf("weight %v across zones, %v within", crossZone, weight)
		}
		loaded := g
		loaded.OwnLoad += 1 + upTo(10, "more")
		if loaded.SelectionWeight(m, warmup, load, false, false) > weight {
			r.Fatal("weight rises with load")
		}
	})
}

// The number of reports that all balancers together request follows the number of requests, not of balancers.
func TestReportsFollowRequests(t *testing.T) {
	const cost, requests = 0.004, 1200
	sums := map[int]int{}
	for _, balancers := range []int{1, 3, 30, 300} {
		budgets := make([]ReportBudget, balancers)
		for i := range requests {
			b := &budgets[i%balancers]
			b.Earn(cost)
			for b.RequestDue(monotime.Micros(i)*second, &Gauge{}) {
				sums[balancers]++
			}
		}
		want := requests * reportCostFraction / cost
		if math.Abs(float64(sums[balancers])-want) > 0.1*want+float64(balancers) {
			t.Errorf("%d reports requested by %d balancers, want about %.0f", sums[balancers], balancers, want)
		}
	}
	if empty := (ReportBudget{}); empty.RequestDue(100*second, &Gauge{}) {
		t.Error("report requested without any credit")
	}
	var unpriced ReportBudget
	if unpriced.Earn(0); unpriced.RequestDue(100*second, &Gauge{}) {
		t.Error("report requested although its cost is not set")
	}
}
