package simwire

import "errors"

// Errors of a stream that does not follow the form. The simulator and its hosts must be of the same version, so each of
// them ends the host.
var (
	// ErrMalformedFrame reports a header that can't be true, such as a length out of bounds.
	ErrMalformedFrame = errors.New("malformed frame")
	// ErrMalformedRecord reports a field out of its range, a reference past the tail, or padding that is not zero.
	ErrMalformedRecord = errors.New("malformed record")
	// ErrUnknownEvent reports a record code that is none of those known.
	ErrUnknownEvent = errors.New("no such event")
	// ErrUnknownAction reports an action that the wire has no record for.
	ErrUnknownAction = errors.New("action has no record on the wire")
)
