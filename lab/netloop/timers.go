package netloop

import "container/heap"

// Micros is a point in time on a loop's clock or a span, in microseconds.
type Micros = int64

// Timer is a call that is set for a time.
type Timer struct {
	at    Micros
	order uint64 // of setting: timers of the same time are called in it
	call  func() // nil once called or cancelled
	place int    // in the heap; notQueued once it is out
}

// notQueued is the place of a timer that is not in the heap.
const notQueued = -1

// After has f called once the delay has passed, in a later round of the loop, also where the delay is 0 or less: a
// timer that sets itself anew never keeps sockets waiting.
func (l *Loop) After(delay Micros, f func()) *Timer {
	return l.timers.set(l.now+max(delay, 0), f)
}

// Cancel takes a timer back. It does nothing for nil and for one that has been called or cancelled.
func (l *Loop) Cancel(t *Timer) { l.timers.cancel(t) }

// timers are those of one loop.
type timers struct {
	queue queue
	order uint64
	due   []*Timer // those of the present round
}

func (ts *timers) set(at Micros, f func()) *Timer {
	ts.order++
	t := &Timer{at: at, order: ts.order, call: f}
	heap.Push(&ts.queue, t)
	return t
}

func (ts *timers) cancel(t *Timer) {
	if t == nil {
		return
	}
	t.call = nil
	if t.place != notQueued {
		heap.Remove(&ts.queue, t.place)
	}
}

// next is when the first timer is due, if there is any.
func (ts *timers) next() (at Micros, any bool) {
	if len(ts.queue) == 0 {
		return 0, false
	}
	return ts.queue[0].at, true
}

// fire calls all timers that are due. They are taken out of the heap before the first is called: what a call sets
// is of the next round, and what it cancels is not called.
func (ts *timers) fire(now Micros) {
	for len(ts.queue) > 0 && ts.queue[0].at <= now {
		ts.due = append(ts.due, heap.Pop(&ts.queue).(*Timer))
	}
	for i, t := range ts.due {
		ts.due[i] = nil
		if f := t.call; f != nil {
			t.call = nil
			f()
		}
	}
	ts.due = ts.due[:0]
}

// queue is a heap of timers, the first one due on top.
type queue []*Timer

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}

func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].place, q[j].place = i, j
}

func (q *queue) Push(x any) {
	t := x.(*Timer)
	t.place = len(*q)
	*q = append(*q, t)
}

func (q *queue) Pop() any {
	last := len(*q) - 1
	t := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	t.place = notQueued
	return t
}
