package eventloop

// Ref identifies one use of a slot in a Slots table. Its lower bits are the slot's index, the others the slot's
// generation. Generations start at 1, so the zero Ref is never valid.
type Ref uint32

const (
	indexBits = 20
	maxSlots  = 1 << indexBits        // 1,048,576
	maxGen    = 1<<(32-indexBits) - 1 // 4,095, after which the generations of a slot repeat
)

func makeRef(index int, gen uint32) Ref { return Ref(gen<<indexBits | uint32(index)) }

func (r Ref) index() int  { return int(r & (maxSlots - 1)) }
func (r Ref) gen() uint32 { return uint32(r) >> indexBits }

type slot[T any] struct {
	v    T
	gen  uint32
	used bool
}

// Slots is a table of values addressed by Refs. A slot gets a new generation with each use, so that a Ref of an earlier
// use, for example in an event of the same epoll batch or in a timer, is recognised as stale. The zero value is an
// empty table.
type Slots[T any] struct {
	slots []slot[T]
	free  []int // the slot that was freed first is reused first, to delay the reuse of a generation
	count int
}

// Put stores v in a free slot. It returns the zero Ref if the table is full.
func (t *Slots[T]) Put(v T) Ref {
	// At least this many free slots are kept unused, unless the table is full. With fewer, a single slot in frequent
	// use would soon repeat its generations.
	const minFree = 64
	i := len(t.slots)
	switch {
	case len(t.free) > minFree || i == maxSlots && len(t.free) > 0:
		i = t.free[0]
		t.free = t.free[1:]
	case i == maxSlots:
		return 0
	default:
		t.slots = append(t.slots, slot[T]{})
	}
	s := &t.slots[i]
	if s.gen++; s.gen > maxGen {
		s.gen = 1
	}
	s.v, s.used = v, true
	t.count++
	return makeRef(i, s.gen)
}

// Get returns the value that r refers to. ok is false if r is stale or zero.
func (t *Slots[T]) Get(r Ref) (v T, ok bool) {
	if i := r.index(); i < len(t.slots) && t.slots[i].used && t.slots[i].gen == r.gen() {
		return t.slots[i].v, true
	}
	return v, false
}

// Drop frees the slot that r refers to. It does nothing if r is stale or zero.
func (t *Slots[T]) Drop(r Ref) {
	if _, ok := t.Get(r); !ok {
		return
	}
	var zero T
	s := &t.slots[r.index()]
	s.v, s.used = zero, false
	t.free = append(t.free, r.index())
	t.count--
}

// Len returns the number of slots in use.
func (t *Slots[T]) Len() int { return t.count }

// All iterates over the slots in use, ordered by index. The table may be changed during the iteration.
func (t *Slots[T]) All(yield func(Ref, T) bool) {
	for i := 0; i < len(t.slots); i++ {
		if s := t.slots[i]; s.used && !yield(makeRef(i, s.gen), s.v) {
			return
		}
	}
}
