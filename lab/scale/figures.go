package scale

import (
	"math"
	"runtime"
	"slices"
	"strings"
	"time"

	"spurspread/lab/report"
)

// trafficLagMicros is left out at the end of a run: samples have the traffic of the second before.
const trafficLagMicros = 1_500_000

// recordFigures records what the run has cost, and what its members got wrong.
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

func (r *run) recordNotes() {
	notes := r.report.Notes
	notes["stubs"] = StubLimitations
	notes["bytes"] = "content of datagrams sent and received, without the 28 bytes of their IP and UDP headers"
	notes["faults"] = strings.Join(r.faultLog, "; ")
	if found := slices.Concat(r.monitor.notes, r.monitor.errors); len(found) > 0 {
		notes["found"] = strings.Join(found, "; ")
	}
}

// recordHarness records what the run itself used, and how late its timers fired.
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

// memberTraffic is what one member sent and received, in bytes per second.
type memberTraffic struct {
	worst          float64 // the worst window of the run, sent and received
	worstSent      float64 // the worst window of the run, sent only
	worstAtRest    float64 // the worst window at rest, sent and received
	meanAtRest     float64 // sent and received
	meanSentAtRest float64 // sent only
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

// collect returns one value of each member's traffic.
func collect(traffic []memberTraffic, value func(memberTraffic) float64) []float64 {
	values := make([]float64, len(traffic))
	for member := range traffic {
		values[member] = value(traffic[member])
	}
	return values
}

// recordTraffic records what crossed the sockets of the members.
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
	r.recordQuietPartitions()
	figures["join_bytes_per_s"] = r.joinTraffic()
	figures["hollow_datagrams_mean_per_s"] = r.meanStubDatagrams(whole)
}

// recordMeanTraffic records the averages at rest: of all members, and of delegates and others.
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

// recordQuietPartitions records the worst traffic of a member in the quiet parts of partitions.
func (r *run) recordQuietPartitions() {
	for _, quiet := range r.quietPartitions {
		r.recordMax("quiet_cut_bytes_per_s", r.worstTraffic(quiet))
	}
}

// joinTraffic is the most that a member sent and received in the window at whose end all members had joined, in bytes
// per second.
func (r *run) joinTraffic() float64 {
	return r.worstTraffic(span{r.joinedAt - windowMicros, r.joinedAt})
}

// worstTraffic is the most that a member sent and received in a window of a span, in bytes per second.
func (r *run) worstTraffic(within span) float64 {
	worst := 0.0
	for member := range r.monitor.members {
		sent, received := r.trafficOf(member)
		worst = max(worst, maxRate(slices.Concat(sent, received), within))
	}
	return worst
}

// meanStubDatagrams is how many datagrams a stub member sent and received per second, on average.
func (r *run) meanStubDatagrams(whole span) float64 {
	var datagrams []*series
	for _, loop := range r.monitor.loops {
		datagrams = append(datagrams, &loop.allDatagrams)
	}
	return meanRate(datagrams, whole) / float64(r.topology.Members-r.topology.RealMembers)
}

// runningSpan is the part of a span in which a member's process ran: datagrams that others send to a member that was
// killed are no cost of a balancer, since no process receives them.
func (r *run) runningSpan(member int, over span) span {
	if at, killed := r.killedAt[member]; killed {
		over.to = min(over.to, at)
	}
	return over
}

// trafficOf returns what a member sent and received: of a real one what stub members counted, and the links between
// real members.
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

// recordCountedShare records what the run counted as sent by real members relative to what they reported. A member
// that was started more than once, or runs no more, reports only a part, and is left out.
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

// average is the mean of some values, 0 of none.
func average(values []float64) float64 {
	mean := 0.0
	for _, value := range values {
		mean += value / float64(len(values))
	}
	return mean
}
