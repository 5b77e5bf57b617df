package resume

import "container/heap"

// claimState is the state of a token that was presented. A token that is not in the table was never presented, or was
// released, and may be presented again. States only advance.
type claimState uint8

const (
	statePending claimState = iota // an attempt is in progress
	stateLive                      // an attempt is established
	stateUsed                      // an attempt was established, or may have been
	claimStates
)

// claim is the record of one token that was presented.
type claim struct {
	id        ID
	expires   UnixMillis
	state     claimState
	heapIndex int
}

// claimTable holds the tokens that were presented until they expire. It has at most limit claims: a full table rejects
// new tokens, and never forgets a claim early.
type claimTable struct {
	limit    int
	byID     map[ID]*claim
	expiries expiryHeap
	// expiredThrough is the latest expiry of any claim that was dropped. A token that expires no later counts as
	// expired whatever the clock says, because a clock that steps forward and back would otherwise let a dropped token
	// in again.
	expiredThrough UnixMillis
}

func newClaimTable(limit int) claimTable { return claimTable{limit: limit, byID: map[ID]*claim{}} }

// claim adds a token and returns Accepted, or returns the reason why it may not be used now: it has expired, is in the
// table already, or the table is full.
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

// advance moves a claim to a later state. It ignores a token that is not in the table, as its claim has expired.
func (t *claimTable) advance(id ID, state claimState) {
	if c := t.byID[id]; c != nil && c.state <= state {
		c.state = state
	}
}

// release removes a pending claim, as if its token had never been presented.
func (t *claimTable) release(id ID) {
	if c := t.byID[id]; c != nil && c.state == statePending {
		heap.Remove(&t.expiries, c.heapIndex)
		delete(t.byID, id)
	}
}

// dropExpired removes the claims that have expired by now.
func (t *claimTable) dropExpired(now UnixMillis) {
	for len(t.expiries) > 0 && t.expiries[0].expires <= now {
		expired := heap.Pop(&t.expiries).(*claim)
		delete(t.byID, expired.id)
		t.expiredThrough = max(t.expiredThrough, expired.expires)
	}
}

// counts returns the number of claims in each state.
func (t *claimTable) counts() (n [claimStates]int) {
	for _, c := range t.byID {
		n[c.state]++
	}
	return n
}

// expiryHeap orders the claims by expiry, the first to expire on top; see container/heap.
type expiryHeap []*claim

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expires < h[j].expires }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	c := x.(*claim)
	c.heapIndex = len(*h)
	*h = append(*h, c)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	c := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return c
}
