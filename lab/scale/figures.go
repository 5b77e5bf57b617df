package scale

import (
	"math"
	"runtime"
	"slices"
	"strings"
	"time"

	"spurspread/lab/report"
)

// trafficLagMicros is the time at the end of a run that the figures leave out, in microseconds: a sample contains the
// traffic of the second before it.
const trafficLagMicros = 1_500_000

// recordFigures records the cost of the run and the mistakes of its members. A run that was short of processor time is
// marked as not valid, unless the options allow it.
func (r *run) recordFigures(o Options) {
	m := r.monitor
	m.mu.Lock()
	defer m.mu.Unlock()
	whole := span{r.joinedAt, time.Now().UnixMicro() - trafficLagMicros}
	r.recordHarness(whole)
	if reason := starvationReason(r.report.Figures); reason != "" && !o.allowStarved {
		markInvalid(r.report, reason)
		return
	}
	figures := r.report.Figures
	figures["members"] = float64(r.topology.Members)
	figures["real_members"] = float64(r.topology.RealMembers)
	figures["regions"] = float64(r.topology.Regions)
	figures["zones"] = float64(r.topology.Zones)
	figures["false_dead"] = float64(m.falseDeaths)
	figures["excused_while_starved"] = float64(m.ignoredWhileStarved)
	figures["flaps"] = float64(m.flaps)
	figures["rate_over_budget"] = m.maxShareSum
	figures["suspicions"] = float64(m.suspicions)
	r.recordTraffic(whole)
	r.recordRealUsage(whole)
	r.recordNotes()
}

// recordNotes records the notes that explain the figures, and the problems that the run found.
func (r *run) recordNotes() {
	notes := r.report.Notes
	notes["stubs"] = StubNote
	notes["bytes"] = "payload of datagrams sent and received, without the 28 bytes of IP and UDP headers of each"
	notes["faults"] = strings.Join(r.faultLog, "; ")
	if found := slices.Concat(r.monitor.notes, r.monitor.errors); len(found) > 0 {
		notes["found"] = strings.Join(found, "; ")
	}
}

// recordHarness records the resources that the run itself used, and the lag of its timers.
func (r *run) recordHarness(whole span) {
	figures := r.report.Figures
	figures["processes"] = float64(r.usage.maxProcesses)
	figures["harness_memory_mb"] = r.usage.maxResidentMB
	figures["hollow_processes"] = float64(len(r.stubProcesses))
	figures["hollow_loops"] = float64(len(r.monitor.loops))
	figures["harness_lag_p50_ms"] = report.Quantile(r.monitor.lagMillis, 0.5)
	figures["harness_lag_p99_ms"] = report.Quantile(r.monitor.lagMillis, 0.99)
	figures["harness_lag_max_ms"] = report.Quantile(r.monitor.lagMillis, 1)
	cores := float64(runtime.NumCPU())
	figures["harness_cores"] = cores
	figures["harness_core_share"] = maxRate([]*series{&r.usage.cpuSeconds}, whole) / cores
}

// memberTraffic is the traffic of one member, in bytes per second.
type memberTraffic struct {
	worst          float64 // worst window of the run, sent and received
	worstSent      float64 // worst window of the run, sent only
	worstAtRest    float64 // worst window at rest, sent and received
	meanAtRest     float64 // mean at rest, sent and received
	meanSentAtRest float64 // mean at rest, sent only
}

// measureTraffic returns the traffic of each member.
func (r *run) measureTraffic(whole span) []memberTraffic {
	traffic := make([]memberTraffic, r.topology.Members)
	for member := range traffic {
		sent, received := r.trafficOf(member)
		both := slices.Concat(sent, received)
		ran := r.runningSpan(member, whole)
		traffic[member] = memberTraffic{
			worst:          maxRate(both, ran),
			worstSent:      maxRate(sent, ran),
			worstAtRest:    maxRate(both, r.restSpan),
			meanAtRest:     meanRate(both, r.restSpan),
			meanSentAtRest: meanRate(sent, r.restSpan),
		}
	}
	return traffic
}

// collect returns one value of the traffic of each member.
func collect(traffic []memberTraffic, value func(memberTraffic) float64) []float64 {
	values := make([]float64, len(traffic))
	for member := range traffic {
		values[member] = value(traffic[member])
	}
	return values
}

// recordTraffic records the traffic that crossed the sockets of the members.
func (r *run) recordTraffic(whole span) {
	figures := r.report.Figures
	traffic := r.measureTraffic(whole)
	worst := collect(traffic, func(t memberTraffic) float64 { return t.worst })
	worstSent := collect(traffic, func(t memberTraffic) float64 { return t.worstSent })
	worstAtRest := collect(traffic, func(t memberTraffic) float64 { return t.worstAtRest })
	figures["control_bytes_per_s"] = report.Quantile(worst, 1)
	figures["control_bytes_p50_per_s"] = report.Quantile(worst, 0.5)
	figures["control_sent_bytes_per_s"] = report.Quantile(worstSent, 1)
	r.report.Notes["worst member"] = r.topology.Name(slices.Index(worst, slices.Max(worst)))
	r.report.Charts = append(r.report.Charts, report.Chart{
		Name:  "bytes",
		Title: r.report.Experiment + ": bytes sent and received in a member's worst 10 s",
		X:     "members, %",
		Y:     "bytes/s",
		Series: []report.Series{
			report.Percentiles("whole run", worst),
			report.Percentiles("at rest", worstAtRest),
		},
	})
	if r.restSpan.to > r.restSpan.from {
		figures["control_rest_bytes_per_s"] = report.Quantile(worstAtRest, 1)
		figures["control_rest_bytes_p50_per_s"] = report.Quantile(worstAtRest, 0.5)
		r.recordMeanTraffic(traffic)
	}
	r.recordSteadyTraffic()
	figures["join_bytes_per_s"] = r.joinTraffic()
	figures["hollow_datagrams_mean_per_s"] = r.meanStubDatagrams(whole)
}

// recordMeanTraffic records the mean traffic at rest: of all members, and of delegates and other members apart.
func (r *run) recordMeanTraffic(traffic []memberTraffic) {
	figures := r.report.Figures
	means := collect(traffic, func(t memberTraffic) float64 { return t.meanAtRest })
	sentMeans := collect(traffic, func(t memberTraffic) float64 { return t.meanSentAtRest })
	figures["control_rest_mean_bytes_per_s"] = average(means)
	figures["control_rest_mean_sent_bytes_per_s"] = average(sentMeans)
	figures["control_rest_mean_worst_bytes_per_s"] = report.Quantile(means, 1)
	byRole := map[string][]float64{}
	for member, mean := range means {
		figure := "others_rest_mean_bytes_per_s"
		if r.delegates[member] {
			figure = "delegates_rest_mean_bytes_per_s"
		}
		byRole[figure] = append(byRole[figure], mean)
	}
	for figure, roleMeans := range byRole {
		figures[figure] = average(roleMeans)
	}
}

// recordSteadyTraffic records the worst traffic of a member in the steady parts of partitions.
func (r *run) recordSteadyTraffic() {
	for _, steady := range r.steadySpans {
		r.recordMax("quiet_cut_bytes_per_s", r.worstTraffic(steady))
	}
}

// joinTraffic returns the greatest traffic of a member in the window that ends when all members have joined, in bytes
// per second.
func (r *run) joinTraffic() float64 {
	return r.worstTraffic(span{r.joinedAt - windowMicros, r.joinedAt})
}

// worstTraffic returns the greatest traffic of a member in a window of a span, in bytes per second.
func (r *run) worstTraffic(within span) float64 {
	worst := 0.0
	for member := range r.monitor.members {
		sent, received := r.trafficOf(member)
		worst = max(worst, maxRate(slices.Concat(sent, received), within))
	}
	return worst
}

// meanStubDatagrams returns the mean number of datagrams that a stub member sent and received per second.
func (r *run) meanStubDatagrams(whole span) float64 {
	var datagrams []*series
	for _, loop := range r.monitor.loops {
		datagrams = append(datagrams, &loop.allDatagrams)
	}
	return meanRate(datagrams, whole) / float64(r.topology.Members-r.topology.RealMembers)
}

// runningSpan returns the part of a span in which the process of a member ran. Datagrams that others send to a killed
// member are no cost of a balancer, since no process receives them.
func (r *run) runningSpan(member int, over span) span {
	if at, killed := r.killedAt[member]; killed {
		over.to = min(over.to, at)
	}
	return over
}

// trafficOf returns the bytes that a member sent and received. For a real member it combines the counts of stub members
// with those of the links between real members.
func (r *run) trafficOf(member int) (sent, received []*series) {
	if !r.topology.Real(member) {
		view := &r.monitor.members[member]
		return []*series{&view.sentBytes}, []*series{&view.receivedBytes}
	}
	for _, loop := range r.monitor.loops {
		sent = append(sent, &loop.realSentBytes[member])
		received = append(received, &loop.realReceivedBytes[member])
	}
	sent = append(sent, &r.usage.sentBytes[member])
	received = append(received, &r.usage.receivedBytes[member])
	return sent, received
}

// recordRealUsage records the processor time and memory of real members.
func (r *run) recordRealUsage(whole span) {
	var coreShares, restCoreShares, memory []float64
	for member := range r.realStates {
		state := &r.realStates[member]
		coreShares = append(coreShares, maxRate([]*series{&state.cpuSeconds}, whole))
		restCoreShares = append(restCoreShares, meanRate([]*series{&state.cpuSeconds}, r.restSpan))
		memory = append(memory, state.maxResidentMB)
	}
	figures := r.report.Figures
	figures["control_core_share"] = report.Quantile(coreShares, 1)
	figures["control_rest_mean_core_share"] = average(restCoreShares)
	figures["control_memory_mb"] = report.Quantile(memory, 1)
	figures["control_memory_mean_mb"] = average(memory)
	r.recordCountedShare()
}

// recordCountedShare records the ratio of the bytes that the run counted as sent by real members to those that the
// members reported themselves. Members that were started more than once, or are not running, report only a part and are
// left out.
func (r *run) recordCountedShare() {
	counted := 0.0
	reported := 0.0
	for member := range r.realStates {
		state := &r.realStates[member]
		if state.starts != 1 || !r.monitor.members[member].running {
			continue
		}
		sent, _ := r.trafficOf(member)
		for _, one := range sent {
			counted += one.valueAt(math.MaxInt64)
		}
		reported += float64(state.reportedSentBytes.Load())
	}
	if reported > 0 {
		r.report.Figures["real_sent_seen_over_told"] = counted / reported
	}
}

// average returns the mean of some values, 0 for none.
func average(values []float64) float64 {
	mean := 0.0
	for _, value := range values {
		mean += value / float64(len(values))
	}
	return mean
}
