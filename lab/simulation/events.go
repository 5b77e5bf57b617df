package simulation

import (
	"cmp"
	"container/heap"
	"encoding/binary"
	"fmt"
	"hash"
	"hash/fnv"
)

// eventKind is the kind of an event. It goes into the hash over all events.
type eventKind uint8

const (
	tickEvent eventKind = iota
	deliveryEvent
	faultEvent
)

// event is a scheduled call. The hash covers its time, its kind and the numbers a and b. Their meaning depends on the
// kind: a is a member or 0; b is another member, a member's start count, or 0 or 1.
type event struct {
	at   Micros
	seq  uint64 // events due at the same time run in the order in which they were scheduled
	kind eventKind
	a, b int
	run  func()
}

// eventQueue is a heap.Interface with the earliest event on top.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].seq, q[j].seq)) < 0
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(e any) { *q = append(*q, e.(event)) }

func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// scheduler keeps virtual time: it runs events in the order of their times, and hashes them.
type scheduler struct {
	now    Micros
	events eventQueue
	seq    uint64
	hash   hash.Hash64
}

func newScheduler(now Micros) scheduler { return scheduler{now: now, hash: fnv.New64a()} }

// schedule schedules an event after a delay; a negative delay counts as 0.
func (s *scheduler) schedule(after Micros, kind eventKind, a, b int, run func()) {
	s.seq++
	heap.Push(&s.events, event{at: s.now + max(after, 0), seq: s.seq, kind: kind, a: a, b: b, run: run})
}

// Run runs all events that are due until the given time, and then sets the time to it.
func (s *scheduler) Run(until Micros) {
	for len(s.events) > 0 && s.events[0].at <= until {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		s.addToHash(&next)
		next.run()
	}
	s.now = until
}

func (s *scheduler) addToHash(e *event) {
	b := make([]byte, 0, 21)
	b = binary.BigEndian.AppendUint64(b, uint64(e.at))
	b = append(b, byte(e.kind))
	b = binary.BigEndian.AppendUint32(b, uint32(e.a))
	b = binary.BigEndian.AppendUint64(b, uint64(e.b))
	_, _ = s.hash.Write(b) // never fails
}

// Hash returns a hash over all events that have run.
func (s *scheduler) Hash() string { return fmt.Sprintf("%016x", s.hash.Sum64()) }
