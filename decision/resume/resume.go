// Package resume decides what becomes of resume tokens: whether one that is presented may be honoured, what an end of
// an attempt makes of it, and what a client whose token can't be honoured is told. It has no clock, sockets or keys:
// what a token says, and the time, are arguments.
//
// The invariant: of one token at most one attempt is ever live, anywhere, at any instant. It rests on one party alone,
// the server that the token names, in the very start that the token names: that server keeps the claim, and serves the
// stream, in one process, so that claim and stream live and die together. Whatever is not certain (the server has
// started again, its clock has stepped, its table is full, an attempt may yet run) refuses the token, and the client
// starts over without it. Keeper is that server's part. Gate is a balancer's: it spares the server what is surely
// refused, and knows what to tell the client; forgetting all that a gate knows never breaks the invariant.
package resume

import "container/heap"

// UnixMillis is Unix time, or a span, in milliseconds.
type UnixMillis int64

// ID tells tokens apart.
type ID [16]byte

// Reason says why a token is not honoured. Its word goes to clients and into logs.
type Reason uint8

// The reasons. Honoured is none.
const (
	Accepted       Reason = iota
	Malformed             // it is no token
	UnknownKey            // its key was withdrawn, or never known
	Forged                // its seal is broken
	NotYetValid           // minted later than now: the clocks disagree
	Expired               // its time is over
	StreamMismatch        // the first line asks for another class, key or group
	TenantMismatch        // or comes from another tenant
	CursorAhead           // the cursor is beyond what the stream had delivered
	WrongServer           // it names another server
	ServerGone            // the server that it names is not listed as ready, or has started again since
	ServerDraining        // that server wants nothing new
	InUse                 // another attempt with it is under way, or stands
	AlreadyUsed           // it has been used
	TableFull             // there is no room to remember one more
	LogGap                // the server's log no longer reaches back to the cursor
	Unreachable           // the server can't be connected to
	OutcomeUnknown        // an attempt has ended so that it may have run, or may yet
	Unsupported           // the server does not know tokens
	reasonCount
)

var reasonWords = [reasonCount]string{
	"honoured", "malformed", "key", "forged", "early", "expired", "stream", "tenant", "ahead",
	"elsewhere", "gone", "draining", "taken", "spent", "full", "gap", "unreachable", "unsure", "unsupported",
}

// String is the reason's word.
func (r Reason) String() string { return reasonWords[r] }

// ParseReason finds the reason of a word.
func ParseReason(word []byte) (Reason, bool) {
	for i, w := range reasonWords {
		if w == string(word) && i != int(Accepted) {
			return Reason(i), true
		}
	}
	return Accepted, false
}

// Grant is what a token that opened says, as far as it is decided on here.
type Grant struct {
	ID              ID
	IssuedAt        UnixMillis
	ExpiresAt       UnixMillis
	Class           string // compared only
	Key             uint64
	Group           uint64
	Tenant          uint64
	LastDelivered   uint64 // the last message that was passed on when it was minted
	Server          string
	ServerStartedAt UnixMillis // of the server that it names; 0: long ago
}

// StreamRequest is what the first line that presents a token asks.
type StreamRequest struct {
	Class              string
	Key, Group, Tenant uint64
	Cursor             uint64
}

// checkRequest holds what both sides look at, whoever keeps the claim.
func (r *Grant) checkRequest(now, skew UnixMillis, l *StreamRequest) Reason {
	switch {
	case r.IssuedAt > now+skew:
		return NotYetValid
	case now >= r.ExpiresAt:
		return Expired
	case r.Tenant != l.Tenant:
		return TenantMismatch
	case r.Class != l.Class || r.Key != l.Key || r.Group != l.Group:
		return StreamMismatch
	case l.Cursor > r.LastDelivered:
		return CursorAhead
	}
	return Accepted
}

// claimState is what is known of a token that was presented. One that is not in the table was never presented, or was
// released: it may be presented again.
type claimState uint8

const (
	statePending claimState = iota // an attempt is under way
	stateLive                      // it stands
	stateUsed                      // it has stood, or may have
)

type claim struct {
	id        ID
	expires   UnixMillis
	state     claimState
	heapIndex int // in the heap
}

// claimTable remembers tokens until they expire. Its bound is max claims; at the bound it takes no new ones, and it never
// forgets one early.
type claimTable struct {
	limit    int
	byID     map[ID]*claim
	expiries expiryHeap
	// The latest expiry of a forgotten claim. A token that expires no later counts as expired whatever the clock
	// says: a clock that stepped forward and back would otherwise let a forgotten token in again.
	expiredThrough UnixMillis
}

func newClaimTable(most int) claimTable { return claimTable{limit: most, byID: map[ID]*claim{}} }

// claim takes a token, unless it is taken, spent or expired, or there is no room.
func (c *claimTable) claim(now UnixMillis, r *Grant) Reason {
	c.dropExpired(now)
	if r.ExpiresAt <= c.expiredThrough {
		return Expired
	}
	if had := c.byID[r.ID]; had != nil {
		if had.state == stateUsed {
			return AlreadyUsed
		}
		return InUse
	}
	if len(c.byID) >= c.limit {
		return TableFull
	}
	e := &claim{id: r.ID, expires: r.ExpiresAt}
	c.byID[r.ID] = e
	heap.Push(&c.expiries, e)
	return Accepted
}

// advance notes how a token stands. One that was forgotten has expired, and needs no note.
func (c *claimTable) advance(id ID, s claimState) {
	if e := c.byID[id]; e != nil && e.state <= s {
		e.state = s
	}
}

// release makes a token as if it had never been presented.
func (c *claimTable) release(id ID) {
	if e := c.byID[id]; e != nil && e.state == statePending {
		heap.Remove(&c.expiries, e.heapIndex)
		delete(c.byID, id)
	}
}

func (c *claimTable) dropExpired(now UnixMillis) {
	for len(c.expiries) > 0 && c.expiries[0].expires <= now {
		e := heap.Pop(&c.expiries).(*claim)
		delete(c.byID, e.id)
		c.expiredThrough = max(c.expiredThrough, e.expires)
	}
}

// counts tells how many claims are held in each state.
func (c *claimTable) counts() (n [3]int) {
	for _, e := range c.byID {
		n[e.state]++
	}
	return n
}

type expiryHeap []*claim

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expires < h[j].expires }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *expiryHeap) Push(x any) {
	e := x.(*claim)
	e.heapIndex = len(*h)
	*h = append(*h, e)
}

func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}
