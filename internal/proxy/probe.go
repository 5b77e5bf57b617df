package proxy

import (
	"errors"

	"spurspread/decision"
	"spurspread/decision/monotime"
	"spurspread/decision/outcome"
	"spurspread/decision/timeouts"
	"spurspread/internal/eventloop"
	"spurspread/internal/lineproto"
)

// healthProbe is one probe of a server, on a dedicated connection. It ends exactly once and reports one result to the
// decision core.
type healthProbe struct {
	proxy     *Proxy
	server    uint32
	conn      *eventloop.Conn
	startedAt monotime.Micros
	connected bool
	answerBuf []byte
	timer     eventloop.Ref
	ended     bool
	load      decision.LoadReport
}

// startProbe probes a server. If the settings name load report columns, it requests a load report (STATS), which costs
// no more than a PING.
func (p *Proxy) startProbe(server uint32) {
	h := &healthProbe{proxy: p, server: server, startedAt: p.loop.Now()}
	p.listener.evictIdle()
	var err error
	if h.conn, err = p.dialServer(p.servers.list.ByNumber(server), h); err != nil {
		h.timer = p.loop.After(0, func() { h.end(dialOutcome(err)) })
		return
	}
	command := "PING\r\n"
	if len(p.cfg.Settings.Decision.LoadReportColumns) > 0 {
		command = "STATS\r\n"
	}
	h.conn.Write([]byte(command))
	h.timer = p.loop.After(p.cfg.Settings.ConnectTimeout, h.connectTimedOut)
}

// connectTimedOut ends the probe unless it is connected; if it is, the server gets timeouts.ProbeReply to answer.
func (h *healthProbe) connectTimedOut() {
	h.conn.CheckConnected() // the connect event may be pending in this turn of the event loop
	if h.ended {
		return
	}
	if !h.connected {
		h.end(outcome.ConnectFailed)
		return
	}
	h.timer = h.proxy.loop.After(timeouts.ProbeReply, func() { h.end(outcome.TimedOut) })
}

// Connected is part of eventloop.Owner.
func (h *healthProbe) Connected(_ *eventloop.Conn, err error) {
	h.connected = err == nil
	if !h.connected {
		h.end(outcome.ConnectFailed)
	}
}

// Flushed is part of eventloop.Owner.
func (h *healthProbe) Flushed(*eventloop.Conn) {}

// Readable is part of eventloop.Owner.
func (h *healthProbe) Readable(conn *eventloop.Conn) {
	buffers := &h.proxy.buffers.read
	buffer := buffers.get()
	defer buffers.put(buffer)
	for !h.ended {
		n, err := conn.Read(buffer)
		switch {
		case errors.Is(err, eventloop.ErrAgain):
			return
		case err != nil:
			h.end(outcome.Reset)
			return
		}
		h.readAnswer(buffer[:n])
	}
}

// readAnswer collects the server's answer and ends the probe once the line is complete.
func (h *healthProbe) readAnswer(b []byte) {
	h.answerBuf = append(h.answerBuf, b...)
	text, n, err := lineproto.SplitLine(h.answerBuf)
	if err != nil {
		h.end(outcome.ErrorResponse)
		return
	}
	if n == 0 {
		return
	}
	switch verb, _ := lineproto.ParseServerLine(text); verb {
	case lineproto.Pong:
		h.load = parseLoadReport(text, h.proxy.cfg.Settings.Decision.LoadReportColumns)
		h.end(outcome.OK)
	case lineproto.Busy:
		h.end(outcome.ServerFull)
	default:
		h.end(outcome.ErrorResponse)
	}
}

// end closes the probe's connection and reports its result to the decision core. Only the first call has an effect.
func (h *healthProbe) end(status outcome.Status) {
	if h.ended {
		return
	}
	p := h.proxy
	h.ended = true
	p.loop.Cancel(&h.timer)
	h.conn.Close()
	p.core.dispatch(decision.ProbeResult{
		Server:     h.server,
		Status:     status,
		Duration:   p.loop.Now() - h.startedAt,
		LoadReport: h.load,
	})
}

// parseLoadReport parses the load report in a server's answer, in the order of the settings' columns, as many as a
// report can hold. The report is empty if the value of any of them is missing or invalid.
func parseLoadReport(text []byte, columns []string) (report decision.LoadReport) {
	for i, name := range columns {
		if i >= len(report.Values) {
			break
		}
		value, ok := lineproto.NumberField(text, name)
		if !ok {
			return decision.LoadReport{}
		}
		report.Values[i] = float32(value)
		report.Count = i + 1
	}
	return report
}
