package proxy

import (
	"errors"
	"spurspread/decision"
	"spurspread/decision/outcome"
	"spurspread/internal/eventloop"
	"spurspread/internal/lineproto"
)

// probeRoom is what a probe may take beyond the time that a connection may take to come up.
const probeRoom = 150 * ms

// probe is one question to a target, on a connection of its own.
type probe struct {
	r      *Relay
	server uint32
	conn   *eventloop.Conn
	began  eventloop.Micros
	up     bool
	buf    []byte
	timer  eventloop.Ref
	over   bool
	load   decision.Report
}

func (r *Relay) probe(server uint32) {
	p := &probe{r: r, server: server, began: r.l.Now()}
	r.makeRoom()
	var err error
	if p.conn, err = r.dialTarget(r.table.ByNum(server), p); err != nil {
		p.timer = r.l.After(0, func() { p.end(refusal(err)) })
		return
	}
	// Where a report is promised, asking for it costs no more than asking whether the target lives.
	question := "PING\r\n"
	if len(r.cfg.Settings.Logic.Columns) > 0 {
		question = "STATS\r\n"
	}
	p.conn.Write([]byte(question))
	connect := eventloop.Micros(r.cfg.Settings.ConnectTimeout)
	p.timer = r.l.After(connect, func() {
		if p.conn.Settle(); p.over {
			return
		}
		if !p.up {
			p.end(outcome.ConnectFailed)
			return
		}
		p.timer = r.l.After(probeRoom, func() { p.end(outcome.TimedOut) })
	})
}

// Connected is part of loop.Owner.
func (p *probe) Connected(_ *eventloop.Conn, err error) {
	if p.up = err == nil; !p.up {
		p.end(outcome.ConnectFailed)
	}
}

// Flushed is part of loop.Owner.
func (p *probe) Flushed(*eventloop.Conn) {}

// Readable is part of loop.Owner.
func (p *probe) Readable(conn *eventloop.Conn) {
	for !p.over {
		n, err := conn.Read(p.r.scratch)
		switch {
		case errors.Is(err, eventloop.ErrAgain):
			return
		case err != nil:
			p.end(outcome.Reset)
			return
		}
		p.buf = append(p.buf, p.r.scratch[:n]...)
		text, n, err := lineproto.Cut(p.buf)
		if err != nil {
			p.end(outcome.ErrorAnswer)
		} else if n > 0 {
			switch kind, _ := lineproto.Server(text); kind {
			case lineproto.Pong:
				p.load = p.r.loadReport(text)
				p.end(outcome.OK)
			case lineproto.Busy:
				p.end(outcome.ServerFull)
			default:
				p.end(outcome.ErrorAnswer)
			}
		}
	}
}

func (p *probe) end(status outcome.Status) {
	if p.over {
		return
	}
	p.over = true
	p.r.l.Cancel(&p.timer)
	p.conn.Close()
	p.r.tell(
		decision.Probed{Server: p.server, Status: status, Took: decision.Micros(p.r.l.Now() - p.began), Load: p.load},
	)
}

// loadReport reads the load report behind a target's word, in the order of the columns that the settings name.
func (r *Relay) loadReport(text []byte) (rep decision.Report) {
	for i, name := range r.cfg.Settings.Logic.Columns {
		if i < len(rep.Values) {
			v, ok := lineproto.Field(text, name)
			if !ok {
				return decision.Report{}
			}
			rep.Values[i] = float32(v)
			rep.N = i + 1
		}
	}
	return rep
}
