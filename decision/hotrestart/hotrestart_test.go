package hotrestart

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"spurspread/decision/monotime"
)

func transferableState() ConnectionState {
	return ConnectionState{AtLineBoundary: true, NothingBuffered: true, OwnsSockets: true}
}

// transferModel is the expected state of a transfer.
type transferModel struct {
	transfer    *Transfer
	now         monotime.Micros
	deadline    monotime.Micros
	pending     map[uint32]bool
	transferred map[uint32]bool // connections that the successor owns
	declined    map[uint32]bool
	linked      bool
	draining    bool
}

func newTransferModel(longestDeadline monotime.Micros) *transferModel {
	return &transferModel{
		transfer:    New(0, longestDeadline),
		deadline:    min(OfferPeriod, longestDeadline/2),
		pending:     map[uint32]bool{},
		transferred: map[uint32]bool{},
		declined:    map[uint32]bool{},
		linked:      true,
	}
}

// drawID draws one of a few connections, so that several events happen to each.
func drawID(t *rapid.T) uint32 { return uint32(rapid.IntRange(0, 5).Draw(t, "id")) }

func (m *transferModel) offer(t *rapid.T, id uint32, state ConnectionState) {
	if m.transferred[id] {
		return // the successor owns it
	}
	free := !m.pending[id] && !m.declined[id]
	want := m.linked && state == transferableState() && free && len(m.pending) < MaxPendingOffers
	if got := m.transfer.Offer(id, state); got != want {
		t.Fatalf("connection %d offered: %v, want %v", id, got, want)
	}
	if want {
		m.pending[id] = true
	}
}

func (m *transferModel) offerOne(t *rapid.T) {
	state := transferableState()
	if rapid.IntRange(0, 4).Draw(t, "pinned") == 0 {
		state.AtLineBoundary = rapid.Bool().Draw(t, "at a line boundary")
		state.PinnedToProcess = true
	}
	m.offer(t, drawID(t), state)
}

func (m *transferModel) offerMany(t *rapid.T) {
	for id := range uint32(2 * MaxPendingOffers) {
		m.offer(t, id, transferableState())
	}
}

func (m *transferModel) cancel(t *rapid.T) {
	id := drawID(t)
	m.transfer.CancelOffer(id)
	delete(m.pending, id)
}

func (m *transferModel) answer(t *rapid.T) {
	id, accepted := drawID(t), rapid.Bool().Draw(t, "accepted")
	if got := m.transfer.Answered(id, accepted); got != m.pending[id] {
		t.Fatalf("Answered(%d, %v) = %v, want %v", id, accepted, got, m.pending[id])
	}
	if m.pending[id] {
		delete(m.pending, id)
		m.transferred[id] = accepted
		m.declined[id] = !accepted
	}
}

func (m *transferModel) closeLink(t *rapid.T) {
	returned := m.transfer.LinkClosed()
	m.linked = false
	if len(returned) != len(m.pending) || !slices.IsSorted(returned) {
		t.Fatalf("connections %v returned, want the pending ones %v, sorted", returned, m.pending)
	}
	for _, id := range returned {
		if !m.pending[id] || m.transferred[id] {
			t.Fatalf("connection %d returned, which was not pending or is transferred", id)
		}
		m.declined[id] = true
	}
	clear(m.pending)
}

func (m *transferModel) wait(t *rapid.T) {
	m.now += monotime.Micros(rapid.Int64Range(0, int64(OfferPeriod)).Draw(t, "wait"))
}

func (m *transferModel) drainRemaining(t *rapid.T) {
	drain, closeLink := m.transfer.DrainRemaining(m.now)
	want := !m.draining && (!m.linked || m.now >= m.deadline)
	if drain != want || closeLink != (want && len(m.pending) > 0) {
		t.Fatalf("at %d us: drain %v, close the link %v; want drain %v, and the link closed only with offers pending",
			m.now, drain, closeLink, want)
	}
	m.draining = m.draining || drain
	if m.transfer.Draining() != m.draining {
		t.Fatalf("Draining() = %v, want %v", m.transfer.Draining(), m.draining)
	}
}

// Whatever events come in whatever order, each connection has one owner, few offers are pending at once, and draining
// starts once.
func TestOneOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newTransferModel(monotime.Micros(rapid.Int64Range(0, 3_000_000).Draw(t, "longest deadline")))
		t.Repeat(map[string]func(*rapid.T){
			"offer":      m.offerOne,
			"offer many": m.offerMany,
			"cancel":     m.cancel,
			"answer":     m.answer,
			"close link": m.closeLink,
			"wait":       m.wait,
			"drain rest": m.drainRemaining,
		})
	})
}

// Each of these reasons alone prevents a connection from being offered.
func TestNotTransferable(t *testing.T) {
	for name, change := range map[string]func(*ConnectionState){
		"in the middle of a line": func(s *ConnectionState) { s.AtLineBoundary = false },
		"buffered":                func(s *ConnectionState) { s.NothingBuffered = false },
		"uses a channel":          func(s *ConnectionState) { s.OwnsSockets = false },
		"pinned":                  func(s *ConnectionState) { s.PinnedToProcess = true },
	} {
		s := transferableState()
		if change(&s); New(0, OfferPeriod).Offer(1, s) {
			t.Errorf("%s: offered, want no offer", name)
		}
	}
}

// Each of these reasons alone prevents an offer from being accepted.
func TestNotAccepted(t *testing.T) {
	good := OfferedConnection{Sockets: 2, ServerListed: true, IDUnused: true}
	if !AcceptTransfer(good) {
		t.Error("good offer not accepted")
	}
	for name, change := range map[string]func(*OfferedConnection){
		"one socket":      func(c *OfferedConnection) { c.Sockets = 1 },
		"three sockets":   func(c *OfferedConnection) { c.Sockets = 3 },
		"unknown server":  func(c *OfferedConnection) { c.ServerListed = false },
		"id seen before":  func(c *OfferedConnection) { c.IDUnused = false },
		"draining":        func(c *OfferedConnection) { c.Draining = true },
		"few descriptors": func(c *OfferedConnection) { c.DescriptorsShort = true },
	} {
		c := good
		if change(&c); AcceptTransfer(c) {
			t.Errorf("%s: accepted, want a rejection", name)
		}
	}
}
