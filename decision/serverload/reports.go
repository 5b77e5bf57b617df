package serverload

import "spurspread/decision/monotime"

const (
	// reportCostFraction is the fraction of the value of requests that may be spent on load reports.
	reportCostFraction = 0.012
	// maxReportCredits is the largest number of reports that can be saved up.
	maxReportCredits = 40.0
	// minReportInterval is the minimum time between two report requests to one server.
	minReportInterval = 1 * monotime.Second
)

// ReportBudget limits how often this balancer requests load reports. Each request earns a fraction of a report, so that
// the number of reports in the fleet follows the number of requests, however many balancers there are. The zero value
// has earned nothing.
type ReportBudget struct{ credits float64 }

// Earn adds the credit of one request. cost is the cost of a load report as a fraction of the value of a request. A
// cost of 0 or less is not set, and the request then earns nothing.
func (b *ReportBudget) Earn(cost float64) {
	if cost > 0 {
		b.credits += reportCostFraction / cost
	}
	b.credits = min(b.credits, maxReportCredits)
}

// RequestDue reports whether to request a load report of the server now, and charges one credit if so. There is at most
// one report of a server per minReportInterval.
func (b *ReportBudget) RequestDue(now monotime.Micros, g *Gauge) bool {
	if b.credits < 1 || now-g.ReportRequestedAt < minReportInterval {
		return false
	}
	b.credits--
	g.ReportRequestedAt = now
	return true
}
