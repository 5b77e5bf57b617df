package eventloop

// Ref names one use of one slot: the index in the lower bits, the slot's generation above them. No slot starts
// at generation 0, so the zero Ref names nothing.
type Ref uint32

const (
	indexBits = 20
	maxSlots  = 1 << indexBits
	maxGen    = 1<<(32-indexBits) - 1
)

func makeRef(index int, gen uint32) Ref { return Ref(gen<<indexBits | uint32(index)) }

func (r Ref) index() int  { return int(r & (maxSlots - 1)) }
func (r Ref) gen() uint32 { return uint32(r) >> indexBits }

type slot[T any] struct {
	v    T
	gen  uint32
	used bool
}

// Slots is a table of numbered slots. A slot's generation rises with each use, so that whatever still carries
// the Ref of an earlier use (an event of the same epoll batch, a timer) finds nothing.
type Slots[T any] struct {
	cells []slot[T]
	free  []int // oldest first: a slot rests as long as can be before it is used again
	count int
}

// Put stores v in a free slot. It returns the zero Ref when the table is full.
func (t *Slots[T]) Put(v T) Ref {
	// A few free slots are kept resting, or a lone busy one would run through its generations.
	const resting = 64
	i := len(t.cells)
	switch {
	case len(t.free) > resting || i == maxSlots && len(t.free) > 0:
		i = t.free[0]
		t.free = t.free[1:]
	case i == maxSlots:
		return 0
	default:
		t.cells = append(t.cells, slot[T]{})
	}
	c := &t.cells[i]
	if c.gen++; c.gen > maxGen {
		c.gen = 1
	}
	c.v, c.used = v, true
	t.count++
	return makeRef(i, c.gen)
}

// Get returns what r names, if that use of the slot has not ended.
func (t *Slots[T]) Get(r Ref) (v T, ok bool) {
	if i := r.index(); i < len(t.cells) && t.cells[i].used && t.cells[i].gen == r.gen() {
		return t.cells[i].v, true
	}
	return v, false
}

// Drop frees the slot that r names; a stale r does nothing.
func (t *Slots[T]) Drop(r Ref) {
	if _, ok := t.Get(r); !ok {
		return
	}
	var none T
	c := &t.cells[r.index()]
	c.v, c.used = none, false
	t.free = append(t.free, r.index())
	t.count--
}

// Len returns how many slots are in use.
func (t *Slots[T]) Len() int { return t.count }

// All yields what is in use, in the order of the slots. The table may change meanwhile.
func (t *Slots[T]) All(yield func(Ref, T) bool) {
	for i := 0; i < len(t.cells); i++ {
		if c := t.cells[i]; c.used && !yield(makeRef(i, c.gen), c.v) {
			return
		}
	}
}
