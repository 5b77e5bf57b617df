package proxy

import (
	"spurspread/decision"
	"spurspread/decision/attemptoutcome"
	"spurspread/decision/drainschedule"
	"spurspread/decision/outcome"
)

// startMove has an established connection end gracefully, because its server drains, is gone or is silent, or because
// this balancer stops. status is its outcome. sameServerAllowed reports whether it may go on at the same server. The
// decision core says where a client that takes tokens is to go.
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
	r.proxy.loop.After(0, func() { r.move(status) }) // should the core ever not answer
}

// handleMoveDecision carries out the decision core's move.
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

// move sends the client away, as soon as the line that is under way to it has ended. status is the connection's
// outcome.
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

// abort ends a connection with a reset, where not even MOVE can be sent.
func (r *request) abort() {
	r.downstream.Reset()
	r.close()
}

// continuesOnAnotherServer reports whether a connection whose server's side ended goes on at another server.
func (r *request) continuesOnAnotherServer() bool {
	return r.state == stateEstablished && attemptoutcome.ContinuesOnAnotherServer(attemptoutcome.Stream{
		Numbered:       r.resumable.canContinue(),
		AtLineBoundary: r.fromServer.AtLineStart(),
		LastReported:   r.endStatus,
	})
}
