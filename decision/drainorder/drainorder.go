// Package drainorder decides in which order and when the connections on a draining server are moved away, so that all
// have moved in time and no two moves fall together that need not. It has no clock and no sockets.
//
// The invariant: every connection that an order covers falls due once, within the span of that order; an order that is
// withdrawn brings no more.
package drainorder

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"spurspread/decision/monotime"
)

// Micros is a point in time or a span, in microseconds.
type Micros = monotime.Micros

// Connection is one connection that stands on the server.
type Connection struct {
	ID    uint32
	Group uint64 // members of one group go one after another, for their server of the next is likely to be the same
}

// Plan holds the orders under way. Its state is bounded by the connections that stand.
type Plan struct {
	rng    *rand.Rand
	drains map[uint32]*drain // by server
}

type drain struct {
	startedAt, duration Micros
	queue               []move // by time
}

type move struct {
	id  uint32
	due Micros
}

// New returns a plan without orders. Balancers that drain one server at one moment have different seeds, so that
// their moves fall between one another's.
func New(seed uint64) *Plan {
	return &Plan{rng: rand.New(rand.NewPCG(seed, 0x65766163)), drains: map[uint32]*drain{}}
}

// StartDrain has all that stands on a server moved within span, evenly. An order for a server that has one changes nothing.
func (p *Plan) StartDrain(now Micros, server uint32, standing []Connection, span Micros) {
	if p.drains[server] != nil {
		return
	}
	o := &drain{startedAt: now, duration: span}
	p.drains[server] = o
	streams := slices.Clone(standing)
	slices.SortStableFunc(streams, func(a, b Connection) int { return cmp.Compare(a.Group, b.Group) })
	phase := p.rng.Float64()
	for i, s := range streams {
		at := now + Micros(float64(span)*(float64(i)+phase)/float64(len(streams)))
		o.queue = append(o.queue, move{s.ID, at})
	}
}

// AddConnection adds a connection that has come to stand on a server after its order: an attempt that was under way when the
// order came. It tells whether there is an order at all.
func (p *Plan) AddConnection(now Micros, server uint32, id uint32) bool {
	o := p.drains[server]
	if o == nil {
		return false
	}
	end := o.startedAt + o.duration
	at := max(now, now+Micros(p.rng.Float64()*float64(end-now)))
	i, _ := slices.BinarySearchFunc(o.queue, at, func(m move, at Micros) int { return cmp.Compare(m.due, at+1) })
	o.queue = slices.Insert(o.queue, i, move{id, at})
	return true
}

// CancelDrain ends a server's order: it is listed as ready again, or gone with all that stood there.
func (p *Plan) CancelDrain(server uint32) { delete(p.drains, server) }

// Due appends the connections that are to be moved by now to out, and tells when the next falls due; next is below 0
// where none is left. Some of them may have ended meanwhile.
func (p *Plan) Due(now Micros, out []uint32) (due []uint32, next Micros) {
	next = -1
	servers := make([]uint32, 0, len(p.drains))
	for s := range p.drains {
		servers = append(servers, s)
	}
	slices.Sort(servers) // the same events give the same actions
	for _, s := range servers {
		o := p.drains[s]
		n := 0
		for n < len(o.queue) && o.queue[n].due <= now {
			out = append(out, o.queue[n].id)
			n++
		}
		o.queue = o.queue[n:]
		if len(o.queue) > 0 && (next < 0 || o.queue[0].due < next) {
			next = o.queue[0].due
		}
	}
	return out, next
}
