package load

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

func fleet(mean float64) *Fleet {
	f := &Fleet{Live: true, Told: true}
	f.Learn(mean)
	return f
}

func TestLiveWeightTellsSizeAndCrowd(t *testing.T) {
	f := &Fleet{Live: true}
	for _, c := range []struct{ weight, size, held float64 }{
		{2, 2, 0}, {1, 2, 2}, {0.2, 2, 18}, {4, 4, 0}, {2, 4, 4}, // a larger one shows what its kind can be
	} {
		if size, held := f.Size(1, c.weight); size != c.size || math.Abs(held-c.held) > 1e-9 {
			t.Errorf("weight %v: size %v, held %v, want %v and %v", c.weight, size, held, c.size, c.held)
		}
	}
	if size, _ := f.Size(2, 0.5); size != 0.5 {
		t.Errorf("one kind's size is taken for another's: %v", size)
	}
	if size, held := (&Fleet{}).Size(1, 0.5); size != 0.5 || held != 0 {
		t.Errorf("a weight that is a size: %v, held %v", size, held)
	}
}

// A report tells of the moment that it was made at: what was placed since is added to it, not hidden by it.
func TestAReportIsOlderThanItsArrival(t *testing.T) {
	f, g := fleet(0.1), &Gauge{Size: 2}
	const start = 1000 * sec
	for at := int64(start); at < start+3*sec; at += sampleGap {
		g.Look(at, f, 1)
	}
	g.Own += 1 // now
	g.Read(start+3*sec, f, 1, 0.3)
	if u := g.Used(f, 1); math.Abs(u-0.8) > 1e-9 {
		t.Fatalf("0.3 before, 0.5 placed since: %v used", u)
	}
	for at := int64(start + 3*sec); at < start+6*sec; at += sampleGap {
		g.Look(at, f, 1)
	}
	g.Read(start+6*sec, f, 1, 0.9)
	if u := g.Used(f, 1); math.Abs(u-0.9) > 1e-9 {
		t.Fatalf("a report of 0.9 after nothing has changed: %v used", u)
	}
	if g.Restarted(); math.Abs(g.Used(f, 1)-0.5) > 1e-9 {
		t.Fatalf("what was reported of it before its restart still counts: %v", g.Used(f, 1))
	}
}

// Whatever is told, an appeal is a number over 0, less for more load, more for a group that is there, less for another
// zone's server.
func TestAppealIsOrdered(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		part := func(name string, most float64) float64 { return rapid.Float64Range(0, most).Draw(r, name) }
		f := &Fleet{}
		if rapid.Bool().Draw(r, "learned") {
			f.Learn(part("mean", 3))
		}
		g := Gauge{Size: 0.1 + part("size", 64), Own: part("own", 100), Groups: rapid.IntRange(0, 50).Draw(r, "groups"),
			Others: part("others", 1000), offset: part("offset", 5) - 2.5}
		warmth, load := 0.05+part("warmth", 0.95), part("load", 10)
		a := g.Appeal(f, warmth, load, false, false)
		if !(a > 0) || math.IsInf(a, 0) {
			r.Fatalf("appeal %v", a)
		}
		if b := g.Appeal(f, warmth, load, true, false); b < a {
			r.Fatalf("%v with its group, %v without", b, a)
		}
		if b := g.Appeal(f, warmth, load, false, true); b >= a {
			r.Fatalf("%v away, %v at home", b, a)
		}
		more := g
		if more.Own += 1 + part("more", 10); more.Appeal(f, warmth, load, false, false) > a {
			r.Fatal("more load makes it more likely")
		}
	})
}

// The sum of what all balancers ask follows the requests, not the balancers.
func TestSurveysAreTheFleets(t *testing.T) {
	const fee, requests = 0.004, 1200
	sums := map[int]int{}
	for _, balancers := range []int{1, 3, 30, 300} {
		surveys := make([]Survey, balancers)
		for i := range requests {
			s := &surveys[i%balancers]
			s.Earn(fee)
			for s.Due(int64(i)*sec, &Gauge{}) {
				sums[balancers]++
			}
		}
		if want := requests * surveyPart / fee; math.Abs(float64(sums[balancers])-want) > 0.1*want+float64(balancers) {
			t.Errorf("%d reports asked for by %d balancers, want about %.0f", sums[balancers], balancers, want)
		}
	}
	var free Survey
	if free.Earn(0); free.Due(100*sec, &Gauge{}) {
		t.Error("asks for reports whose price nobody tells")
	}
}
