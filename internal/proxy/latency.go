package proxy

import (
	"spurspread/decision"
	"spurspread/decision/messagedelay"
	"spurspread/decision/monotime"
	"spurspread/decision/outcome"
	"spurspread/decision/overload"
)

// sweepInterval is the interval between checks of established connections.
const sweepInterval = 200 * monotime.Millisecond

// latencyTable owns the message latencies of all servers, indexed by server number. The message latency of a server is
// the time that it takes to answer a line of an established connection.
type latencyTable struct {
	proxy   *Proxy
	servers []*serverLatency
}

// serverLatency is one server's message latency and the set of requests established there.
type serverLatency struct {
	delay       messagedelay.Estimator
	established requestSet
}

// forServer returns the entry of a server, creating it if necessary.
func (t *latencyTable) forServer(server uint32) *serverLatency {
	for int(server) >= len(t.servers) {
		t.servers = append(t.servers, &serverLatency{
			established: requestSet{index: func(r *request) *int32 { return &r.establishedIndex }},
		})
	}
	return t.servers[server]
}

// sweep moves clients off unresponsive servers and reports slow servers to the core, or discards the latencies if the
// core expects no reports. It reschedules itself.
func (t *latencyTable) sweep() {
	t.proxy.loop.After(sweepInterval, t.sweep)
	now := t.proxy.loop.Now()
	t.checkUnanswered(now)
	limit := t.slowLimit()
	for number, server := range t.servers {
		if limit > 0 {
			t.report(now, uint32(number), server, limit)
		} else {
			server.delay.Discard()
		}
	}
}

// checkUnanswered moves the connections whose servers are unresponsive, and records the ages of the oldest unanswered
// lines of the others.
func (t *latencyTable) checkUnanswered(now monotime.Micros) {
	p := t.proxy
	for _, server := range t.servers {
		server.delay.ResetUnanswered()
	}
	for r := range p.requests.awaitingReply.each {
		// While a client does not read, its server is not read either, and late replies don't count against the server.
		if r.state != stateEstablished || overload.IsStalled(r.downstream.Pending(), p.buffers.maxPending) {
			continue
		}
		if r.isUnresponsive(now) {
			p.stats.unresponsive++
			r.startMove(outcome.Reset, false)
			continue
		}
		if len(r.sentAt) > 0 {
			r.latency.delay.AddUnanswered(now - r.sentAt[0])
		}
	}
}

// slowLimit returns the message latency above which a server is reported as slow; 0 if the core expects no reports.
func (t *latencyTable) slowLimit() monotime.Micros {
	settings := &t.proxy.cfg.Settings
	if !settings.ReportsMessageLatency {
		return 0
	}
	objectives := make([]monotime.Micros, 0, len(settings.Decision.Classes))
	for i := range settings.Decision.Classes {
		objectives = append(objectives, settings.Decision.Classes[i].MessageLatencyObjective)
	}
	return messagedelay.SlowLimit(objectives)
}

// report notifies the core of a server's message latency, if a report is due. The event carries the id of one of the
// connections established there.
func (t *latencyTable) report(now monotime.Micros, number uint32, server *serverLatency, limit monotime.Micros) {
	r := server.anyEstablished() // nil if an earlier report has moved the last one
	latency, due := server.delay.Report(now, limit, r != nil)
	if !due {
		return
	}
	t.proxy.core.dispatch(decision.ConnectionMetric{
		ID:      uint32(r.ref),
		Attempt: r.attempt.number,
		Server:  number,
		Kind:    decision.MessageLatencyMetric,
		Value:   float64(latency) / float64(monotime.Millisecond),
	})
}

// anyEstablished returns a request that is established at the server; nil if there is none.
func (l *serverLatency) anyEstablished() *request {
	for r := range l.established.each {
		if r.state == stateEstablished {
			return r
		}
	}
	return nil
}

// reportMetric notifies the core of the value of a server's LOAD line. Depending on the settings it is the server's
// message latency in milliseconds or the connection's load.
func (r *request) reportMetric(value float64) {
	p := r.proxy
	kind := decision.LoadMetric
	if messagedelay.LoadLineIsLatency(p.cfg.Settings.ReportsMessageLatency, p.cfg.Settings.ReportsLoad) {
		kind = decision.MessageLatencyMetric
		r.latency.delay.SelfReported(p.loop.Now())
	}
	p.core.dispatch(decision.ConnectionMetric{
		ID:      uint32(r.ref),
		Attempt: r.attempt.number,
		Server:  r.attempt.server.Number,
		Kind:    kind,
		Value:   value,
	})
}
