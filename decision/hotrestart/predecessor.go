package hotrestart

import (
	"slices"

	"spurspread/decision/monotime"
)

const (
	// MaxPendingOffers is the largest number of unanswered offers. Each offer holds two descriptors in each of the two
	// processes. Together these have the descriptor limit of one balancer, at least 512; the 64 descriptors of 32
	// offers in one process are an eighth of that.
	MaxPendingOffers = 32
	// OfferPeriod is the time for which connections are offered. A line in transmission ends sooner than that, and
	// connections that can't be transferred by then still have most of the longest deadline left in which to be moved.
	OfferPeriod = 500 * monotime.Millisecond
	// offerPeriodDivisor bounds the period by a fraction of the longest deadline: at most half of it.
	offerPeriodDivisor = 2
)

// ConnectionState is the predecessor's knowledge of a connection, which decides whether it is offered.
type ConnectionState struct {
	AtLineBoundary  bool // both directions are between two lines; the successor can't continue half a line
	NothingBuffered bool // no data is buffered in either direction; it would be lost
	OwnsSockets     bool // it has two sockets of its own, rather than channels of shared connections
	PinnedToProcess bool // it has a token or is being moved, which this process must finish
}

// transferable reports whether a connection can be transferred in its present state.
func (s ConnectionState) transferable() bool {
	return s.AtLineBoundary && s.NothingBuffered && s.OwnsSockets && !s.PinnedToProcess
}

// Transfer is the predecessor's side of a hot restart. Its state is bounded by its established connections.
type Transfer struct {
	deadline monotime.Micros
	linked   bool            // the link to the successor is up
	draining bool            // the remaining connections are being drained
	pending  map[uint32]bool // connections with an unanswered offer
	declined map[uint32]bool // connections that the successor has declined
}

// New returns a transfer that offers connections from now on, for OfferPeriod or half of the longest deadline of any
// request, whichever is shorter.
func New(now, longestDeadline monotime.Micros) *Transfer {
	return &Transfer{
		deadline: now + min(OfferPeriod, longestDeadline/offerPeriodDivisor),
		linked:   true,
		pending:  map[uint32]bool{},
		declined: map[uint32]bool{},
	}
}

// Deadline returns the time until which connections are offered, which is also the latest time to call DrainRemaining.
func (t *Transfer) Deadline() monotime.Micros { return t.deadline }

// CanOffer reports whether any connection can be offered now: the link is up, and fewer than MaxPendingOffers offers
// are pending.
func (t *Transfer) CanOffer() bool { return t.linked && len(t.pending) < MaxPendingOffers }

// Offer reports whether a connection is to be offered now, and if so records the offer as pending: CanOffer is true,
// the state of the connection allows it, and the connection is neither pending nor declined.
func (t *Transfer) Offer(id uint32, state ConnectionState) bool {
	if !t.CanOffer() || t.pending[id] || t.declined[id] || !state.transferable() {
		return false
	}
	t.pending[id] = true
	return true
}

// CancelOffer withdraws an offer that could not be sent. The connection may be offered again.
func (t *Transfer) CancelOffer(id uint32) { delete(t.pending, id) }

// Answered records the successor's answer to an offer. It returns false if no such offer is pending: the successor
// violates the protocol, and the link must be closed.
func (t *Transfer) Answered(id uint32, accepted bool) bool {
	if !t.pending[id] {
		return false
	}
	delete(t.pending, id)
	t.declined[id] = !accepted
	return true
}

// LinkClosed records the end of the link. It returns, in ascending order, the connections whose offers were pending,
// which the predecessor keeps. Nothing is offered any more.
func (t *Transfer) LinkClosed() (returned []uint32) {
	t.linked = false
	for id := range t.pending {
		returned = append(returned, id)
	}
	slices.Sort(returned)
	clear(t.pending)
	return returned
}

// DrainRemaining reports whether to start draining the remaining connections: once, after Deadline or after the link
// has closed. closeLink says that offers are still pending: the caller must close the link, so that those connections
// return.
func (t *Transfer) DrainRemaining(now monotime.Micros) (drain, closeLink bool) {
	offering := t.linked && now < t.deadline
	if t.draining || offering {
		return false, false
	}
	t.draining = true
	return true, len(t.pending) > 0
}

// Draining reports whether connections are being drained. A connection that returns after that must be moved at once.
func (t *Transfer) Draining() bool { return t.draining }
