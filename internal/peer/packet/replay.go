package packet

const (
	// ReplayWindowSize is the number of counters in the window. A datagram whose counter is this much or more below the
	// highest one received is rejected, even if it was only delayed.
	ReplayWindowSize = 1024

	wordBits = 64
)

// ReplayWindow records which datagram counters of one sender were received. The zero value is empty.
type ReplayWindow struct {
	highest uint64 // counters that are ReplayWindowSize or more below it count as received
	seen    [ReplayWindowSize / wordBits]uint64
}

// Accept reports whether a datagram with this counter is new, and records the counter. A counter below the window is
// rejected, since it may have been received.
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

// advance moves the window up so that it contains the counter.
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
