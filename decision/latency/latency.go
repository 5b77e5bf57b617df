// Package latency estimates, from what notes tell of how long messages take at one server, whether it is late, how
// many of this balancer's connections it seems to carry, and which part of them is too much. It knows no fleet, no
// clock and no requests; times are microseconds.
package latency

import (
	"math"
	"spurspread/decision/monotime"
)

const (
	sec = 1_000_000

	// SlowAt is the part of the shortest message aim above which a server is slow, MoveAt that above which connections
	// are moved away from it.
	SlowAt, MoveAt = 0.35, 0.6
	// Fresh is how long a note says something.
	Fresh = 2 * sec

	apart    = 400 * sec / 1000 // notes closer than this are the same news, on another connection
	easeSpan = 2 * sec          // in which what waits is to be done
	mostCut  = 0.9              // of what a server had that could not carry it, it may have again
	mostGrow = 0.05             // a second, by which that rises while it is in time
	leastUp  = 1.0              // the same, in connections
)

// Estimate is what notes told of one server. New makes one.
type Estimate struct {
	Most  float64         // connections of this balancer's that the server seems to carry
	delay float64         // the last note, as a multiple of the shortest message aim
	at    monotime.Micros // when it came
	rise  float64         // seconds by which the delay grew, a second
}

// New returns what is known of a server of which no note has come.
func New() Estimate { return Estimate{Most: math.Inf(1)} }

// Note takes the time that a message takes at a server which holds so many connections of this balancer's. It
// returns false where that is no news.
func (e *Estimate) Note(now monotime.Micros, took, aim, held float64) bool {
	if aim <= 0 || now-e.at < apart {
		return false
	}
	// By how much what waits there grew in a second tells how much more it is sent than it can do.
	was, span := SlowAt, float64(sec)
	if e.Told(now) {
		was, span = e.delay, float64(now-e.at)
	}
	e.delay, e.at = took/aim, now
	e.rise = (e.delay - was) * aim / span
	if e.Slow() {
		e.Most = min(e.Most, held)
	}
	if e.delay > MoveAt {
		e.Most = min(e.Most, held*mostCut)
	}
	return true
}

// Told tells whether the last note still says something.
func (e *Estimate) Told(now monotime.Micros) bool { return now-e.at <= Fresh }

// Slow tells whether the last note, whenever it came, told of a slow server.
func (e *Estimate) Slow() bool { return e.delay > SlowAt }

// Late tells that messages are known to miss their aim now.
func (e *Estimate) Late(now monotime.Micros) bool { return e.delay > MoveAt && now-e.at < Fresh }

// Times is the last note's time as a multiple of an aim, where aim is the shortest.
func (e *Estimate) Times(aim, of float64) float64 { return e.delay * aim / of }

// Part is what the server is sent beyond what it can do, and of the rest so much that what waits is done within
// easeSpan: a part of all connections there, whoever holds them.
func (e *Estimate) Part(aim float64) float64 {
	return (e.rise + e.delay*aim/easeSpan) / (1 + max(e.rise, 0))
}

// Grow lets the server have some more again; span is the time since the last call.
func (e *Estimate) Grow(now, span monotime.Micros) {
	if !e.Told(now) {
		e.Most += max(e.Most*mostGrow, leastUp) * float64(span) / sec
	}
}
