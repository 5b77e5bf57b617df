package proxy

import (
	"spurspread/decision"
	"spurspread/decision/messagedelay"
	"spurspread/decision/monotime"
	"spurspread/decision/outcome"
	"spurspread/decision/overload"
)

// sweepInterval is how often established connections are looked at.
const sweepInterval = 200 * monotime.Millisecond

// latencyTable owns what is known of how long servers take to answer messages, by the server's number.
type latencyTable struct {
	proxy   *Proxy
	servers []*serverLatency
}

// serverLatency is one server's message latency, and the requests that are established there.
type serverLatency struct {
	delay       messagedelay.Estimator
	established requestSet
}

// of is the record of a server, a new one where there is none yet.
func (t *latencyTable) of(server uint32) *serverLatency {
	for int(server) >= len(t.servers) {
		t.servers = append(t.servers, &serverLatency{
			established: requestSet{index: func(r *request) *int32 { return &r.establishedIndex }},
		})
	}
	return t.servers[server]
}

// sweep gives up connections whose servers send nothing back, and reports servers whose messages are slow.
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

// checkUnanswered looks at the connections with unanswered lines.
func (t *latencyTable) checkUnanswered(now monotime.Micros) {
	p := t.proxy
	for _, server := range t.servers {
		server.delay.ResetUnanswered()
	}
	for r := range p.requests.awaitingReply.each {
		// While a client does not read its server is left unread: what is late then is not the server's doing.
		if r.state != stateEstablished || overload.IsStalled(r.downstream.Pending(), p.buffers.maxPending) {
			continue
		}
		if r.isSilent(now) {
			p.stats.silent++
			r.moveAway(outcome.Reset, false)
			continue
		}
		if len(r.sentAt) > 0 {
			r.latency.delay.AddUnanswered(now - r.sentAt[0])
		}
	}
}

// slowLimit is the message latency above which a server is reported; 0 where the core expects no reports.
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

// report notifies the core of a server's message latency, if that is due, in the name of one of its connections.
func (t *latencyTable) report(now monotime.Micros, number uint32, server *serverLatency, limit monotime.Micros) {
	r := server.anyEstablished() // an earlier report may have moved the last one away
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

// anyEstablished is a request that is established at the server, nil where none is.
func (l *serverLatency) anyEstablished() *request {
	for r := range l.established.each {
		if r.state == stateEstablished {
			return r
		}
	}
	return nil
}

// reportMetric notifies the core of the number on a server's LOAD line: its message latency in milliseconds or the
// connection's load, as the settings promise.
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
