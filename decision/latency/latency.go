// Package latency estimates, from reports of a server's message latency, whether it is slow, how many of this
// balancer's connections it can sustain, and which fraction of its connections is too much.
//
// It does not know the fleet, clocks or requests. The core keeps one Estimate per server, passes each report to
// ObserveDelay and calls GrowCapacity once a tick. Points in time are monotime.Micros; message latencies, here called
// delays, and objectives are microseconds as float64. Delays are kept as multiples of the shortest latency objective
// that any class has for its messages, so that the thresholds below apply whatever the objectives are.
//
// Invariant: the capacity falls only on a report of a slow server, and grows only without a recent report.
package latency

import (
	"math"

	"spurspread/decision/monotime"
)

const (
	// SlowThreshold is the delay, as a fraction of the shortest objective, above which a server is slow.
	SlowThreshold = 0.35
	// MoveThreshold is the delay, as a fraction of an objective, above which connections are moved off a server. Moves
	// thus begin before the objective itself is missed.
	MoveThreshold = 0.6
	// ReportLifetime is the time for which a report is valid.
	ReportLifetime = 2 * monotime.Second

	// minReportInterval is the time within which another report is assumed to be the same report on another connection.
	minReportInterval = 400 * monotime.Millisecond
	// backlogDrainTime is the time, in microseconds, within which a server's backlog should be worked off.
	backlogDrainTime = 2 * float64(monotime.Second)
	// capacityDecrease limits the capacity of a server whose delay is above MoveThreshold, as a fraction of the
	// connections that it has.
	capacityDecrease = 0.9
	// capacityGrowth is the fraction by which the capacity grows per second without a recent report.
	capacityGrowth = 0.05
	// minCapacityGrowth is the least growth of the capacity, in connections per second.
	minCapacityGrowth = 1.0
)

// Estimate is the estimate for one server, derived from its reports. Its zero value is not usable; see New.
type Estimate struct {
	// ConnectionCapacity is the number of this balancer's connections that the server can sustain; infinite until it is
	// slow.
	ConnectionCapacity float64

	delay      float64         // delay in the last report, as a multiple of the shortest objective
	reportedAt monotime.Micros // when the last report arrived
	growth     float64         // growth of the delay between the last two reports, in seconds per second
}

// New returns the estimate of a server that has not reported yet.
func New() Estimate { return Estimate{ConnectionCapacity: math.Inf(1)} }

// ObserveDelay records a report that a message takes delay microseconds at the server while this balancer has the given
// number of connections there. objective is the shortest latency objective of messages, in microseconds. It returns
// false, and changes nothing, if objective is 0 or less or the last report came within minReportInterval.
func (e *Estimate) ObserveDelay(now monotime.Micros, delay, objective, connections float64) bool {
	if objective <= 0 || now-e.reportedAt < minReportInterval {
		return false
	}
	// Without a recent report, assume that the delay was just below slow a second ago.
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

// limitCapacity lowers the capacity after a report that was made with the given number of connections: to that number
// if the server is slow, and to capacityDecrease of it if the delay is above MoveThreshold.
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

// MeasuredSlow reports whether the server was slow in its last report, however long ago: its delay was above
// SlowThreshold.
func (e *Estimate) MeasuredSlow() bool { return e.delay > SlowThreshold }

// AboveMoveThreshold reports whether the server's delay is known to be above MoveThreshold now: it was in a report less
// than ReportLifetime ago.
func (e *Estimate) AboveMoveThreshold(now monotime.Micros) bool {
	return e.delay > MoveThreshold && now-e.reportedAt < ReportLifetime
}

// DelayRatio returns the last delay as a multiple of one class's objective. shortest is the shortest objective of all
// classes; both are in microseconds.
func (e *Estimate) DelayRatio(shortest, objective float64) float64 {
	return e.delay * shortest / objective
}

// ExcessFraction returns the fraction of all connections at the server, of all balancers, that is too much. It covers
// the load beyond the server's throughput, which shows in the growth of its delay, and enough of the rest to work off
// the backlog within backlogDrainTime. It is below 0 if the backlog shrinks quickly enough. shortest is the shortest
// objective, in microseconds. Each balancer moves this fraction of its own connections.
func (e *Estimate) ExcessFraction(shortest float64) float64 {
	return (e.growth + e.delay*shortest/backlogDrainTime) / (1 + max(e.growth, 0))
}

// GrowCapacity raises the capacity while the server has no recent report: by capacityGrowth per second, at least by
// minCapacityGrowth connections per second. elapsed is the time since the last call.
func (e *Estimate) GrowCapacity(now, elapsed monotime.Micros) {
	if e.DelayKnown(now) {
		return
	}
	perSecond := max(e.ConnectionCapacity*capacityGrowth, minCapacityGrowth)
	e.ConnectionCapacity += perSecond * float64(elapsed) / float64(monotime.Second)
}
