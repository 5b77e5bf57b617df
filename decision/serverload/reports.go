package serverload

import "spurspread/decision/monotime"

const (
	// reportCostFraction is the part of the value of requests that load reports may cost.
	reportCostFraction = 0.012
	// maxReportCredits is how many reports can be saved up.
	maxReportCredits = 40.0
	// minReportInterval is the time between two reports of one server.
	minReportInterval = 1 * monotime.Second
)

// ReportBudget decides how often this balancer requests load reports. It earns a part of one with each request, so that
// the fleet's reports follow the fleet's requests, however many balancers there are. Its zero value has earned nothing.
type ReportBudget struct{ credits float64 }

// Earn adds the credit of one request, where a load report costs this part of the value of a request. At a cost of 0 or
// less, which is not stated, nothing is earned.
func (b *ReportBudget) Earn(cost float64) {
	if cost > 0 {
		b.credits += reportCostFraction / cost
	}
	b.credits = min(b.credits, maxReportCredits)
}

// RequestDue decides whether to request a load report of the server now, and if so charges it: at most one per
// minReportInterval, for one credit.
func (b *ReportBudget) RequestDue(now monotime.Micros, g *Gauge) bool {
	if b.credits < 1 || now-g.ReportRequestedAt < minReportInterval {
		return false
	}
	b.credits--
	g.ReportRequestedAt = now
	return true
}
