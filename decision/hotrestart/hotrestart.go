// Package hotrestart decides, when a new process takes the place of an old one, which of the standing connections
// are transferred to it, whose each of them is after every answer, and when what is left is to be moved instead. It
// has no clock and no sockets, and knows connections by their numbers only.
//
// The invariant: a connection is the old process's until the successor has said yes to it, and never again after
// that; at most Window are offered at once.
package hotrestart

import (
	"slices"
	"spurspread/decision/monotime"
)

// Micros is a point in time or a span, in microseconds.
type Micros = monotime.Micros

const (
	// Window is how many connections are offered at once. Each has its two descriptors in both processes meanwhile, and
	// both processes together have one balancer's descriptors: 64 are an eighth of the least that a machine may have.
	Window = 32
	// Span is how long connections are offered. A line under way ends sooner, and what can't pass by then still has
	// most of the longest deadline to be moved in.
	Span Micros = 500_000
)

// Look is what the old process sees of a connection when it might offer it.
type Look struct {
	Between bool // it stands between two lines, in both directions: the successor can't know the half of one
	Clear   bool // nothing is kept back for a reader, in both directions: that would be lost
	Own     bool // both its sockets are its own, and not channels of shared ones
	Bound   bool // it is bound to this process: it has a token, or is being moved
}

// Plan is the old process's side. Its state is bounded by the connections that stand.
type Plan struct {
	until   Micros
	linked  bool
	moving  bool
	offered map[uint32]bool
	refused map[uint32]bool
}

// New begins to offer, for Span or half of the longest deadline.
func New(now, longest Micros) *Plan {
	return &Plan{
		until:   now + min(Span, longest/2),
		linked:  true,
		offered: map[uint32]bool{},
		refused: map[uint32]bool{},
	}
}

// Until is when Rest has something to say at the latest.
func (p *Plan) Until() Micros { return p.until }

// Room tells whether there is any use in looking at a connection now.
func (p *Plan) Room() bool { return p.linked && len(p.offered) < Window }

// Offer tells whether a connection is to be offered now, and counts it as offered. What the successor refused once
// is not offered again.
func (p *Plan) Offer(id uint32, l Look) bool {
	if !p.Room() || p.offered[id] || p.refused[id] || !l.Between || !l.Clear || !l.Own || l.Bound {
		return false
	}
	p.offered[id] = true
	return true
}

// Unsent takes an offer back that could not be sent; it may come again.
func (p *Plan) Unsent(id uint32) { delete(p.offered, id) }

// Answer takes the successor's answer to one offer. False: there is no such offer, and the link is to be cut.
func (p *Plan) Answer(id uint32, taken bool) bool {
	if !p.offered[id] {
		return false
	}
	delete(p.offered, id)
	p.refused[id] = !taken
	return true
}

// Ended tells that the link has ended. What had no yes is the old process's, and nothing is offered any more.
func (p *Plan) Ended() (back []uint32) {
	p.linked = false
	for id := range p.offered {
		back = append(back, id)
	}
	slices.Sort(back)
	clear(p.offered)
	return back
}

// Rest tells whether what stands is to be moved from now on, once: when the time is up, or the link has ended. cut
// tells that offers are still unanswered: the link is to be cut, so that they come back.
func (p *Plan) Rest(now Micros) (move, cut bool) {
	if p.moving || p.linked && now < p.until {
		return false, false
	}
	p.moving = true
	return true, len(p.offered) > 0
}

// Moving tells that what comes back is to be moved at once: the others are being moved already.
func (p *Plan) Moving() bool { return p.moving }

// Arrival is what the successor sees of an offer that it could read.
type Arrival struct {
	Sockets  int  // that came with it
	Known    bool // its server is in the successor's list
	New      bool // no request of this id has been seen
	Leaving  bool // the successor itself drains
	Shortage bool // descriptors run short
}

// Take is the successor's decision.
func Take(a Arrival) bool { return a.Sockets == 2 && a.Known && a.New && !a.Leaving && !a.Shortage }
