package proxy

import "container/list"

const (
	// Descriptors that are kept free: the runtime's own, and a part of all for hops, probes and discovery.
	reservedDescriptors = 16
	reservedDivisor     = 16

	// Of the memory, the part that may be kept for slow readers, and the bounds for one of them.
	pendingMemoryDivisor = 8
	minPendingBytes      = 2 << 10
	maxPendingBytes      = 32 << 10
)

// idleConns holds the connections on which no request depends. They cost a descriptor each, and hundreds of clients may open
// connections and say nothing, or ask once and stay. So they stay while there is room, and go in this order when a
// descriptor is needed: what has its answer, what has said nothing or little, what pings as a front does.
type idleConns struct{ answered, silent, pinging list.List }

// add puts a connection last in its row.
func (q *idleConns) add(d *downstreamConn) {
	q.remove(d)
	switch {
	case d.lingering:
		d.idleList = &q.answered
	case d.pings > 1:
		d.idleList = &q.pinging
	default:
		d.idleList = &q.silent
	}
	d.idleEntry = d.idleList.PushBack(d)
}

// remove takes a connection out, if it is in.
func (q *idleConns) remove(d *downstreamConn) {
	if d.idleEntry != nil {
		d.idleList.Remove(d.idleEntry)
		d.idleEntry, d.idleList = nil, nil
	}
}

// oldestEvictable is the connection that goes first, nil where none is left.
func (q *idleConns) oldestEvictable() *downstreamConn {
	for _, row := range []*list.List{&q.answered, &q.silent, &q.pinging} {
		if e := row.Front(); e != nil {
			return e.Value.(*downstreamConn)
		}
	}
	return nil
}

// oldestUnasked is a connection that has asked nothing, nil where none is left.
func (q *idleConns) oldestUnasked() *downstreamConn {
	for _, row := range []*list.List{&q.silent, &q.pinging} {
		if e := row.Front(); e != nil {
			return e.Value.(*downstreamConn)
		}
	}
	return nil
}

// evictIdle closes what may go until descriptors no longer run short.
func (r *Proxy) evictIdle() {
	for r.descriptorsShort() {
		d := r.idle.oldestEvictable()
		if d == nil {
			return
		}
		r.counters.evicted++
		d.evict()
	}
}

// descriptorsShort tells that descriptors run short.
func (r *Proxy) descriptorsShort() bool {
	most := r.cfg.MaxDescriptors
	return most > 0 && r.loop.Descriptors() >= most-reservedDescriptors-most/reservedDivisor
}

// sizeBuffers fits the buffers to the memory: all connections and channels may have a slow reader at once.
func (r *Proxy) sizeBuffers() {
	r.maxPending = maxPendingBytes
	r.buffersSizedFor = max(r.cfg.MaxDescriptors, 2*r.requests.Len())
	if r.cfg.MemoryLimit > 0 && r.buffersSizedFor > 0 {
		each := r.cfg.MemoryLimit / pendingMemoryDivisor / int64(r.buffersSizedFor)
		r.maxPending = int(min(max(each, minPendingBytes), maxPendingBytes))
	}
}

// rememberedIDs is how many ids of requests that are over are remembered.
const rememberedIDs = 1024

// requestIDs are those of the requests that the relay has, and of the last that it had.
type requestIDs struct {
	active map[uint64]bool // whether the request is still there
	recent []uint64        // a ring
	next   int
}

func newRequestIDs() requestIDs {
	return requestIDs{active: map[uint64]bool{}, recent: make([]uint64, 0, rememberedIDs)}
}

// known tells whether the request is there, or was among the last.
func (i *requestIDs) known(id uint64) bool {
	_, known := i.active[id]
	return known
}

// add notes a new id. It returns false for one that is known.
func (i *requestIDs) add(id uint64) bool {
	if i.known(id) {
		return false
	}
	i.active[id] = true
	return true
}

// finish notes that the request is over.
func (i *requestIDs) finish(id uint64) {
	i.active[id] = false
	if len(i.recent) < rememberedIDs {
		i.recent = append(i.recent, id)
		return
	}
	delete(i.active, i.recent[i.next])
	i.recent[i.next] = id
	i.next = (i.next + 1) % rememberedIDs
}
