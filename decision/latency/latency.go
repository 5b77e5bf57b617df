// Package latency estimates, from a server's delay reports, whether its messages are late, how many of this balancer's
// connections it can sustain, and which part of its connections is too much.
//
// It does not know the fleet, clocks or requests. The core keeps one Estimate per server, passes each report to
// ObserveDelay and calls GrowCapacity once a tick. Points in time are monotime.Micros; delays and objectives are
// microseconds as float64. Delays are kept as multiples of the shortest latency objective that any class has for its
// messages, so that the thresholds below apply to whatever objectives are set.
//
// Invariant: the capacity falls only with a report of a slow server, and rises only while there is no recent report.
package latency

import (
	"math"

	"spurspread/decision/monotime"
)

const (
	// SlowThreshold is the delay, as a part of the shortest objective, above which a server is slow.
	SlowThreshold = 0.35
	// MoveThreshold is the delay, as a part of an objective, above which connections are moved off a server.
	MoveThreshold = 0.6
	// ReportLifetime is for how long a report is valid.
	ReportLifetime = 2 * monotime.Second

	// minReportInterval is the time within which a further report is taken for the same one on another connection.
	minReportInterval = 400 * monotime.Millisecond
	// backlogDrainTime is the time, in microseconds, within which a server's backlog is to be worked off.
	backlogDrainTime = 2 * float64(monotime.Second)
	// capacityDecrease is the part of its connections that a server which misses objectives keeps as its capacity.
	capacityDecrease = 0.9
	// capacityGrowth is the part by which the capacity grows per second while there is no recent report.
	capacityGrowth = 0.05
	// minCapacityGrowth is how many connections the capacity grows by per second at least, then.
	minCapacityGrowth = 1.0
)

// Estimate is what reports imply about one server. Its zero value is not usable; see New.
type Estimate struct {
	// ConnectionCapacity is how many of this balancer's connections the server can sustain; infinite until it is slow.
	ConnectionCapacity float64

	delay      float64         // in the last report, as a multiple of the shortest objective
	reportedAt monotime.Micros // when that arrived
	growth     float64         // of the delay between the last two reports, in seconds per second
}

// New returns the estimate of a server that has not reported yet.
func New() Estimate { return Estimate{ConnectionCapacity: math.Inf(1)} }

// ObserveDelay takes a report that a message takes so many microseconds at the server, while this balancer has so many
// connections there. objective is the shortest latency objective of messages, in microseconds. It returns false, and
// changes nothing, for a report without an objective to compare with or within minReportInterval of the last.
func (e *Estimate) ObserveDelay(now monotime.Micros, delay, objective, connections float64) bool {
	if objective <= 0 || now-e.reportedAt < minReportInterval {
		return false
	}
	// Without a recent report the delay is taken to have been just below slow a second ago.
	before, span := SlowThreshold, float64(monotime.Second)
	if e.DelayKnown(now) {
		before, span = e.delay, float64(now-e.reportedAt)
	}
	e.delay = delay / objective
	e.reportedAt = now
	e.growth = (e.delay - before) * objective / span
	e.limitCapacity(connections)
	return true
}

// limitCapacity decides how many connections the server can sustain, given that the last report was made with so many:
// no more than those if it is slow, and capacityDecrease of those if it misses objectives.
func (e *Estimate) limitCapacity(connections float64) {
	if e.MeasuredSlow() {
		e.ConnectionCapacity = min(e.ConnectionCapacity, connections)
	}
	if e.delay > MoveThreshold {
		e.ConnectionCapacity = min(e.ConnectionCapacity, connections*capacityDecrease)
	}
}

// DelayKnown reports whether the last report is still valid.
func (e *Estimate) DelayKnown(now monotime.Micros) bool { return now-e.reportedAt <= ReportLifetime }

// MeasuredSlow decides whether the server was slow in its last report, however long ago: its delay was above
// SlowThreshold.
func (e *Estimate) MeasuredSlow() bool { return e.delay > SlowThreshold }

// MissesObjective decides whether the server's messages are known to be late now: its delay was above MoveThreshold,
// less than ReportLifetime ago.
func (e *Estimate) MissesObjective(now monotime.Micros) bool {
	return e.delay > MoveThreshold && now-e.reportedAt < ReportLifetime
}

// DelayRatio returns the last delay as a multiple of one class's objective. shortest is the shortest objective; both
// are microseconds.
func (e *Estimate) DelayRatio(shortest, objective float64) float64 {
	return e.delay * shortest / objective
}

// ExcessFraction decides which part of all connections at the server, of whichever balancer, is too much: what it is
// sent beyond what it can do, which shows in the growth of its delay, and of the rest so much that the backlog is
// worked off within backlogDrainTime. Below 0 where the backlog shrinks quickly enough. shortest is the shortest
// objective, in microseconds. Each balancer moves this part of its own connections.
func (e *Estimate) ExcessFraction(shortest float64) float64 {
	return (e.growth + e.delay*shortest/backlogDrainTime) / (1 + max(e.growth, 0))
}

// GrowCapacity lets the server have more connections again while it has no recent report: capacityGrowth per second,
// at least minCapacityGrowth connections. elapsed is the time since the last call.
func (e *Estimate) GrowCapacity(now, elapsed monotime.Micros) {
	if e.DelayKnown(now) {
		return
	}
	perSecond := max(e.ConnectionCapacity*capacityGrowth, minCapacityGrowth)
	e.ConnectionCapacity += perSecond * float64(elapsed) / float64(monotime.Second)
}
