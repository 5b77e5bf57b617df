package resume

import "container/heap"

// claimState is how far a token that was presented has got. One that is not in the table was never presented, or was
// released: it may be presented again. States only advance.
type claimState uint8

const (
	statePending claimState = iota // an attempt is under way
	stateLive                      // an attempt is established
	stateUsed                      // an attempt was established, or may have been
	claimStates
)

// claim is one token that was presented.
type claim struct {
	id        ID
	expires   UnixMillis
	state     claimState
	heapIndex int
}

// claimTable remembers tokens that were presented until they expire. It is bounded by limit: a full table takes no new
// ones, and never forgets one early.
type claimTable struct {
	limit    int
	byID     map[ID]*claim
	expiries expiryHeap
	// expiredThrough is the latest expiry of any claim that was forgotten. A token that expires no later counts as
	// expired whatever the clock says: a clock that steps forward and back would let a forgotten one in again.
	expiredThrough UnixMillis
}

func newClaimTable(limit int) claimTable { return claimTable{limit: limit, byID: map[ID]*claim{}} }

// claim decides whether a token may be used now, and if so adds it: not if it has expired, is known already, or the
// table is full.
func (t *claimTable) claim(now UnixMillis, grant *Grant) Reason {
	t.dropExpired(now)
	if grant.ExpiresAt <= t.expiredThrough {
		return Expired
	}
	if known := t.byID[grant.ID]; known != nil {
		if known.state == stateUsed {
			return AlreadyUsed
		}
		return InUse
	}
	if len(t.byID) >= t.limit {
		return TableFull
	}
	added := &claim{id: grant.ID, expires: grant.ExpiresAt}
	t.byID[grant.ID] = added
	heap.Push(&t.expiries, added)
	return Accepted
}

// advance moves a claim to a later state. One that was forgotten has expired, and needs none.
func (t *claimTable) advance(id ID, state claimState) {
	if c := t.byID[id]; c != nil && c.state <= state {
		c.state = state
	}
}

// release forgets a pending claim, as if its token had never been presented.
func (t *claimTable) release(id ID) {
	if c := t.byID[id]; c != nil && c.state == statePending {
		heap.Remove(&t.expiries, c.heapIndex)
		delete(t.byID, id)
	}
}

func (t *claimTable) dropExpired(now UnixMillis) {
	for len(t.expiries) > 0 && t.expiries[0].expires <= now {
		expired := heap.Pop(&t.expiries).(*claim)
		delete(t.byID, expired.id)
		t.expiredThrough = max(t.expiredThrough, expired.expires)
	}
}

// counts returns how many claims are in each state.
func (t *claimTable) counts() (n [claimStates]int) {
	for _, c := range t.byID {
		n[c.state]++
	}
	return n
}

// expiryHeap is the claims as a heap, the first to expire on top; see container/heap.
type expiryHeap []*claim

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expires < h[j].expires }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push is for container/heap.
func (h *expiryHeap) Push(x any) {
	c := x.(*claim)
	c.heapIndex = len(*h)
	*h = append(*h, c)
}

// Pop is for container/heap.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	c := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return c
}
