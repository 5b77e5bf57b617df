// Package attemptoutcome interprets the end of an attempt: which outcome it has, whether it counts as evidence of the
// server's health, and whether the stream of its connection can continue on another server. It has no sockets; the
// caller passes its observations.
package attemptoutcome

import "spurspread/decision/outcome"

// OfFailedDial returns the outcome of a dial that failed at once. A local shortage, such as of descriptors, says
// nothing about the server. Counted as a failure, it would have all servers demoted when many clients come at once.
func OfFailedDial(localShortage bool) outcome.Status {
	if localShortage {
		return outcome.Inconclusive
	}
	return outcome.ConnectFailed
}

// IsLocalShortage reports whether an attempt or a connection ended because of a shortage on this machine, and so does
// not count against its server.
func IsLocalShortage(status outcome.Status) bool { return status == outcome.Inconclusive }

// OfUnanswered returns the outcome of an attempt that ended with status before its server answered. A request that was
// not written to its last byte can't have been executed, and may be retried like one that never connected.
func OfUnanswered(status outcome.Status, written bool) outcome.Status {
	if !written {
		return outcome.ConnectFailed
	}
	return status
}

// OfWaiting returns the outcome of an attempt that was still waiting for a multiplexed connection when that connection
// ended with the given status. The request was never written.
func OfWaiting(status outcome.Status) outcome.Status {
	if status == outcome.Reset {
		return outcome.ConnectFailed
	}
	return status
}

// OfEstablished returns the outcome of an established connection that its server ended. lastReported is the outcome
// implied by the server's last lines, Reset if they imply none. A server that ends a connection after its client has
// ended its side does so because of the client.
func OfEstablished(lastReported outcome.Status, clientHalfClosed bool) outcome.Status {
	if clientHalfClosed && lastReported == outcome.Reset {
		return outcome.Cancelled
	}
	return lastReported
}

// RetriesReattach reports whether another attempt is made at the server that a client names, after one that ended with
// status. Only a server that was never reached is tried again: any other may have executed the request.
func RetriesReattach(status outcome.Status) bool { return status == outcome.ConnectFailed }

// Stream describes an established connection whose server has ended its side.
type Stream struct {
	Numbered       bool           // the server numbers the messages, so that another can continue after the last one
	AtLineBoundary bool           // the client has received whole lines only
	LastReported   outcome.Status // as for OfEstablished
}

// ContinuesOnAnotherServer reports whether a client is moved to another server with a token, rather than told that its
// connection ended: its stream can be continued, and is not finished.
func ContinuesOnAnotherServer(s Stream) bool {
	return s.Numbered && s.LastReported != outcome.OK && s.AtLineBoundary
}

// ContinuesAfterCursor reports whether a server that accepts a request with a token continues the stream at the
// client's position. numbered says whether the server numbers the messages, from is the message after which it
// continues, and cursor is the last message that the client has. If false, the client would miss messages or receive
// some twice.
func ContinuesAfterCursor(numbered bool, from, cursor uint64) bool { return numbered && from == cursor }

// SharedFailure distinguishes the first of several attempts that end because one shared connection failed from the
// others. The failure is a single piece of evidence of the server's health, however many attempts it ended.
type SharedFailure struct{ reported bool }

// IsEvidence reports whether the end of an attempt counts as evidence. failed says whether the shared connection has
// failed; until it has, attempts end independently and each counts.
func (f *SharedFailure) IsEvidence(failed bool) bool {
	if !failed {
		return true
	}
	first := !f.reported
	f.reported = true
	return first
}
