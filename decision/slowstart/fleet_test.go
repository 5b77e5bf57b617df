package slowstart

import (
	"math"
	"math/rand/v2"
	"spurspread/decision/monotime"
	"testing"
)

// drawn is the budget as it was before: each balancer drew its share of a window whole or not at all, by chance, and
// counted its windows from when it was first asked. It is kept to be compared with.
type drawn struct {
	window monotime.Micros
	left   float64
}

func (b *drawn) room(now, span monotime.Micros, part, chance float64) bool {
	if now-b.window >= span {
		b.window = now
		b.left = min(b.left, 0) + math.Floor(part+chance)
	}
	return b.left > 0
}

const (
	window = 1_000_000 // the rule's, microseconds
	step   = window / 40
	warmUp = 23 * window
)

// flood is a fleet of which each balancer has requests at its own rate, for one cold server.
type flood struct {
	balancers, zones int
	allowed          float64                     // requests in a window
	asks             func(rng *rand.Rand) bool   // whether a balancer has a request in a step
	work             func(*rand.Rand) float64    // what it takes, of the mean
	each             float64                     // what a connection is booked at
	rank             func(int) (rank, count int) // as a balancer believes
}

// play returns what the server got in each step of its warm-up, by the grants and by the draws.
func (f flood) play(seed uint64) (granted, draws []float64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	server := rng.Uint64()
	now, old := make([]Budget, f.balancers), make([]drawn, f.balancers)
	for i := range old {
		old[i].window = -monotime.Micros(rng.Int64N(int64(window))) // each counts from when it was first asked
	}
	for at := monotime.Micros(0); at < warmUp; at += step {
		slot, _ := SlotAt(at, 0, window)
		got, gotOld := 0.0, 0.0
		for i := range f.balancers {
			if !f.asks(rng) {
				continue
			}
			work := max(f.work(rng), 1)
			rank, count := i, f.balancers
			if f.rank != nil {
				rank, count = f.rank(i)
			}
			home := i%f.zones == 0
			if now[i].GrantAvailable(slot, f.allowed/f.each, Fleet{rank, count, f.zones, server, home, false}) {
				now[i].Spend(true, work, f.each, 1)
				got += work
			}
			part := 0.2
			if home {
				part = 0.6
			}
			if old[i].room(at, window, part*f.allowed*float64(f.zones)/float64(f.balancers), rng.Float64()) {
				old[i].left -= work
				gotOld += work
			}
		}
		granted, draws = append(granted, got), append(draws, gotOld)
	}
	return granted, draws
}

// figures sums up what windows got, wherever they begin: the mean, the deviation, the most and how many were over
// what is put down to chance.
type figures struct{ mean, deviation, most, over float64 }

func (f flood) figures(got []float64) (out figures) {
	const steps = window / step
	sum, squares, n := 0.0, 0.0, 0.0
	for end := steps; end <= len(got); end++ {
		w := 0.0
		for _, g := range got[end-steps : end] {
			w += g
		}
		sum, squares, n = sum+w, squares+w*w, n+1
		out.most = max(out.most, w)
		if w > f.allowed+2*math.Sqrt(f.allowed)+2 {
			out.over++
		}
	}
	out.mean = sum / n
	out.deviation = math.Sqrt(max(squares/n-out.mean*out.mean, 0))
	out.over /= n
	return out
}

func always(*rand.Rand) bool        { return true }
func mean(*rand.Rand) float64       { return 1 }
func seldom(rng *rand.Rand) bool    { return rng.Float64() < 0.05 } // two a second
func uneven(rng *rand.Rand) float64 { return math.Exp(rng.NormFloat64()*0.8 - 0.32) }

// What all balancers together send in any window, wherever it begins, keeps under what is put down to chance, and
// where each request takes the mean under the quota of Slots+held slots and 2, however many balancers there are and
// however all of them ask. By the draws of before it did not.
func TestSumOverTheFleet(t *testing.T) {
	for _, balancers := range []int{30, 300, 1500} {
		wasOver := 0.0
		for name, f := range map[string]flood{
			"all ask":         {zones: 3, asks: always, work: mean, each: 1},
			"one zone":        {zones: 1, asks: always, work: mean, each: 1},
			"twelve zones":    {zones: 12, asks: always, work: mean, each: 1},
			"some ask":        {zones: 3, asks: seldom, work: mean, each: 1},
			"ranks are apart": {zones: 3, asks: always, work: mean, each: 1, rank: apart(balancers)},
			"work is uneven":  {zones: 3, asks: always, work: uneven, each: 1.31},
		} {
			f.balancers, f.allowed = balancers, 6
			var now, old figures
			for seed := range uint64(seeds) {
				granted, draws := f.play(seed)
				now.add(f.figures(granted))
				old.add(f.figures(draws))
			}
			t.Logf(
				"%4d, %-15s  drawn: mean %5.2f deviation %.2f most %4.1f over %.4f  granted: mean %.2f deviation %.2f most %4.1f over %.4f",
				balancers,
				name,
				old.mean,
				old.deviation,
				old.most,
				old.over,
				now.mean,
				now.deviation,
				now.most,
				now.over,
			)
			wasOver += old.over
			bound := 0.0 // where the work is uneven, a part of the windows in 1,000
			most := math.Floor(f.allowed*(SlotsPerWindow+grantLifetime)/SlotsPerWindow) + 2
			if name == "work is uneven" {
				bound, most = 0.02, math.Inf(1)
			}
			if now.over > bound || now.most > most || now.mean == 0 || now.mean > f.allowed*1.05 {
				t.Errorf("%d, %s: %+v, at most %.0f", balancers, name, now, most)
			}
		}
		if wasOver == 0 {
			t.Errorf("%d balancers: the draws were never over, so this shows nothing", balancers)
		}
	}
}

// seeds is how many floods of a kind are played.
const seeds = 2

func (f *figures) add(g figures) {
	f.mean, f.deviation, f.over = f.mean+g.mean/seeds, f.deviation+g.deviation/seeds, f.over+g.over/seeds
	f.most = max(f.most, g.most)
}

// apart has one in ten balancers count a tenth fewer, as while a membership settles.
func apart(balancers int) func(int) (int, int) {
	return func(i int) (int, int) {
		if i%10 == 0 {
			return i, balancers * 9 / 10
		}
		return i, balancers
	}
}

// Where loads differ, a part of the budget is kept back for the heavy ones, over all balancers together.
func TestUnevenLoadsAreGrantedLess(t *testing.T) {
	granted := func(uneven bool) (sum int) {
		for rank := range 30 {
			f := Fleet{Rank: rank, Balancers: 30, Zones: 1, ServerID: 7, SameZone: true, UnevenLoads: uneven}
			for slot := range int64(400) {
				sum += f.grantsInSlot(slot, 10)
			}
		}
		return sum
	}
	even, uneven := float64(granted(false)), float64(granted(true))
	if part := uneven / even; part < unevenLoadPart-0.02 || part > unevenLoadPart+0.02 {
		t.Fatalf("%.0f grants of %.0f where loads differ: %.3f, not %v", uneven, even, part, unevenLoadPart)
	}
}
