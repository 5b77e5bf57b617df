// Package load estimates how much of what a server can do is asked of it, from what is told: the loads of
// connections and hints of them, the size and the crowd behind a weight that falls with use, and load reports. From
// that it says how well one more connection would go there, and when a report is worth its price. It knows no
// sockets, no clock and no rules, and does not decide who is sent where. Loads are cores, times microseconds.
package serverload

import (
	"cmp"
	"math"
	"slices"
	"spurspread/decision/monotime"
)

const (
	second = 1_000_000

	// GroupCost is how many mean connection loads a server is taken to pay for each group that it holds any of: no
	// setting tells it, and operators told 1.5 and 3.
	GroupCost = 3.0
	// A report is refreshed once or twice a second and arrives late: what it shows was so at some moment within window.
	reportWindow   = 2500 * second / 1000
	historySize    = 16
	sampleInterval = 200 * second / 1000

	meanLoadMemory = 300   // loads that the mean goes by
	meanLoadPrior  = 5     // loads of nothing that the mean begins with: one that is heavy says little of the others
	enoughLoads    = 100   // known loads after which guesses add nothing
	minLoad        = 0.001 // what nothing is known of takes something all the same

	// Messages begin to wait well before all is asked for, since loads swing: one more connection is twice as dear at
	// fullAt as on an idle server, and dearer by that power beyond.
	costDoublesAt       = 0.4
	utilizationExponent = 6.0
	// How strongly cost tells against a server. One that has the group takes 1 load where another takes 1 + GroupCost;
	// at the third power that is 64 times as likely, so groups come together until the server is well used.
	costExponent = 3.0
	// A crossing of zones is put at as much as tripling what a connection takes.
	crossZoneCostFactor = 3.0

	// What a server may be asked for with one more connection: messages of a class that is worth nothing beside the
	// others still have room to swing at leastFull, and at mostFull those of the class that is worth most are kept
	// while what is worth less is refused.
	minUtilizationLimit, maxUtilizationLimit = 0.65, 0.8
	// Asked for more than over, a server answers hardly a message in time, and connections leave it until it is asked
	// for calm. They show there no sooner than after settle.
	overloadUtilization, targetUtilization = 0.9, 0.8
	rebalanceInterval                      = 2 * second
	moveOvershoot                          = 1.2 // of what is to leave, rather than none

	// Reports are asked for as far as they cost this much of the worth of the requests: the fleet's sum follows its
	// requests, however many balancers ask.
	reportCostPart    = 0.012
	maxReportCredits  = 40.0 // saved up
	minReportInterval = 1 * second
)

// LoadModel is what all servers have in common.
type LoadModel struct {
	DynamicWeights bool // weights are a server's cores over 1 + what it holds for each core
	LoadsReported  bool // servers tell the loads of connections
	sizeByKind     map[uint16]float64
	meanLoad       float64
	observed       float64
}

// Observe takes one connection's load.
func (f *LoadModel) Observe(load float64) {
	f.observed = min(f.observed+1, meanLoadMemory)
	f.meanLoad += (load - f.meanLoad) / (f.observed + meanLoadPrior)
}

// ObserveHint takes what a connection is guessed to load, until enough loads are known.
func (f *LoadModel) ObserveHint(load float64) {
	if f.observed < enoughLoads {
		f.Observe(load)
	}
}

// MeanLoad is the load of a connection, 0 before any was learned.
func (f *LoadModel) MeanLoad() float64 { return f.meanLoad }

// SizeFromWeight reads a listed weight: a server's size, and how many connections all balancers held there, 0 where that is not
// told. The size behind a weight that falls with use is the most that any of its kind was listed with.
func (f *LoadModel) SizeFromWeight(kind uint16, weight float64) (size, held float64) {
	if !f.DynamicWeights {
		return weight, 0
	}
	if f.sizeByKind == nil {
		f.sizeByKind = map[uint16]float64{}
	}
	size = max(f.sizeByKind[kind], weight)
	f.sizeByKind[kind] = size
	return size, size * (size/weight - 1)
}

type sample struct {
	at    monotime.Micros
	value float64
}

// Gauge is what one server carries.
type Gauge struct {
	Size              float64         // cores, where loads are told
	OwnLoad           float64         // load of this balancer's connections and attempts
	OwnConnections    int             // how many they are
	GroupCount        int             // and of how many groups
	OtherConnections  float64         // connections of other balancers
	ReportRequestedAt monotime.Micros // when a report was last asked for
	RebalancedAt      monotime.Micros // when connections were last sent away

	reportOffset float64 // what reports show beyond what is known
	history      [historySize]sample
	nextSample   int
}

// SetListed takes the size and the crowd that a list tells, both as Size reads them.
func (g *Gauge) SetListed(size, held float64) {
	g.Size, g.OtherConnections = size, max(held-float64(g.OwnConnections), 0)
}

// knownUtilization is what is known to be asked, over what a server of its size and warmth (0 to 1) can do.
func (g *Gauge) knownUtilization(f *LoadModel, warmth float64) float64 {
	return (g.OwnLoad + (g.OtherConnections+GroupCost*float64(g.GroupCount))*f.meanLoad) / (g.Size * warmth)
}

// Utilization is what is asked of the server over what it can do.
func (g *Gauge) Utilization(f *LoadModel, warmth float64) float64 {
	return max(g.knownUtilization(f, warmth)+g.reportOffset, 0)
}

// SampleUtilization notes what is known now, for reports that will tell of this moment. It is called some times a second.
func (g *Gauge) SampleUtilization(now monotime.Micros, f *LoadModel, warmth float64) {
	if now-g.history[(g.nextSample+historySize-1)%historySize].at >= sampleInterval {
		g.history[g.nextSample] = sample{now, g.knownUtilization(f, warmth)}
		g.nextSample = (g.nextSample + 1) % historySize
	}
}

// ApplyReport takes a report of what is asked of the server over what it can do. One within what was known to be asked lately
// tells nothing new.
func (g *Gauge) ApplyReport(now monotime.Micros, f *LoadModel, warmth, used float64) {
	low := g.knownUtilization(f, warmth)
	high := low
	for _, p := range g.history {
		if p.at != 0 && now-p.at <= reportWindow {
			low, high = min(low, p.value), max(high, p.value)
		}
	}
	g.reportOffset = used - min(max(used, low), high)
}

// ResetReports forgets what reports told of a server before it began anew.
func (g *Gauge) ResetReports() { g.reportOffset, g.history = 0, [historySize]sample{} }

// addedUtilization is what one more connection of this load takes of the server. A group that is there already is not paid for
// again.
func (g *Gauge) addedUtilization(f *LoadModel, warmth, load float64, grouped bool) float64 {
	add := max(load, minLoad)
	if !grouped {
		add += GroupCost * f.meanLoad
	}
	return add / (g.Size * warmth)
}

// HasCapacityFor tells whether the server can do one more connection of this load, whose class is worth this part (0 to 1) of
// the one that is worth most. While less than half is asked of the server it takes any: a connection that would
// fill a server by itself finds no better place by being refused.
func (g *Gauge) HasCapacityFor(f *LoadModel, warmth, load float64, grouped bool, worth float64) bool {
	full := minUtilizationLimit + (maxUtilizationLimit-minUtilizationLimit)*worth
	return g.Utilization(f, warmth)+min(g.addedUtilization(f, warmth, load, grouped), full/2) <= full
}

// SelectionWeight is how likely the server is to be picked for a connection of this load: the less, the more it takes of the
// server, and the more is asked of that already.
func (g *Gauge) SelectionWeight(f *LoadModel, warmth, load float64, grouped, away bool) float64 {
	add := g.addedUtilization(f, warmth, load, grouped)
	cost := add * g.Size / max(
		load,
		f.meanLoad,
		minLoad,
	) * (1 + math.Pow((g.Utilization(f, warmth)+add)/costDoublesAt, utilizationExponent))
	if away {
		cost *= crossZoneCostFactor
	}
	return g.Size * math.Pow(cost, -costExponent)
}

// SpareCapacity is how much load the server could take on calmly.
func (g *Gauge) SpareCapacity(f *LoadModel, warmth float64) float64 {
	return max(targetUtilization-g.Utilization(f, warmth), 0) * g.Size * warmth
}

// ExcessLoad is how much of this balancer's load is to leave the server: of what is asked too much, the part that is
// its own.
func (g *Gauge) ExcessLoad(now monotime.Micros, f *LoadModel, warmth float64) float64 {
	used := g.Utilization(f, warmth)
	if used < overloadUtilization || now-g.RebalancedAt < rebalanceInterval {
		return 0
	}
	return g.OwnLoad * (1 - targetUtilization/used)
}

// Connection is a connection that may leave.
type Connection struct {
	Group uint64 // 0 where it has none
	Load  float64
}

// SelectConnectionsToMove names those of the connections whose leaving takes so much load off, and how much that is. What frees
// most for each that leaves goes first: the last few of a group, with which its cost goes, before the heavy ones of
// others.
func SelectConnectionsToMove(f *LoadModel, items []Connection, want float64) (leave []int, load float64) {
	type group struct {
		items []int
		load  float64
		frees float64 // for each that leaves
	}
	var groups []*group
	byID := map[uint64]*group{}
	for i, item := range items {
		g := byID[item.Group]
		if g == nil || item.Group == 0 {
			g = &group{}
			groups, byID[item.Group] = append(groups, g), g
		}
		g.items, g.load = append(g.items, i), g.load+item.Load
	}
	for _, g := range groups {
		g.frees = (g.load + GroupCost*f.meanLoad) / float64(len(g.items))
		slices.SortStableFunc(g.items, func(i, j int) int { return cmp.Compare(items[j].Load, items[i].Load) })
	}
	slices.SortStableFunc(groups, func(a, b *group) int { return cmp.Compare(b.frees, a.frees) })
	for _, g := range groups {
		whole := g.load <= want*moveOvershoot
		for _, i := range g.items {
			if want > 0 && (whole || items[i].Load <= want*moveOvershoot) {
				leave, load = append(leave, i), load+items[i].Load
				if !whole {
					want -= items[i].Load
				}
			}
		}
		if whole {
			want -= g.load + GroupCost*f.meanLoad
		}
	}
	return leave, load
}

// ReportBudget is the account from which load reports are asked for.
type ReportBudget struct{ credits float64 }

// Earn adds a request's part, where one report a request costs fee of the worth.
func (s *ReportBudget) Earn(fee float64) {
	if fee > 0 {
		s.credits += reportCostPart / fee
	}
	s.credits = min(s.credits, maxReportCredits)
}

// RequestDue tells whether to ask the server for a report now, and counts it as asked.
func (s *ReportBudget) RequestDue(now monotime.Micros, g *Gauge) bool {
	if s.credits < 1 || now-g.ReportRequestedAt < minReportInterval {
		return false
	}
	s.credits--
	g.ReportRequestedAt = now
	return true
}
