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

// Millis is Unix time, or a span, in milliseconds.
type Millis int64

// ID tells tokens apart.
type ID [16]byte

// Reason says why a token is not honoured. Its word goes to clients and into logs.
type Reason uint8

// The reasons. Honoured is none.
const (
	Honoured    Reason = iota
	Malformed          // it is no token
	UnknownKey         // its key was withdrawn, or never known
	Forged             // its seal is broken
	Early              // minted later than now: the clocks disagree
	Expired            // its time is over
	OtherStream        // the first line asks for another class, key or group
	OtherTenant        // or comes from another tenant
	Ahead              // the cursor is beyond what the stream had delivered
	Elsewhere          // it names another server
	Gone               // the server that it names is not listed as ready, or has started again since
	Draining           // that server wants nothing new
	Taken              // another attempt with it is under way, or stands
	Spent              // it has been used
	Full               // there is no room to remember one more
	Gap                // the server's log no longer reaches back to the cursor
	Unreachable        // the server can't be connected to
	Unsure             // an attempt has ended so that it may have run, or may yet
	Unsupported        // the server does not know tokens
	reasons
)

var words = [reasons]string{
	"honoured", "malformed", "key", "forged", "early", "expired", "stream", "tenant", "ahead",
	"elsewhere", "gone", "draining", "taken", "spent", "full", "gap", "unreachable", "unsure", "unsupported",
}

// String is the reason's word.
func (r Reason) String() string { return words[r] }

// ReasonOf finds the reason of a word.
func ReasonOf(word []byte) (Reason, bool) {
	for i, w := range words {
		if w == string(word) && i != int(Honoured) {
			return Reason(i), true
		}
	}
	return Honoured, false
}

// Right is what a token that opened says, as far as it is decided on here.
type Right struct {
	ID      ID
	Minted  Millis
	Expires Millis
	Class   string // compared only
	Key     uint64
	Group   uint64
	Tenant  uint64
	Top     uint64 // the last message that was passed on when it was minted
	Server  string
	Started Millis // of the server that it names; 0: long ago
}

// Line is what the first line that presents a token asks.
type Line struct {
	Class              string
	Key, Group, Tenant uint64
	Cursor             uint64
}

// check holds what both sides look at, whoever keeps the claim.
func (r *Right) check(now, skew Millis, l *Line) Reason {
	switch {
	case r.Minted > now+skew:
		return Early
	case now >= r.Expires:
		return Expired
	case r.Tenant != l.Tenant:
		return OtherTenant
	case r.Class != l.Class || r.Key != l.Key || r.Group != l.Group:
		return OtherStream
	case l.Cursor > r.Top:
		return Ahead
	}
	return Honoured
}

// state is what is known of a token that was presented. One that is not in the table was never presented, or was
// released: it may be presented again.
type state uint8

const (
	presented state = iota // an attempt is under way
	live                   // it stands
	spent                  // it has stood, or may have
)

type claim struct {
	id      ID
	expires Millis
	state   state
	pos     int // in the heap
}

// claims remembers tokens until they expire. Its bound is max claims; at the bound it takes no new ones, and it never
// forgets one early.
type claims struct {
	max  int
	held map[ID]*claim
	ends byExpiry
	// The latest expiry of a forgotten claim. A token that expires no later counts as expired whatever the clock
	// says: a clock that stepped forward and back would otherwise let a forgotten token in again.
	horizon Millis
}

func newClaims(most int) claims { return claims{max: most, held: map[ID]*claim{}} }

// present takes a token, unless it is taken, spent or expired, or there is no room.
func (c *claims) present(now Millis, r *Right) Reason {
	c.forget(now)
	if r.Expires <= c.horizon {
		return Expired
	}
	if had := c.held[r.ID]; had != nil {
		if had.state == spent {
			return Spent
		}
		return Taken
	}
	if len(c.held) >= c.max {
		return Full
	}
	e := &claim{id: r.ID, expires: r.Expires}
	c.held[r.ID] = e
	heap.Push(&c.ends, e)
	return Honoured
}

// become notes how a token stands. One that was forgotten has expired, and needs no note.
func (c *claims) become(id ID, s state) {
	if e := c.held[id]; e != nil && e.state <= s {
		e.state = s
	}
}

// release makes a token as if it had never been presented.
func (c *claims) release(id ID) {
	if e := c.held[id]; e != nil && e.state == presented {
		heap.Remove(&c.ends, e.pos)
		delete(c.held, id)
	}
}

func (c *claims) forget(now Millis) {
	for len(c.ends) > 0 && c.ends[0].expires <= now {
		e := heap.Pop(&c.ends).(*claim)
		delete(c.held, e.id)
		c.horizon = max(c.horizon, e.expires)
	}
}

// count tells how many claims are held in each state.
func (c *claims) count() (n [3]int) {
	for _, e := range c.held {
		n[e.state]++
	}
	return n
}

type byExpiry []*claim

func (h byExpiry) Len() int           { return len(h) }
func (h byExpiry) Less(i, j int) bool { return h[i].expires < h[j].expires }
func (h byExpiry) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].pos, h[j].pos = i, j
}

func (h *byExpiry) Push(x any) {
	e := x.(*claim)
	e.pos = len(*h)
	*h = append(*h, e)
}

func (h *byExpiry) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}
