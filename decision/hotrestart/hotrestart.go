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
	// MaxPendingOffers is how many connections are offered at once. Each has its two descriptors in both processes meanwhile, and
	// both processes together have one balancer's descriptors: 64 are an eighth of the least that a machine may have.
	MaxPendingOffers = 32
	// OfferPeriod is how long connections are offered. A line under way ends sooner, and what can't pass by then still has
	// most of the longest deadline to be moved in.
	OfferPeriod Micros = 500_000
)

// ConnectionState is what the old process sees of a connection when it might offer it.
type ConnectionState struct {
	AtLineBoundary  bool // it stands between two lines, in both directions: the successor can't know the half of one
	NothingBuffered bool // nothing is kept back for a reader, in both directions: that would be lost
	OwnsSockets     bool // both its sockets are its own, and not channels of shared ones
	PinnedToProcess bool // it is bound to this process: it has a token, or is being moved
}

// Transfer is the old process's side. Its state is bounded by the connections that stand.
type Transfer struct {
	deadline Micros
	linked   bool
	draining bool
	pending  map[uint32]bool
	declined map[uint32]bool
}

// New begins to offer, for Span or half of the longest deadline.
func New(now, longest Micros) *Transfer {
	return &Transfer{
		deadline: now + min(OfferPeriod, longest/2),
		linked:   true,
		pending:  map[uint32]bool{},
		declined: map[uint32]bool{},
	}
}

// Deadline is when Rest has something to say at the latest.
func (p *Transfer) Deadline() Micros { return p.deadline }

// CanOffer tells whether there is any use in looking at a connection now.
func (p *Transfer) CanOffer() bool { return p.linked && len(p.pending) < MaxPendingOffers }

// Offer tells whether a connection is to be offered now, and counts it as offered. What the successor refused once
// is not offered again.
func (p *Transfer) Offer(id uint32, l ConnectionState) bool {
	if !p.CanOffer() || p.pending[id] || p.declined[id] || !l.AtLineBoundary || !l.NothingBuffered ||
		!l.OwnsSockets ||
		l.PinnedToProcess {
		return false
	}
	p.pending[id] = true
	return true
}

// CancelOffer takes an offer back that could not be sent; it may come again.
func (p *Transfer) CancelOffer(id uint32) { delete(p.pending, id) }

// Answered takes the successor's answer to one offer. False: there is no such offer, and the link is to be cut.
func (p *Transfer) Answered(id uint32, taken bool) bool {
	if !p.pending[id] {
		return false
	}
	delete(p.pending, id)
	p.declined[id] = !taken
	return true
}

// LinkClosed tells that the link has ended. What had no yes is the old process's, and nothing is offered any more.
func (p *Transfer) LinkClosed() (back []uint32) {
	p.linked = false
	for id := range p.pending {
		back = append(back, id)
	}
	slices.Sort(back)
	clear(p.pending)
	return back
}

// DrainRest tells whether what stands is to be moved from now on, once: when the time is up, or the link has ended. cut
// tells that offers are still unanswered: the link is to be cut, so that they come back.
func (p *Transfer) DrainRest(now Micros) (move, cut bool) {
	if p.draining || p.linked && now < p.deadline {
		return false, false
	}
	p.draining = true
	return true, len(p.pending) > 0
}

// Draining tells that what comes back is to be moved at once: the others are being moved already.
func (p *Transfer) Draining() bool { return p.draining }

// OfferedConnection is what the successor sees of an offer that it could read.
type OfferedConnection struct {
	Sockets          int  // that came with it
	ServerListed     bool // its server is in the successor's list
	IDUnused         bool // no request of this id has been seen
	Draining         bool // the successor itself drains
	DescriptorsShort bool // descriptors run short
}

// AcceptTransfer is the successor's decision.
func AcceptTransfer(a OfferedConnection) bool {
	return a.Sockets == 2 && a.ServerListed && a.IDUnused && !a.Draining && !a.DescriptorsShort
}
