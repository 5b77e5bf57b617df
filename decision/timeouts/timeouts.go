// Package timeouts holds the time limits with which the proxy waits for clients and servers, and the rules that combine
// several limits into one. It has no timers; the caller sets them. To reattach is to request a connection to a certain
// server, which the client names.
package timeouts

import (
	"spurspread/decision/backoff"
	"spurspread/decision/monotime"
)

// Time limits for clients.
const (
	// FirstLine is the time in which a client must send its whole first line. The protocol promises a client an answer
	// or the end of its connection within 3 s of connecting.
	FirstLine = 2 * monotime.Second
	// HealthCheckIdleTimeout is the time without a further PING after which a health checker's connection is closed.
	HealthCheckIdleTimeout = 60 * monotime.Second
	// Linger is the time in which a client must read its final answer and close, before the proxy closes the
	// connection; see KeepsLingering.
	Linger = 800 * monotime.Millisecond
	// MaxReattach is the longest time that a client waits for the server that it names to be listed and to answer.
	MaxReattach = 40 * monotime.Second
)

// Time limits for servers and for discovery.
const (
	// HalfClose is the time in which a server must end a connection whose client has ended its side.
	HalfClose = 5 * monotime.Second
	// UnresponsiveTimeout is the time without a reply after which an established connection with unanswered lines is
	// abandoned. The protocol allows 7 s, which must also cover the time in which a line in transmission may end and
	// the interval between two checks.
	UnresponsiveTimeout = 5500 * monotime.Millisecond
	// minReattachAttempt is the shortest timeout of an attempt at a server that the client names.
	minReattachAttempt = 1 * monotime.Millisecond
	// minReattachRetry and maxReattachRetry bound the pause, before jitter, between attempts at a server that the
	// client names.
	minReattachRetry = 250 * monotime.Millisecond
	maxReattachRetry = 4 * monotime.Second
	// ProbeReply is the time in which a server must answer a probe, in addition to the time allowed for the connection.
	ProbeReply = 150 * monotime.Millisecond
	// WatchRestartDelay is the pause before a failed watch of pushed server lists is restarted. A change must be
	// applied within some seconds even if the push of it is lost.
	WatchRestartDelay = 500 * monotime.Millisecond
)

const (
	// clientLineInterval is the interval at which clients send lines.
	clientLineInterval = 2 * monotime.Second
	// muxSetupConnects is the time that a multiplexed connection may take until it is ready, as a multiple of the
	// connect timeout: after connecting it identifies itself and requests its service.
	muxSetupConnects = 3
)

// KeepsLingering reports whether a client that has not read all within Linger is given the same time again: it has read
// part of it. before and pending are the numbers of bytes that were pending for it at the start and at the end of that
// time.
func KeepsLingering(before, pending int) bool { return pending > 0 && pending < before }

// Request returns the time that a client waits for the answer to its request: the time that it announces, but no longer
// than its class's deadline.
func Request(announced, classDeadline monotime.Micros) monotime.Micros {
	return min(announced, classDeadline)
}

// Reattach returns the time that a client waits for the server that it names: the time that it announces, at most
// MaxReattach.
func Reattach(announced monotime.Micros) monotime.Micros { return min(announced, MaxReattach) }

// ReattachRetry returns the pause before the next attempt at the server that a client names, after the given number of
// failed attempts in a row, 1 or more. The pause doubles from minReattachRetry to maxReattachRetry. The variate, random
// from 0 to 1, changes it by up to a quarter either way, so that the clients of one failed server do not return all at
// once.
func ReattachRetry(failures int, variate float64) monotime.Micros {
	const maxDoublings, minFactor, factorRange = 10, 0.75, 0.5
	pause := backoff.Exponential(minReattachRetry, maxReattachRetry, failures-1, maxDoublings)
	return monotime.Micros(float64(pause) * (minFactor + factorRange*variate))
}

// ReattachAttempt returns the timeout of an attempt at the server that a client names: the time left to the client, at
// least minReattachAttempt.
func ReattachAttempt(left monotime.Micros) monotime.Micros { return max(left, minReattachAttempt) }

// Attempt returns the timeout of an attempt, never negative: placed, the timeout given when it was placed (0 for
// none), but no longer than the time left to its client.
func Attempt(placed, left monotime.Micros) monotime.Micros {
	if placed == 0 || placed > left {
		placed = left
	}
	return max(placed, 0)
}

// Connect returns the time in which an attempt's own connection must be established: the settings' connect timeout,
// but no longer than the time left to the attempt.
func Connect(left, connectTimeout monotime.Micros) monotime.Micros { return min(left, connectTimeout) }

// MuxSetup returns the time in which a multiplexed connection must be ready for channels, counted from the start of the
// dial.
func MuxSetup(connectTimeout monotime.Micros) monotime.Micros {
	return muxSetupConnects * connectTimeout
}

// MuxAttempt returns the time that an attempt waits for a multiplexed connection to be ready.
func MuxAttempt(left, connectTimeout monotime.Micros) monotime.Micros {
	return min(left, MuxSetup(connectTimeout))
}

// AnswerDeadline returns the time at which an attempt without an answer is abandoned: its deadline or, if the request
// is not completely written, the earlier of its deadline and writeBy (0 for no such limit), after which the request
// must not be executed any more.
func AnswerDeadline(deadline, writeBy monotime.Micros, written bool) monotime.Micros {
	if !written && writeBy > 0 {
		return min(deadline, writeBy)
	}
	return deadline
}

// WriteForbidden reports whether it is too late to write a request. writeBy is the end of the window in which the
// server can distinguish a retry from a new request; 0 for no such limit.
func WriteForbidden(now, writeBy monotime.Micros) bool { return writeBy > 0 && now >= writeBy }

// AnnouncedDeadline returns the deadline, in whole milliseconds, that is sent to a server with a request: the time left
// to the attempt, at least 1 ms.
func AnnouncedDeadline(left monotime.Micros) int64 { return int64(max(left/monotime.Millisecond, 1)) }

// Unresponsive reports whether an established connection is abandoned because its server does not reply. lastReply is
// the time at which the last line came from the server; oldestUnanswered is the time at which the oldest line without a
// reply was sent to it. If the client sent nothing for a while before that line, at most clientLineInterval of that
// pause counts against the server. The core moves connections away from slow servers much sooner; this is the
// protocol's limit for those that remain.
func Unresponsive(now, lastReply, oldestUnanswered monotime.Micros) bool {
	return now-max(lastReply, oldestUnanswered-clientLineInterval) > UnresponsiveTimeout
}
