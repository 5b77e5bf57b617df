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

// ResumeConfig has connections that move carry a token and continue where they left off; see docs/protocol/resume.md. It
// is for clients that ask for it; nobody else notices anything.
type ResumeConfig struct {
	Ring                     *token.Ring
	TokenLifetime, ClockSkew int64            // of tokens, and of clocks; milliseconds
	MaxClaims                int              // tokens remembered at once
	DrainSpread              eventloop.Micros // of the moves off a draining target
}

// resumption is what a relay has for it. What it knows of tokens outlasts a reload, also one that turns it off.
type resumption struct {
	cfg          *ResumeConfig
	tokens       *resume.Validator
	drainOrder   *drainorder.Plan
	timer        eventloop.Ref // of the plan
	due          []uint32
	opened       token.Token // scratch of Open
	tokensIssued int
	resumed      int
	streamIDs    *rand.Rand // draws the numbers of new streams
}

func (p *resumption) configure(cfg *ResumeConfig, seed uint64) {
	p.cfg = cfg
	switch {
	case cfg == nil:
	case p.tokens == nil:
		p.tokens = resume.NewValidator(resume.UnixMillis(cfg.ClockSkew), cfg.MaxClaims)
		p.drainOrder = drainorder.New(seed)
		p.streamIDs = rand.New(rand.NewPCG(seed, 0x73747265616d))
	default:
		p.tokens.SetLimits(resume.UnixMillis(cfg.ClockSkew), cfg.MaxClaims)
	}
}

func (p *resumption) addStats(fields logrus.Fields) {
	if p.tokens == nil {
		return
	}
	fields[logging.TokensIssued], fields[logging.Resumed] = p.tokensIssued, p.resumed
	for why, n := range p.tokens.Rejected {
		if n > 0 && resume.Reason(why) != resume.Accepted {
			fields[logging.TokensRejected+resume.Reason(why).String()] = n
		}
	}
}

// resumableStream is what a session has whose client takes tokens.
type resumableStream struct {
	id          uint64    // through all its moves
	claim       resume.ID // of the token that it came with
	claimed     bool      // the gate has that token from this session
	pinned      bool      // it came with one, and so goes to one target
	server      uint32
	cursor      uint64            // the last message that the client has
	staleReason resume.Reason     // what the client hears instead of a refusal
	numbered    bool              // its target numbers the messages, so that it can be continued
	lastMessage uint64            // the last message that was passed on
	moveStatus  outcome.Status    // how its hop will have ended when it is moved
	next        *discovery.Server // where its client is to go
}

// presentToken takes what a first line says of tokens. False: the client has its answer.
func (s *request) presentToken() bool {
	p, now := &s.proxy.resumption, resume.UnixMillis(s.proxy.loop.Now()/millisecond)
	if p.cfg == nil || len(s.open.Tok) == 0 {
		return true
	}
	cursor, ok := uint64(0), true
	if len(s.open.Cur) > 0 {
		cursor, ok = lineproto.Cursor(s.open.Cur)
	}
	if string(s.open.Tok) == "ask" {
		if !ok {
			s.fail()
			return false
		}
		s.resumable = &resumableStream{id: p.streamIDs.Uint64(), cursor: cursor, moveStatus: outcome.Cancelled}
		return true
	}
	why := resume.Malformed
	if ok && len(s.open.Cur) > 0 && len(s.open.At) == 0 {
		// The seal comes first: what follows costs memory.
		why = tokenErrorReasons[p.cfg.Ring.Open(s.open.Tok, &p.opened)]
	}
	if why != resume.Accepted {
		s.rejectToken(p.tokens.Reject(why))
		return false
	}
	t := &p.opened
	r := resume.Grant{
		ID: resume.ID(t.ID), IssuedAt: resume.UnixMillis(t.IssuedAt), ExpiresAt: resume.UnixMillis(t.ExpiresAt),
		Class: string(
			t.Class,
		), Key: t.Key, Group: t.Group, Tenant: t.Tenant, LastDelivered: t.LastSequence, ServerStartedAt: resume.UnixMillis(t.ServerStarted),
	}
	l := resume.StreamRequest{
		Class: string(s.open.Class), Key: s.open.Key, Group: s.open.Group, Tenant: s.open.Tenant,
		Cursor: cursor,
	}
	var listed resume.ListedServer
	target := s.proxy.servers.ByID(t.Server)
	if target != nil {
		listed = resume.ListedServer{
			Ready:     target.State == discovery.Ready,
			StartedAt: resume.UnixMillis(target.StartedMillis),
		}
	}
	if why = p.tokens.Claim(now, &r, &l, listed); why != resume.Accepted {
		s.rejectToken(why)
		return false
	}
	s.resumable = &resumableStream{
		id: t.Stream, claim: r.ID, claimed: true, pinned: true, server: target.Number, cursor: cursor,
		moveStatus: outcome.Cancelled,
	}
	return true
}

// tokenErrorReasons are what an error of Open's tells a client.
var tokenErrorReasons = map[error]resume.Reason{
	nil: resume.Accepted, token.ErrMalformed: resume.Malformed, token.ErrUnknownKey: resume.UnknownKey,
	token.ErrForged: resume.Forged,
}

// rejectToken is the final answer that has the client start over without its token.
func (s *request) rejectToken(why resume.Reason) {
	s.answer([]byte("STALE " + why.String() + "\r\n"))
}

// answeredStale gives that answer where the end of an attempt asks for it. It tells whether it has.
func (s *request) answeredStale() bool {
	if s.resumable == nil || s.resumable.staleReason == resume.Accepted {
		return false
	}
	s.rejectToken(s.resumable.staleReason)
	return true
}

// releaseClaim tells the gate how a token's attempt ended, or that there was none.
func (s *request) releaseClaim(h *upstreamAttempt, status outcome.Status) {
	x := s.resumable
	if x == nil || !x.claimed {
		return
	}
	gate := s.proxy.resumption.tokens
	switch {
	case h == nil:
		gate.Release(x.claim)
	case x.numbered:
		gate.Closed(x.claim)
	default:
		x.staleReason = gate.AttemptFailed(x.claim, status, h.sent)
	}
	x.claimed = false
}

// tokenDenied takes a target's word that it does not honour the token; for others that is no word of the protocol.
func (s *request) tokenDenied(word []byte) {
	why, ok := resume.ParseReason(word)
	if s.resumable == nil || !s.resumable.claimed || !ok {
		s.proxy.counters.protocolErrors++
		s.attempt.end(outcome.ErrorResponse)
		return
	}
	s.tokenNotHonoured(why)
}

func (s *request) tokenNotHonoured(why resume.Reason) {
	x := s.resumable
	x.claimed, x.staleReason = false, s.proxy.resumption.tokens.RejectedByServer(x.claim, why)
	// It never ran, and says nothing of the target's health; the module hears that the request is over.
	s.attempt.end(outcome.Inconclusive)
	if s.state <= stateReattaching {
		s.answeredStale()
	}
}

// checkNumbering reads a target's UP for a client that takes tokens. False: a token was presented, but the target does not
// continue after its cursor, so that it can't be told what the client would miss.
func (s *request) checkNumbering(up []byte) bool {
	x := s.resumable
	if x == nil {
		return true
	}
	x.lastMessage, x.numbered = lineproto.EstablishedSequence(up)
	if !x.pinned {
		return true
	}
	if !x.numbered || x.lastMessage != x.cursor {
		x.numbered = false
		s.tokenNotHonoured(resume.Unsupported)
		return false
	}
	s.proxy.resumption.resumed++
	s.proxy.resumption.tokens.Established(x.claim)
	return true
}

// lineBuffer keeps the start of a line back until its end has come.
type lineBuffer struct {
	partial     []byte // not passed on
	passThrough bool   // a line was too long to be kept back
}

// holdsPartialLines tells that only whole lines are passed on.
func (s *request) holdsPartialLines() bool {
	return s.resumable != nil && s.resumable.numbered || s.downstream.completeLinesOnly()
}

// completeLines takes bytes of the target's and returns the whole lines among them. The rest waits for its end: a client whose
// target dies in the middle of a line can then still be told where to go. left says that the target sends the client
// away; its MOVE is not among the lines, for the client is told in its own form.
func (k *lineBuffer) completeLines(b []byte) (lines []byte, left bool) {
	if k.passThrough {
		return b, false
	}
	if len(k.partial) > 0 {
		b = append(k.partial, b...)
		k.partial = nil
	}
	end := bytes.LastIndexByte(b, '\n') + 1
	if rest := b[end:]; len(rest) > lineproto.Max {
		k.passThrough = true // no line that may be; it goes on as in a plain connection
		return b, false
	} else if len(rest) > 0 {
		k.partial = bytes.Clone(rest)
	}
	for at := 0; at < end; {
		n := bytes.IndexByte(b[at:end], '\n') + 1
		if kind, _ := lineproto.ParseServerLine(bytes.TrimRight(b[at:at+n], "\r\n")); kind == lineproto.Move {
			return b[:at], true
		}
		at += n
	}
	return b[:end], false
}

// forwarded notes the number of a message that was passed on.
func (x *resumableStream) forwarded(start []byte) {
	if x == nil || !x.numbered {
		return
	}
	if n, ok := lineproto.Number(start); ok {
		x.lastMessage = n
	}
}

// canContinue tells that a stream that stands can go on elsewhere.
func (s *request) canContinue() bool {
	return s.state == stateEstablished && s.resumable != nil && s.resumable.numbered && s.endStatus != outcome.OK &&
		s.fromServer.Between()
}

// moveAway has a connection end politely, because its target drains or is gone, or this balancer stops; with stay it may
// go on at the same target. The module says where a client that takes tokens is to go.
func (s *request) moveAway(status outcome.Status, stay bool) {
	if s.state != stateEstablished || s.moving {
		return
	}
	if s.resumable == nil || !s.resumable.numbered {
		s.move(status)
		return
	}
	s.resumable.moveStatus = status
	s.proxy.dispatch(decision.MoveRequested{ID: uint32(s.ref), SameServerAllowed: stay})
	s.proxy.loop.After(0, func() { s.move(status) }) // were the module ever not to answer
}

// moveDecided carries out the module's word that a connection is to move.
func (s *request) moveDecided(a decision.MoveConnection) {
	status := outcome.Cancelled
	if s.resumable != nil {
		status = s.resumable.moveStatus
		if s.resumable.next = nil; a.HasNextServer {
			s.resumable.next = s.proxy.servers.ByNumber(a.NextServer)
		}
	}
	s.move(status)
}

// appendToken appends a token for the client that is told to move, if it has one coming; else nothing.
func (s *request) appendToken(to []byte) []byte {
	x, p := s.resumable, &s.proxy.resumption
	if x == nil || !x.numbered || x.next == nil || p.cfg == nil {
		return to
	}
	class, server := s.classNames[s.class], x.next.ID
	if len(class) > token.MaxName || len(server) > token.MaxName {
		return to
	}
	now := int64(s.proxy.loop.Now() / millisecond)
	p.tokensIssued++
	return p.cfg.Ring.Seal(to, &token.Token{
		IssuedAt: now, ExpiresAt: now + p.cfg.TokenLifetime, Stream: x.id,
		Key: s.open.Key, Group: s.open.Group, Tenant: s.open.Tenant, LastSequence: x.lastMessage, ServerStarted: x.next.StartedMillis,
		Class: []byte(class), Server: []byte(server),
	})
}

// moveOffDrainingServers has what stands on targets that began to drain moved away, and stops that where they no longer do.
func (r *Proxy) moveOffDrainingServers(c discovery.Update) {
	p := &r.resumption
	if p.cfg == nil {
		return
	}
	for _, t := range c.Servers {
		switch t.State {
		case discovery.Ready, discovery.Gone:
			p.drainOrder.CancelDrain(t.Number)
		case discovery.Terminating:
			var standing []drainorder.Connection
			for s := range r.latencyOf(t.Number).established.each {
				if s.state == stateEstablished && s.resumable != nil && s.resumable.numbered {
					standing = append(standing, drainorder.Connection{ID: uint32(s.ref), Group: s.open.Group})
				}
			}
			p.drainOrder.StartDrain(r.loop.Now(), t.Number, standing, p.cfg.DrainSpread)
		}
	}
	r.moveDueStreams()
}

// joinDrain has a stream moved that came to stand on a target while others are moved off it.
func (s *request) joinDrain() {
	p := &s.proxy.resumption
	if s.state == stateEstablished && s.resumable != nil && s.resumable.numbered &&
		p.drainOrder.AddConnection(s.proxy.loop.Now(), s.attempt.server.Number, uint32(s.ref)) {
		s.proxy.moveDueStreams()
	}
}

func (r *Proxy) moveDueStreams() {
	p := &r.resumption
	r.loop.Cancel(&p.timer)
	var next eventloop.Micros
	p.due, next = p.drainOrder.Due(r.loop.Now(), p.due[:0])
	for _, id := range p.due {
		if s, ok := r.requests.Get(eventloop.Ref(id)); ok {
			s.moveAway(outcome.Cancelled, false)
		}
	}
	if next >= 0 {
		p.timer = r.loop.After(next-r.loop.Now(), r.moveDueStreams)
	}
}
