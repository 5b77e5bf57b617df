package settings

import (
	"errors"
	"strings"
)

// Errors of an input that can't be split into keys and values.
var (
	// ErrTooLong reports an input of more than 1 MiB.
	ErrTooLong = errors.New("settings: input too long")
	// ErrNotObject reports JSON that is malformed or not an object.
	ErrNotObject = errors.New("settings: not a JSON object")
	// ErrNoSeparator reports a text line without '='.
	ErrNoSeparator = errors.New("settings: line without '='")
)

// Kinds of a KeyError.
var (
	// ErrMissing reports a required key that is absent.
	ErrMissing = errors.New("missing")
	// ErrNotNumber reports a value that is not a number from 0 to 1e15.
	ErrNotNumber = errors.New("not a number in the allowed range")
	// ErrNotPositive reports a 0 for a key with which no request could then be served.
	ErrNotPositive = errors.New("not greater than 0")
	// ErrNotAllowed reports a word that is not one of those allowed for the key.
	ErrNotAllowed = errors.New("not an allowed value")
	// ErrTooMany reports a list of more than 10,000 items.
	ErrTooMany = errors.New("too many items")
	// ErrDuplicate reports a class name that is used twice.
	ErrDuplicate = errors.New("duplicate name")
)

// KeyError is one problem with the value of one key.
type KeyError struct {
	Key     string // the platform's name of the key, such as limits.most_tries
	Problem string // description of the problem, with the rejected value
	Kind    error  // one of the kinds above; matched by errors.Is
}

// Error returns the key and the problem.
func (e *KeyError) Error() string { return e.Key + ": " + e.Problem }

// Unwrap returns the kind of the problem.
func (e *KeyError) Unwrap() error { return e.Kind }

// InvalidError holds all problems of one input, in the order in which keys are read. errors.Is matches the kind of any
// of them; errors.As finds the first *KeyError.
type InvalidError struct {
	Problems []*KeyError
}

// Error lists the problems, one per line.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, problem := range e.Problems {
		lines[i] = problem.Error()
	}
	return "settings: " + strings.Join(lines, "\n")
}

// Unwrap returns the problems.
func (e *InvalidError) Unwrap() []error {
	all := make([]error, len(e.Problems))
	for i, problem := range e.Problems {
		all[i] = problem
	}
	return all
}
