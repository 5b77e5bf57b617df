package connections

import (
	"fmt"
	"time"

	"spurspread/lab/report"
)

const (
	// maxDelayMillis is the greatest 99th percentile of the delay of lines at which a rate counts as sustained, in
	// milliseconds.
	maxDelayMillis = 50.0
	// maxLatenessMillis is the greatest lateness of the harness with which a delay is valid, in milliseconds. The
	// timers of the harness have a resolution of a millisecond.
	maxLatenessMillis = 5.0
	// echoTimeout is the time after the last line of a step within which the echoes of all lines must be received.
	echoTimeout = time.Second
)

// lateness is the 99th percentile of the lag of the harness, in milliseconds.
type lateness struct {
	sends float64 // of lines and set-ups
	loops float64 // of the timers of loops
}

// worst returns the greater of the two.
func (l lateness) worst() float64 { return max(l.sends, l.loops) }

// exceeded returns whether the harness was too late for delays to be valid.
func (l lateness) exceeded() bool { return l.worst() > maxLatenessMillis }

// harnessLateness returns the lateness of the harness: of its sends by the counts, and of its loops since the last
// takeLag.
func (r *run) harnessLateness(counted counts) lateness {
	return lateness{
		sends: report.Quantile(counted.sendLag, 0.99),
		loops: report.Quantile(r.takeLag(), 0.99),
	}
}

// takeLag returns the lags of the loops of the harness since the last call, in milliseconds.
func (r *run) takeLag() []float64 {
	return append(r.load.workers.takeLag(), r.servers.workers.takeLag()...)
}

// measureLines sends lines at one rate after another, until a rate is not sustained.
func (r *run) measureLines(b *balancer, m *measurement) error {
	m.delay.Name = fmt.Sprint(m.size)
	for _, rate := range r.plan.lineRates {
		step := r.sendStep(b, rate)
		r.logStep(m, step)
		if rate == baselineRate {
			m.figures["lost_at_rest"] = float64(step.lost + step.counted.pending)
		}
		if !r.acceptStep(m, step) {
			break
		}
		m.addStep(step)
	}
	// Echoes of the last step that arrive late are not counted any more.
	r.load.awaitLines(maxWait)
	r.load.takeCounts()
	return nil
}

// lineStep is the result of sending lines at one rate.
type lineStep struct {
	rate      float64 // per second
	counted   counts
	p99       float64 // of the delay, in milliseconds
	lost      int     // lines that were lost, and connections that were moved or closed
	allEchoed bool    // whether all echoes were received within echoTimeout
	late      lateness
	cpu       time.Duration
}

// sendStep sends lines at a rate for the step time of the plan.
func (r *run) sendStep(b *balancer, rate float64) lineStep {
	totals := &r.load.totals
	r.load.takeCounts()
	r.takeLag()
	movedBefore := totals.moved.Load()
	closedBefore := totals.closed.Load()
	begin := b.cost()
	r.load.sendLines(rate, r.plan.stepTime)
	r.load.awaitSchedule(maxWait)
	allEchoed := r.load.awaitLines(echoTimeout)
	end := b.cost()
	counted := r.load.takeCounts()
	moved := totals.moved.Load() - movedBefore
	closed := totals.closed.Load() - closedBefore
	return lineStep{
		rate:      rate,
		counted:   counted,
		p99:       report.Quantile(counted.delayMillis, 0.99),
		lost:      counted.lost + int(moved) + int(closed),
		allEchoed: allEchoed,
		late:      r.harnessLateness(counted),
		cpu:       end.cpu - begin.cpu,
	}
}

// logStep writes the result of a step as a line of progress.
func (r *run) logStep(m *measurement, step lineStep) {
	r.logProgress(
		"%d connections, %.0f lines/s: p99 %.2f ms, %d lost, %d pending, p99 of lag: sends %.2f ms, loops %.2f ms",
		m.size,
		step.rate,
		step.p99,
		step.lost,
		step.counted.pending,
		step.late.sends,
		step.late.loops,
	)
}

// sustained returns whether the balancer sustained the rate: no line was lost, all echoes were received in time, and
// the delay was within its bound.
func (s *lineStep) sustained() bool {
	return s.lost == 0 && s.allEchoed && s.p99 <= maxDelayMillis
}

// acceptStep returns whether a step is valid and its rate was sustained. If not, no higher rate is tried, and a figure
// shows the reason.
func (r *run) acceptStep(m *measurement, step lineStep) bool {
	if step.late.exceeded() {
		r.note(m, "lines",
			"not valid from %.0f lines per second on: the harness sent %.1f ms late, its loops were %.1f ms late",
			step.rate, step.late.sends, step.late.loops)
		m.figures["harness_starved_at_lines_per_s"] = step.rate
		return false
	}
	if !step.sustained() {
		m.figures["breaks_at_lines_per_s"] = step.rate
		return false
	}
	return true
}

// addStep adds a step whose rate was sustained.
func (m *measurement) addStep(step lineStep) {
	m.delay.X = append(m.delay.X, step.rate)
	m.delay.Y = append(m.delay.Y, step.p99)
	microsPerLine := microsPerItem(step.cpu, step.counted.sent)
	m.figures["borne_lines_per_s"] = step.rate
	m.figures["us_per_line_borne"] = microsPerLine
	switch step.rate {
	case baselineRate:
		m.figures["p99_ms_at_rest"] = step.p99
		m.figures["p50_ms_at_rest"] = report.Quantile(step.counted.delayMillis, 0.5)
	case referenceRate:
		m.figures["p99_ms_common"] = step.p99
		m.figures["us_per_line_common"] = microsPerLine
	}
}
