package serverload

import "spurspread/decision/monotime"

// A server refreshes its load report only once or twice a second, and the report arrives late, so it shows the
// utilization at some moment within the last reportWindow. The last historySize samples of the known utilization, taken
// at least sampleInterval apart, cover that window.
const (
	reportWindow   = 2500 * monotime.Millisecond
	sampleInterval = 200 * monotime.Millisecond
	historySize    = 16
)

// sample is the known utilization at one moment.
type sample struct {
	at          monotime.Micros
	utilization float64
}

// Gauge tracks the load of one server.
type Gauge struct {
	Size              float64         // cores if loads are reported, otherwise any unit of size
	OwnLoad           float64         // of this balancer's connections and attempts, in cores
	OwnConnections    int             // of this balancer, including attempts
	GroupCount        int             // groups among OwnConnections
	OtherConnections  float64         // of other balancers
	ReportRequestedAt monotime.Micros // when a load report was last requested; 0: never
	RebalancedAt      monotime.Micros // when connections were last moved off the server; 0: never

	reportOffset float64 // correction by the last report; may be negative
	history      [historySize]sample
	nextSample   int
}

// SetListed sets the server's size and the number of connections that all balancers have there, as
// LoadModel.SizeFromWeight derives them from discovery's list.
func (g *Gauge) SetListed(size, connections float64) {
	g.Size = size
	g.OtherConnections = max(connections-float64(g.OwnConnections), 0)
}

// knownUtilization returns the known load divided by the server's present capacity, without the correction by reports.
func (g *Gauge) knownUtilization(model *LoadModel, warmup float64) float64 {
	load := g.OwnLoad + (g.OtherConnections+GroupCost*float64(g.GroupCount))*model.meanLoad
	return load / (g.Size * warmup)
}

// Utilization returns the server's load divided by its capacity, 0 or more: the known utilization, corrected by the
// last report.
func (g *Gauge) Utilization(model *LoadModel, warmup float64) float64 {
	return max(g.knownUtilization(model, warmup)+g.reportOffset, 0)
}

// SampleUtilization records the known utilization, to be compared with reports that show this moment. It is called
// several times a second and ignores calls within sampleInterval of the last sample.
func (g *Gauge) SampleUtilization(now monotime.Micros, model *LoadModel, warmup float64) {
	last := (g.nextSample + historySize - 1) % historySize
	if now-g.history[last].at < sampleInterval {
		return
	}
	g.history[g.nextSample] = sample{at: now, utilization: g.knownUtilization(model, warmup)}
	g.nextSample = (g.nextSample + 1) % historySize
}

// ApplyReport corrects the known utilization by a load report. The correction is the distance of the reported
// utilization from the range that was known within reportWindow. A report within that range corrects nothing, because
// it may be as old as the sample that it matches.
func (g *Gauge) ApplyReport(now monotime.Micros, model *LoadModel, warmup, utilization float64) {
	low := g.knownUtilization(model, warmup)
	high := low
	for _, s := range g.history {
		if s.at != 0 && now-s.at <= reportWindow {
			low = min(low, s.utilization)
			high = max(high, s.utilization)
		}
	}
	g.reportOffset = utilization - min(max(utilization, low), high)
}

// ResetReports discards the samples and the correction of a server that has restarted.
func (g *Gauge) ResetReports() {
	g.reportOffset = 0
	g.history = [historySize]sample{}
}
