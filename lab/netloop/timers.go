package netloop

import "container/heap"

// Micros is a point in time on a loop's clock or a span, in microseconds.
type Micros = int64

// Timer is a call that is scheduled for a time.
type Timer struct {
	at       Micros
	sequence uint64 // timers of the same time are called in the order in which they were set
	call     func() // nil once called or cancelled
	index    int    // in the heap; notQueued once it was removed
}

// notQueued is the index of a timer that is not in the heap.
const notQueued = -1

// After has f called once the delay has passed, in a later round of the loop even where the delay is 0 or less, so that
// a timer that sets itself again does not keep the loop from its sockets.
func (l *Loop) After(delay Micros, f func()) *Timer {
	return l.timers.set(l.now+max(delay, 0), f)
}

// Cancel cancels a timer. It does nothing for nil, and for one that was called or cancelled.
func (l *Loop) Cancel(t *Timer) { l.timers.cancel(t) }

// timers are the timers of one loop.
type timers struct {
	queue    timerQueue
	sequence uint64   // of the last timer that was set
	due      []*Timer // of the present round
}

func (ts *timers) set(at Micros, f func()) *Timer {
	ts.sequence++
	t := &Timer{at: at, sequence: ts.sequence, call: f}
	heap.Push(&ts.queue, t)
	return t
}

func (ts *timers) cancel(t *Timer) {
	if t == nil {
		return
	}
	t.call = nil
	if t.index != notQueued {
		heap.Remove(&ts.queue, t.index)
	}
}

// next is when the first timer is due; ok is false without timers.
func (ts *timers) next() (at Micros, ok bool) {
	if len(ts.queue) == 0 {
		return 0, false
	}
	return ts.queue[0].at, true
}

// fire calls all timers that are due. They are removed from the heap before the first is called: a timer that a call
// sets belongs to the next round, and one that it cancels is not called.
func (ts *timers) fire(now Micros) {
	for len(ts.queue) > 0 && ts.queue[0].at <= now {
		ts.due = append(ts.due, heap.Pop(&ts.queue).(*Timer))
	}
	for i, t := range ts.due {
		ts.due[i] = nil
		if call := t.call; call != nil {
			t.call = nil
			call()
		}
	}
	ts.due = ts.due[:0]
}

// timerQueue is a heap of timers, the first one due on top. It implements heap.Interface.
type timerQueue []*Timer

// Len implements heap.Interface.
func (q timerQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q timerQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}

// Swap implements heap.Interface.
func (q timerQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index = i
	q[j].index = j
}

// Push implements heap.Interface.
func (q *timerQueue) Push(x any) {
	t := x.(*Timer)
	t.index = len(*q)
	*q = append(*q, t)
}

// Pop implements heap.Interface.
func (q *timerQueue) Pop() any {
	last := len(*q) - 1
	t := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	t.index = notQueued
	return t
}
