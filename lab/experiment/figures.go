package experiment

import (
	"strings"
	"time"

	"spurspread/internal/logging"
	"spurspread/lab/checker"
	"spurspread/lab/deployment"
	"spurspread/lab/report"
)

// reconnectBurst is the time after the first fault within which connections count as the burst of reconnects.
const reconnectBurst = 2 * time.Second

// millis converts a duration to milliseconds, truncated to whole microseconds.
func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func allMillis(durations []time.Duration) []float64 {
	out := make([]float64, len(durations))
	for i, d := range durations {
		out[i] = millis(d)
	}
	return out
}

// addFigures adds all figures and notes of the pass to the report, and prepends the prefix to their names.
func (pr *passRunner) addFigures(r *report.Report, prefix string) {
	drain := pr.drainMillis()
	pr.balancerFigures()
	pr.connectionFigures()
	// Further names under which experiment files bound these figures.
	pr.extra["last_channel_moved_ms"] = drain
	pr.extra["moved_late_ms"] = drain
	pr.extra["buffered_bytes"] = pr.extra["balancer_kept"]
	// The channels of broken connections whose failure a balancer did not log as correlated with another one.
	pr.extra["evidence"] = pr.extra["channels_on_broken_trunks"] - pr.extra["balancer_echoes"]
	for _, figures := range []map[string]float64{
		pr.streamFigures(), pr.tokenFigures(), pr.timeFigures(), pr.extra,
	} {
		for name, v := range figures {
			r.Figures[prefix+name] = v
		}
	}
	for note, counts := range map[string]map[string]int{
		"session calls by what came before":              pr.total.SessionOpens,
		"clients that started over, by what came before": pr.total.StartOvers,
		"answers to tokens":                              pr.total.Answers,
	} {
		if len(counts) > 0 {
			r.Notes[prefix+note] = checker.FormatCounts(counts)
		}
	}
}

// streamFigures returns the counts of messages, moves and simultaneous connections.
func (pr *passRunner) streamFigures() map[string]float64 {
	f := &pr.total
	return map[string]float64{
		"messages":            float64(f.Messages),
		"lost":                float64(f.Lost),
		"repeated":            float64(f.Repeated),
		"corrupt":             float64(f.Corrupt),
		"told_gaps":           float64(f.AnnouncedGaps),
		"moves":               float64(f.Moves),
		"second_copies":       float64(f.SecondCopies),
		"max_live_per_stream": float64(f.MaxLivePerStream),
	}
}

// tokenFigures returns the counts of resume tokens and of session calls.
func (pr *passRunner) tokenFigures() map[string]float64 {
	f := &pr.total
	// Store calls that exceed the number of opens without a token at nodes are unexplained, too.
	unseen := max(pr.extra["store_calls"]-float64(f.SessionCalls()), 0)
	return map[string]float64{
		"tokens_given":              float64(f.TokensIssued),
		"tokens_honoured":           float64(f.TokensAccepted),
		"max_live_per_token":        float64(f.MaxLivePerToken),
		"max_ever_live_per_token":   float64(f.MaxUsesPerToken),
		"session_calls":             float64(f.SessionCalls()),
		"session_calls_for_moves":   causedByMoves(f.SessionOpens),
		"start_overs_for_moves":     causedByMoves(f.StartOvers),
		"session_calls_unexplained": float64(f.SessionOpens[""]) + unseen,
	}
}

// timeFigures returns the interruptions of streams and the delays of messages, in milliseconds, and the rate at which
// streams were reestablished.
func (pr *passRunner) timeFigures() map[string]float64 {
	f := &pr.total
	gaps := allMillis(f.Gaps)
	delays := allMillis(f.Delays)
	return map[string]float64{
		"stand_again_ms":    pr.lastEstablished(f.Reestablished),
		"gap_p50_ms":        report.Quantile(gaps, 0.5),
		"gap_p99_ms":        report.Quantile(gaps, 0.99),
		"gap_max_ms":        report.Quantile(gaps, 1),
		"delay_p50_ms":      report.Quantile(delays, 0.5),
		"delay_p99_ms":      report.Quantile(delays, 0.99),
		"resumes":           float64(len(f.Reestablished)),
		"resumes_per_s_max": maxPerSecond(f.Reestablished),
	}
}

// drainMillis returns the longest drain in milliseconds: the time from its announcement by discovery until the node's
// last connection ended, or until now if the node still has connections. It returns 0 if no node was drained.
func (pr *passRunner) drainMillis() (longest float64) {
	for i, announcedAt := range pr.drainAnnouncedAt {
		emptied := pr.deployment.Checker.EmptiedAt(deployment.NodeID(i))
		if emptied.IsZero() {
			emptied = time.Now()
		}
		longest = max(longest, millis(emptied.Sub(announcedAt)))
	}
	return longest
}

// balancerFigures adds the greatest values that fields of the balancers' logs have had. The figures keep the fields'
// former names, and fields with these names are read as well, because earlier versions of the balancer are measured
// too.
func (pr *passRunner) balancerFigures() {
	for name, field := range map[string]string{
		"kept":          logging.QueuedBytes,
		"promised":      logging.ReceiveWindowBytes,
		"evicted":       logging.Evicted,
		"trunks":        logging.MuxUpstreams,
		"trunks_failed": logging.MuxUpstreamsFailed,
		"muxed":         logging.MuxClients,
		"echoes":        logging.CorrelatedFailures,
	} {
		for _, b := range pr.deployment.Balancers {
			logged := max(b.MaxLogged(field), b.MaxLogged(name))
			pr.extra["balancer_"+name] = max(pr.extra["balancer_"+name], logged)
		}
	}
}

// connectionFigures adds the number of connections that clients made since the first fault, and the numbers that
// clients made and nodes accepted in the burst of reconnects right after it.
func (pr *passRunner) connectionFigures() {
	d := pr.deployment
	burstEnd := pr.firstFaultAt.Add(reconnectBurst)
	pr.extra["client_connections"] = float64(d.ClientDials.Between(pr.firstFaultAt, time.Now()))
	pr.extra["client_connections_2s"] = float64(d.ClientDials.Between(pr.firstFaultAt, burstEnd))
	pr.extra["node_connections_2s"] = float64(d.NodeDials.Between(pr.firstFaultAt, burstEnd))
}

// lastEstablished returns the latest of the given times, in milliseconds since the first fault; 0 if there are none.
func (pr *passRunner) lastEstablished(times []time.Time) (last float64) {
	for _, t := range times {
		last = max(last, millis(t.Sub(pr.firstFaultAt)))
	}
	return last
}

// causedByMoves sums up the counts of opens without a token whose reason is a move or a token that was not accepted.
func causedByMoves(counts map[string]int) (sum float64) {
	for reason, n := range counts {
		if strings.HasPrefix(reason, checker.AfterToken) || strings.HasPrefix(reason, "MOVE") {
			sum += float64(n)
		}
	}
	return sum
}

// maxPerSecond returns the greatest number of times that lie within one second. The times must be sorted.
func maxPerSecond(times []time.Time) (most float64) {
	for i, from := range times {
		n := 0
		for _, t := range times[i:] {
			if t.Sub(from) < time.Second {
				n++
			}
		}
		most = max(most, float64(n))
	}
	return most
}
