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

// Stream is one connection that stands on the server.
type Stream struct {
	ID    uint32
	Group uint64 // members of one group go one after another, for their server of the next is likely to be the same
}

// Plan holds the orders under way. Its state is bounded by the connections that stand.
type Plan struct {
	rng    *rand.Rand
	orders map[uint32]*order // by server
}

type order struct {
	began, span Micros
	queue       []move // by time
}

type move struct {
	id  uint32
	due Micros
}

// New returns a plan without orders. Balancers that drain one server at one moment have different seeds, so that
// their moves fall between one another's.
func New(seed uint64) *Plan {
	return &Plan{rng: rand.New(rand.NewPCG(seed, 0x65766163)), orders: map[uint32]*order{}}
}

// Order has all that stands on a server moved within span, evenly. An order for a server that has one changes nothing.
func (p *Plan) Order(now Micros, server uint32, standing []Stream, span Micros) {
	if p.orders[server] != nil {
		return
	}
	o := &order{began: now, span: span}
	p.orders[server] = o
	streams := slices.Clone(standing)
	slices.SortStableFunc(streams, func(a, b Stream) int { return cmp.Compare(a.Group, b.Group) })
	phase := p.rng.Float64()
	for i, s := range streams {
		at := now + Micros(float64(span)*(float64(i)+phase)/float64(len(streams)))
		o.queue = append(o.queue, move{s.ID, at})
	}
}

// Join adds a connection that has come to stand on a server after its order: an attempt that was under way when the
// order came. It tells whether there is an order at all.
func (p *Plan) Join(now Micros, server uint32, id uint32) bool {
	o := p.orders[server]
	if o == nil {
		return false
	}
	end := o.began + o.span
	at := max(now, now+Micros(p.rng.Float64()*float64(end-now)))
	i, _ := slices.BinarySearchFunc(o.queue, at, func(m move, at Micros) int { return cmp.Compare(m.due, at+1) })
	o.queue = slices.Insert(o.queue, i, move{id, at})
	return true
}

// Withdraw ends a server's order: it is listed as ready again, or gone with all that stood there.
func (p *Plan) Withdraw(server uint32) { delete(p.orders, server) }

// Due appends the connections that are to be moved by now to out, and tells when the next falls due; next is below 0
// where none is left. Some of them may have ended meanwhile.
func (p *Plan) Due(now Micros, out []uint32) (due []uint32, next Micros) {
	next = -1
	servers := make([]uint32, 0, len(p.orders))
	for s := range p.orders {
		servers = append(servers, s)
	}
	slices.Sort(servers) // the same events give the same actions
	for _, s := range servers {
		o := p.orders[s]
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
