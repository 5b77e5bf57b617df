package serverload

import "spurspread/decision/monotime"

// A load report is refreshed by the server only once or twice a second and arrives late, so that it shows the
// utilization at some moment within reportWindow. Samples of the known utilization cover that window.
const (
	reportWindow   = 2500 * monotime.Millisecond
	sampleInterval = 200 * monotime.Millisecond
	historySize    = 16
)

type sample struct {
	at          monotime.Micros
	utilization float64
}

// Gauge is the load of one server.
type Gauge struct {
	Size              float64         // cores, where loads are reported; else any unit of size
	OwnLoad           float64         // of this balancer's connections and attempts, in cores
	OwnConnections    int             // of this balancer, attempts included
	GroupCount        int             // groups among OwnConnections
	OtherConnections  float64         // of other balancers
	ReportRequestedAt monotime.Micros // when a load report was last requested; 0: never
	RebalancedAt      monotime.Micros // when connections were last moved off the server; 0: never

	reportOffset float64 // utilization that reports show beyond what is known
	history      [historySize]sample
	nextSample   int
}

// SetListed takes the server's size and connections as discovery lists them; see LoadModel.SizeFromWeight.
func (g *Gauge) SetListed(size, connections float64) {
	g.Size = size
	g.OtherConnections = max(connections-float64(g.OwnConnections), 0)
}

// knownUtilization is the load that is known, over the server's capacity.
func (g *Gauge) knownUtilization(model *LoadModel, warmUp float64) float64 {
	load := g.OwnLoad + (g.OtherConnections+GroupCost*float64(g.GroupCount))*model.meanLoad
	return load / (g.Size * warmUp)
}

// Utilization returns the server's load over its capacity, 0 or more: what is known, corrected by the last report.
func (g *Gauge) Utilization(model *LoadModel, warmUp float64) float64 {
	return max(g.knownUtilization(model, warmUp)+g.reportOffset, 0)
}

// SampleUtilization records the known utilization, for reports that will show this moment. It is called several times
// a second, and skips calls within sampleInterval.
func (g *Gauge) SampleUtilization(now monotime.Micros, model *LoadModel, warmUp float64) {
	last := (g.nextSample + historySize - 1) % historySize
	if now-g.history[last].at < sampleInterval {
		return
	}
	g.history[g.nextSample] = sample{at: now, utilization: g.knownUtilization(model, warmUp)}
	g.nextSample = (g.nextSample + 1) % historySize
}

// ApplyReport decides how far a load report corrects the known utilization: by its distance from the range that was
// known within reportWindow. A report inside of that range may be as old as the sample that it matches, and so
// corrects nothing.
func (g *Gauge) ApplyReport(now monotime.Micros, model *LoadModel, warmUp, utilization float64) {
	low := g.knownUtilization(model, warmUp)
	high := low
	for _, s := range g.history {
		if s.at != 0 && now-s.at <= reportWindow {
			low = min(low, s.utilization)
			high = max(high, s.utilization)
		}
	}
	g.reportOffset = utilization - min(max(utilization, low), high)
}

// ResetReports discards what reports showed of a server before it restarted.
func (g *Gauge) ResetReports() {
	g.reportOffset = 0
	g.history = [historySize]sample{}
}
