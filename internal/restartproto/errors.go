package restartproto

import "errors"

// Why a file, an offer or an answer can't be used. Errors of the file system come as they are.
var (
	// ErrVersion reports a file or an offer of another version of its form.
	ErrVersion = errors.New("unsupported version")
	// ErrNotRegular reports a path at which something else than a file lies.
	ErrNotRegular = errors.New("not a regular file")
	// ErrTooLarge reports a file over its bound, to be read or written.
	ErrTooLarge = errors.New("too large")
	// ErrMalformed reports JSON that is broken, or has unknown fields or values of another type.
	ErrMalformed = errors.New("malformed")
	// ErrTrailingData reports an offer with something behind its value.
	ErrTrailingData = errors.New("more than one value")
	// ErrIncomplete reports an offer that does not name the server or the class.
	ErrIncomplete = errors.New("no target or class")
	// ErrOutOfRange reports an offer with a negative age, or too many unanswered lines.
	ErrOutOfRange = errors.New("out of range")
	// ErrMalformedAnswer reports an answer that neither accepts nor rejects an offer.
	ErrMalformedAnswer = errors.New("malformed answer")
)
