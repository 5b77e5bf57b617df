package simwire

import "errors"

// Errors of a stream that violates the protocol. The simulator and its hosts must be of the same version, so a host
// ends after any of them.
var (
	// ErrMalformedFrame reports a header with impossible values, such as a length out of bounds.
	ErrMalformedFrame = errors.New("malformed frame")
	// ErrMalformedRecord reports a field out of range, a reference past the end of the tail, or nonzero padding.
	ErrMalformedRecord = errors.New("malformed record")
	// ErrUnknownEvent reports an unknown code of an event record.
	ErrUnknownEvent = errors.New("unknown event code")
	// ErrUnknownAction reports an action for which the protocol has no record.
	ErrUnknownAction = errors.New("unknown action type")
)
