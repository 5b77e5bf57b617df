package discovery

import "errors"

// Why a call failed, as reported to Watcher.Failed, beside errors of the connection itself.
var (
	// ErrTimeout reports a call without an answer, or a watch without a heartbeat, in time.
	ErrTimeout = errors.New("discovery: no answer in time")
	// ErrStatus reports an HTTP status other than 200.
	ErrStatus = errors.New("discovery: call rejected")
	// ErrMalformedResponse reports an answer that is not the HTTP/1.1 that is understood here.
	ErrMalformedResponse = errors.New("discovery: malformed HTTP response")
	// ErrTooLarge reports an object over 4 MiB.
	ErrTooLarge = errors.New("discovery: object too large")
	// ErrWatchEnded reports a watch that discovery ended in good order.
	ErrWatchEnded = errors.New("discovery: watch ended")
	// ErrMalformedList reports an object that can't be read as a server list; the list stays as it was.
	ErrMalformedList = errors.New("discovery's list is malformed")
)
