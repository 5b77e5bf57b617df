// Package attemptoutcome decides what an attempt's end says: which outcome it has, whether it counts as evidence of the
// server's health, and whether its connection can go on elsewhere. It has no sockets; the caller says what it saw.
package attemptoutcome

import "spurspread/decision/outcome"

// OfFailedDial is the outcome of a dial that failed at once. A shortage of this machine, such as of descriptors, says
// nothing of the server: counted as a failure, a crowd of clients would have all servers demoted.
func OfFailedDial(localShortage bool) outcome.Status {
	if localShortage {
		return outcome.Inconclusive
	}
	return outcome.ConnectFailed
}

// IsLocalShortage reports whether an attempt or a connection ended for want of something on this machine, and so does
// not count against its server.
func IsLocalShortage(status outcome.Status) bool { return status == outcome.Inconclusive }

// OfUnanswered is the outcome of an attempt that ended with status before its server answered. A request that was not
// written to its last byte can't have been executed, and may be retried like one that never connected.
func OfUnanswered(status outcome.Status, written bool) outcome.Status {
	if !written {
		return outcome.ConnectFailed
	}
	return status
}

// OfWaiting is the outcome of an attempt that still waited for a multiplexed connection when that ended with status: it
// was never written.
func OfWaiting(status outcome.Status) outcome.Status {
	if status == outcome.Reset {
		return outcome.ConnectFailed
	}
	return status
}

// OfEstablished is the outcome of an established connection that its server ended. lastReported is what the server's
// last lines make of the end, Reset where they say nothing of it. A server that ends a connection whose client has
// ended its side does so because of the client.
func OfEstablished(lastReported outcome.Status, clientHalfClosed bool) outcome.Status {
	if clientHalfClosed && lastReported == outcome.Reset {
		return outcome.Cancelled
	}
	return lastReported
}

// RetriesReattach reports whether a further attempt is made at the server that a client names, after one that ended
// with status. Only a server that was never reached is tried again: any other may have executed the request.
func RetriesReattach(status outcome.Status) bool { return status == outcome.ConnectFailed }

// Stream is what is known of an established connection whose server's side ended.
type Stream struct {
	Numbered       bool           // its server numbers the messages, so that another can continue after the last
	AtLineBoundary bool           // the client has whole lines only
	LastReported   outcome.Status // as for OfEstablished
}

// ContinuesOnAnotherServer reports whether a client is sent on to another server with a token rather than told of the
// end: its stream can be continued, and is not finished.
func ContinuesOnAnotherServer(s Stream) bool {
	return s.Numbered && s.LastReported != outcome.OK && s.AtLineBoundary
}

// ContinuesAfterCursor reports whether a server that accepts a request with a token continues the stream where the
// client left it. numbered tells whether it numbers the messages, from is the message that it continues after, cursor
// the last one that the client has. If not, the client would miss messages or have some twice.
func ContinuesAfterCursor(numbered bool, from, cursor uint64) bool { return numbered && from == cursor }

// SharedFailure tells the first of several attempts that end because one connection failed from the others: the
// failure is one piece of evidence of the server's health, however many attempts it ended.
type SharedFailure struct{ reported bool }

// IsEvidence reports whether the end of an attempt counts as evidence. failed tells whether the shared connection has
// failed; until it has, each attempt ends by itself.
func (f *SharedFailure) IsEvidence(failed bool) bool {
	if !failed {
		return true
	}
	first := !f.reported
	f.reported = true
	return first
}
