// Package messagedelay measures how long one server takes to answer the lines of established connections, and decides
// when the core is to be notified of it. It is for servers that don't report their message latency themselves. It has
// no clock and knows no connections.
//
// The invariant: samples are not older than window once they count, and the state of one server is bounded by the lines
// that it answers within that.
package messagedelay

import (
	"cmp"
	"slices"

	"spurspread/decision/monotime"
)

const (
	// window is for how long a line that was answered counts.
	window = 1 * monotime.Second
	// reportInterval is the time between two reports while a server is slow.
	reportInterval = 1 * monotime.Second
	// selfReportValidity is for how long a server's own report of its latency counts.
	selfReportValidity = 2 * monotime.Second
	// objectiveDivisor gives the part of the shortest latency objective above which a server's messages are slow.
	objectiveDivisor = 3
	// MaxTimedLines is how many unanswered lines of one client are timed at once.
	MaxTimedLines = 64
)

// SlowLimit is the message latency above which a server is reported as slow: a third of the shortest positive
// objective. It is 0 where nothing is to be reported, because no class has an objective.
func SlowLimit(objectives []monotime.Micros) monotime.Micros {
	var shortest monotime.Micros
	for _, objective := range objectives {
		if objective > 0 && (shortest == 0 || objective < shortest) {
			shortest = objective
		}
	}
	return shortest / objectiveDivisor
}

// LoadLineIsLatency reports what the number of a server's LOAD line is: its message latency in milliseconds where the
// settings promise reports of latency and none of load, else the connection's load.
func LoadLineIsLatency(reportsDelay, reportsLoad bool) bool { return reportsDelay && !reportsLoad }

type sample struct{ at, took monotime.Micros }

// Estimator holds what is known of one server's message latency. The zero value knows nothing.
type Estimator struct {
	samples        []sample          // lines that were answered, oldest first
	unanswered     []monotime.Micros // ages of the oldest unanswered lines, as of the last look
	slow           bool              // as last reported
	reportedAt     monotime.Micros
	selfReportedAt monotime.Micros // when the server last reported its latency itself; 0 for never
}

// Record notes that a line was answered after took. Calls come with times that never go back.
func (e *Estimator) Record(now, took monotime.Micros) {
	e.samples = append(e.samples, sample{now, took})
}

// SelfReported notes that the server reported its latency itself.
func (e *Estimator) SelfReported(now monotime.Micros) { e.selfReportedAt = now }

// ResetUnanswered begins a look at the unanswered lines.
func (e *Estimator) ResetUnanswered() { e.unanswered = e.unanswered[:0] }

// AddUnanswered notes the age of a connection's oldest unanswered line.
func (e *Estimator) AddUnanswered(age monotime.Micros) { e.unanswered = append(e.unanswered, age) }

// Discard drops all samples. Where nobody wants reports they would pile up for as long as lines come.
func (e *Estimator) Discard() { e.samples = nil }

// Samples is how many answered lines are held.
func (e *Estimator) Samples() int { return len(e.samples) }

// dropExpired drops what is older than the window.
func (e *Estimator) dropExpired(now monotime.Micros) {
	old, _ := slices.BinarySearchFunc(
		e.samples,
		now-window,
		func(s sample, from monotime.Micros) int { return cmp.Compare(s.at, from) },
	)
	e.samples = slices.Delete(e.samples, 0, old)
}

// IsSlow reports whether the median exceeds the limit, and whether anything is known. It comes to Median's verdict
// without sorting all samples: it is called for each server several times a second.
func (e *Estimator) IsSlow(now, limit monotime.Micros) (slow, known bool) {
	e.dropExpired(now)
	over, all := 0, len(e.samples)
	for _, s := range e.samples {
		if s.took > limit {
			over++
		}
	}
	for _, age := range e.unanswered {
		if age > limit {
			over++
			all++
		}
	}
	known = all > 0
	return known && all-over <= all/2, known
}

// Median is the median of what lines took within the window; false where nothing is known. An unanswered line that is
// older than the limit counts with its age: a server that stopped answering would otherwise look as it did before.
func (e *Estimator) Median(now, limit monotime.Micros) (monotime.Micros, bool) {
	e.dropExpired(now)
	var all []monotime.Micros
	for _, s := range e.samples {
		all = append(all, s.took)
	}
	for _, age := range e.unanswered {
		if age > limit {
			all = append(all, age)
		}
	}
	if len(all) == 0 {
		return 0, false
	}
	slices.Sort(all)
	return all[len(all)/2], true
}

// Report decides whether the core is notified of the server's latency now, and gives the latency. That is so while the
// server is slow, once a reportInterval, and once when it no longer is. A server whose lines come back fast but that
// lately reported a latency itself is left to that. canReport tells whether there is an established connection in whose
// name to report; without one the report is still due.
func (e *Estimator) Report(now, limit monotime.Micros, canReport bool) (latency monotime.Micros, due bool) {
	slow, known := e.IsSlow(now, limit)
	if !slow && e.reportsItself(now) {
		return 0, false
	}
	if !known || !canReport || !e.reportDue(now, slow) {
		return 0, false
	}
	latency, _ = e.Median(now, limit)
	return latency, true
}

func (e *Estimator) reportsItself(now monotime.Micros) bool {
	return e.selfReportedAt != 0 && now-e.selfReportedAt < selfReportValidity
}

// reportDue decides whether a report goes out now, and then counts it as sent.
func (e *Estimator) reportDue(now monotime.Micros, slow bool) bool {
	becameSlow := slow && !e.slow
	stillSlow := slow && e.slow && now-e.reportedAt >= reportInterval
	recovered := !slow && e.slow
	if !becameSlow && !stillSlow && !recovered {
		return false
	}
	e.slow = slow
	e.reportedAt = now
	return true
}
