// Package messagedelay measures how long one server takes to answer the lines of established connections, and decides
// when to report that latency to the core. It is for servers that don't report their message latency themselves. It has
// no clock and knows no connections.
//
// Invariant: only samples that are not older than window are used, and the state of one server is bounded by the number
// of lines that it answers within that time.
package messagedelay

import (
	"cmp"
	"slices"

	"spurspread/decision/monotime"
)

const (
	// window is the time for which the sample of an answered line is used.
	window = 1 * monotime.Second
	// reportInterval is the time between two reports while a server is slow.
	reportInterval = 1 * monotime.Second
	// selfReportValidity is the time for which a server's own report of its latency is valid.
	selfReportValidity = 2 * monotime.Second
	// objectiveDivisor sets the fraction of the shortest latency objective above which a server's messages are slow.
	objectiveDivisor = 3
	// MaxTimedLines is the largest number of unanswered lines of one client that are timed at once.
	MaxTimedLines = 64
)

// SlowLimit returns the message latency above which a server is slow: a third of the shortest positive objective. It
// returns 0 if no class has an objective, so that nothing is to be reported.
func SlowLimit(objectives []monotime.Micros) monotime.Micros {
	var shortest monotime.Micros
	for _, objective := range objectives {
		if objective > 0 && (shortest == 0 || objective < shortest) {
			shortest = objective
		}
	}
	return shortest / objectiveDivisor
}

// LoadLineIsLatency reports whether the number in a server's LOAD line is its message latency in milliseconds: the
// settings say that servers report latency and not load. Otherwise it is the connection's load.
func LoadLineIsLatency(reportsDelay, reportsLoad bool) bool { return reportsDelay && !reportsLoad }

// sample is the time that the server took to answer one line.
type sample struct{ at, took monotime.Micros }

// Estimator estimates one server's message latency. The zero value has no samples.
type Estimator struct {
	samples        []sample          // answered lines, oldest first
	unanswered     []monotime.Micros // ages of the oldest unanswered lines, at the last check
	slow           bool              // whether the last report was of a slow server
	reportedAt     monotime.Micros
	selfReportedAt monotime.Micros // when the server last reported its own latency; 0 for never
}

// Record records that a line was answered after took. Successive calls must have times that don't decrease.
func (e *Estimator) Record(now, took monotime.Micros) {
	e.samples = append(e.samples, sample{now, took})
}

// SelfReported records that the server reported its own latency.
func (e *Estimator) SelfReported(now monotime.Micros) { e.selfReportedAt = now }

// ResetUnanswered discards the ages of unanswered lines, before a new check adds them again.
func (e *Estimator) ResetUnanswered() { e.unanswered = e.unanswered[:0] }

// AddUnanswered adds the age of a connection's oldest unanswered line.
func (e *Estimator) AddUnanswered(age monotime.Micros) { e.unanswered = append(e.unanswered, age) }

// Discard drops all samples. It is called while no reports are wanted, when samples would otherwise accumulate with
// every line.
func (e *Estimator) Discard() { e.samples = nil }

// Samples returns the number of samples.
func (e *Estimator) Samples() int { return len(e.samples) }

// dropExpired drops the samples that are older than window.
func (e *Estimator) dropExpired(now monotime.Micros) {
	old, _ := slices.BinarySearchFunc(
		e.samples,
		now-window,
		func(s sample, from monotime.Micros) int { return cmp.Compare(s.at, from) },
	)
	e.samples = slices.Delete(e.samples, 0, old)
}

// IsSlow reports whether the median latency exceeds the limit, and whether anything is known. It agrees with Median
// without sorting all samples, because it is called for each server several times a second.
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

// Median returns the median latency of the lines within window, and false if nothing is known. An unanswered line that
// is older than the limit counts with its age, because a server that stopped answering would otherwise keep its former
// latency.
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

// Report decides whether to report the server's latency to the core now, and returns the latency. A report is due once
// every reportInterval while the server is slow, and once when it no longer is. Nothing is due for a server that is not
// slow and recently reported its own latency. canReport says whether there is an established connection on which to
// report; without one the report stays due.
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

// reportsItself reports whether the server has reported its own latency within selfReportValidity.
func (e *Estimator) reportsItself(now monotime.Micros) bool {
	return e.selfReportedAt != 0 && now-e.selfReportedAt < selfReportValidity
}

// reportDue reports whether a report is due now, and if so records it as sent.
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
