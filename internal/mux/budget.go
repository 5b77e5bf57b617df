package mux

// Budget limits the bytes that a process may have to buffer for its channels, since it has to be able to buffer every
// byte of a granted window. While much of the budget is left, channels get their full window; the less is left, the
// smaller the windows, down to Floor. A Budget is shared by the connections of one goroutine.
type Budget struct {
	Limit     int64  // bytes; once this many are committed, only Floor is granted
	Floor     uint32 // bytes; the smallest window, so that every channel makes progress
	committed int64  // bytes; see Committed
	discarded int64  // bytes; see Discarded
}

// grantDivisor limits a window to this fraction, a sixteenth, of the remaining budget.
const grantDivisor = 16

// target returns the size that a channel's window should have now: the remaining budget divided by grantDivisor, but at
// least Floor and at most want.
func (b *Budget) target(want uint32) uint32 {
	left := max(b.Limit-b.committed, 0) / grantDivisor
	return uint32(min(int64(want), max(left, int64(b.Floor))))
}

// Committed returns the number of bytes that peers may still send without a further grant, plus the number of received
// bytes that are buffered.
func (b *Budget) Committed() int64 { return b.committed }

// Discarded returns the number of bytes that channels have discarded, because they ended before the bytes were read by
// their owner or sent to the peer.
func (b *Budget) Discarded() int64 { return b.discarded }
