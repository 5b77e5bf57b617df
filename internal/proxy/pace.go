package proxy

import (
	"cmp"
	"slices"
	"spurspread/decision"
	"spurspread/decision/outcome"
	"spurspread/internal/eventloop"
)

const (
	latencyWindow        = 1 * second // what a target's lines took lately
	slowReportInterval   = 1 * second
	selfReportValidity   = 2 * second
	slowObjectiveDivisor = 3 // a note is due while messages take over this part of the shortest aim
)

type latencySample struct{ at, took eventloop.Micros }

// serverLatency is how long one target's messages take, from the lines that are passed on, for targets that do not tell it.
type serverLatency struct {
	samples        []latencySample
	pendingAges    []eventloop.Micros // of lines that are unanswered now
	established    requestSet         // sessions that stand there
	slow           bool
	slowReportedAt eventloop.Micros
	selfReportedAt eventloop.Micros // the target's last word of its own
}

// record notes that a line was answered. Times never go back.
func (p *serverLatency) record(now, took eventloop.Micros) {
	p.samples = append(p.samples, latencySample{now, took})
}

// dropOld drops what was long ago.
func (p *serverLatency) dropOld(now eventloop.Micros) {
	old, _ := slices.BinarySearchFunc(
		p.samples,
		now-latencyWindow,
		func(s latencySample, from eventloop.Micros) int { return cmp.Compare(s.at, from) },
	)
	p.samples = slices.Delete(p.samples, 0, old)
}

// isSlow tells whether delay is over the limit, without the work of ordering all lines. It comes for each target at
// each sweep.
func (p *serverLatency) isSlow(now, limit eventloop.Micros) (late, seen bool) {
	p.dropOld(now)
	over, all := 0, len(p.samples)
	for _, s := range p.samples {
		if s.took > limit {
			over++
		}
	}
	for _, age := range p.pendingAges {
		if age > limit {
			over, all = over+1, all+1
		}
	}
	return all > 0 && all-over <= all/2, all > 0
}

// median is the median of what lines took lately. A line that is unanswered for longer than the limit counts with
// its age: a target that answers nothing would otherwise look as it did before.
func (p *serverLatency) median(now, limit eventloop.Micros) (eventloop.Micros, bool) {
	p.dropOld(now)
	var all []eventloop.Micros
	for _, s := range p.samples {
		all = append(all, s.took)
	}
	for _, age := range p.pendingAges {
		if age > limit {
			all = append(all, age)
		}
	}
	if len(all) == 0 {
		return 0, false
	}
	slices.Sort(all)
	return all[len(all)/2], true
}

// reportDue tells whether a note is to be sent now: one a second while messages are slow, and one when they no longer are.
func (p *serverLatency) reportDue(now eventloop.Micros, slow bool) bool {
	if slow && (!p.slow || now-p.slowReportedAt >= slowReportInterval) || !slow && p.slow {
		p.slow, p.slowReportedAt = slow, now
		return true
	}
	return false
}

// sweep looks at what stands: connections that bring nothing back, and targets whose messages are slow.
func (r *Proxy) sweep() {
	r.loop.After(sweepInterval, r.sweep)
	now := r.loop.Now()
	for _, p := range r.latencies {
		p.pendingAges = p.pendingAges[:0]
	}
	for s := range r.awaitingReply.each {
		// A client that does not read keeps its target from being read: what is late then is no fault of the target's.
		if s.state != stateEstablished || s.downstream.Pending() > r.maxPending {
			continue
		}
		if s.isSilent(now) {
			r.counters.silent++
			s.moveAway(outcome.Reset, false)
			continue
		}
		if len(s.sentAt) > 0 {
			p := r.latencyOf(s.attempt.server.Number)
			p.pendingAges = append(p.pendingAges, now-s.sentAt[0])
		}
	}
	limit := r.slowMessageLimit()
	for num, p := range r.latencies {
		if limit > 0 {
			r.reportSlowServer(now, uint32(num), p, limit)
		} else {
			p.samples = nil // nobody asks for them, and they would pile up for as long as lines come
		}
	}
}

// slowMessageLimit is how long a message may take without a note; 0 where the module expects none.
func (r *Proxy) slowMessageLimit() eventloop.Micros {
	var aim decision.Micros
	for _, c := range r.cfg.Settings.Decision.Classes {
		if c.MessageLatencyObjective > 0 && (aim == 0 || c.MessageLatencyObjective < aim) {
			aim = c.MessageLatencyObjective
		}
	}
	if !r.cfg.Settings.ReportsDelay {
		return 0
	}
	return eventloop.Micros(aim) / slowObjectiveDivisor
}

// reportedLoad takes a LOAD line. What it tells is what the settings promise notes of: a target that tells no connection's
// load, but how long messages take, says so with the same line, in milliseconds.
func (r *Proxy) reportedLoad(s *request, value float64) {
	kind := decision.LoadMetric
	if set := &r.cfg.Settings; set.ReportsDelay && !set.ReportsLoad {
		kind = decision.MessageLatencyMetric
		r.latencyOf(s.attempt.server.Number).selfReportedAt = r.loop.Now()
	}
	r.dispatch(
		decision.ConnectionMetric{
			ID:      uint32(s.ref),
			Attempt: s.attempt.number,
			Server:  s.attempt.server.Number,
			Kind:    kind,
			Value:   value,
		},
	)
}

func (r *Proxy) reportSlowServer(now eventloop.Micros, num uint32, p *serverLatency, limit eventloop.Micros) {
	slow, seen := p.isSlow(now, limit)
	if !slow && p.selfReportedAt != 0 && now-p.selfReportedAt < selfReportValidity {
		return // its lines come back at once, but it says itself that messages wait
	}
	// The note may have moved the last one away meanwhile.
	s := p.anyEstablished()
	if !seen || s == nil || !p.reportDue(now, slow) {
		return
	}
	took, _ := p.median(now, limit)
	r.dispatch(
		decision.ConnectionMetric{
			ID:      uint32(s.ref),
			Attempt: s.attempt.number,
			Server:  num,
			Kind:    decision.MessageLatencyMetric,
			Value:   float64(took) / float64(millisecond),
		},
	)
}

// anyEstablished is a connection that stands there, nil where none does.
func (p *serverLatency) anyEstablished() *request {
	for s := range p.established.each {
		if s.state == stateEstablished {
			return s
		}
	}
	return nil
}
