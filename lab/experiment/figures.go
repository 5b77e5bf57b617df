package experiment

import (
	"strings"
	"time"

	"spurspread/internal/logging"
	"spurspread/lab/checker"
	"spurspread/lab/deployment"
	"spurspread/lab/report"
)

// reconnectBurst is how long after the first fault the connections that clients and nodes make are counted.
const reconnectBurst = 2 * time.Second

// millis is a duration in milliseconds, in whole microseconds.
func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func allMillis(durations []time.Duration) []float64 {
	out := make([]float64, len(durations))
	for i, d := range durations {
		out[i] = millis(d)
	}
	return out
}

// addFigures adds what was measured to the report, each name after the prefix.
func (pr *passRunner) addFigures(r *report.Report, prefix string) {
	drain := pr.drainMillis()
	pr.balancerFigures()
	pr.connectionFigures()
	pr.extra["last_channel_moved_ms"] = drain
	pr.extra["moved_late_ms"] = drain
	pr.extra["buffered_bytes"] = pr.extra["balancer_kept"]
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

// streamFigures are the counts of messages and moves.
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

// tokenFigures are the counts of resume tokens and of session calls.
func (pr *passRunner) tokenFigures() map[string]float64 {
	f := &pr.total
	// Calls that the store served and that no first line at a node accounts for are unexplained, too.
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

// timeFigures are interruptions and delays, in milliseconds, and the rate at which streams were established again.
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

// drainMillis is how long after discovery announced a drain the last connection left the node, in milliseconds, of
// all drains the longest. A node that is not yet empty counts until now.
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

// balancerFigures adds the greatest values that fields of the balancers' logs had. Reports keep the names that the
// fields had in the logs of earlier programs, and such programs are measured as well.
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

// connectionFigures counts the connections that clients and nodes made since the first fault, and right after it.
func (pr *passRunner) connectionFigures() {
	d := pr.deployment
	burstEnd := pr.firstFaultAt.Add(reconnectBurst)
	pr.extra["client_connections"] = float64(d.ClientDials.Between(pr.firstFaultAt, time.Now()))
	pr.extra["client_connections_2s"] = float64(d.ClientDials.Between(pr.firstFaultAt, burstEnd))
	pr.extra["node_connections_2s"] = float64(d.NodeDials.Between(pr.firstFaultAt, burstEnd))
}

// lastEstablished is when the last stream was established again, in milliseconds since the first fault.
func (pr *passRunner) lastEstablished(times []time.Time) (last float64) {
	for _, t := range times {
		last = max(last, millis(t.Sub(pr.firstFaultAt)))
	}
	return last
}

// causedByMoves counts the opens whose reason was a move.
func causedByMoves(counts map[string]int) (sum float64) {
	for reason, n := range counts {
		if strings.HasPrefix(reason, checker.AfterToken) || strings.HasPrefix(reason, "MOVE") {
			sum += float64(n)
		}
	}
	return sum
}

// maxPerSecond is the greatest number of the given times, which are in order, that lie within one second.
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
