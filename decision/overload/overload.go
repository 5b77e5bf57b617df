// Package overload decides what the proxy rejects, closes or limits when file descriptors or memory are short or the
// process is shutting down. These decisions come before the core places a request, and don't involve it. The package
// has no sockets; the caller passes the counts.
package overload

import (
	"spurspread/decision/answercause"
	"spurspread/decision/monotime"
)

const (
	// ReservedDescriptors is the number of descriptors kept free for the runtime, on top of a fraction of the limit.
	ReservedDescriptors = 16
	// reservedDivisor sets that fraction: one descriptor in reservedDivisor stays free for attempts, probes and
	// discovery.
	reservedDivisor = 16

	// pendingMemoryDivisor sets the fraction of the memory that may hold bytes buffered for slow readers.
	pendingMemoryDivisor = 8
	// minPendingBytes is the smallest limit on the bytes buffered for one slow reader; beyond the limit its sender is
	// not read.
	minPendingBytes = 2 << 10
	// MaxPendingBytes is the largest limit on the bytes buffered for one slow reader.
	MaxPendingBytes = 32 << 10
	// pendingPerRequest is the number of possible slow readers of a request: its client and its server.
	pendingPerRequest = 2

	// windowMemoryDivisor sets the fraction of the memory that peers may be granted to send, over all channels.
	windowMemoryDivisor = 4
	// defaultWindowBudget is the number of bytes that they may be granted if no memory limit is known.
	defaultWindowBudget = 64 << 20
	// MinChannelWindow is the smallest window of a channel, in bytes, however little memory there is. A longer line
	// then arrives in parts.
	MinChannelWindow = 2 << 10

	// maxDiscardedBytes is the number of bytes that the proxy reads and discards from a client after its final answer,
	// before it stops reading.
	maxDiscardedBytes = 256 << 10
)

// DescriptorsShort reports whether the process is close to its limit of descriptors, so that new clients are rejected
// and idle connections closed. open is the number of descriptors in use; limit is the number allowed, 0 if unknown.
func DescriptorsShort(open, limit int) bool {
	return limit > 0 && open >= limit-ReservedDescriptors-limit/reservedDivisor
}

// SlowReaders returns the number of connections and channels that may have a slow reader at once, given the limit of
// descriptors and the number of requests.
func SlowReaders(descriptorLimit, requests int) int {
	return max(descriptorLimit, pendingPerRequest*requests)
}

// PendingLimit returns the number of bytes that may be buffered for one slow reader. memory is the process's limit in
// bytes, 0 if unknown. The result is an equal part of an eighth of the memory, between 2 and 32 KiB. The eighth can be
// exceeded while very many readers are slow at once, because of the lower bound, and because a sender is still read
// once more if a little less than the limit is buffered.
func PendingLimit(memory int64, slowReaders int) int {
	if memory <= 0 || slowReaders <= 0 {
		return MaxPendingBytes
	}
	each := memory / pendingMemoryDivisor / int64(slowReaders)
	return int(min(max(each, minPendingBytes), MaxPendingBytes))
}

// IsStalled reports whether a reader is so slow that its sender is not read until the reader has caught up. pending is
// the number of bytes buffered for it, limit the number allowed.
func IsStalled(pending, limit int) bool { return pending > limit }

// WindowBudget returns the number of bytes that peers may be granted to send at once, over all channels. memory is as
// for PendingLimit.
func WindowBudget(memory int64) int64 {
	if memory > 0 {
		return memory / windowMemoryDivisor
	}
	return defaultWindowBudget
}

// StopsReading reports whether the proxy stops reading from a client that keeps sending after its final answer.
// discarded is the number of bytes discarded so far. The connection is not closed at once, as a reset would destroy the
// answer.
func StopsReading(discarded int) bool { return discarded > maxDiscardedBytes }

// Arrival describes a request that has just been read. Held and MaxHeld count requests that have not ended, not only
// those that wait for a server.
type Arrival struct {
	DescriptorsShort bool // its connection was accepted while descriptors were short, or is being closed to free one
	ShuttingDown     bool // the process accepts no new requests
	Held             int  // including this one
	MaxHeld          int  // the largest number allowed
}

// RejectsRequest reports whether a request is rejected before it reaches the core, and the cause if so.
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

// EvictionClass is a class of idle connections. When a descriptor is needed, the oldest connection of the lowest
// non-empty class is closed.
type EvictionClass uint8

// The classes, in the order of eviction.
const (
	Answered        EvictionClass = iota // the client has its final answer
	NoRequest                            // the client has sent nothing, or one PING
	HealthChecks                         // the client has sent several PINGs, as a health checker does
	EvictionClasses                      // number of classes
)

// ClassOf returns the eviction class of an idle connection. answered says whether the client has its final answer;
// pings is the number of its PINGs that were answered.
func ClassOf(answered bool, pings int) EvictionClass {
	switch {
	case answered:
		return Answered
	case pings > 1:
		return HealthChecks
	}
	return NoRequest
}

// OpenLimiter limits the rate at which one client may open channels. It is a token bucket that holds the tokens of one
// second.
type OpenLimiter struct {
	tokens float64
	at     monotime.Micros // when tokens was last refilled
}

// NewOpenLimiter returns a limiter with a full bucket. perSecond is both its rate and its size.
func NewOpenLimiter(now monotime.Micros, perSecond float64) OpenLimiter {
	return OpenLimiter{tokens: perSecond, at: now}
}

// Admit reports whether one more channel may be opened, and takes a token if so. open is the number of channels that
// the client has, limit the number allowed.
func (l *OpenLimiter) Admit(now monotime.Micros, perSecond float64, open, limit int) bool {
	l.tokens = min(l.tokens+perSecond*float64(now-l.at)/float64(monotime.Second), perSecond)
	l.at = now
	if l.tokens < 1 || open >= limit {
		return false
	}
	l.tokens--
	return true
}
