// Package packageindex is the emulated package index: for every stream, numbered messages that fall due at known times.
// Each message is a pure function of the stream's key and its number, so that every emulated node has the same index
// without communication, and a checker can tell whether what a client was sent is what it should have been.
package packageindex

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Index says how often messages come and how many of them a node's log keeps.
type Index struct {
	Epoch    time.Time     // before it there is no message
	Interval time.Duration // between two messages of one stream
	Keep     uint64        // messages that a log still has
	Length   int           // of a message's text, about, in bytes
}

// phase spreads the streams' messages over the interval.
func (x *Index) phase(key uint64) time.Duration {
	return time.Duration(rand.New(rand.NewPCG(key, 1)).Int64N(int64(x.Interval)))
}

// Due is when message n of a stream exists; numbers start at 1.
func (x *Index) Due(key, n uint64) time.Time {
	return x.Epoch.Add(x.phase(key) + time.Duration(n)*x.Interval)
}

// Head is the number of the last message that exists at now, 0 where none does.
func (x *Index) Head(key uint64, now time.Time) uint64 {
	since := now.Sub(x.Epoch) - x.phase(key)
	if since < x.Interval {
		return 0
	}
	return uint64(since / x.Interval)
}

// Floor is the lowest cursor after which a log can continue at now.
func (x *Index) Floor(key uint64, now time.Time) uint64 {
	head := x.Head(key, now)
	if head <= x.Keep {
		return 0
	}
	return head - x.Keep
}

// Line appends message n of a stream as a node sends it, with its end.
func (x *Index) Line(to []byte, key, n uint64) []byte {
	to = append(to, '#')
	to = strconv.AppendUint(to, n, 10)
	to = append(to, ' ')
	var seed [16]byte
	for i := range 8 {
		seed[i], seed[8+i] = byte(key>>(8*i)), byte(n>>(8*i))
	}
	for word, from := xxhash.Sum64(seed[:]), len(to); len(to)-from < max(x.Length,
		16); word = word*0x9e3779b97f4a7c15 + 1 {
		to = strconv.AppendUint(to, word, 16)
	}
	return append(to, '\r', '\n')
}
