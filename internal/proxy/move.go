package proxy

import (
	"spurspread/decision"
	"spurspread/decision/attemptoutcome"
	"spurspread/decision/drainschedule"
	"spurspread/decision/outcome"
)

// startMove moves the client of an established connection, because its server drains, is gone or is unresponsive, or
// because this balancer drains. status is the connection's outcome; sameServerAllowed tells whether the client may
// continue at the same server. If the client takes tokens, the decision core chooses the next server first. startMove
// does nothing if the request is not established or a move is already waiting for the end of a line.
func (r *request) startMove(status outcome.Status, sameServerAllowed bool) {
	if r.state != stateEstablished || r.movePending {
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
	if !r.movePending {
		r.movePending = true
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
