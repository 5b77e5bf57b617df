package decision

import (
	"math"
	"slices"
)

const (
	// utilizationColumnName is the column of load reports that holds a server's load over what it can take.
	utilizationColumnName = "x0"
	// hintMemory is how many load hints their mean goes by.
	hintMemory = 500
)

// estimateLoad sets what a new request's connection is expected to take of a server: its hint, or the mean load of a
// connection.
func (b *Balancer) estimateLoad(r *request, ev *Request) {
	if !ev.HasLoadHint || ev.LoadHint <= 0 {
		r.load = b.loadModel.MeanLoad()
		return
	}
	b.hintCount++
	memory := min(b.hintCount, hintMemory)
	b.meanHint += (ev.LoadHint - b.meanHint) / memory
	r.relativeWork = ev.LoadHint / b.meanHint
	b.meanChargedWork += (max(r.relativeWork, 1) - b.meanChargedWork) / memory
	r.load = ev.LoadHint / microCoresPerCore
	b.loadModel.ObserveHint(r.load)
}

// onLoadMetric replaces the load that a connection is charged with by the measured one.
func (b *Balancer) onLoadMetric(ev ConnectionMetric) {
	r := b.requests[ev.ID]
	if r == nil || r.chargedTo == nil {
		return
	}
	measured := ev.Value / microCoresPerCore
	r.chargedTo.load.OwnLoad += measured - r.load
	r.load = measured
	b.loadModel.Observe(r.load)
}

// requestLoadReports probes servers for load reports, as far as the report budget and maxConcurrentProbes allow, those
// first whose last report was requested longest ago. Reports are worth their cost only where they bring a utilization.
func (b *Balancer) requestLoadReports(now Micros) {
	for _, s := range b.servers {
		s.load.SampleUtilization(now, &b.loadModel, b.warmupFactor(now, s))
	}
	if !b.settings.AllowProbes || b.utilizationColumn() < 0 {
		return
	}
	for b.probesUnderWay < maxConcurrentProbes {
		s := b.longestWithoutReport()
		if s == nil || !b.reportBudget.RequestDue(now, &s.load) {
			return
		}
		b.probeServer(s)
	}
}

// longestWithoutReport returns the server of which a report is useful and was requested longest ago; nil if there
// is none.
func (b *Balancer) longestWithoutReport() *server {
	var longest *server
	for _, s := range b.servers {
		if b.reportUseful(s) && (longest == nil || s.load.ReportRequestedAt < longest.load.ReportRequestedAt) {
			longest = s
		}
	}
	return longest
}

// reportUseful reports whether a server's load matters to this balancer: it may get connections, and is in the home
// zone, has connections of this balancer, or was never asked.
func (b *Balancer) reportUseful(s *server) bool {
	return s.State == Ready && !s.probing &&
		(s.load.OwnConnections > 0 || b.inHomeZone(s) || s.load.ReportRequestedAt == 0)
}

// utilizationColumn returns the place of the utilization in load reports, -1 where they have none.
func (b *Balancer) utilizationColumn() int {
	return slices.Index(b.settings.LoadReportColumns, utilizationColumnName)
}

// reportedUtilization reads a server's load over what it can take from a load report; reported is false where that is
// absent, negative or not a finite number.
func (b *Balancer) reportedUtilization(report LoadReport) (utilization float64, reported bool) {
	column := b.utilizationColumn()
	if column < 0 || column >= report.Count {
		return 0, false
	}
	value := float64(report.Values[column])
	if math.IsNaN(value) || math.IsInf(value, 0) || value < 0 {
		return 0, false
	}
	return value, true
}
