package proxy

import (
	"spurspread/decision/outcome"
	"spurspread/decision/requestids"
	"spurspread/internal/eventloop"
)

// requestTable owns the requests: their slots, whose numbers identify requests to the decision core, the ids that
// clients sent, and the sets of requests that need periodic work.
type requestTable struct {
	slots         eventloop.Slots[*request]
	unanswered    requestSet // requests in stateNew, statePending or stateReattaching
	awaitingReply requestSet // established connections with unanswered lines
	ids           *requestids.Set
	closed        []*request // ended requests, whose slots are freed once the core's event queue is empty
}

func newRequestTable() requestTable {
	return requestTable{
		unanswered:    requestSet{index: func(r *request) *int32 { return &r.unansweredIndex }},
		awaitingReply: requestSet{index: func(r *request) *int32 { return &r.awaitingReplyIndex }},
		ids:           requestids.New(),
	}
}

// get returns the request with this id in the decision core; false if there is none.
func (t *requestTable) get(id uint32) (*request, bool) { return t.slots.Get(eventloop.Ref(id)) }

// put assigns the request a slot; it returns false if none is free.
func (t *requestTable) put(r *request) bool {
	r.ref = t.slots.Put(r)
	return r.ref != 0
}

// len returns the number of requests, including ended ones whose slots have not been freed.
func (t *requestTable) len() int { return t.slots.Len() }

// all yields all requests in the order of their slots.
func (t *requestTable) all(yield func(*request) bool) {
	for _, r := range t.slots.All {
		if !yield(r) {
			return
		}
	}
}

// freeClosed frees the slots of ended requests. It must not be called while queued events or actions may still refer to
// them.
func (t *requestTable) freeClosed() {
	for _, r := range t.closed {
		t.slots.Drop(r.ref)
	}
	t.closed = t.closed[:0]
}

// handleServerListUpdate handles a change of the server list. It ends attempts that have not written their request and
// whose server, since it was chosen, has ceased to be ready, restarted or changed its address, so that the request is
// placed anew. It starts reattaching requests whose server is now listed. A request that reattaches goes to its server
// whatever the server's state.
func (t *requestTable) handleServerListUpdate() {
	for r := range t.unanswered.each {
		if a := r.attempt; a != nil && a.invalidatedByListChange() {
			a.end(outcome.Inconclusive)
		}
	}
	for r := range t.unanswered.each {
		r.reattach()
	}
}
