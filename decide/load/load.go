// Package load estimates how much of what a server can do is asked of it, from what is told: the loads of connections
// and hints of them, the size and the crowd behind a weight that falls with use, and load reports. From that it says how
// well one more connection would go there, and when a report is worth its price. It knows no sockets, no clock and no
// rules, and does not decide who is sent where. Loads are cores, times microseconds.
package load

import "math"

const (
	sec = 1_000_000

	// GroupCost is how many mean connection loads a server is taken to pay for each group that it holds any of: no
	// setting tells it, and operators told 1.5 and 3.
	GroupCost = 3.0
	// A report is refreshed once or twice a second and arrives late: it shows what was asked about so long ago.
	lag       = 1200 * sec / 1000
	samples   = 16
	sampleGap = 200 * sec / 1000

	meanMemory = 300   // loads that the mean goes by
	leastLoad  = 0.001 // what nothing is known of takes something all the same

	// Messages begin to wait well before all is asked for, since loads swing: one more connection is twice as dear at
	// fullAt as on an idle server, and dearer by that power beyond.
	fullAt = 0.4
	steep  = 6.0
	// How strongly cost tells against a server. One that has the group takes 1 load where another takes 1 + GroupCost;
	// at the third power that is 64 times as likely, so groups come together until the server is well used.
	choosy = 3.0
	// A crossing of zones is put at as much as tripling what a connection takes.
	awayTimes = 3.0

	// Reports are asked for as far as they cost this much of the worth of the requests: the fleet's sum follows its
	// requests, however many balancers ask.
	surveyPart = 0.006
	surveyMost = 3.0 // saved up
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
	f.mean += (load - f.mean) / f.seen
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
	at    int64
	value float64
}

// Gauge is what one server carries.
type Gauge struct {
	Size    float64 // cores, where loads are told
	Own     float64 // load of this balancer's connections and attempts
	Conns   int     // how many they are
	Groups  int     // and of how many groups
	Others  float64 // connections of other balancers
	AskedAt int64   // when a report was last asked for

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
func (g *Gauge) Look(now int64, f *Fleet, warmth float64) {
	if now-g.past[(g.next+samples-1)%samples].at >= sampleGap {
		g.past[g.next] = sample{now, g.known(f, warmth)}
		g.next = (g.next + 1) % samples
	}
}

// Read takes a report of what is asked of the server over what it can do.
func (g *Gauge) Read(now int64, f *Fleet, warmth, used float64) {
	was, off := g.known(f, warmth), int64(lag)
	for _, p := range g.past {
		if d := max(now-lag-p.at, p.at-now+lag); p.at != 0 && d < off {
			was, off = p.value, d
		}
	}
	g.offset = used - was
}

// Restarted forgets what reports told of a server before it began anew.
func (g *Gauge) Restarted() { g.offset, g.past = 0, [samples]sample{} }

// Appeal is how likely the server is to be picked for a connection of this load: the less, the more it takes of the
// server, and the more is asked of that already. A group that is there already is not paid for again.
func (g *Gauge) Appeal(f *Fleet, warmth, load float64, grouped, away bool) float64 {
	add := max(load, leastLoad)
	if !grouped {
		add += GroupCost * f.mean
	}
	after := g.Used(f, warmth) + add/(g.Size*warmth)
	cost := add / max(load, f.mean, leastLoad) / warmth * (1 + math.Pow(after/fullAt, steep))
	if away {
		cost *= awayTimes
	}
	return g.Size * math.Pow(cost, -choosy)
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
func (s *Survey) Due(now int64, g *Gauge) bool {
	if s.saved < 1 || now-g.AskedAt < surveyGap {
		return false
	}
	s.saved--
	g.AskedAt = now
	return true
}
