package mux

// Budget bounds the bytes that a process may have to buffer for its channels: a window that is granted is a promise to
// buffer as much. While the budget is large, channels have their whole window; the less is left, the smaller windows
// get, down to Floor. It is shared by the connections of one goroutine.
type Budget struct {
	Limit    int64  // bytes; once so many are promised, only Floor is granted
	Floor    uint32 // bytes; the smallest window, so that every channel makes progress
	promised int64
}

// grantDivisor is the part of what is left that one grant may take: a sixteenth.
const grantDivisor = 16

// target returns how many bytes a channel's window should have now: a grantDivisor-th of what is left, at least Floor
// and at most want.
func (b *Budget) target(want uint32) uint32 {
	left := max(b.Limit-b.promised, 0) / grantDivisor
	return uint32(min(int64(want), max(left, int64(b.Floor))))
}

// Committed returns how many bytes peers may send now without a further grant, plus what is buffered of theirs.
func (b *Budget) Committed() int64 { return b.promised }
