package proxy

import (
	"errors"
	"io"
	"net/netip"
	"spurspread/decision"
	"spurspread/decision/outcome"
	"spurspread/internal/discovery"
	"spurspread/internal/eventloop"
	"spurspread/internal/lineproto"
	"strconv"
)

// hop is one attempt: a connection of its own to an egress target.
type hop struct {
	r         *Relay
	s         *session
	target    *discovery.Target
	chosen    listing // the target as it was listed when it was chosen
	attempt   int
	out       side
	began     eventloop.Micros
	until     eventloop.Micros // given up then, unless it is up
	writeBy   eventloop.Micros // the first line is written by then or not at all; 0 where that does not matter
	connected bool
	sent      bool   // the first line's last byte is written: the target may have run it
	buf       []byte // the answer, as far as it has come
	timer     eventloop.Ref
	trunk     *trunk // that it goes over; nil where it has a connection of its own
	echo      bool   // its outcome was told already, as evidence of its target's health
	over      bool
}

// listing is what of a target's listing matters to what is sent there.
type listing struct {
	state   discovery.State
	started int64
	addr    netip.AddrPort
}

func listingOf(t *discovery.Target) listing { return listing{t.State, t.StartedMillis, t.Addr} }

// dial starts an attempt that is given up after wait. Where within is not 0, its line is written within that or never.
func (r *Relay) dial(s *session, t *discovery.Target, attempt int, wait, within eventloop.Micros) *hop {
	now := r.l.Now()
	h := &hop{r: r, s: s, target: t, attempt: attempt, began: now, until: now + wait, chosen: listingOf(t)}
	if within > 0 {
		h.writeBy = now + within
	}
	if r.cfg.Channels == nil || !r.cfg.Channels.Nodes || !h.viaTrunk() {
		h.direct()
	}
	return h
}

// direct gives the hop a connection of its own.
func (h *hop) direct() {
	h.r.makeRoom()
	conn, err := h.r.dialTarget(h.target, h)
	h.out = conn
	if err != nil {
		h.endSoon(refusal(err))
		return
	}
	wait := min(h.until-h.r.l.Now(), eventloop.Micros(h.r.cfg.Settings.ConnectTimeout))
	h.timer = h.r.l.After(wait, func() {
		if conn.Settle(); !h.connected {
			h.end(outcome.ConnectFailed)
		}
	})
}

// dialTarget starts a connection to a target, for a hop or a probe.
func (r *Relay) dialTarget(t *discovery.Target, owner eventloop.Owner) (*eventloop.Conn, error) {
	if t == nil || !t.Addr.IsValid() {
		return nil, errors.New("no address")
	}
	return r.l.Dial(t.Addr, owner)
}

// refusal is the outcome of a dial that failed at once. What this machine lacks says nothing of the target: taken
// for a refusal, a crowd that used up the descriptors would have every target demoted.
func refusal(err error) outcome.Status {
	if eventloop.Exhausted(err) {
		return outcome.Inconclusive
	}
	return outcome.ConnectFailed
}

// Connected is part of loop.Owner.
func (h *hop) Connected(conn *eventloop.Conn, err error) {
	if err != nil {
		h.end(outcome.ConnectFailed)
		return
	}
	h.connected = true
	if !h.mayWrite() {
		return
	}
	conn.Write(h.firstLine())
	h.sent = conn.Pending() == 0 && !conn.Broken()
	h.await()
}

// mayWrite looks once more before the first line goes out: a connection takes a while to come up, and meanwhile the
// client may have left, its end still unread behind this very event, and the time may be over in which the request
// may be repeated. It then never runs, and the hop has ended. What discovery told meanwhile has been heeded at
// once: see recall.
func (h *hop) mayWrite() bool {
	if h.s.Readable(); h.over {
		return false
	}
	if h.writeBy > 0 && h.r.l.Now() >= h.writeBy {
		h.end(outcome.Inconclusive)
		return false
	}
	return true
}

// recall ends what is on its way, its first line not written, to targets that have just been listed as draining,
// gone, begun anew or elsewhere: the module would not choose them now. What an earlier process of this deployment
// had open at a target goes there whatever it is now.
func (r *Relay) recall() {
	for s := range r.underWay.each {
		if h := s.hop; h != nil && s.phase == asked && !h.sent && h.changed() {
			h.end(outcome.Inconclusive)
		}
	}
}

// changed tells that the target is not what it was when it was chosen, in what matters to what is sent there.
func (h *hop) changed() bool {
	now := listingOf(h.target)
	return now.state != discovery.Ready || now.started != h.chosen.started || now.addr != h.chosen.addr
}

// await has the hop end when its target has not answered in time, or the first line could not be written in time.
func (h *hop) await() {
	at := h.until
	if !h.sent && h.writeBy > 0 {
		at = min(at, h.writeBy)
	}
	h.r.l.Cancel(&h.timer)
	h.timer = h.r.l.After(at-h.r.l.Now(), func() {
		// What came in this very turn still counts.
		if h.read(); h.over || h.s.phase == open {
			return
		}
		if h.sent && h.r.l.Now() < h.until {
			h.await()
			return
		}
		h.end(h.unanswered(outcome.TimedOut))
	})
}

// firstLine is what the target is sent: d tells it how long this hop will wait, and all else goes as the client
// sent it, byte for byte.
func (h *hop) firstLine() (head, d, tail []byte) {
	text, first := h.s.text, &h.s.first
	d = strconv.AppendInt(make([]byte, 0, 20), int64(max((h.until-h.r.l.Now())/ms, 1)), 10)
	return text[:first.DFrom], d, text[first.DTo:]
}

// Flushed is part of loop.Owner.
func (h *hop) Flushed(*eventloop.Conn) { h.flushed() }

// flushed tells that the target has caught up.
func (h *hop) flushed() {
	h.sent = true
	if h.s.phase == open {
		h.s.Readable()
	}
}

// unanswered is the outcome of a hop that ended without an answer: before its last byte it can't have run.
func (h *hop) unanswered(status outcome.Status) outcome.Status {
	if !h.sent {
		return outcome.ConnectFailed
	}
	return status
}

// Readable is part of loop.Owner.
func (h *hop) Readable(*eventloop.Conn) { h.read() }

// read reads what the target sends.
func (h *hop) read() {
	for range fairRounds {
		if h.over || !h.connected || h.s.phase == passing {
			return
		}
		if h.s.in.Pending() > h.r.maxPending {
			h.s.stalled = true // it is read on when the client has caught up
			return
		}
		n, err := h.out.Read(h.r.scratch)
		if errors.Is(err, eventloop.ErrAgain) {
			return
		}
		if err != nil {
			h.broke(errors.Is(err, io.EOF))
			return
		}
		if b := h.r.scratch[:n]; h.s.phase == open || h.s.phase == leaving {
			h.s.back(b)
		} else {
			h.answer(b)
		}
	}
	h.r.l.After(0, h.read)
}

// answer reads the target's first line.
func (h *hop) answer(b []byte) {
	h.buf = append(h.buf, b...)
	text, n, err := lineproto.Cut(h.buf)
	if err != nil {
		h.end(outcome.ErrorAnswer)
		return
	}
	if n > 0 {
		rest := h.buf[n:]
		h.buf = nil
		if h.answered(text); h.s.phase == open && len(rest) > 0 {
			h.s.back(rest)
		}
	}
}

// answered takes the target's answer, a line without its end.
func (h *hop) answered(text []byte) {
	s := h.s
	switch kind, _ := lineproto.Server(text); kind {
	case lineproto.Up:
		// What the client sent before its answer shows now at the latest.
		if s.Readable(); h.over {
			return
		}
		if !s.numbered(text) {
			return
		}
		h.r.l.Cancel(&h.timer)
		s.served(text)
	case lineproto.Bye:
		// Served to its end at once: the target's word is the answer.
		s.in.refuse(append(text, "\r\n"...))
		s.finish(outcome.OK)
	case lineproto.Move:
		h.end(outcome.Cancelled)
	case lineproto.Busy:
		h.end(outcome.ServerFull)
	case lineproto.Stale:
		s.denied(lineproto.Word(text))
	case lineproto.Err:
		h.end(outcome.ErrorAnswer)
	default:
		h.r.counts.odd++
		h.end(outcome.ErrorAnswer)
	}
}

// broke takes the end of the target's side.
func (h *hop) broke(plain bool) {
	s := h.s
	switch s.phase {
	case open, leaving:
		if s.continues() {
			s.leave(s.verdict, false)
			return
		}
		status := s.verdict
		if s.phase == leaving && status == outcome.Reset {
			status = outcome.Cancelled // it ended because its client had left
		}
		if plain {
			s.finish(status)
			return
		}
		h.end(status)
		s.abort()
	default:
		h.end(h.unanswered(outcome.Reset))
	}
}

// end closes the hop and tells the module its outcome, once.
func (h *hop) end(status outcome.Status) {
	if h.over {
		return
	}
	h.over = true
	h.r.l.Cancel(&h.timer)
	if h.out != nil {
		h.out.Close()
	}
	if t := h.trunk; t != nil {
		delete(t.hops, h)
		h.r.pool.Done(h.r.l.Now(), t.id)
		if h.echo = !t.evidence(); h.echo {
			h.r.counts.echoes++
		}
	}
	s := h.s
	s.hop = nil
	s.unclaim(h, status)
	if s.known {
		h.r.tell(decision.Outcome{
			ID: uint32(s.ref), Attempt: h.attempt, Server: h.target.Num, Status: status,
			Took: decision.Micros(h.r.l.Now() - h.began), Closed: s.phase != asked, Echo: h.echo,
		})
	} else if s.phase == resuming {
		s.resumeFailed(status)
	}
}
