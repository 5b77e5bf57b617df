package proxy

import (
	"errors"
	"spurspread/decision"
	"spurspread/decision/outcome"
	"spurspread/internal/eventloop"
	"spurspread/internal/lineproto"
)

// probeReplyTimeout is what a probe may take beyond the time that a connection may take to come up.
const probeReplyTimeout = 150 * millisecond

// healthProbe is one question to a target, on a connection of its own.
type healthProbe struct {
	proxy     *Proxy
	server    uint32
	conn      *eventloop.Conn
	began     eventloop.Micros
	connected bool
	buf       []byte
	timer     eventloop.Ref
	ended     bool
	load      decision.LoadReport
}

func (r *Proxy) startProbe(server uint32) {
	p := &healthProbe{proxy: r, server: server, began: r.loop.Now()}
	r.evictIdle()
	var err error
	if p.conn, err = r.dialServer(r.servers.ByNumber(server), p); err != nil {
		p.timer = r.loop.After(0, func() { p.end(dialFailure(err)) })
		return
	}
	// Where a report is promised, asking for it costs no more than asking whether the target lives.
	question := "PING\r\n"
	if len(r.cfg.Settings.Decision.LoadReportColumns) > 0 {
		question = "STATS\r\n"
	}
	p.conn.Write([]byte(question))
	connect := eventloop.Micros(r.cfg.Settings.ConnectTimeout)
	p.timer = r.loop.After(connect, func() {
		if p.conn.DrainEvents(); p.ended {
			return
		}
		if !p.connected {
			p.end(outcome.ConnectFailed)
			return
		}
		p.timer = r.loop.After(probeReplyTimeout, func() { p.end(outcome.TimedOut) })
	})
}

// Connected is part of loop.Owner.
func (p *healthProbe) Connected(_ *eventloop.Conn, err error) {
	if p.connected = err == nil; !p.connected {
		p.end(outcome.ConnectFailed)
	}
}

// Flushed is part of loop.Owner.
func (p *healthProbe) Flushed(*eventloop.Conn) {}

// Readable is part of loop.Owner.
func (p *healthProbe) Readable(conn *eventloop.Conn) {
	for !p.ended {
		n, err := conn.Read(p.proxy.readBuf)
		switch {
		case errors.Is(err, eventloop.ErrAgain):
			return
		case err != nil:
			p.end(outcome.Reset)
			return
		}
		p.buf = append(p.buf, p.proxy.readBuf[:n]...)
		text, n, err := lineproto.SplitLine(p.buf)
		if err != nil {
			p.end(outcome.ErrorResponse)
		} else if n > 0 {
			switch kind, _ := lineproto.ParseServerLine(text); kind {
			case lineproto.Pong:
				p.load = p.proxy.parseLoadReport(text)
				p.end(outcome.OK)
			case lineproto.Busy:
				p.end(outcome.ServerFull)
			default:
				p.end(outcome.ErrorResponse)
			}
		}
	}
}

func (p *healthProbe) end(status outcome.Status) {
	if p.ended {
		return
	}
	p.ended = true
	p.proxy.loop.Cancel(&p.timer)
	p.conn.Close()
	p.proxy.dispatch(
		decision.ProbeResult{
			Server:     p.server,
			Status:     status,
			Duration:   decision.Micros(p.proxy.loop.Now() - p.began),
			LoadReport: p.load,
		},
	)
}

// parseLoadReport reads the load report behind a target's word, in the order of the columns that the settings name.
func (r *Proxy) parseLoadReport(text []byte) (rep decision.LoadReport) {
	for i, name := range r.cfg.Settings.Decision.LoadReportColumns {
		if i < len(rep.Values) {
			v, ok := lineproto.Field(text, name)
			if !ok {
				return decision.LoadReport{}
			}
			rep.Values[i] = float32(v)
			rep.Count = i + 1
		}
	}
	return rep
}
