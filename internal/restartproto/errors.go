package restartproto

import "errors"

// Reasons for which a file, an offer or an answer can't be used. Errors of the file system are returned unchanged.
var (
	// ErrVersion reports a file or an offer with another format version.
	ErrVersion = errors.New("unsupported version")
	// ErrNotRegular reports a path to something other than a regular file.
	ErrNotRegular = errors.New("not a regular file")
	// ErrTooLarge reports a file that exceeds its maximum size, on reading or writing.
	ErrTooLarge = errors.New("too large")
	// ErrMalformed reports invalid JSON, an unknown field, or a value of the wrong type.
	ErrMalformed = errors.New("malformed")
	// ErrTrailingData reports an offer with data after its JSON value.
	ErrTrailingData = errors.New("more than one value")
	// ErrIncomplete reports an offer that does not name the server or the class.
	ErrIncomplete = errors.New("no target or class")
	// ErrOutOfRange reports an offer with a negative age or too many unanswered lines.
	ErrOutOfRange = errors.New("out of range")
	// ErrMalformedAnswer reports an answer that neither accepts nor rejects an offer.
	ErrMalformedAnswer = errors.New("malformed answer")
)
