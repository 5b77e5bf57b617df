package proxy

import "container/list"

const (
	// Descriptors that are kept free: the runtime's own, and a part of all for hops, probes and discovery.
	reserveOwn  = 16
	reservePart = 16

	// Of the memory, the part that may be kept for slow readers, and the bounds for one of them.
	pendingPart  = 8
	leastPending = 2 << 10
	mostPending  = 32 << 10
)

// room holds the connections on which no request depends. They cost a descriptor each, and hundreds of clients may open
// connections and say nothing, or ask once and stay. So they stay while there is room, and go in this order when a
// descriptor is needed: what has its answer, what has said nothing or little, what pings as a front does.
type room struct{ answered, strangers, fronts list.List }

// enter puts a connection last in its row.
func (q *room) enter(d *door) {
	q.leave(d)
	switch {
	case d.ending:
		d.idleIn = &q.answered
	case d.pinged > 1:
		d.idleIn = &q.fronts
	default:
		d.idleIn = &q.strangers
	}
	d.idle = d.idleIn.PushBack(d)
}

// leave takes a connection out, if it is in.
func (q *room) leave(d *door) {
	if d.idle != nil {
		d.idleIn.Remove(d.idle)
		d.idle, d.idleIn = nil, nil
	}
}

// first is the connection that goes first, nil where none is left.
func (q *room) first() *door {
	for _, row := range []*list.List{&q.answered, &q.strangers, &q.fronts} {
		if e := row.Front(); e != nil {
			return e.Value.(*door)
		}
	}
	return nil
}

// resting is a connection that has asked nothing, nil where none is left.
func (q *room) resting() *door {
	for _, row := range []*list.List{&q.strangers, &q.fronts} {
		if e := row.Front(); e != nil {
			return e.Value.(*door)
		}
	}
	return nil
}

// makeRoom closes what may go until descriptors no longer run short.
func (r *Relay) makeRoom() {
	for r.tight() {
		d := r.room.first()
		if d == nil {
			return
		}
		r.counts.evicted++
		d.evict()
	}
}

// tight tells that descriptors run short.
func (r *Relay) tight() bool {
	most := r.cfg.Descriptors
	return most > 0 && r.l.Descriptors() >= most-reserveOwn-most/reservePart
}

// limit fits the buffers to the memory: all connections and channels may have a slow reader at once.
func (r *Relay) limit() {
	r.maxPending = mostPending
	r.sized = max(r.cfg.Descriptors, 2*r.sessions.Len())
	if r.cfg.Memory > 0 && r.sized > 0 {
		each := r.cfg.Memory / pendingPart / int64(r.sized)
		r.maxPending = int(min(max(each, leastPending), mostPending))
	}
}

// manyIDs is how many ids of requests that are over are remembered.
const manyIDs = 1024

// ids are those of the requests that the relay has, and of the last that it had.
type ids struct {
	seen map[uint64]bool // whether the request is still there
	past []uint64        // a ring
	at   int
}

func newIDs() ids { return ids{seen: map[uint64]bool{}, past: make([]uint64, 0, manyIDs)} }

// known tells whether the request is there, or was among the last.
func (i *ids) known(id uint64) bool {
	_, known := i.seen[id]
	return known
}

// take notes a new id. It returns false for one that is known.
func (i *ids) take(id uint64) bool {
	if i.known(id) {
		return false
	}
	i.seen[id] = true
	return true
}

// leave notes that the request is over.
func (i *ids) leave(id uint64) {
	i.seen[id] = false
	if len(i.past) < manyIDs {
		i.past = append(i.past, id)
		return
	}
	delete(i.seen, i.past[i.at])
	i.past[i.at] = id
	i.at = (i.at + 1) % manyIDs
}
