package experiment

import (
	"spurspread/internal/logging"
	"spurspread/lab/checker"
	"spurspread/lab/deployment"
	"spurspread/lab/report"
	"strings"
	"time"
)

// reconnectBurst is how long after the first fault connections are counted that clients and nodes make.
const reconnectBurst = 2 * time.Second

func millis(d []time.Duration) []float64 {
	out := make([]float64, len(d))
	for i, one := range d {
		out[i] = float64(one.Microseconds()) / 1000
	}
	return out
}

// addFigures adds what was measured to the report.
func (pl *player) addFigures(r *report.Report, prefix string, f checker.Figures, more map[string]float64) {
	gaps, delays := millis(f.Gaps), millis(f.Delays)
	late := pl.drainMillis()
	pl.balancerFigures(more)
	pl.connectionFigures(more)
	more["last_channel_moved_ms"], more["buffered_bytes"] = late, more["balancer_kept"]
	more["evidence"] = more["channels_on_broken_trunks"] - more["balancer_echoes"]
	for name, v := range map[string]float64{
		"second_copies": float64(f.SecondCopies), "stand_again_ms": pl.lastEstablished(f.Reestablished),
		"messages": float64(f.Messages), "lost": float64(f.Lost), "repeated": float64(f.Repeated),
		"corrupt":   float64(f.Corrupt),
		"told_gaps": float64(f.AnnouncedGaps), "tokens_given": float64(f.Tokens),
		"tokens_honoured":    float64(f.Accepted),
		"max_live_per_token": float64(f.MaxLivePerToken), "max_ever_live_per_token": float64(f.MaxUsesPerToken),
		"max_live_per_stream": float64(f.MaxLivePerStream), "session_calls": float64(f.SessionCalls()),
		"session_calls_for_moves": causedByMoves(f.SessionOpens), "start_overs_for_moves": causedByMoves(f.StartOvers),
		"session_calls_unexplained": float64(f.SessionOpens[""]) +
			max(more["store_calls"]-float64(f.SessionCalls()), 0), "moves": float64(f.Moves), "moved_late_ms": late,
		"gap_p50_ms": report.Quantile(gaps, 0.5), "gap_p99_ms": report.Quantile(gaps, 0.99),
		"gap_max_ms":   report.Quantile(gaps, 1),
		"delay_p50_ms": report.Quantile(delays, 0.5), "delay_p99_ms": report.Quantile(delays, 0.99),
		"resumes": float64(len(f.Reestablished)), "resumes_per_s_max": maxPerSecond(f.Reestablished),
	} {
		r.Figures[prefix+name] = v
	}
	for name, v := range more {
		r.Figures[prefix+name] = v
	}
	for note, counts := range map[string]map[string]int{
		"session calls by what came before":              f.SessionOpens,
		"clients that started over, by what came before": f.StartOvers, "answers to tokens": f.Answers,
	} {
		if len(counts) > 0 {
			r.Notes[prefix+note] = checker.Explain(counts)
		}
	}
}

// drainMillis is how long after a balancer was told of a drain the last connection left the node, in milliseconds, of
// all drains the longest. A node that is not yet empty counts until now.
func (pl *player) drainMillis() (late float64) {
	for i, told := range pl.drainAnnounced {
		last := pl.deployment.Check.Emptied(deployment.NodeID(i))
		if last.IsZero() {
			last = time.Now()
		}
		late = max(late, float64(last.Sub(told).Microseconds())/1000)
	}
	return late
}

// balancerFigures are the greatest values that fields of the balancers' logs had. Reports name them by the word of the
// logs of programs before the field was renamed, and such programs are read as well.
func (pl *player) balancerFigures(more map[string]float64) {
	for name, field := range map[string]string{
		"kept": logging.QueuedBytes, "promised": logging.ReceiveWindowBytes, "evicted": logging.Evicted,
		"trunks": logging.MuxUpstreams, "trunks_failed": logging.MuxUpstreamsFailed, "muxed": logging.MuxClients,
		"echoes": logging.CorrelatedFailures,
	} {
		for _, b := range pl.deployment.Balancers {
			logged := max(b.MaxLogged(field), b.MaxLogged(name))
			more["balancer_"+name] = max(more["balancer_"+name], logged)
		}
	}
}

// connectionFigures count connections that clients and nodes made since the first fault, and right after it.
func (pl *player) connectionFigures(more map[string]float64) {
	storm := pl.firstFaultAt.Add(reconnectBurst)
	more["client_connections"] = float64(pl.deployment.Dials.Between(pl.firstFaultAt, time.Now()))
	more["client_connections_2s"] = float64(pl.deployment.Dials.Between(pl.firstFaultAt, storm))
	more["node_connections_2s"] = float64(pl.deployment.NodeDials.Between(pl.firstFaultAt, storm))
}

// lastEstablished is when the last stream stood again, in milliseconds since the first fault.
func (pl *player) lastEstablished(ups []time.Time) (again float64) {
	for _, at := range ups {
		again = max(again, float64(at.Sub(pl.firstFaultAt).Microseconds())/1000)
	}
	return again
}

// causedByMoves counts what a move was the reason of.
func causedByMoves(counts map[string]int) (sum float64) {
	for why, n := range counts {
		if strings.HasPrefix(why, checker.AfterToken) || strings.HasPrefix(why, "MOVE") {
			sum += float64(n)
		}
	}
	return sum
}

// maxPerSecond is the most of some times, which are in order, that lie within a second.
func maxPerSecond(at []time.Time) (most float64) {
	for i, from := range at {
		n := 0
		for _, t := range at[i:] {
			if t.Sub(from) < time.Second {
				n++
			}
		}
		most = max(most, float64(n))
	}
	return most
}
