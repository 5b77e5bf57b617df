package overload

const (
	// heldMemoryDivisor sets the fraction of the memory that may be held for requests on channels that wait for their
	// answer. Requests with plain lines are bounded by the descriptors that they use.
	heldMemoryDivisor = 4
	// defaultHeldBytes is the number of bytes that may be held if no memory limit is known.
	defaultHeldBytes = 64 << 20
	// openShareDivisor sets the fraction of the limit that connections may use up in any shares.
	openShareDivisor = 2
	// heldRequestBytes is the memory that a request takes in addition to its first line.
	heldRequestBytes = 2 << 10
)

// HeldRequestBytes returns the number of bytes that a request with a first line of this length holds while it waits.
func HeldRequestBytes(firstLine int) int64 { return int64(firstLine) + heldRequestBytes }

// HeldLimit returns the number of bytes that waiting requests on channels may hold in all. memory is as for
// PendingLimit.
func HeldLimit(memory int64) int64 {
	if memory > 0 {
		return memory / heldMemoryDivisor
	}
	return defaultHeldBytes
}

// Held describes the bytes that waiting requests on channels hold, and the connection that opens one more.
type Held struct {
	Own         int64 // of this connection
	Total       int64 // of all connections
	Limit       int64 // HeldLimit
	Connections int   // number of connections with channels, this one included
}

// AdmitsHeld reports whether the connection may have one more request wait. The total may exceed the limit by one
// request. The second half of the limit is kept for connections that hold at most an equal part of the first: those
// that hold most are refused first.
func AdmitsHeld(h Held) bool {
	half := h.Limit / openShareDivisor
	switch {
	case h.Total >= h.Limit:
		return false
	case h.Total < half:
		return true
	}
	return h.Own <= half/int64(max(h.Connections, 1))
}
