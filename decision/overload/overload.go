// Package overload decides what the proxy rejects, closes or bounds by itself because it lacks descriptors or memory or
// is shutting down: before the core places a request, and without it. It has no sockets; the caller counts.
package overload

import (
	"spurspread/decision/answercause"
	"spurspread/decision/monotime"
)

const (
	// ReservedDescriptors are kept free for the runtime, on top of a part of all.
	ReservedDescriptors = 16
	// reservedDivisor gives that part: one in so many stays free for attempts, probes and discovery.
	reservedDivisor = 16

	// pendingMemoryDivisor gives the part of the memory that may be filled with bytes for slow readers.
	pendingMemoryDivisor = 8
	// minPendingBytes is the least that is kept for one slow reader before its sender is left unread.
	minPendingBytes = 2 << 10
	// MaxPendingBytes is the most that is kept for one slow reader.
	MaxPendingBytes = 32 << 10
	// pendingPerRequest is for how many slow readers a request counts: its client and its server.
	pendingPerRequest = 2

	// windowMemoryDivisor gives the part of the memory that peers may be granted to send, over all channels.
	windowMemoryDivisor = 4
	// defaultWindowBudget is the same in bytes where no memory limit is known.
	defaultWindowBudget = 64 << 20
	// MinChannelWindow is the window in bytes of a channel however little memory there is: a line then comes in parts.
	MinChannelWindow = 2 << 10

	// maxDiscardedBytes is how much is read and discarded of a client that has its final answer.
	maxDiscardedBytes = 256 << 10
)

// DescriptorsShort reports whether the process comes near its limit of descriptors, so that new clients are rejected
// and idle connections closed. open is how many it has, limit how many it may have; 0 where that is not known.
func DescriptorsShort(open, limit int) bool {
	return limit > 0 && open >= limit-ReservedDescriptors-limit/reservedDivisor
}

// SlowReaders is how many connections and channels may have a slow reader at once, from the limit of descriptors and
// the number of requests.
func SlowReaders(descriptorLimit, requests int) int {
	return max(descriptorLimit, pendingPerRequest*requests)
}

// PendingLimit is how many bytes are kept for one slow reader. memory is the process's limit in bytes, 0 where not
// known. It is an equal part of an eighth of the memory, between 2 and 32 KiB; the lower bound, and the one read that
// may follow below the limit, can exceed the eighth while very many readers are slow at once.
func PendingLimit(memory int64, slowReaders int) int {
	if memory <= 0 || slowReaders <= 0 {
		return MaxPendingBytes
	}
	each := memory / pendingMemoryDivisor / int64(slowReaders)
	return int(min(max(each, minPendingBytes), MaxPendingBytes))
}

// IsStalled reports whether a reader is so slow that its sender is left unread until it has caught up. pending is how
// many bytes wait for it, limit how many may; both in bytes.
func IsStalled(pending, limit int) bool { return pending > limit }

// WindowBudget is how many bytes peers may be granted to send at once, over all channels. memory is as for
// PendingLimit.
func WindowBudget(memory int64) int64 {
	if memory > 0 {
		return memory / windowMemoryDivisor
	}
	return defaultWindowBudget
}

// StopsReading reports whether a client that goes on to send after its final answer is no longer read. It is not closed
// at once: a reset would destroy the answer.
func StopsReading(discarded int) bool { return discarded > maxDiscardedBytes }

// Arrival is a request that has just been read.
type Arrival struct {
	DescriptorsShort bool // its connection was accepted, or is being closed, for want of descriptors
	ShuttingDown     bool // the process takes no new requests
	Held             int  // requests that the proxy has, established ones and this one included
	MaxHeld          int  // how many it may have
}

// RejectsRequest reports whether a request is rejected before the core hears of it, and why.
func RejectsRequest(a Arrival) (cause answercause.Cause, rejected bool) {
	switch {
	case a.DescriptorsShort:
		return answercause.DescriptorsShort, true
	case a.ShuttingDown:
		return answercause.ShuttingDown, true
	case a.Held > a.MaxHeld:
		return answercause.TooManyHeld, true
	}
	return answercause.Unknown, false
}

// EvictionClass is a class of idle connections. When a descriptor is needed, the oldest of the lowest class goes first.
type EvictionClass uint8

// The classes, first to go first.
const (
	Answered     EvictionClass = iota // has its final answer
	NoRequest                         // has sent nothing, or one ping
	HealthChecks                      // pings again and again, as a health checker does
	EvictionClasses
)

// ClassOf is the eviction class of an idle connection: answered tells whether it has its final answer, pings how many
// of its pings were answered.
func ClassOf(answered bool, pings int) EvictionClass {
	switch {
	case answered:
		return Answered
	case pings > 1:
		return HealthChecks
	}
	return NoRequest
}

// OpenLimiter limits how fast one client may open channels, as a token bucket that holds a second's tokens.
type OpenLimiter struct {
	tokens float64
	at     monotime.Micros // when they were counted
}

// NewOpenLimiter returns a full bucket. perSecond is both its rate and its size.
func NewOpenLimiter(now monotime.Micros, perSecond float64) OpenLimiter {
	return OpenLimiter{tokens: perSecond, at: now}
}

// Admit reports whether a further channel may be opened, and takes a token for one that may. open is how many channels
// the client has, limit how many it may have.
func (l *OpenLimiter) Admit(now monotime.Micros, perSecond float64, open, limit int) bool {
	l.tokens = min(l.tokens+perSecond*float64(now-l.at)/float64(monotime.Second), perSecond)
	l.at = now
	if l.tokens < 1 || open >= limit {
		return false
	}
	l.tokens--
	return true
}
