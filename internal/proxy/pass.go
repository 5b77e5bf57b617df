package proxy

import (
	"spurspread/decision"
	"spurspread/decision/hotrestart"
	"spurspread/decision/outcome"
	"spurspread/internal/eventloop"
	"spurspread/internal/lineproto"
	"spurspread/internal/logging"
	"spurspread/internal/restartproto"

	"golang.org/x/sys/unix"
)

// passer carries out what the plan says of passing standing connections to the successor. A connection that is
// offered is frozen: nobody reads it until the successor has said yes, and has it, or no.
type passer struct {
	r    *Relay
	plan *hotrestart.Plan
	link *eventloop.Packets
	next []*session // still to be looked at in this round
}

// pass offers all that stands to the process that listens at the path, and moves the rest.
func (r *Relay) pass(path string, pid int) {
	p := &passer{r: r, plan: hotrestart.New(r.l.Now(), r.drain.span)}
	var err error
	if p.link, err = r.l.DialPackets(path, pid, p); err != nil {
		r.log.WithError(err).Info("the successor takes no standing connections: moving them")
		r.moveStanding(r.drain.span)
		return
	}
	r.drain.passer = p
	p.offerAll()
	r.l.After(p.plan.Until()-r.l.Now(), p.rest)
}

// offerAll offers what can pass now, and looks again soon: a line that was under way ends.
func (p *passer) offerAll() {
	if p.plan.Moving() {
		return
	}
	p.r.l.After(drainLook, p.offerAll)
	if len(p.next) == 0 {
		for _, s := range p.r.sessions.All {
			p.next = append(p.next, s)
		}
	}
	p.fill()
}

// fill goes on with the round as far as the plan has room, so that a round looks at each connection once.
func (p *passer) fill() {
	for len(p.next) > 0 && p.plan.Room() {
		s := p.next[0]
		p.next = p.next[1:]
		p.offer(s)
	}
}

// offer offers one connection, if the plan says so, and tells whether it did.
func (p *passer) offer(s *session) bool {
	if s.phase != open {
		return false
	}
	d, single := s.in.(*door)
	out, own := s.hop.out.(*eventloop.Conn)
	if !p.plan.Offer(uint32(s.ref), hotrestart.Look{
		Between: s.up.Between() && s.down.Between(), Own: single && own,
		Clear: s.in.Pending() == 0 && s.hop.out.Pending() == 0 && !s.stalled, Bound: s.moving || s.stream != nil,
	}) {
		return false
	}
	packet, err := s.described().Encode()
	if err != nil || len(packet) > eventloop.MaxPacket || p.link.Send(packet, d.conn, out) != nil {
		p.plan.Unsent(uint32(s.ref))
		return false
	}
	s.phase = passing
	return true
}

// described is what the successor is told of a connection that stands.
func (s *session) described() restartproto.Standing {
	now := s.r.l.Now()
	st := restartproto.Standing{
		Ref: uint32(s.ref), ID: s.first.ID, Key: s.first.Key, Group: s.first.Group,
		Class: s.classes[s.class], Hint: s.first.Hint, HasHint: s.first.HasHint, Retry: s.first.Retry,
		Returned: s.first.Returned, Target: s.hop.target.ID, Verdict: uint8(s.verdict), Quiet: int64(max(now-s.lastBack, 0)),
	}
	for _, at := range s.waiting {
		st.Waiting = append(st.Waiting, int64(max(now-at, 0)))
	}
	return st
}

// Packet is part of loop.PacketOwner: the successor's answer.
func (p *passer) Packet(_ *eventloop.Packets, b []byte, fds []int) {
	closeAll(fds) // none are wanted
	ref, taken, err := restartproto.ParseAnswer(b)
	s, _ := p.r.sessions.Get(eventloop.Ref(ref))
	switch {
	case err != nil || !p.plan.Answer(ref, taken):
		p.r.log.WithError(err).Warn("the successor's answer makes no sense")
		p.link.Shut()
		return
	case taken:
		p.r.counts.passed++
		s.in.(*door).conn.Release()
		s.hop.out.(*eventloop.Conn).Release()
		s.phase = open
		s.close()
	default:
		p.keep(s)
	}
	if !p.plan.Moving() {
		p.fill()
	}
}

// keep takes a connection back that the successor does not have.
func (p *passer) keep(s *session) {
	s.phase = open
	if s.Readable(); s.phase == open {
		s.hop.read()
	}
	if p.plan.Moving() {
		s.leave(outcome.Cancelled, true)
	}
}

// Ended is part of loop.PacketOwner. The successor says yes before it has a connection: what has no yes is ours.
func (p *passer) Ended(link *eventloop.Packets) {
	link.Close()
	for _, ref := range p.plan.Ended() {
		if s, ok := p.r.sessions.Get(eventloop.Ref(ref)); ok {
			p.keep(s)
		}
	}
	p.rest()
}

// rest moves what did not pass.
func (p *passer) rest() {
	move, cut := p.plan.Rest(p.r.l.Now())
	if !move {
		return
	}
	if cut {
		p.link.Shut() // what is still answered counts, then Ended takes the rest back
	}
	p.r.log.WithField(logging.Passed, p.r.counts.passed).WithField(logging.Standing, p.r.sessions.Len()).
		Info("passed standing connections to the successor")
	p.r.moveStanding(p.r.drain.span)
}

func closeAll(fds []int) {
	for _, fd := range fds {
		_ = unix.Close(fd)
	}
}

// TakeOver listens at the path for connections that an older process passes on when it ends.
func (r *Relay) TakeOver(path string) error {
	_, err := r.l.ListenPackets(path, func(*eventloop.Packets) eventloop.PacketOwner { return taker{r} })
	return err
}

// taker takes what the process before this one has standing.
type taker struct{ r *Relay }

// Ended is part of loop.PacketOwner.
func (taker) Ended(link *eventloop.Packets) { link.Close() }

// Packet is part of loop.PacketOwner: one standing connection.
func (t taker) Packet(link *eventloop.Packets, b []byte, fds []int) {
	st, err := restartproto.DecodeStanding(b)
	r := t.r
	if err != nil || !hotrestart.Take(hotrestart.Arrival{
		Sockets: len(fds), Known: r.table.ByID([]byte(st.Target)) != nil,
		New: !r.ids.known(st.ID), Leaving: r.drain.on, Shortage: r.tight(),
	}) {
		closeAll(fds)
		_ = link.Send(restartproto.Answer(st.Ref, false))
		return
	}
	r.ids.take(st.ID)
	s := t.r.admit(st, fds)
	if s == nil || link.Send(restartproto.Answer(st.Ref, true)) != nil {
		t.r.ids.leave(st.ID)
		if s == nil {
			_ = link.Send(restartproto.Answer(st.Ref, false))
			return
		}
		// The old process has it back.
		s.in.(*door).conn.Release()
		s.hop.out.(*eventloop.Conn).Release()
		t.r.sessions.Drop(s.ref)
		return
	}
	t.r.counts.adopted++
	t.r.tell(decision.Open{Request: s.request(), Server: s.hop.target.Num})
}

// admit builds the session of a connection that stands, without reading from it yet; nil where it can't.
func (r *Relay) admit(st restartproto.Standing, fds []int) *session {
	now := r.l.Now()
	d := &door{r: r}
	s := &session{
		r: r, in: d, phase: open, named: true, known: true, class: 0, classes: []string{st.Class},
		first: lineproto.Open{
			ID: st.ID, Key: st.Key, Group: st.Group, Hint: st.Hint, HasHint: st.HasHint, Retry: st.Retry,
			Returned: st.Returned,
		},
		due: now, lastBack: now - eventloop.Micros(st.Quiet), verdict: outcome.Status(st.Verdict),
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
	s.stands()
	for _, age := range st.Waiting {
		s.expects(now - eventloop.Micros(age))
	}
	return s
}
