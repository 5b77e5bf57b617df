package netloop

import "container/heap"

// Micros is a duration or a point in time on a loop's clock, in microseconds.
type Micros = int64

// Timer is a call that is scheduled for a time.
type Timer struct {
	at       Micros
	sequence uint64 // orders timers of the same time by when they were set
	call     func() // nil once called or cancelled
	index    int    // in the heap; notQueued once removed
}

// notQueued is the index of a timer that is not in the heap.
const notQueued = -1

// After schedules a call of f after a delay. The call is made in a later round of the loop even if the delay is 0 or
// negative, so that a timer that sets itself again does not block the handling of sockets.
func (l *Loop) After(delay Micros, f func()) *Timer {
	return l.timers.set(l.now+max(delay, 0), f)
}

// Cancel cancels a timer. It does nothing for nil and for a timer that was called or cancelled before.
func (l *Loop) Cancel(t *Timer) { l.timers.cancel(t) }

// timers are the timers of one loop.
type timers struct {
	queue    timerQueue
	sequence uint64   // that of the last timer
	due      []*Timer // timers of the current round
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

// next returns the time of the earliest timer; ok is false if there are no timers.
func (ts *timers) next() (at Micros, ok bool) {
	if len(ts.queue) == 0 {
		return 0, false
	}
	return ts.queue[0].at, true
}

// fire calls all timers that are due. It removes them from the heap before the first call, so that a timer that a call
// sets is called in the next round. A timer that a call cancels is not called.
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

// timerQueue is a heap.Interface with the earliest timer on top.
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
