package hotrestart

import (
	"slices"

	"spurspread/decision/monotime"
)

const (
	// MaxPendingOffers is how many offers may be unanswered. Each holds two descriptors in both processes, which
	// share the limit of one balancer (at least 512): 64 are an eighth of that.
	MaxPendingOffers = 32
	// OfferPeriod is for how long connections are offered. A line that is being transmitted ends sooner, and what can't
	// be transferred by then still has most of the longest deadline left to be moved in.
	OfferPeriod = 500 * monotime.Millisecond
	// offerPeriodDivisor bounds the period by the longest deadline, of which it is at most half.
	offerPeriodDivisor = 2
)

// ConnectionState is what the predecessor knows of a connection that it might offer.
type ConnectionState struct {
	AtLineBoundary  bool // it is between two lines in both directions: the successor can't continue half a line
	NothingBuffered bool // no data waits for a reader in either direction: it would be lost
	OwnsSockets     bool // both its sockets are its own, rather than channels of shared ones
	PinnedToProcess bool // it has a token or is being moved, which this process must finish
}

// transferable decides whether a connection can be handed over as it is now.
func (s ConnectionState) transferable() bool {
	return s.AtLineBoundary && s.NothingBuffered && s.OwnsSockets && !s.PinnedToProcess
}

// Transfer is the predecessor's side of a hot restart. Its state is bounded by its established connections.
type Transfer struct {
	deadline monotime.Micros
	linked   bool            // the link to the successor is up
	draining bool            // what is left is being drained
	pending  map[uint32]bool // offers without an answer
	declined map[uint32]bool // offers that the successor has declined
}

// New starts to offer connections, for OfferPeriod or half of the longest deadline of any request, whichever is
// shorter.
func New(now, longestDeadline monotime.Micros) *Transfer {
	return &Transfer{
		deadline: now + min(OfferPeriod, longestDeadline/offerPeriodDivisor),
		linked:   true,
		pending:  map[uint32]bool{},
		declined: map[uint32]bool{},
	}
}

// Deadline returns until when connections are offered, and so the latest time to call DrainRemaining.
func (t *Transfer) Deadline() monotime.Micros { return t.deadline }

// CanOffer decides whether any connection can be offered now: the link is up, and fewer than MaxPendingOffers
// offers are pending.
func (t *Transfer) CanOffer() bool { return t.linked && len(t.pending) < MaxPendingOffers }

// Offer decides whether a connection is offered now, and if so counts it as pending: if CanOffer, its state allows it,
// and it is neither pending nor declined.
func (t *Transfer) Offer(id uint32, state ConnectionState) bool {
	if !t.CanOffer() || t.pending[id] || t.declined[id] || !state.transferable() {
		return false
	}
	t.pending[id] = true
	return true
}

// CancelOffer withdraws an offer that could not be sent. The connection may be offered again.
func (t *Transfer) CancelOffer(id uint32) { delete(t.pending, id) }

// Answered records the successor's answer to an offer. It returns false if there is no such offer: the successor is
// confused, and the link must be closed.
func (t *Transfer) Answered(id uint32, accepted bool) bool {
	if !t.pending[id] {
		return false
	}
	delete(t.pending, id)
	t.declined[id] = !accepted
	return true
}

// LinkClosed records the end of the link. It returns, in order, the connections whose offers were pending: they
// stay the predecessor's. Nothing is offered any more.
func (t *Transfer) LinkClosed() (returned []uint32) {
	t.linked = false
	for id := range t.pending {
		returned = append(returned, id)
	}
	slices.Sort(returned)
	clear(t.pending)
	return returned
}

// DrainRemaining decides whether to start draining the connections that are left: once, when Deadline has passed or the
// link has closed. closeLink says that offers are still pending: the link must be closed, so that those connections
// return.
func (t *Transfer) DrainRemaining(now monotime.Micros) (drain, closeLink bool) {
	offering := t.linked && now < t.deadline
	if t.draining || offering {
		return false, false
	}
	t.draining = true
	return true, len(t.pending) > 0
}

// Draining reports that connections are being drained: one that returns later must be moved at once.
func (t *Transfer) Draining() bool { return t.draining }
