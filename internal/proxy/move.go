package proxy

import (
	"spurspread/decision"
	"spurspread/decision/attemptoutcome"
	"spurspread/decision/drainschedule"
	"spurspread/decision/outcome"
)

// pendingMove is a move whose MOVE can't be sent yet. MOVE follows the bytes that the server sent before its own MOVE
// and that still wait because the client reads slowly, and the end of the line in transmission.
type pendingMove struct {
	wanted   bool
	byServer bool // the server asked for it, and startMove has not been called yet
	unread   int  // bytes that the server sent before it asked for the move and that are not forwarded yet
}

// waitsForLineEnd reports whether MOVE follows the end of the line in transmission.
func (m *pendingMove) waitsForLineEnd() bool { return m.wanted && m.unread == 0 }

// limitRead returns the part of a read buffer that the next read from the server may fill, so that a read ends where
// the move is due.
func (m *pendingMove) limitRead(buffer []byte) []byte {
	if m.unread > 0 {
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
	r.pendingMove.byServer = r.pendingMove.byServer || !r.pendingMove.wanted
	r.pendingMove.wanted = true
	r.pendingMove.unread = unread
}

// continueMove continues a pending move after bytes of the server were forwarded.
func (r *request) continueMove(forwarded int) {
	pending := &r.pendingMove
	pending.unread = max(pending.unread-forwarded, 0)
	switch {
	case pending.unread > 0:
	case pending.byServer:
		*pending = pendingMove{}
		r.startMove(outcome.Cancelled, false)
	default:
		r.move(outcome.Cancelled)
	}
}

// startMove moves the client of an established connection, because its server drains, is gone or is unresponsive, or
// because this balancer drains. status is the connection's outcome; sameServerAllowed tells whether the client may
// continue at the same server. If the client takes tokens, the decision core chooses the next server first. startMove
// does nothing if the request is not established or a move is already waiting for the end of a line.
func (r *request) startMove(status outcome.Status, sameServerAllowed bool) {
	if r.state != stateEstablished || r.pendingMove.waitsForLineEnd() {
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

// move sends MOVE to the client and ends the request with the outcome status. In the middle of a line it waits until
// the line is complete, and the outcome is then outcome.Cancelled. It waits for at most drainschedule.MoveLineTimeout,
// after which the connection is reset.
func (r *request) move(status outcome.Status) {
	if r.state != stateEstablished {
		return
	}
	if r.fromServer.AtLineStart() {
		r.proxy.stats.moved++
		r.downstream.sendMove(r.appendToken(nil))
		r.finish(status)
		return
	}
	if !r.pendingMove.waitsForLineEnd() {
		r.pendingMove = pendingMove{wanted: true}
		r.startTimer(drainschedule.MoveLineTimeout, r.abort)
	}
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
