package proxy

import "github.com/sirupsen/logrus"

// requestState is the state of a request in its life cycle. Only transition changes it; the table at transitionAllowed
// names the functions that make each transition.
type requestState uint8

const (
	// stateNew: the first line is being parsed; the decision core does not know the request. This state never outlasts
	// one turn of the event loop.
	stateNew requestState = iota
	// statePending: the decision core is placing the request. It may have an attempt in progress.
	statePending
	// stateReattaching: the client named its server, and the request goes there as soon as the server is listed; the
	// decision core does not know the request.
	stateReattaching
	// stateEstablished: the server has accepted the request, and lines are forwarded in both directions.
	stateEstablished
	// stateHalfClosed: the client has closed its sending side, the server has not.
	stateHalfClosed
	// stateTransferring: the connection is offered to the successor in a hot restart, and is not read until the
	// successor has answered.
	stateTransferring
	// stateClosed: the request was rejected or failed, or the connection was moved, transferred or closed.
	stateClosed
)

// transitionAllowed reports whether a request may change from one state to another. These are the transitions and the
// functions that make them:
//
//	stateNew          → statePending       request.place: handed to the decision core
//	stateNew          → stateReattaching   request.startReattaching: the client names its server
//	stateNew          → stateClosed        request.release, openRequest: rejected or malformed
//	statePending      → stateEstablished   request.establish: the server accepted it
//	statePending      → stateClosed        request.release: final answer sent, or the client disconnected
//	stateReattaching  → stateEstablished   request.establish
//	stateReattaching  → stateClosed        request.release
//	stateEstablished  → stateHalfClosed    request.handleClientClosed: the client closed its sending side
//	stateEstablished  → stateTransferring  transferSender.offer: offered to the successor
//	stateEstablished  → stateClosed        request.release: moved or finished, or the server disconnected
//	stateHalfClosed   → stateClosed        request.release
//	stateTransferring → stateEstablished   transferSender.reclaim: the successor did not accept it
//	stateTransferring → stateClosed        request.release: the successor accepted it
//
// A connection that a predecessor transferred starts in stateEstablished.
func transitionAllowed(from, to requestState) bool {
	switch from {
	case stateNew:
		return to == statePending || to == stateReattaching || to == stateClosed
	case statePending, stateReattaching:
		return to == stateEstablished || to == stateClosed
	case stateEstablished:
		return to == stateHalfClosed || to == stateTransferring || to == stateClosed
	case stateHalfClosed:
		return to == stateClosed
	case stateTransferring:
		return to == stateEstablished || to == stateClosed
	case stateClosed:
		return false
	}
	return false
}

// transition changes the request's state. The decision core knows a request once it is placed or, if it reattaches,
// established.
func (r *request) transition(to requestState) {
	if !transitionAllowed(r.state, to) {
		r.proxy.log.WithFields(logrus.Fields{"from": r.state, "to": to}).Error(invalidTransition)
	}
	r.state = to
	if to == statePending || to == stateEstablished {
		r.registered = true
	}
}

// invalidTransition is logged for a transition that transitionAllowed forbids, which indicates a bug in this package.
const invalidTransition = "invalid transition of a request's state"

// unanswered reports whether the request has neither a final answer nor been established.
func (s requestState) unanswered() bool {
	return s == stateNew || s == statePending || s == stateReattaching
}

// String returns the state's name for the log.
func (s requestState) String() string {
	switch s {
	case stateNew:
		return "new"
	case statePending:
		return "pending"
	case stateReattaching:
		return "reattaching"
	case stateEstablished:
		return "established"
	case stateHalfClosed:
		return "half-closed"
	case stateTransferring:
		return "transferring"
	case stateClosed:
		return "closed"
	}
	return "unknown"
}
