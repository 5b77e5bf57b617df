package mux

// Budget bounds what a process may come to buffer for its channels: a window that is granted is a promise to take
// as much. While there is plenty, channels have the whole window; the less there is, the smaller windows get, down
// to Floor.
type Budget struct {
	Limit    int64  // bytes that may be promised before only Floor is granted
	Floor    uint32 // the least window, so that every channel goes on
	promised int64
}

// share is the part of what is left that one grant may have.
const share = 16

// target is what a channel's window should be now, with want as the most.
func (b *Budget) target(want uint32) uint32 {
	left := max(b.Limit-b.promised, 0) / share
	return uint32(min(int64(want), max(left, int64(b.Floor))))
}

// Promised is how many bytes peers may send now without asking, together with what is kept of theirs.
func (b *Budget) Promised() int64 { return b.promised }
