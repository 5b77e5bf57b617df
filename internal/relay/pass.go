package relay

import (
	"golang.org/x/sys/unix"

	"spurspread/internal/handover"
	"spurspread/internal/line"
	"spurspread/internal/logs"
	"spurspread/internal/loop"
	"spurspread/logic"
)

const (
	passTime   = 500 * ms // what could not pass within this span, or half the longest deadline, is moved
	passWindow = 32       // offered at once, each with two descriptors that both processes hold meanwhile
)

// passer offers standing connections to the successor. A connection that is offered is frozen: nobody reads it until
// the successor has said yes, and has it, or no.
type passer struct {
	r       *Relay
	link    *loop.Packets // nil once it has ended
	offered map[loop.Ref]*session
	done    bool // the rest is being moved
}

// pass offers all that stands to the process that listens at the path, and moves the rest.
func (r *Relay) pass(path string, pid int) {
	p := &passer{r: r, offered: map[loop.Ref]*session{}}
	link, err := r.l.DialPackets(path, pid, p)
	if err != nil {
		r.log.WithError(err).Info("the successor takes no standing connections: moving them")
		r.moveStanding(r.longest())
		return
	}
	p.link, r.drain.passer = link, p
	p.offerAll()
	r.l.After(min(passTime, r.longest()/2), p.rest)
}

// offerAll offers what can pass now, as far as the window allows, and looks again soon: a line that was under way ends.
func (p *passer) offerAll() {
	if p.done {
		return
	}
	p.r.l.After(drainLook, p.offerAll)
	p.fill()
}

func (p *passer) fill() {
	for _, s := range p.r.sessions.All {
		if len(p.offered) >= passWindow || p.link == nil {
			return
		}
		p.offer(s)
	}
}

// offer offers one connection, and tells whether it did. It has to stand between two lines in both directions with
// nothing kept back, on sockets of its own, and its client must not have a token: who has one is moved with it.
func (p *passer) offer(s *session) bool {
	if p.link == nil || s.phase != open || s.moving || s.refused || s.stalled || s.stream != nil ||
		!s.up.Between() || !s.down.Between() {
		return false
	}
	d, ok := s.in.(*door)
	out, own := s.hop.out.(*loop.Conn)
	if !ok || !own || s.hop.trunk != nil || d.conn.Pending() > 0 || out.Pending() > 0 {
		return false
	}
	now := s.r.l.Now()
	st := handover.Standing{Ref: uint32(s.ref), ID: s.first.ID, Key: s.first.Key, Group: s.first.Group,
		Class: s.classes[s.class], Hint: s.first.Hint, HasHint: s.first.HasHint, Retry: s.first.Retry,
		Returned: s.first.Returned, Target: s.hop.target.ID, Verdict: uint8(s.verdict), Quiet: max(now-s.lastBack, 0)}
	for _, at := range s.waiting {
		st.Waiting = append(st.Waiting, max(now-at, 0))
	}
	packet, err := st.Encode()
	if err != nil || len(packet) > loop.MaxPacket || p.link.Send(packet, d.conn, out) != nil {
		return false // its turn may come again
	}
	s.phase, p.offered[s.ref] = passing, s
	return true
}

// Packet is part of loop.PacketOwner: the successor's answer.
func (p *passer) Packet(_ *loop.Packets, b []byte, fds []int) {
	for _, fd := range fds {
		_ = unix.Close(fd) // none are wanted
	}
	ref, taken, err := handover.ParseAnswer(b)
	s := p.offered[loop.Ref(ref)]
	if err != nil || s == nil {
		p.r.log.WithError(err).Warn("the successor's answer makes no sense")
		p.link.Shut()
		return
	}
	delete(p.offered, s.ref)
	if taken {
		p.r.counts.passed++
		s.in.(*door).conn.Release()
		s.hop.out.(*loop.Conn).Release()
		s.phase = open
		s.close()
	} else {
		p.keep(s)
	}
	if !p.done {
		p.fill()
	}
}

// keep takes a connection back that the successor does not have.
func (p *passer) keep(s *session) {
	s.phase, s.refused = open, true
	if s.Readable(); s.phase == open {
		s.hop.read()
	}
	if p.done {
		s.leave(logic.Cancelled, true)
	}
}

// Ended is part of loop.PacketOwner. The successor says yes before it has a connection: what has no yes is ours.
func (p *passer) Ended(link *loop.Packets) {
	link.Close()
	p.link = nil
	for _, s := range p.r.sessions.All {
		if p.offered[s.ref] == s {
			p.keep(s)
		}
	}
	clear(p.offered)
	p.rest()
}

// rest moves what did not pass.
func (p *passer) rest() {
	if p.done {
		return
	}
	p.done = true
	if len(p.offered) > 0 {
		p.link.Shut() // no answer in all this time: what is still answered counts, then Ended takes the rest back
	}
	p.r.log.WithField(logs.Passed, p.r.counts.passed).WithField(logs.Standing, p.r.sessions.Len()).
		Info("passed standing connections to the successor")
	p.r.moveStanding(p.r.longest())
}

// TakeOver listens at the path for connections that an older process passes on when it ends.
func (r *Relay) TakeOver(path string) error {
	_, err := r.l.ListenPackets(path, func(*loop.Packets) loop.PacketOwner { return taker{r} })
	return err
}

// taker takes what the process before this one has standing.
type taker struct{ r *Relay }

// Ended is part of loop.PacketOwner.
func (taker) Ended(link *loop.Packets) { link.Close() }

// Packet is part of loop.PacketOwner: one standing connection.
func (t taker) Packet(link *loop.Packets, b []byte, fds []int) {
	st, err := handover.DecodeStanding(b)
	if err != nil || len(fds) != 2 || t.r.drain.on || t.r.tight() || t.r.table.ByID([]byte(st.Target)) == nil ||
		!t.r.ids.take(st.ID) {
		for _, fd := range fds {
			_ = unix.Close(fd)
		}
		_ = link.Send(handover.Answer(st.Ref, false))
		return
	}
	s := t.r.admit(st, fds)
	if s == nil || link.Send(handover.Answer(st.Ref, true)) != nil {
		t.r.ids.leave(st.ID)
		if s == nil {
			_ = link.Send(handover.Answer(st.Ref, false))
			return
		}
		// The old process has it back.
		s.in.(*door).conn.Release()
		s.hop.out.(*loop.Conn).Release()
		t.r.sessions.Drop(s.ref)
		return
	}
	t.r.counts.adopted++
	t.r.tell(logic.Open{Request: s.request(), Server: s.hop.target.Num})
}

// admit builds the session of a connection that stands, without reading from it yet; nil where it can't.
func (r *Relay) admit(st handover.Standing, fds []int) *session {
	now := r.l.Now()
	d := &door{r: r}
	s := &session{r: r, in: d, phase: open, named: true, known: true, class: 0, classes: []string{st.Class},
		first: line.Open{ID: st.ID, Key: st.Key, Group: st.Group, Hint: st.Hint, HasHint: st.HasHint, Retry: st.Retry,
			Returned: st.Returned},
		due: now, lastBack: now - st.Quiet, verdict: logic.Status(st.Verdict)}
	for _, age := range st.Waiting {
		s.waiting = append(s.waiting, now-age)
	}
	s.hop = &hop{r: r, s: s, target: r.table.ByID([]byte(st.Target)), began: now, connected: true, sent: true}
	d.session = s
	client, err := r.l.Adopt(fds[0], d)
	if err != nil {
		_ = unix.Close(fds[1])
		return nil
	}
	d.conn = client
	out, err := r.l.Adopt(fds[1], s.hop)
	if err == nil {
		s.hop.out = out
		s.ref = r.sessions.Put(s)
	}
	if s.ref == 0 {
		client.Release()
		if out != nil {
			out.Release()
		}
		return nil
	}
	if r.sessions.Len() > r.sized {
		r.limit()
	}
	return s
}
