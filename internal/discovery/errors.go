package discovery

import "errors"

// Errors reported to Watcher.Failed, in addition to errors of the connection.
var (
	// ErrTimeout means that a call was not answered in time, or that a watch had no object or heartbeat for too long.
	ErrTimeout = errors.New("discovery: no answer in time")
	// ErrStatus means an HTTP status other than 200.
	ErrStatus = errors.New("discovery: call rejected")
	// ErrMalformedResponse means a response that is not valid HTTP/1.1, or uses a feature that the parser does not
	// support.
	ErrMalformedResponse = errors.New("discovery: malformed HTTP response")
	// ErrTooLarge means an object over 4 MiB.
	ErrTooLarge = errors.New("discovery: object too large")
	// ErrWatchEnded means that discovery has ended the response of a watch normally.
	ErrWatchEnded = errors.New("discovery: watch ended")
	// ErrMalformedList means an object that can't be parsed as a server list. The list is not changed.
	ErrMalformedList = errors.New("discovery's list is malformed")
)
