package eventloop

import (
	"container/heap"

	"spurspread/decision/monotime"
)

// Micros is a point in time or a span, in microseconds.
type Micros = monotime.Micros

type deadline struct {
	at  Micros
	seq uint64 // deadlines of one moment fall due in the order in which they were set
	due func()
	pos int // in the heap
	ref Ref
}

type deadlineHeap []*deadline

func (h deadlineHeap) Len() int { return len(h) }
func (h deadlineHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}

func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].pos, h[j].pos = i, j
}

func (h *deadlineHeap) Push(x any) {
	d := x.(*deadline)
	d.pos = len(*h)
	*h = append(*h, d)
}

func (h *deadlineHeap) Pop() any {
	last := len(*h) - 1
	d := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return d
}

// deadlines holds all that falls due, in one heap.
type deadlines struct {
	heap  deadlineHeap
	slots Slots[*deadline]
	seq   uint64
}

func (d *deadlines) set(at Micros, due func()) Ref {
	d.seq++
	e := &deadline{at: at, seq: d.seq, due: due}
	e.ref = d.slots.Put(e)
	heap.Push(&d.heap, e)
	return e.ref
}

func (d *deadlines) cancel(r Ref) {
	if e, ok := d.slots.Get(r); ok {
		heap.Remove(&d.heap, e.pos)
		d.slots.Drop(r)
	}
}

// next returns when the first deadline falls due, and false where there is none.
func (d *deadlines) next() (Micros, bool) {
	if len(d.heap) == 0 {
		return 0, false
	}
	return d.heap[0].at, true
}

// run calls all that is due at now. What is set meanwhile waits for the next turn, so that a deadline which sets
// itself again at once can't keep the sockets waiting.
func (d *deadlines) run(now Micros) {
	for limit := d.seq; len(d.heap) > 0 && d.heap[0].at <= now && d.heap[0].seq <= limit; {
		e := heap.Pop(&d.heap).(*deadline)
		d.slots.Drop(e.ref)
		e.due()
	}
}
