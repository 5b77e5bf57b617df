package eventloop

import (
	"container/heap"

	"spurspread/decision/monotime"
)

// Micros is a point in time or a duration, in microseconds.
type Micros = monotime.Micros

// deadline is a call scheduled with Loop.After, the loop's form of a timer.
type deadline struct {
	at        Micros
	seq       uint64 // deadlines at the same time run in the order in which they were set
	callback  func()
	heapIndex int
	ref       Ref
}

// deadlineHeap implements heap.Interface, with the earliest deadline first.
type deadlineHeap []*deadline

func (h deadlineHeap) Len() int { return len(h) }
func (h deadlineHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}

func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *deadlineHeap) Push(x any) {
	d := x.(*deadline)
	d.heapIndex = len(*h)
	*h = append(*h, d)
}

func (h *deadlineHeap) Pop() any {
	last := len(*h) - 1
	d := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return d
}

// deadlines holds all pending deadlines, in one heap. Refs into slots identify them.
type deadlines struct {
	heap  deadlineHeap
	slots Slots[*deadline]
	seq   uint64
}

func (d *deadlines) set(at Micros, callback func()) Ref {
	d.seq++
	e := &deadline{at: at, seq: d.seq, callback: callback}
	e.ref = d.slots.Put(e)
	heap.Push(&d.heap, e)
	return e.ref
}

func (d *deadlines) cancel(r Ref) {
	if e, ok := d.slots.Get(r); ok {
		heap.Remove(&d.heap, e.heapIndex)
		d.slots.Drop(r)
	}
}

// next returns the time of the earliest deadline, and false if there is none.
func (d *deadlines) next() (Micros, bool) {
	if len(d.heap) == 0 {
		return 0, false
	}
	return d.heap[0].at, true
}

// run calls the callbacks of all deadlines up to now. Deadlines that are set during these calls wait for the next turn,
// so that a callback that sets a deadline for now again can't starve the sockets.
func (d *deadlines) run(now Micros) {
	for limit := d.seq; len(d.heap) > 0 && d.heap[0].at <= now && d.heap[0].seq <= limit; {
		e := heap.Pop(&d.heap).(*deadline)
		d.slots.Drop(e.ref)
		e.callback()
	}
}
