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

// tokenRequestWord is sent by a client in place of a token to request its first one.
const tokenRequestWord = "ask"

// resumableStream is the resumption state of a request whose client takes tokens. Methods may be called on nil, which
// stands for a client that does not.
type resumableStream struct {
	id          uint64            // stays the same through all moves
	claim       resume.ID         // id of the presented token
	claimed     bool              // this request holds the claim on that token
	pinned      bool              // a token was presented, so only server may serve the request
	server      uint32            // server number, if pinned
	cursor      uint64            // sequence number of the last message that the client has received
	staleReason resume.Reason     // why the client must start over without its token; Accepted if it need not
	numbered    bool              // the server numbers the messages, so the stream can be continued elsewhere
	lastMessage uint64            // sequence number of the last forwarded message
	moveStatus  outcome.Status    // outcome of the connection when it is moved
	nextServer  *discovery.Server // where the client is moved to; nil if the decision core named no server
}

// canContinue reports whether the stream can be continued on another connection.
func (x *resumableStream) canContinue() bool { return x != nil && x.numbered }

// recordForwarded records the sequence number of a forwarded message; start holds the beginning of its line.
func (x *resumableStream) recordForwarded(start []byte) {
	if !x.canContinue() {
		return
	}
	if n, ok := lineproto.MessageNumber(start); ok {
		x.lastMessage = n
	}
}

// handleToken evaluates the token and the cursor in the first line. It returns false if the client has been answered.
func (r *request) handleToken() bool {
	s := &r.proxy.resumption
	if s.cfg == nil || len(r.open.Token) == 0 {
		return true
	}
	cursor, cursorOK := uint64(0), true
	if len(r.open.Cursor) > 0 {
		cursor, cursorOK = lineproto.ParseCursor(r.open.Cursor)
	}
	if string(r.open.Token) == tokenRequestWord {
		if !cursorOK {
			r.fail(answercause.Malformed)
			return false
		}
		r.resumable = &resumableStream{id: s.streamIDs.Uint64(), cursor: cursor, moveStatus: outcome.Cancelled}
		return true
	}
	reason := resume.Malformed
	if cursorOK && len(r.open.Cursor) > 0 && len(r.open.CurrentServer) == 0 {
		// Check the seal first: a claim takes memory, which a forged token must not use up.
		reason = s.openToken(r.open.Token)
	}
	if reason != resume.Accepted {
		r.rejectToken(s.tokens.Reject(reason))
		return false
	}
	return r.claimStream(cursor)
}

// claimStream claims the opened token and resumes its stream. It returns false if the client has been answered.
func (r *request) claimStream(cursor uint64) bool {
	s := &r.proxy.resumption
	grant := s.grant()
	streamRequest := resume.StreamRequest{
		Class:  string(r.open.Class),
		Key:    r.open.Key,
		Group:  r.open.Group,
		Tenant: r.open.Tenant,
		Cursor: cursor,
	}
	server := r.proxy.servers.list.ByID(s.openedToken.Server)
	if reason := s.tokens.Claim(s.now(), &grant, &streamRequest, listedServer(server)); reason != resume.Accepted {
		r.rejectToken(reason)
		return false
	}
	r.resumable = &resumableStream{
		id:         s.openedToken.Stream,
		claim:      grant.ID,
		claimed:    true,
		pinned:     true,
		server:     server.Number,
		cursor:     cursor,
		moveStatus: outcome.Cancelled,
	}
	return true
}

// rejectToken sends STALE as the final answer, after which the client starts over without its token.
func (r *request) rejectToken(reason resume.Reason) {
	r.answer([]byte("STALE " + reason.String() + lineEnd))
}

// answerStaleIfDue sends STALE if the end of an attempt has made the token unusable, and reports whether it did.
func (r *request) answerStaleIfDue() bool {
	if r.resumable == nil || r.resumable.staleReason == resume.Accepted {
		return false
	}
	r.rejectToken(r.resumable.staleReason)
	return true
}

// releaseClaim reports to the validator how the attempt with the claimed token ended; a is nil if there was no attempt.
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

// handleTokenRejection handles STALE from a server; word is the reason. If the request has no token, or the reason is
// unknown, the answer is a protocol error.
func (r *request) handleTokenRejection(word []byte) {
	reason, ok := resume.ParseReason(word)
	if r.resumable == nil || !r.resumable.claimed || !ok {
		r.proxy.stats.protocolErrors++
		r.attempt.end(outcome.ErrorResponse)
		return
	}
	r.endTokenAttempt(reason)
}

// endTokenAttempt ends an attempt whose server can't accept the token, for the given reason.
func (r *request) endTokenAttempt(reason resume.Reason) {
	x := r.resumable
	x.claimed = false
	x.staleReason = r.proxy.resumption.tokens.RejectedByServer(x.claim, reason)
	// The request was not executed, and the rejection is no evidence about the server's health.
	r.attempt.end(outcome.Inconclusive)
	if r.state.unanswered() {
		r.answerStaleIfDue()
	}
}

// checkContinuation reads the sequence number in a server's UP line for a client that takes tokens. If the client
// presented a token and the server does not continue right after the client's cursor, the client would miss messages
// or receive some twice: then it ends the attempt and returns false.
func (r *request) checkContinuation(up []byte) bool {
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

// buffersPartialLines reports whether incomplete lines are buffered, so that only complete ones are forwarded.
func (r *request) buffersPartialLines() bool {
	return r.resumable.canContinue() || r.downstream.completeLinesOnly()
}

// appendToken appends a token for a client that is being moved. It appends nothing if the stream can't be continued, no
// next server is known, or the name of the class or of the server is too long for a token.
func (r *request) appendToken(to []byte) []byte {
	x, s := r.resumable, &r.proxy.resumption
	if !x.canContinue() || x.nextServer == nil || s.cfg == nil {
		return to
	}
	class, server := r.classNames[r.class], x.nextServer.ID
	if len(class) > token.MaxName || len(server) > token.MaxName {
		return to
	}
	now := int64(s.now())
	s.tokensIssued++
	return s.cfg.KeyRing.Seal(to, &token.Token{
		IssuedAt:      now,
		ExpiresAt:     now + s.cfg.TokenLifetime,
		Stream:        x.id,
		Key:           r.open.Key,
		Group:         r.open.Group,
		Tenant:        r.open.Tenant,
		LastSequence:  x.lastMessage,
		ServerStarted: x.nextServer.StartedMillis,
		Class:         []byte(class),
		Server:        []byte(server),
	})
}
