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
	sec = 1_000_000

	// GroupCost is how many mean connection loads a server is taken to pay for each group that it holds any of: no
	// setting tells it, and operators told 1.5 and 3.
	GroupCost = 3.0
	// A report is refreshed once or twice a second and arrives late: what it shows was so at some moment within window.
	window    = 2500 * sec / 1000
	samples   = 16
	sampleGap = 200 * sec / 1000

	meanMemory  = 300   // loads that the mean goes by
	doubt       = 5     // loads of nothing that the mean begins with: one that is heavy says little of the others
	hintsEnough = 100   // known loads after which guesses add nothing
	leastLoad   = 0.001 // what nothing is known of takes something all the same

	// Messages begin to wait well before all is asked for, since loads swing: one more connection is twice as dear at
	// fullAt as on an idle server, and dearer by that power beyond.
	fullAt = 0.4
	steep  = 6.0
	// How strongly cost tells against a server. One that has the group takes 1 load where another takes 1 + GroupCost;
	// at the third power that is 64 times as likely, so groups come together until the server is well used.
	choosy = 3.0
	// A crossing of zones is put at as much as tripling what a connection takes.
	awayTimes = 3.0

	// What a server may be asked for with one more connection: messages of a class that is worth nothing beside the
	// others still have room to swing at leastFull, and at mostFull those of the class that is worth most are kept
	// while what is worth less is refused.
	leastFull, mostFull = 0.65, 0.8
	// Asked for more than over, a server answers hardly a message in time, and connections leave it until it is asked
	// for calm. They show there no sooner than after settle.
	over, calm = 0.9, 0.8
	settle     = 2 * sec
	overshoot  = 1.2 // of what is to leave, rather than none

	// Reports are asked for as far as they cost this much of the worth of the requests: the fleet's sum follows its
	// requests, however many balancers ask.
	surveyPart = 0.012
	surveyMost = 40.0 // saved up
	surveyGap  = 1 * sec
)

// Fleet is what all servers have in common.
type Fleet struct {
	Live  bool // weights are a server's cores over 1 + what it holds for each core
	Told  bool // servers tell the loads of connections
	sizes map[uint16]float64
	mean  float64
	seen  float64
}

// Learn takes one connection's load.
func (f *Fleet) Learn(load float64) {
	f.seen = min(f.seen+1, meanMemory)
	f.mean += (load - f.mean) / (f.seen + doubt)
}

// Hinted takes what a connection is guessed to load, until enough loads are known.
func (f *Fleet) Hinted(load float64) {
	if f.seen < hintsEnough {
		f.Learn(load)
	}
}

// Mean is the load of a connection, 0 before any was learned.
func (f *Fleet) Mean() float64 { return f.mean }

// Size reads a listed weight: a server's size, and how many connections all balancers held there, 0 where that is not
// told. The size behind a weight that falls with use is the most that any of its kind was listed with.
func (f *Fleet) Size(kind uint16, weight float64) (size, held float64) {
	if !f.Live {
		return weight, 0
	}
	if f.sizes == nil {
		f.sizes = map[uint16]float64{}
	}
	size = max(f.sizes[kind], weight)
	f.sizes[kind] = size
	return size, size * (size/weight - 1)
}

type sample struct {
	at    monotime.Micros
	value float64
}

// Gauge is what one server carries.
type Gauge struct {
	Size    float64         // cores, where loads are told
	Own     float64         // load of this balancer's connections and attempts
	Conns   int             // how many they are
	Groups  int             // and of how many groups
	Others  float64         // connections of other balancers
	AskedAt monotime.Micros // when a report was last asked for
	LeftAt  monotime.Micros // when connections were last sent away

	offset float64 // what reports show beyond what is known
	past   [samples]sample
	next   int
}

// List takes the size and the crowd that a list tells, both as Size reads them.
func (g *Gauge) List(size, held float64) { g.Size, g.Others = size, max(held-float64(g.Conns), 0) }

// known is what is known to be asked, over what a server of its size and warmth (0 to 1) can do.
func (g *Gauge) known(f *Fleet, warmth float64) float64 {
	return (g.Own + (g.Others+GroupCost*float64(g.Groups))*f.mean) / (g.Size * warmth)
}

// Used is what is asked of the server over what it can do.
func (g *Gauge) Used(f *Fleet, warmth float64) float64 { return max(g.known(f, warmth)+g.offset, 0) }

// Look notes what is known now, for reports that will tell of this moment. It is called some times a second.
func (g *Gauge) Look(now monotime.Micros, f *Fleet, warmth float64) {
	if now-g.past[(g.next+samples-1)%samples].at >= sampleGap {
		g.past[g.next] = sample{now, g.known(f, warmth)}
		g.next = (g.next + 1) % samples
	}
}

// Read takes a report of what is asked of the server over what it can do. One within what was known to be asked lately
// tells nothing new.
func (g *Gauge) Read(now monotime.Micros, f *Fleet, warmth, used float64) {
	low := g.known(f, warmth)
	high := low
	for _, p := range g.past {
		if p.at != 0 && now-p.at <= window {
			low, high = min(low, p.value), max(high, p.value)
		}
	}
	g.offset = used - min(max(used, low), high)
}

// Restarted forgets what reports told of a server before it began anew.
func (g *Gauge) Restarted() { g.offset, g.past = 0, [samples]sample{} }

// add is what one more connection of this load takes of the server. A group that is there already is not paid for
// again.
func (g *Gauge) add(f *Fleet, warmth, load float64, grouped bool) float64 {
	add := max(load, leastLoad)
	if !grouped {
		add += GroupCost * f.mean
	}
	return add / (g.Size * warmth)
}

// Fits tells whether the server can do one more connection of this load, whose class is worth this part (0 to 1) of
// the one that is worth most. While less than half is asked of the server it takes any: a connection that would
// fill a server by itself finds no better place by being refused.
func (g *Gauge) Fits(f *Fleet, warmth, load float64, grouped bool, worth float64) bool {
	full := leastFull + (mostFull-leastFull)*worth
	return g.Used(f, warmth)+min(g.add(f, warmth, load, grouped), full/2) <= full
}

// Appeal is how likely the server is to be picked for a connection of this load: the less, the more it takes of the
// server, and the more is asked of that already.
func (g *Gauge) Appeal(f *Fleet, warmth, load float64, grouped, away bool) float64 {
	add := g.add(f, warmth, load, grouped)
	cost := add * g.Size / max(load, f.mean, leastLoad) * (1 + math.Pow((g.Used(f, warmth)+add)/fullAt, steep))
	if away {
		cost *= awayTimes
	}
	return g.Size * math.Pow(cost, -choosy)
}

// Room is how much load the server could take on calmly.
func (g *Gauge) Room(f *Fleet, warmth float64) float64 {
	return max(calm-g.Used(f, warmth), 0) * g.Size * warmth
}

// Excess is how much of this balancer's load is to leave the server: of what is asked too much, the part that is
// its own.
func (g *Gauge) Excess(now monotime.Micros, f *Fleet, warmth float64) float64 {
	used := g.Used(f, warmth)
	if used < over || now-g.LeftAt < settle {
		return 0
	}
	return g.Own * (1 - calm/used)
}

// Item is a connection that may leave.
type Item struct {
	Group uint64 // 0 where it has none
	Load  float64
}

// Leaving names those of the connections whose leaving takes so much load off, and how much that is. What frees
// most for each that leaves goes first: the last few of a group, with which its cost goes, before the heavy ones of
// others.
func Leaving(f *Fleet, items []Item, want float64) (leave []int, load float64) {
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
		g.frees = (g.load + GroupCost*f.mean) / float64(len(g.items))
		slices.SortStableFunc(g.items, func(i, j int) int { return cmp.Compare(items[j].Load, items[i].Load) })
	}
	slices.SortStableFunc(groups, func(a, b *group) int { return cmp.Compare(b.frees, a.frees) })
	for _, g := range groups {
		whole := g.load <= want*overshoot
		for _, i := range g.items {
			if want > 0 && (whole || items[i].Load <= want*overshoot) {
				leave, load = append(leave, i), load+items[i].Load
				if !whole {
					want -= items[i].Load
				}
			}
		}
		if whole {
			want -= g.load + GroupCost*f.mean
		}
	}
	return leave, load
}

// Survey is the account from which load reports are asked for.
type Survey struct{ saved float64 }

// Earn adds a request's part, where one report a request costs fee of the worth.
func (s *Survey) Earn(fee float64) {
	if fee > 0 {
		s.saved += surveyPart / fee
	}
	s.saved = min(s.saved, surveyMost)
}

// Due tells whether to ask the server for a report now, and counts it as asked.
func (s *Survey) Due(now monotime.Micros, g *Gauge) bool {
	if s.saved < 1 || now-g.AskedAt < surveyGap {
		return false
	}
	s.saved--
	g.AskedAt = now
	return true
}
