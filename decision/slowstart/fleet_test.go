package slowstart

import (
	"math"
	"math/rand/v2"
	"testing"

	"spurspread/decision/monotime"
)

// randomBudget is a simpler design to compare with: each balancer's part of a window is rounded up or down at random,
// and each balancer counts windows from its first request.
type randomBudget struct {
	windowStart monotime.Micros
	left        float64
}

func (b *randomBudget) available(now, length monotime.Micros, part, chance float64) bool {
	if now-b.windowStart >= length {
		b.windowStart = now
		b.left = min(b.left, 0) + math.Floor(part+chance)
	}
	return b.left > 0
}

const (
	window = monotime.Second // over which the warm-up budget is stated
	step   = window / 40
	warmUp = 23 * window
)

// reconnectWave is a fleet whose balancers each have requests at their own rate, for one server that is warming up.
type reconnectWave struct {
	balancers, zones int
	allowed          float64                       // number of requests allowed in a window
	hasRequest       func(*rand.Rand) bool         // whether a balancer has a request in a step
	work             func(*rand.Rand) float64      // of a request, as a multiple of the mean
	perGrant         float64                       // the work that a grant covers
	rank             func(int) (rank, counted int) // the fleet as a balancer sees it; nil for correct ranks
}

// simulate returns the work that the server was sent in each step of its warm-up: by grants, and by random budgets.
func (w reconnectWave) simulate(seed uint64) (byGrants, byChance []float64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	server := rng.Uint64()
	budgets, randomBudgets := make([]Budget, w.balancers), make([]randomBudget, w.balancers)
	for i := range randomBudgets {
		randomBudgets[i].windowStart = -monotime.Micros(rng.Int64N(int64(window)))
	}
	for now := monotime.Micros(0); now < warmUp; now += step {
		slot, _ := SlotAt(now, 0, window)
		granted, drawn := 0.0, 0.0
		for i := range w.balancers {
			if !w.hasRequest(rng) {
				continue
			}
			work := max(w.work(rng), 1)
			fleet := w.fleetSeenBy(i, server)
			if budgets[i].GrantAvailable(slot, w.allowed/w.perGrant, fleet) {
				budgets[i].Spend(true, work, w.perGrant, 1)
				granted += work
			}
			part := 0.2
			if fleet.SameZone {
				part = 0.6
			}
			part *= w.allowed * float64(w.zones) / float64(w.balancers)
			if randomBudgets[i].available(now, window, part, rng.Float64()) {
				randomBudgets[i].left -= work
				drawn += work
			}
		}
		byGrants = append(byGrants, granted)
		byChance = append(byChance, drawn)
	}
	return byGrants, byChance
}

func (w reconnectWave) fleetSeenBy(i int, server uint64) Fleet {
	rank, counted := i, w.balancers
	if w.rank != nil {
		rank, counted = w.rank(i)
	}
	return Fleet{Rank: rank, Balancers: counted, Zones: w.zones, ServerID: server, SameZone: i%w.zones == 0}
}

// windowStats summarizes the work sent in all windows, wherever they begin: the mean, the standard deviation, the
// maximum, and the fraction of windows with more than chance explains.
type windowStats struct{ mean, deviation, largest, over float64 }

func (w reconnectWave) windowStats(received []float64) (stats windowStats) {
	const steps = int(window / step)
	sum, squares, n := 0.0, 0.0, 0.0
	for end := steps; end <= len(received); end++ {
		inWindow := 0.0
		for _, r := range received[end-steps : end] {
			inWindow += r
		}
		sum += inWindow
		squares += inWindow * inWindow
		n++
		stats.largest = max(stats.largest, inWindow)
		if inWindow > w.allowed+2*math.Sqrt(w.allowed)+2 {
			stats.over++
		}
	}
	stats.mean = sum / n
	stats.deviation = math.Sqrt(max(squares/n-stats.mean*stats.mean, 0))
	stats.over /= n
	return stats
}

func always(*rand.Rand) bool           { return true }
func twiceASecond(rng *rand.Rand) bool { return rng.Float64() < 0.05 }
func meanWork(*rand.Rand) float64      { return 1 }
func unevenWork(rng *rand.Rand) float64 {
	return math.Exp(rng.NormFloat64()*0.8 - 0.32)
}

// The work that all balancers together send in any window, wherever it begins, stays below what chance explains and, if
// each request takes the mean work, below the quota of SlotsPerWindow+grantLifetime slots plus 2. This holds however
// many balancers there are and however many have requests. Random budgets exceed what chance explains.
func TestSumOverTheFleet(t *testing.T) {
	const unevenCase = "uneven work"
	for _, balancers := range []int{30, 300, 1500} {
		randomOver := 0.0
		for name, w := range map[string]reconnectWave{
			"all have requests":  {zones: 3, hasRequest: always, work: meanWork, perGrant: 1},
			"one zone":           {zones: 1, hasRequest: always, work: meanWork, perGrant: 1},
			"twelve zones":       {zones: 12, hasRequest: always, work: meanWork, perGrant: 1},
			"some have requests": {zones: 3, hasRequest: twiceASecond, work: meanWork, perGrant: 1},
			"ranks disagree": {
				zones: 3, hasRequest: always, work: meanWork, perGrant: 1, rank: disagreeingRanks(balancers),
			},
			unevenCase: {zones: 3, hasRequest: always, work: unevenWork, perGrant: 1.31},
		} {
			w.balancers, w.allowed = balancers, 6
			var grants, random windowStats
			for seed := range uint64(seeds) {
				byGrants, byChance := w.simulate(seed)
				grants.add(w.windowStats(byGrants))
				random.add(w.windowStats(byChance))
			}
			t.Logf("%4d, %-18s  random %+.4v  grants %+.4v", balancers, name, random, grants)
			randomOver += random.over
			overBound := 0.0
			largestBound := math.Floor(w.allowed*(SlotsPerWindow+grantLifetime)/SlotsPerWindow) + 2
			if name == unevenCase {
				overBound, largestBound = 0.02, math.Inf(1)
			}
			if grants.over > overBound || grants.largest > largestBound ||
				grants.mean == 0 || grants.mean > w.allowed*1.05 {
				t.Errorf("%d balancers, %s: %+v, want at most %.0f a window", balancers, name, grants, largestBound)
			}
		}
		if randomOver == 0 {
			t.Errorf("%d balancers: random budgets never exceeded the bound, nothing is compared", balancers)
		}
	}
}

// seeds is the number of waves simulated for each case.
const seeds = 2

// add adds one wave's contribution to the mean over all seeds.
func (s *windowStats) add(wave windowStats) {
	s.mean += wave.mean / seeds
	s.deviation += wave.deviation / seeds
	s.over += wave.over / seeds
	s.largest = max(s.largest, wave.largest)
}

// disagreeingRanks makes one balancer in ten count a tenth fewer, as happens while the membership converges.
func disagreeingRanks(balancers int) func(int) (int, int) {
	return func(i int) (int, int) {
		if i%10 == 0 {
			return i, balancers * 9 / 10
		}
		return i, balancers
	}
}

// If loads differ, a part of the budget of all balancers together is reserved for the heavy ones.
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
	if part := uneven / even; part < unevenLoadFraction-0.02 || part > unevenLoadFraction+0.02 {
		t.Fatalf("%.0f of %.0f grants if loads differ: fraction %.3f, want %v", uneven, even, part, unevenLoadFraction)
	}
}
