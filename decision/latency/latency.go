// Package latency estimates, from what notes tell of how long messages take at one server, whether it is late, how
// many of this balancer's connections it seems to carry, and which part of them is too much. It knows no fleet, no
// clock and no requests; times are microseconds.
package latency

import (
	"math"
	"spurspread/decision/monotime"
)

const (
	second = 1_000_000

	// SlowThreshold is the part of the shortest message aim above which a server is slow, MoveAt that above which connections
	// are moved away from it.
	SlowThreshold, MoveThreshold = 0.35, 0.6
	// ReportLifetime is how long a note says something.
	ReportLifetime = 2 * second

	minReportInterval = 400 * second / 1000 // notes closer than this are the same news, on another connection
	backlogDrainTime  = 2 * second          // in which what waits is to be done
	capacityDecrease  = 0.9                 // of what a server had that could not carry it, it may have again
	capacityGrowth    = 0.05                // a second, by which that rises while it is in time
	minCapacityGrowth = 1.0                 // the same, in connections
)

// Estimate is what notes told of one server. New makes one.
type Estimate struct {
	ConnectionCapacity float64         // connections of this balancer's that the server seems to carry
	delay              float64         // the last note, as a multiple of the shortest message aim
	reportedAt         monotime.Micros // when it came
	growth             float64         // seconds by which the delay grew, a second
}

// New returns what is known of a server of which no note has come.
func New() Estimate { return Estimate{ConnectionCapacity: math.Inf(1)} }

// ObserveDelay takes the time that a message takes at a server which holds so many connections of this balancer's. It
// returns false where that is no news.
func (e *Estimate) ObserveDelay(now monotime.Micros, took, aim, held float64) bool {
	if aim <= 0 || now-e.reportedAt < minReportInterval {
		return false
	}
	// By how much what waits there grew in a second tells how much more it is sent than it can do.
	was, span := SlowThreshold, float64(second)
	if e.DelayKnown(now) {
		was, span = e.delay, float64(now-e.reportedAt)
	}
	e.delay, e.reportedAt = took/aim, now
	e.growth = (e.delay - was) * aim / span
	if e.MeasuredSlow() {
		e.ConnectionCapacity = min(e.ConnectionCapacity, held)
	}
	if e.delay > MoveThreshold {
		e.ConnectionCapacity = min(e.ConnectionCapacity, held*capacityDecrease)
	}
	return true
}

// DelayKnown tells whether the last note still says something.
func (e *Estimate) DelayKnown(now monotime.Micros) bool { return now-e.reportedAt <= ReportLifetime }

// MeasuredSlow tells whether the last note, whenever it came, told of a slow server.
func (e *Estimate) MeasuredSlow() bool { return e.delay > SlowThreshold }

// MissesObjective tells that messages are known to miss their aim now.
func (e *Estimate) MissesObjective(now monotime.Micros) bool {
	return e.delay > MoveThreshold && now-e.reportedAt < ReportLifetime
}

// DelayRatio is the last note's time as a multiple of an aim, where aim is the shortest.
func (e *Estimate) DelayRatio(aim, of float64) float64 { return e.delay * aim / of }

// ExcessPart is what the server is sent beyond what it can do, and of the rest so much that what waits is done within
// easeSpan: a part of all connections there, whoever holds them.
func (e *Estimate) ExcessPart(aim float64) float64 {
	return (e.growth + e.delay*aim/backlogDrainTime) / (1 + max(e.growth, 0))
}

// GrowCapacity lets the server have some more again; span is the time since the last call.
func (e *Estimate) GrowCapacity(now, span monotime.Micros) {
	if !e.DelayKnown(now) {
		e.ConnectionCapacity += max(e.ConnectionCapacity*capacityGrowth, minCapacityGrowth) * float64(span) / second
	}
}
