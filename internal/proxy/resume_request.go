package proxy

import (
	"spurspread/decision/answercause"
	"spurspread/decision/attemptoutcome"
	"spurspread/decision/outcome"
	"spurspread/decision/resume"
	"spurspread/internal/discovery"
	"spurspread/internal/lineproto"
	"spurspread/internal/token"
)

// firstTokenWord is what a client sends in place of a token to ask for its first one.
const firstTokenWord = "ask"

// resumableStream is what a request has whose client takes tokens. Methods accept nil, for one whose client does not.
type resumableStream struct {
	id          uint64            // through all its moves
	claim       resume.ID         // of the token that it came with
	claimed     bool              // this request holds the claim of that token
	pinned      bool              // it came with a token, and so goes to one server
	server      uint32            // that it is pinned to
	cursor      uint64            // the last message that the client has
	staleReason resume.Reason     // why the client is to start over without its token; Accepted where it is not
	numbered    bool              // its server numbers the messages, so that it can be continued
	lastMessage uint64            // the last message that was forwarded
	moveStatus  outcome.Status    // its outcome when it is moved
	next        *discovery.Server // where its client is to go; nil where the decision core named none
}

// canContinue reports whether the stream can go on elsewhere.
func (x *resumableStream) canContinue() bool { return x != nil && x.numbered }

// noteForwarded notes the number of a message that was forwarded, of which start is the start.
func (x *resumableStream) noteForwarded(start []byte) {
	if !x.canContinue() {
		return
	}
	if n, ok := lineproto.MessageNumber(start); ok {
		x.lastMessage = n
	}
}

// presentToken handles what the first line says of tokens. It returns false if the client has been answered.
func (r *request) presentToken() bool {
	s := &r.proxy.resumption
	if s.cfg == nil || len(r.open.Token) == 0 {
		return true
	}
	cursor, cursorOK := uint64(0), true
	if len(r.open.Cursor) > 0 {
		cursor, cursorOK = lineproto.ParseCursor(r.open.Cursor)
	}
	if string(r.open.Token) == firstTokenWord {
		if !cursorOK {
			r.fail(answercause.Malformed)
			return false
		}
		r.resumable = &resumableStream{id: s.streamIDs.Uint64(), cursor: cursor, moveStatus: outcome.Cancelled}
		return true
	}
	why := resume.Malformed
	if cursorOK && len(r.open.Cursor) > 0 && len(r.open.CurrentServer) == 0 {
		// The seal comes first: a claim costs memory.
		why = s.openToken(r.open.Token)
	}
	if why != resume.Accepted {
		r.rejectToken(s.tokens.Reject(why))
		return false
	}
	return r.claimStream(cursor)
}

// claimStream claims the stream of the token that was opened. It returns false if the client has been answered.
func (r *request) claimStream(cursor uint64) bool {
	s := &r.proxy.resumption
	grant := s.grant()
	line := resume.StreamRequest{
		Class:  string(r.open.Class),
		Key:    r.open.Key,
		Group:  r.open.Group,
		Tenant: r.open.Tenant,
		Cursor: cursor,
	}
	server := r.proxy.servers.list.ByID(s.opened.Server)
	if why := s.tokens.Claim(s.now(), &grant, &line, listed(server)); why != resume.Accepted {
		r.rejectToken(why)
		return false
	}
	r.resumable = &resumableStream{
		id:         s.opened.Stream,
		claim:      grant.ID,
		claimed:    true,
		pinned:     true,
		server:     server.Number,
		cursor:     cursor,
		moveStatus: outcome.Cancelled,
	}
	return true
}

// rejectToken is the final answer that has the client start over without its token.
func (r *request) rejectToken(why resume.Reason) {
	r.answer([]byte("STALE " + why.String() + lineEnd))
}

// answeredStale gives that answer if the end of an attempt calls for it, and reports whether it did.
func (r *request) answeredStale() bool {
	if r.resumable == nil || r.resumable.staleReason == resume.Accepted {
		return false
	}
	r.rejectToken(r.resumable.staleReason)
	return true
}

// releaseClaim reports to the validator how the attempt of a token ended, nil where there was none.
func (r *request) releaseClaim(a *attempt, status outcome.Status) {
	x := r.resumable
	if x == nil || !x.claimed {
		return
	}
	tokens := r.proxy.resumption.tokens
	switch {
	case a == nil:
		tokens.Release(x.claim)
	case x.numbered:
		tokens.Closed(x.claim)
	default:
		x.staleReason = tokens.AttemptFailed(x.claim, status, a.written)
	}
	x.claimed = false
}

// tokenRejectedByServer handles a server's answer that it does not accept the token, with its word for the reason.
// Where there is no token the protocol does not have that answer.
func (r *request) tokenRejectedByServer(word []byte) {
	why, ok := resume.ParseReason(word)
	if r.resumable == nil || !r.resumable.claimed || !ok {
		r.proxy.stats.protocolErrors++
		r.attempt.end(outcome.ErrorResponse)
		return
	}
	r.endTokenAttempt(why)
}

// endTokenAttempt ends the attempt of a token that its server can't accept.
func (r *request) endTokenAttempt(why resume.Reason) {
	x := r.resumable
	x.claimed = false
	x.staleReason = r.proxy.resumption.tokens.RejectedByServer(x.claim, why)
	// The request was not executed, and this says nothing of the server's health.
	r.attempt.end(outcome.Inconclusive)
	if r.state.unanswered() {
		r.answeredStale()
	}
}

// checkNumbering reads a server's UP for a client that takes tokens. It returns false, and the attempt has ended, if a
// token was presented and the server does not continue after its cursor: the client would miss messages.
func (r *request) checkNumbering(up []byte) bool {
	x := r.resumable
	if x == nil {
		return true
	}
	x.lastMessage, x.numbered = lineproto.ResumeCursor(up)
	if !x.pinned {
		return true
	}
	if !attemptoutcome.ContinuesAfterCursor(x.numbered, x.lastMessage, x.cursor) {
		x.numbered = false
		r.endTokenAttempt(resume.Unsupported)
		return false
	}
	r.proxy.resumption.resumed++
	r.proxy.resumption.tokens.Established(x.claim)
	return true
}

// holdsPartialLines reports whether only whole lines are forwarded.
func (r *request) holdsPartialLines() bool {
	return r.resumable.canContinue() || r.downstream.completeLinesOnly()
}

// appendToken appends a token for a client that is sent away, if it is to have one; else nothing.
func (r *request) appendToken(to []byte) []byte {
	x, s := r.resumable, &r.proxy.resumption
	if !x.canContinue() || x.next == nil || s.cfg == nil {
		return to
	}
	class, server := r.classNames[r.class], x.next.ID
	if len(class) > token.MaxName || len(server) > token.MaxName {
		return to
	}
	now := int64(s.now())
	s.tokensIssued++
	return s.cfg.Ring.Seal(to, &token.Token{
		IssuedAt:      now,
		ExpiresAt:     now + s.cfg.TokenLifetime,
		Stream:        x.id,
		Key:           r.open.Key,
		Group:         r.open.Group,
		Tenant:        r.open.Tenant,
		LastSequence:  x.lastMessage,
		ServerStarted: x.next.StartedMillis,
		Class:         []byte(class),
		Server:        []byte(server),
	})
}
