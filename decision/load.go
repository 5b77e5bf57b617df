package decision

import (
	"math"
	"slices"
)

const (
	// utilizationColumnName is the load report column that holds a server's utilization: its load over its capacity.
	utilizationColumnName = "x0"
	// hintWindow is the number of load hints over which their moving average is taken.
	hintWindow = 500
)

// estimateLoad sets the expected load of a new request's connection: its load hint, or the mean load of a connection if
// there is none. A hint also sets the request's relativeWork and is added to the moving averages.
func (b *Balancer) estimateLoad(r *request, ev *Request) {
	if !ev.HasLoadHint || ev.LoadHint <= 0 {
		r.load = b.loadModel.MeanLoad()
		return
	}
	b.hintCount++
	window := min(b.hintCount, hintWindow)
	b.meanHint += (ev.LoadHint - b.meanHint) / window
	r.relativeWork = ev.LoadHint / b.meanHint
	b.meanChargedWork += (max(r.relativeWork, 1) - b.meanChargedWork) / window
	r.load = ev.LoadHint / microCoresPerCore
	b.loadModel.ObserveHint(r.load)
}

// onLoadMetric replaces the load that a connection is charged with by the measured load.
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

// requestLoadReports probes servers for load reports as far as the report budget and maxConcurrentProbes allow,
// starting with the server whose report was requested least recently. It requests none if Settings.AllowProbes is not
// set or load reports have no utilization column. In any case it samples the known utilization of all servers.
func (b *Balancer) requestLoadReports(now Micros) {
	for _, s := range b.servers {
		s.load.SampleUtilization(now, &b.loadModel, b.warmupFactor(now, s))
	}
	if !b.settings.AllowProbes || b.utilizationColumn() < 0 {
		return
	}
	for b.probesUnderWay < maxConcurrentProbes {
		s := b.serverWithOldestReport()
		if s == nil || !b.reportBudget.RequestDue(now, &s.load) {
			return
		}
		b.probeServer(s)
	}
}

// serverWithOldestReport returns the server whose report was requested least recently, of those whose report is useful.
// It returns nil if there is none.
func (b *Balancer) serverWithOldestReport() *server {
	var oldest *server
	for _, s := range b.servers {
		if b.reportUseful(s) && (oldest == nil || s.load.ReportRequestedAt < oldest.load.ReportRequestedAt) {
			oldest = s
		}
	}
	return oldest
}

// reportUseful reports whether a server's load matters to this balancer. The server must be Ready and not being probed,
// and must either have connections of this balancer, be in the home zone, or never have been asked for a report.
func (b *Balancer) reportUseful(s *server) bool {
	return s.State == Ready && !s.probing &&
		(s.load.OwnConnections > 0 || b.inHomeZone(s) || s.load.ReportRequestedAt == 0)
}

// utilizationColumn returns the index of the utilization in load reports, or -1 if they have none.
func (b *Balancer) utilizationColumn() int {
	return slices.Index(b.settings.LoadReportColumns, utilizationColumnName)
}

// reportedUtilization returns the utilization from a load report. The result reported is false if it is absent,
// negative or not a finite number.
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
