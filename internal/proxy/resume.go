package proxy

import (
	"bytes"
	"math/rand/v2"
	"spurspread/decision"
	"spurspread/decision/drainorder"
	"spurspread/decision/outcome"
	"spurspread/decision/resume"
	"spurspread/internal/discovery"
	"spurspread/internal/eventloop"
	"spurspread/internal/lineproto"
	"spurspread/internal/logging"
	"spurspread/internal/token"

	"github.com/sirupsen/logrus"
)

// Resume has connections that move carry a token and continue where they left off; see docs/protocol/resume.md. It
// is for clients that ask for it; nobody else notices anything.
type Resume struct {
	Ring       *token.Ring
	Life, Skew int64            // of tokens, and of clocks; milliseconds
	Claims     int              // tokens remembered at once
	Spread     eventloop.Micros // of the moves off a draining target
}

// resumption is what a relay has for it. What it knows of tokens outlasts a reload, also one that turns it off.
type resumption struct {
	cfg      *Resume
	gate     *resume.Gate
	plan     *drainorder.Plan
	timer    eventloop.Ref // of the plan
	due      []uint32
	opened   token.Token // scratch of Open
	minted   int
	resumed  int
	newcomer *rand.Rand // draws the numbers of new streams
}

func (p *resumption) set(cfg *Resume, seed uint64) {
	p.cfg = cfg
	switch {
	case cfg == nil:
	case p.gate == nil:
		p.gate = resume.NewGate(resume.Millis(cfg.Skew), cfg.Claims)
		p.plan = drainorder.New(seed)
		p.newcomer = rand.New(rand.NewPCG(seed, 0x73747265616d))
	default:
		p.gate.Limit(resume.Millis(cfg.Skew), cfg.Claims)
	}
}

func (p *resumption) report(fields logrus.Fields) {
	if p.gate == nil {
		return
	}
	fields[logging.Minted], fields[logging.Resumed] = p.minted, p.resumed
	for why, n := range p.gate.Told {
		if n > 0 && resume.Reason(why) != resume.Honoured {
			fields[logging.Stale+resume.Reason(why).String()] = n
		}
	}
}

// stream is what a session has whose client takes tokens.
type stream struct {
	id      uint64    // through all its moves
	claim   resume.ID // of the token that it came with
	claimed bool      // the gate has that token from this session
	pinned  bool      // it came with one, and so goes to one target
	to      uint32
	cursor  uint64            // the last message that the client has
	why     resume.Reason     // what the client hears instead of a refusal
	numbers bool              // its target numbers the messages, so that it can be continued
	top     uint64            // the last message that was passed on
	leaving outcome.Status    // how its hop will have ended when it is moved
	next    *discovery.Target // where its client is to go
}

// present takes what a first line says of tokens. False: the client has its answer.
func (s *session) present() bool {
	p, now := &s.r.resumption, resume.Millis(s.r.l.Now()/ms)
	if p.cfg == nil || len(s.first.Tok) == 0 {
		return true
	}
	cursor, ok := uint64(0), true
	if len(s.first.Cur) > 0 {
		cursor, ok = lineproto.Cursor(s.first.Cur)
	}
	if string(s.first.Tok) == "ask" {
		if !ok {
			s.fail()
			return false
		}
		s.stream = &stream{id: p.newcomer.Uint64(), cursor: cursor, leaving: outcome.Cancelled}
		return true
	}
	why := resume.Malformed
	if ok && len(s.first.Cur) > 0 && len(s.first.At) == 0 {
		// The seal comes first: what follows costs memory.
		why = sealReasons[p.cfg.Ring.Open(s.first.Tok, &p.opened)]
	}
	if why != resume.Honoured {
		s.refuseToken(p.gate.Refuse(why))
		return false
	}
	t := &p.opened
	r := resume.Right{
		ID: resume.ID(t.ID), Minted: resume.Millis(t.Minted), Expires: resume.Millis(t.Expires),
		Class: string(
			t.Class,
		), Key: t.Key, Group: t.Group, Tenant: t.Tenant, Top: t.Top, Started: resume.Millis(t.Started),
	}
	l := resume.Line{
		Class: string(s.first.Class), Key: s.first.Key, Group: s.first.Group, Tenant: s.first.Tenant,
		Cursor: cursor,
	}
	var listed resume.Listed
	target := s.r.table.ByID(t.Server)
	if target != nil {
		listed = resume.Listed{Ready: target.State == discovery.Ready, Started: resume.Millis(target.StartedMillis)}
	}
	if why = p.gate.Present(now, &r, &l, listed); why != resume.Honoured {
		s.refuseToken(why)
		return false
	}
	s.stream = &stream{
		id: t.Stream, claim: r.ID, claimed: true, pinned: true, to: target.Num, cursor: cursor,
		leaving: outcome.Cancelled,
	}
	return true
}

// sealReasons are what an error of Open's tells a client.
var sealReasons = map[error]resume.Reason{
	nil: resume.Honoured, token.ErrMalformed: resume.Malformed, token.ErrUnknownKey: resume.UnknownKey,
	token.ErrForged: resume.Forged,
}

// refuseToken is the final answer that has the client start over without its token.
func (s *session) refuseToken(why resume.Reason) {
	s.answer([]byte("STALE " + why.String() + "\r\n"))
}

// stale gives that answer where the end of an attempt asks for it. It tells whether it has.
func (s *session) stale() bool {
	if s.stream == nil || s.stream.why == resume.Honoured {
		return false
	}
	s.refuseToken(s.stream.why)
	return true
}

// unclaim tells the gate how a token's attempt ended, or that there was none.
func (s *session) unclaim(h *hop, status outcome.Status) {
	x := s.stream
	if x == nil || !x.claimed {
		return
	}
	gate := s.r.resumption.gate
	switch {
	case h == nil:
		gate.Withdrawn(x.claim)
	case x.numbers:
		gate.Ended(x.claim)
	default:
		x.why = gate.Outcome(x.claim, status, h.sent)
	}
	x.claimed = false
}

// denied takes a target's word that it does not honour the token; for others that is no word of the protocol.
func (s *session) denied(word []byte) {
	why, ok := resume.ReasonOf(word)
	if s.stream == nil || !s.stream.claimed || !ok {
		s.r.counts.odd++
		s.hop.end(outcome.ErrorAnswer)
		return
	}
	s.notHonoured(why)
}

func (s *session) notHonoured(why resume.Reason) {
	x := s.stream
	x.claimed, x.why = false, s.r.resumption.gate.Denied(x.claim, why)
	// It never ran, and says nothing of the target's health; the module hears that the request is over.
	s.hop.end(outcome.Inconclusive)
	if s.phase <= resuming {
		s.stale()
	}
}

// numbered reads a target's UP for a client that takes tokens. False: a token was presented, but the target does not
// continue after its cursor, so that it can't be told what the client would miss.
func (s *session) numbered(up []byte) bool {
	x := s.stream
	if x == nil {
		return true
	}
	x.top, x.numbers = lineproto.From(up)
	if !x.pinned {
		return true
	}
	if !x.numbers || x.top != x.cursor {
		x.numbers = false
		s.notHonoured(resume.Unsupported)
		return false
	}
	s.r.resumption.resumed++
	s.r.resumption.gate.Up(x.claim)
	return true
}

// keeper keeps the start of a line back until its end has come.
type keeper struct {
	torn []byte // not passed on
	raw  bool   // a line was too long to be kept back
}

// keeps tells that only whole lines are passed on.
func (s *session) keeps() bool { return s.stream != nil && s.stream.numbers || s.in.whole() }

// whole takes bytes of the target's and returns the whole lines among them. The rest waits for its end: a client whose
// target dies in the middle of a line can then still be told where to go. left says that the target sends the client
// away; its MOVE is not among the lines, for the client is told in its own form.
func (k *keeper) whole(b []byte) (lines []byte, left bool) {
	if k.raw {
		return b, false
	}
	if len(k.torn) > 0 {
		b = append(k.torn, b...)
		k.torn = nil
	}
	end := bytes.LastIndexByte(b, '\n') + 1
	if rest := b[end:]; len(rest) > lineproto.Max {
		k.raw = true // no line that may be; it goes on as in a plain connection
		return b, false
	} else if len(rest) > 0 {
		k.torn = bytes.Clone(rest)
	}
	for at := 0; at < end; {
		n := bytes.IndexByte(b[at:end], '\n') + 1
		if kind, _ := lineproto.Server(bytes.TrimRight(b[at:at+n], "\r\n")); kind == lineproto.Move {
			return b[:at], true
		}
		at += n
	}
	return b[:end], false
}

// passed notes the number of a message that was passed on.
func (x *stream) passed(start []byte) {
	if x == nil || !x.numbers {
		return
	}
	if n, ok := lineproto.Number(start); ok {
		x.top = n
	}
}

// continues tells that a stream that stands can go on elsewhere.
func (s *session) continues() bool {
	return s.phase == open && s.stream != nil && s.stream.numbers && s.verdict != outcome.OK && s.down.Between()
}

// leave has a connection end politely, because its target drains or is gone, or this balancer stops; with stay it may
// go on at the same target. The module says where a client that takes tokens is to go.
func (s *session) leave(status outcome.Status, stay bool) {
	if s.phase != open || s.moving {
		return
	}
	if s.stream == nil || !s.stream.numbers {
		s.move(status)
		return
	}
	s.stream.leaving = status
	s.r.tell(decision.Leaving{ID: uint32(s.ref), Stay: stay})
	s.r.l.After(0, func() { s.move(status) }) // were the module ever not to answer
}

// bid carries out the module's word that a connection is to move.
func (s *session) bid(a decision.Move) {
	status := outcome.Cancelled
	if s.stream != nil {
		status = s.stream.leaving
		if s.stream.next = nil; a.Named {
			s.stream.next = s.r.table.ByNum(a.Next)
		}
	}
	s.move(status)
}

// token appends a token for the client that is told to move, if it has one coming; else nothing.
func (s *session) token(to []byte) []byte {
	x, p := s.stream, &s.r.resumption
	if x == nil || !x.numbers || x.next == nil || p.cfg == nil {
		return to
	}
	class, server := s.classes[s.class], x.next.ID
	if len(class) > token.MaxName || len(server) > token.MaxName {
		return to
	}
	now := int64(s.r.l.Now() / ms)
	p.minted++
	return p.cfg.Ring.Seal(to, &token.Token{
		Minted: now, Expires: now + p.cfg.Life, Stream: x.id,
		Key: s.first.Key, Group: s.first.Group, Tenant: s.first.Tenant, Top: x.top, Started: x.next.StartedMillis,
		Class: []byte(class), Server: []byte(server),
	})
}

// evacuate has what stands on targets that began to drain moved away, and stops that where they no longer do.
func (r *Relay) evacuate(c discovery.Change) {
	p := &r.resumption
	if p.cfg == nil {
		return
	}
	for _, t := range c.Targets {
		switch t.State {
		case discovery.Ready, discovery.Gone:
			p.plan.Withdraw(t.Num)
		case discovery.Terminating:
			var standing []drainorder.Stream
			for s := range r.pace(t.Num).stands.each {
				if s.phase == open && s.stream != nil && s.stream.numbers {
					standing = append(standing, drainorder.Stream{ID: uint32(s.ref), Group: s.first.Group})
				}
			}
			p.plan.Order(r.l.Now(), t.Num, standing, p.cfg.Spread)
		}
	}
	r.moveDue()
}

// join has a stream moved that came to stand on a target while others are moved off it.
func (s *session) join() {
	p := &s.r.resumption
	if s.phase == open && s.stream != nil && s.stream.numbers &&
		p.plan.Join(s.r.l.Now(), s.hop.target.Num, uint32(s.ref)) {
		s.r.moveDue()
	}
}

func (r *Relay) moveDue() {
	p := &r.resumption
	r.l.Cancel(&p.timer)
	var next eventloop.Micros
	p.due, next = p.plan.Due(r.l.Now(), p.due[:0])
	for _, id := range p.due {
		if s, ok := r.sessions.Get(eventloop.Ref(id)); ok {
			s.leave(outcome.Cancelled, false)
		}
	}
	if next >= 0 {
		p.timer = r.l.After(next-r.l.Now(), r.moveDue)
	}
}
