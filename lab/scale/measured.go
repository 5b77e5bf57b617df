package scale

import (
	"fmt"
	"math"
	"runtime"
	"slices"
	"strings"
	"time"

	"spurspread/lab/report"
)

// Where timers of hollow members come later than this, milliseconds, their loops had too little processor time:
// what members do 50 ms apart, and await for 150 ms, would be measured wrongly. So it is where the run took more of
// all cores than this.
const (
	maxLagP99    = 20
	maxLag       = 250
	maxCoreShare = 0.85
)

// The bounds of issue 31, of each run of a fleet with zones.
var bounds = []struct {
	name  string
	limit float64
}{
	{"control_bytes_per_s", 28000},
	{"control_rest_bytes_per_s", 4096},
	{"control_core_share", 0.043},
	{"control_memory_mb", 64},
	{"false_dead", 0},
	{"zone_seen_ms", 4000},
	{"count_everywhere_ms", 7000},
	{"record_everywhere_ms", 7000},
	{"rate_over_budget", 2},
	{"flaps", 1},
	{"harness_memory_mb", maxRunMegabytes},
	{"processes", maxRunProcesses},
}

// measured keeps what the run has cost and what its members got wrong.
func (p *play) measured(o Options) {
	w := p.watch
	w.mu.Lock()
	defer w.mu.Unlock()
	r := p.report
	whole := span{p.began, time.Now().UnixMicro() - 1_500_000} // bytes come a second late
	p.measureHarness(whole)
	if why := starved(r.Figures); why != "" && !o.starvedToo {
		notValid(r, why)
		return
	}
	for name, v := range map[string]float64{
		"members": float64(p.t.Members), "real_members": float64(p.t.Reals), "regions": float64(p.t.Regions),
		"zones": float64(p.t.Zones), "false_dead": float64(w.falseDead), "excused_while_starved": float64(w.excused),
		"flaps":            float64(w.flaps),
		"rate_over_budget": w.shares, "suspicions": float64(w.suspected),
	} {
		r.Figures[name] = v
	}
	p.measureBytes(whole)
	p.measureReals(whole)
	r.Notes["stubs"], r.Notes["bytes"] = Stubs,
		"content of datagrams sent and received, without the 28 bytes of their IP and UDP headers"
	r.Notes["faults"] = strings.Join(p.journal, "; ")
	if len(w.notes)+len(w.errors) > 0 {
		r.Notes["found"] = strings.Join(slices.Concat(w.notes, w.errors), "; ")
	}
}

// measureHarness keeps what the run itself took.
func (p *play) measureHarness(whole span) {
	f := p.report.Figures
	f["processes"], f["harness_memory_mb"] = float64(p.meter.processes), p.meter.megabytes
	f["hollow_processes"], f["hollow_loops"] = float64(len(p.procs)), float64(len(p.watch.loops))
	f["harness_lag_p50_ms"] = report.Quantile(p.watch.lags, 0.5)
	f["harness_lag_p99_ms"] = report.Quantile(p.watch.lags, 0.99)
	f["harness_lag_max_ms"] = report.Quantile(p.watch.lags, 1)
	cores := float64(runtime.NumCPU())
	f["harness_cores"] = cores
	f["harness_core_share"] = slices.Max(append(rates([]*series{&p.meter.cpu}, whole), 0)) / cores
}

// starved says why a run measured too little of what it was to measure; "" where it did not.
func starved(f map[string]float64) string {
	switch {
	case f["harness_lag_p99_ms"] > maxLagP99:
		return fmt.Sprintf(
			"1 in 100 timers of hollow members came %.0f ms late or later, over %d",
			f["harness_lag_p99_ms"],
			maxLagP99,
		)
	case f["harness_lag_max_ms"] > maxLag:
		return fmt.Sprintf("a timer of a hollow member came %.0f ms late, over %d", f["harness_lag_max_ms"], maxLag)
	case f["harness_core_share"] > maxCoreShare:
		return fmt.Sprintf("the run took %.2f of all cores, over %.2f", f["harness_core_share"], maxCoreShare)
	}
	return ""
}

// notValid leaves in the report what says why it holds no other figure.
func notValid(r *report.Report, why string) {
	for name := range r.Figures {
		if !strings.HasPrefix(name, "harness_") && name != "processes" {
			delete(r.Figures, name)
		}
	}
	r.Notes["not valid"] = why
	r.Charts = nil
}

// measureBytes keeps what crossed the sockets of all members: sent and received, and sent alone.
func (p *play) measureBytes(whole span) {
	f := p.report.Figures
	var most, atRest, sent, meanRest, meanSent []float64
	byRole := map[string][]float64{}
	for i := range p.watch.members {
		out, in := p.seriesOf(i)
		both, ran := append(slices.Clone(out), in...), p.ran(i, whole)
		most = append(most, slices.Max(append(rates(both, ran), 0)))
		sent = append(sent, slices.Max(append(rates(out, ran), 0)))
		atRest = append(atRest, slices.Max(append(rates(both, p.rest), 0)))
		meanRest, meanSent = append(meanRest, mean(both, p.rest)), append(meanSent, mean(out, p.rest))
		of := "others_rest_mean_bytes_per_s"
		if p.delegates[i] {
			of = "delegates_rest_mean_bytes_per_s"
		}
		byRole[of] = append(byRole[of], meanRest[i])
	}
	f["control_bytes_per_s"], f["control_bytes_p50_per_s"] = report.Quantile(most, 1), report.Quantile(most, 0.5)
	f["control_sent_bytes_per_s"] = report.Quantile(sent, 1)
	p.report.Notes["worst member"] = p.t.Name(slices.Index(most, slices.Max(most)))
	p.report.Charts = append(p.report.Charts, report.Chart{
		Name:  "bytes",
		Title: p.report.Experiment + ": bytes sent and received in a member's worst 10 s",
		X:     "members, %", Y: "bytes/s", Series: []report.Series{
			report.Percentiles("whole run", most),
			report.Percentiles("at rest", atRest),
		},
	})
	if p.rest.to > p.rest.from {
		f["control_rest_bytes_per_s"], f["control_rest_bytes_p50_per_s"] = report.Quantile(
			atRest,
			1,
		), report.Quantile(
			atRest,
			0.5,
		)
		f["control_rest_mean_bytes_per_s"], f["control_rest_mean_sent_bytes_per_s"] = average(
			meanRest,
		), average(
			meanSent,
		)
		f["control_rest_mean_worst_bytes_per_s"] = report.Quantile(meanRest, 1)
		for name, all := range byRole {
			f[name] = average(all)
		}
	}
	for _, quiet := range p.quietCuts {
		for i := range p.watch.members {
			out, in := p.seriesOf(i)
			p.worst("quiet_cut_bytes_per_s", slices.Max(append(rates(append(slices.Clone(out), in...), quiet), 0)))
		}
	}
	f["join_bytes_per_s"] = p.joinBytes()
	var datagrams []*series
	for _, l := range p.watch.loops {
		datagrams = append(datagrams, &l.allDatagrams)
	}
	f["hollow_datagrams_mean_per_s"] = mean(datagrams, whole) / float64(p.t.Members-p.t.Reals)
}

// ran is the part of a span in which a member's process ran: what others send to one that was killed is no cost of
// a balancer, since nobody takes it.
func (p *play) ran(i int, over span) span {
	if at, killed := p.killed[i]; killed {
		over.to = min(over.to, at)
	}
	return over
}

// joinBytes is the most that a member sent and received in 10 s while all found each other.
func (p *play) joinBytes() (most float64) {
	for i := range p.watch.members {
		out, in := p.seriesOf(i)
		most = max(
			most,
			slices.Max(append(rates(append(slices.Clone(out), in...), span{p.began - window, p.began}), 0)),
		)
	}
	return most
}

// seriesOf are what a member sent and received: of a real one what hollow members and the links between real ones saw.
func (p *play) seriesOf(i int) (sent, received []*series) {
	if i >= p.t.Reals {
		m := &p.watch.members[i]
		return []*series{&m.sent}, []*series{&m.received}
	}
	for _, l := range p.watch.loops {
		sent, received = append(sent, &l.realSent[i]), append(received, &l.realReceived[i])
	}
	return append(sent, &p.meter.sent[i]), append(received, &p.meter.came[i])
}

// measureReals keeps what the kernel says of the processes of the program.
func (p *play) measureReals(whole span) {
	f := p.report.Figures
	var share, restShare, memory []float64
	seen, told := 0.0, 0.0
	for i := range p.polls {
		one := &p.polls[i]
		share = append(share, slices.Max(append(rates([]*series{&one.cpu}, whole), 0)))
		restShare = append(restShare, mean([]*series{&one.cpu}, p.rest))
		memory = append(memory, one.memory)
		if one.starts != 1 || !p.watch.members[i].runs {
			continue // it tells what it has sent since it was started
		}
		out, _ := p.seriesOf(i)
		for _, s := range out {
			seen += s.value(math.MaxInt64)
		}
		told += float64(one.reportedSentBytes.Load())
	}
	f["control_core_share"], f["control_rest_mean_core_share"] = report.Quantile(share, 1), average(restShare)
	f["control_memory_mb"], f["control_memory_mean_mb"] = report.Quantile(memory, 1), average(memory)
	if told > 0 {
		f["real_sent_seen_over_told"] = seen / told
	}
}

func average(of []float64) (sum float64) {
	for _, v := range of {
		sum += v / float64(len(of))
	}
	return sum
}

// check holds a run's figures against the bounds. A run that is not valid has only what says so.
func check(r *report.Report, without ...string) {
	if _, void := r.Notes["not valid"]; void {
		r.Check("harness_lag_p99_ms", maxLagP99, false)
		r.Check("harness_lag_max_ms", maxLag, false)
		r.Check("harness_core_share", maxCoreShare, false)
		return
	}
	for _, b := range bounds {
		if !slices.Contains(without, b.name) {
			r.Check(b.name, b.limit, false)
		}
	}
}
