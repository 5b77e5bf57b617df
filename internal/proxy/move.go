package proxy

import (
	"spurspread/decision"
	"spurspread/decision/attemptoutcome"
	"spurspread/decision/drainschedule"
	"spurspread/decision/monotime"
	"spurspread/decision/outcome"
)

// pendingMove is a move whose MOVE can't be sent yet. MOVE follows the data that this process had received from the
// server before the move and that waits because the client reads slowly, and then the end of the line in transmission.
type pendingMove struct {
	byServer bool            // the server has asked for it, and startMove has not been called yet
	unread   int             // bytes that were received before the move and are not forwarded yet
	status   outcome.Status  // of the connection, when it is moved
	abortAt  monotime.Micros // when the connection is reset if MOVE can't be sent; 0 for no limit
}

// waitsForLineEnd reports whether MOVE follows the end of the line in transmission. m is nil if no move is pending.
func (m *pendingMove) waitsForLineEnd() bool { return m != nil && m.unread == 0 }

// limitRead returns the part of a read buffer that the next read from the server may fill, so that a read ends where
// the move is due. m is nil if no move is pending.
func (m *pendingMove) limitRead(buffer []byte) []byte {
	if m != nil && m.unread > 0 {
		return buffer[:min(len(buffer), m.unread)]
	}
	return buffer
}

// moveByServer moves the client of an established connection because its server has asked for it with a request on
// their channel. What the server sent before the request reaches the client first. As with the MOVE line of a plain
// connection, there is no limit on the time that the client takes to read it.
func (r *request) moveByServer() {
	if r.state != stateEstablished {
		return
	}
	unread := r.attempt.upstream.Buffered()
	if unread == 0 {
		r.startMove(outcome.Cancelled, false)
		return
	}
	if r.pendingMove == nil {
		r.pendingMove = &pendingMove{byServer: true, status: outcome.Cancelled}
	}
	r.pendingMove.unread = unread
}

// startMove moves the client of an established connection, because its server drains, is gone or is unresponsive, or
// because this balancer drains. status is the connection's outcome; sameServerAllowed tells whether the client may
// continue at the same server. If the client takes tokens, the decision core chooses the next server first. If a move
// is already pending, startMove only limits the time that it waits.
func (r *request) startMove(status outcome.Status, sameServerAllowed bool) {
	if r.state != stateEstablished {
		return
	}
	if r.pendingMove != nil {
		r.limitMove()
		return
	}
	if !r.resumable.canContinue() {
		r.move(status)
		return
	}
	r.resumable.moveStatus = status
	r.proxy.core.dispatch(decision.MoveRequested{ID: uint32(r.ref), SameServerAllowed: sameServerAllowed})
	r.proxy.loop.After(0, func() { r.move(status) }) // in case the core does not answer
}

// handleMoveDecision moves the client as the decision core decided.
func (r *request) handleMoveDecision(decided decision.MoveConnection) {
	status := outcome.Cancelled
	if r.resumable != nil {
		status = r.resumable.moveStatus
		r.resumable.nextServer = nil
		if decided.HasNextServer {
			r.resumable.nextServer = r.proxy.servers.list.ByNumber(decided.NextServer)
		}
	}
	r.move(status)
}

// move sends MOVE to the client and ends the request with the outcome status, at once or, as pendingMove describes,
// behind what comes first. If it had to wait for the end of a line, the outcome is outcome.Cancelled.
func (r *request) move(status outcome.Status) {
	if r.state != stateEstablished {
		return
	}
	unread := r.unreadBeforeMove()
	if unread == 0 && r.fromServer.AtLineStart() {
		r.sendMove(status)
		return
	}
	if unread == 0 {
		status = outcome.Cancelled
	}
	if r.pendingMove == nil {
		r.pendingMove = &pendingMove{unread: unread}
	}
	r.pendingMove.byServer = false
	r.pendingMove.status = status
	r.limitMove()
}

// unreadBeforeMove returns the number of bytes of the server that MOVE has to follow and that are not forwarded yet.
func (r *request) unreadBeforeMove() int {
	if r.pendingMove != nil {
		return r.pendingMove.unread
	}
	return r.attempt.upstream.Buffered()
}

// limitMove limits the time that the pending move waits: after drainschedule.MoveDataTimeout MOVE is sent ahead of the
// data that the client has not taken, and after drainschedule.MoveLineTimeout the connection is reset, as MOVE can't be
// sent in the middle of a line.
func (r *request) limitMove() {
	pending := r.pendingMove
	now := r.proxy.loop.Now()
	if pending.abortAt == 0 {
		pending.abortAt = now + drainschedule.MoveLineTimeout
	}
	left := pending.abortAt - now
	if pending.unread > 0 {
		r.startTimer(left-(drainschedule.MoveLineTimeout-drainschedule.MoveDataTimeout), r.skipWaitingData)
		return
	}
	r.startTimer(left, r.abort)
}

// skipWaitingData continues a pending move ahead of the data that the client has not taken in time.
func (r *request) skipWaitingData() {
	r.pendingMove.unread = 0
	r.move(r.pendingMove.status)
}

// continueMove continues the pending move after bytes of the server were forwarded.
func (r *request) continueMove(forwarded int) {
	pending := r.pendingMove
	pending.unread = max(pending.unread-forwarded, 0)
	switch {
	case pending.unread > 0:
	case pending.byServer:
		r.pendingMove = nil
		r.proxy.loop.Cancel(&r.timer)
		r.startMove(pending.status, false)
	default:
		r.move(pending.status)
	}
}

// sendMove sends MOVE and ends the request with the outcome status.
func (r *request) sendMove(status outcome.Status) {
	r.proxy.stats.moved++
	r.downstream.sendMove(r.appendToken(nil))
	r.finish(status)
}

// abort resets the client's connection, when no MOVE can be sent, and ends the request.
func (r *request) abort() {
	r.downstream.Reset()
	r.close()
}

// continuesOnAnotherServer reports whether the client of a connection that its server closed can continue at another
// server.
func (r *request) continuesOnAnotherServer() bool {
	return r.state == stateEstablished && attemptoutcome.ContinuesOnAnotherServer(attemptoutcome.Stream{
		Numbered:       r.resumable.canContinue(),
		AtLineBoundary: r.fromServer.AtLineStart(),
		LastReported:   r.endStatus,
	})
}
