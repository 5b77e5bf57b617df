package proxy

import "github.com/sirupsen/logrus"

// requestState is where a request is in its life. transition is the only function that changes it; the functions that
// make each transition are named in the table of transitionAllowed.
type requestState uint8

const (
	// stateNew: its first line is being read; the decision core does not know it. It lasts within one turn only.
	stateNew requestState = iota
	// statePending: the decision core places it. It may have an attempt under way.
	statePending
	// stateReattaching: it goes to the server that its client names, as soon as that is listed; the decision core does
	// not know it.
	stateReattaching
	// stateEstablished: its server has accepted it, and lines are forwarded both ways.
	stateEstablished
	// stateHalfClosed: its client has ended its side, the server has not.
	stateHalfClosed
	// stateTransferring: it is offered to the successor of a hot restart; nobody reads it until that has answered.
	stateTransferring
	// stateClosed: it is answered, moved, transferred or ended.
	stateClosed
)

// transitionAllowed is the table of transitions:
//
//	stateNew          → statePending       request.place: handed to the decision core
//	stateNew          → stateReattaching   request.startReattaching: its client names a server
//	stateNew          → stateClosed        request.release, openRequest: rejected or malformed
//	statePending      → stateEstablished   request.establish: its server accepted it
//	statePending      → stateClosed        request.release: answered finally, or its client left
//	stateReattaching  → stateEstablished   request.establish
//	stateReattaching  → stateClosed        request.release
//	stateEstablished  → stateHalfClosed    request.handleClientClosed: its client ended its side
//	stateEstablished  → stateTransferring  transferSender.offer: offered to the successor
//	stateEstablished  → stateClosed        request.release: moved, finished, or its client or server left
//	stateHalfClosed   → stateClosed        request.release
//	stateTransferring → stateEstablished   transferSender.reclaim: the successor does not have it
//	stateTransferring → stateClosed        request.release: the successor has it
//
// A connection that a predecessor transferred begins in stateEstablished.
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

// transition changes the request's state. The decision core knows a request from the moment it is placed or, where its
// client names a server, established.
func (r *request) transition(to requestState) {
	if !transitionAllowed(r.state, to) {
		r.proxy.log.WithFields(logrus.Fields{"from": r.state, "to": to}).Error(invalidTransition)
	}
	r.state = to
	if to == statePending || to == stateEstablished {
		r.registered = true
	}
}

// invalidTransition is logged where the table does not have a transition, which is a defect of this package.
const invalidTransition = "invalid transition of a request's state"

// unanswered reports whether the request has no answer yet.
func (s requestState) unanswered() bool {
	return s == stateNew || s == statePending || s == stateReattaching
}

// String is the state's name for the log.
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
