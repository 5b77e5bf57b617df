package packet

const (
	// ReplayWindowSize is by how much a datagram's counter may be behind the highest one: datagrams that were
	// reordered more than that are lost.
	ReplayWindowSize = 1024

	wordBits = 64
)

// ReplayWindow remembers which counters of one sender were received.
type ReplayWindow struct {
	highest uint64 // all that are ReplayWindowSize or more behind count as received
	seen    [ReplayWindowSize / wordBits]uint64
}

// Accept decides whether a datagram with this counter is new, and remembers it. One that is behind the window may
// have been received, and is not.
func (w *ReplayWindow) Accept(counter uint64) bool {
	if counter == 0 || counter+ReplayWindowSize <= w.highest {
		return false
	}
	w.advance(counter)
	bit := uint64(1) << (counter % wordBits)
	word := &w.seen[counter%ReplayWindowSize/wordBits]
	if *word&bit != 0 {
		return false
	}
	*word |= bit
	return true
}

// advance moves the window so that a counter is in it.
func (w *ReplayWindow) advance(counter uint64) {
	if w.highest < counter && counter-w.highest > ReplayWindowSize {
		*w = ReplayWindow{highest: counter}
		return
	}
	for w.highest < counter {
		w.highest++
		w.seen[w.highest%ReplayWindowSize/wordBits] &^= 1 << (w.highest % wordBits)
	}
}
