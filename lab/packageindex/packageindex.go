// Package packageindex emulates the package index: for every stream, numbered messages that are due at known times.
// Each message is a pure function of the stream's key and the message's number. Therefore all emulated nodes have the
// same index without communication, and a checker can recompute the messages that a client must have received. The
// package must not know nodes or clients.
package packageindex

import (
	"encoding/binary"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minMessageBytes is the minimum length of a message's text. Shorter texts of different messages could be equal.
	minMessageBytes = 16
	// A text consists of the hexadecimal digits of a linear congruential sequence with these parameters.
	textMultiplier = 0x9e3779b97f4a7c15
	textIncrement  = 1
	// phaseStream selects the random sequence from which the phase of a key is drawn.
	phaseStream = 1
)

// Index defines the messages of all streams. Epoch and Interval must be set. It has no state.
type Index struct {
	Epoch            time.Time     // before it there are no messages
	Interval         time.Duration // between two messages of a stream
	RetainedMessages uint64        // messages of a stream that a node's log retains
	MessageBytes     int           // minimum length of a message's text; minMessageBytes if that is more
}

// phase returns a stream's offset within the interval. It spreads the messages of different streams over time.
func (x *Index) phase(key uint64) time.Duration {
	return time.Duration(rand.New(rand.NewPCG(key, phaseStream)).Int64N(int64(x.Interval)))
}

// Due returns the time from which message n of a stream exists; numbers start at 1.
func (x *Index) Due(key, n uint64) time.Time {
	return x.Epoch.Add(x.phase(key) + time.Duration(n)*x.Interval)
}

// Head returns the number of the last message that exists at now; 0 if there is none.
func (x *Index) Head(key uint64, now time.Time) uint64 {
	since := now.Sub(x.Epoch) - x.phase(key)
	if since < x.Interval {
		return 0
	}
	return uint64(since / x.Interval)
}

// OldestCursor returns the lowest cursor after which a node can continue a stream at now, because its log retains all
// later messages.
func (x *Index) OldestCursor(key uint64, now time.Time) uint64 {
	head := x.Head(key, now)
	if head <= x.RetainedMessages {
		return 0
	}
	return head - x.RetainedMessages
}

// AppendMessage appends the line of message n of a stream to a buffer, with its end, as a node sends it.
func (x *Index) AppendMessage(to []byte, key, n uint64) []byte {
	to = append(to, '#')
	to = strconv.AppendUint(to, n, 10)
	to = append(to, ' ')
	var seed [16]byte
	binary.LittleEndian.PutUint64(seed[:8], key)
	binary.LittleEndian.PutUint64(seed[8:], n)
	word := xxhash.Sum64(seed[:])
	end := len(to) + max(x.MessageBytes, minMessageBytes)
	for len(to) < end {
		to = strconv.AppendUint(to, word, 16)
		word = word*textMultiplier + textIncrement
	}
	return append(to, '\r', '\n')
}
