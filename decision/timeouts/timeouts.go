// Package timeouts holds how long the proxy waits for clients and servers before it gives up, and the rules that
// combine several limits into one. It has no timers; whoever waits sets them.
package timeouts

import (
	"spurspread/decision/backoff"
	"spurspread/decision/monotime"
)

// Waiting for clients.
const (
	// FirstLine is how long a client may take to send its first line whole. The protocol gives it an answer or an end
	// within 3 s of connecting.
	FirstLine = 2 * monotime.Second
	// HealthCheckIdleTimeout is how long a health checker's connection may stay without a further ping.
	HealthCheckIdleTimeout = 60 * monotime.Second
	// Linger is how long a client may take to read its final answer and close before the connection is closed on it.
	Linger = 800 * monotime.Millisecond
	// MaxReattach is the longest that a client waits for the server that it names to be listed and to answer.
	MaxReattach = 40 * monotime.Second
)

// Waiting for servers and for discovery.
const (
	// HalfClose is how long a server may take to end a connection whose client has ended its side.
	HalfClose = 5 * monotime.Second
	// UnresponsiveTimeout is after how long without a reply an established connection with unanswered lines is given
	// up. With the time that a line under way may take and the interval between two looks it stays within the
	// protocol's 7 s.
	UnresponsiveTimeout = 5500 * monotime.Millisecond
	// minReattachAttempt is the least that such an attempt may take.
	minReattachAttempt = 1 * monotime.Millisecond
	// minReattachRetry and maxReattachRetry bound the pause before a further attempt at a server that the client names,
	// before jitter.
	minReattachRetry = 250 * monotime.Millisecond
	maxReattachRetry = 4 * monotime.Second
	// ProbeReply is how long a server may take to answer a probe beyond the time that a connection may take.
	ProbeReply = 150 * monotime.Millisecond
	// WatchRestartDelay is the pause before a failed watch of pushed server lists is started again. A pushed change has
	// to be applied within some seconds, received or not.
	WatchRestartDelay = 500 * monotime.Millisecond
)

const (
	// clientLineInterval is how often clients send a line.
	clientLineInterval = 2 * monotime.Second
	// muxSetupConnects is how many times as long as a connection a multiplexed one may take until it is ready: it
	// identifies itself and requests its service.
	muxSetupConnects = 3
)

// Request is how long a client waits for its request, from what it announces and its class's deadline: no client waits
// longer than its class allows, whatever it announces.
func Request(announced, classDeadline monotime.Micros) monotime.Micros {
	return min(announced, classDeadline)
}

// Reattach is how long a client waits for the server that it names, from what it announces; at most MaxReattach.
func Reattach(announced monotime.Micros) monotime.Micros { return min(announced, MaxReattach) }

// ReattachRetry is the pause before a further attempt at the server that a client names, after so many failed ones in a
// row, 1 or more: it doubles from minReattachRetry to maxReattachRetry, less or more up to a quarter by variate,
// 0 to 1 at random, so that clients whose server went together do not come back together.
func ReattachRetry(failures int, variate float64) monotime.Micros {
	const maxDoublings, minAround, aroundRange = 10, 0.75, 0.5
	pause := backoff.Exponential(minReattachRetry, maxReattachRetry, failures-1, maxDoublings)
	return monotime.Micros(float64(pause) * (minAround + aroundRange*variate))
}

// ReattachAttempt is how long an attempt at the server that a client names may take, from the time that the client
// still waits; at least minReattachAttempt.
func ReattachAttempt(left monotime.Micros) monotime.Micros { return max(left, minReattachAttempt) }

// Attempt is how long an attempt may take, from the placement's time-out (0: none of its own) and the time that its
// client still waits. It is never negative.
func Attempt(placed, left monotime.Micros) monotime.Micros {
	if placed == 0 || placed > left {
		placed = left
	}
	return max(placed, 0)
}

// Connect is how long a connection of an attempt's own may take to be established: the settings' connect time-out, but
// no longer than the attempt has left.
func Connect(left, connectTimeout monotime.Micros) monotime.Micros { return min(left, connectTimeout) }

// MuxSetup is how long a multiplexed connection may take from dialling until it carries channels.
func MuxSetup(connectTimeout monotime.Micros) monotime.Micros {
	return muxSetupConnects * connectTimeout
}

// MuxAttempt is how long an attempt waits for a multiplexed connection to be ready.
func MuxAttempt(left, connectTimeout monotime.Micros) monotime.Micros {
	return min(left, MuxSetup(connectTimeout))
}

// AnswerDeadline is when an attempt is given up that has no answer yet: at its deadline, but a request that is not
// written whole by writeBy (0: no such limit) is not to be executed any more.
func AnswerDeadline(deadline, writeBy monotime.Micros, written bool) monotime.Micros {
	if !written && writeBy > 0 {
		return min(deadline, writeBy)
	}
	return deadline
}

// WriteForbidden reports whether it is too late to write a request. writeBy is the end of the window in which the
// server can tell a retry from a new request; 0 where that does not matter.
func WriteForbidden(now, writeBy monotime.Micros) bool { return writeBy > 0 && now >= writeBy }

// AnnouncedDeadline is the deadline, in whole milliseconds, that a server is sent with a request: what the attempt has
// left, at least 1 ms.
func AnnouncedDeadline(left monotime.Micros) int64 { return int64(max(left/monotime.Millisecond, 1)) }

// Unresponsive reports whether an established connection is given up because its server sends nothing back. lastReply
// is when the last line came from the server, oldestUnanswered when the oldest line without a reply went to it. A
// client that paused longer than between two lines does not count its pause against the server. The core moves
// connections away from slow servers long before; this is the protocol's limit for what it leaves established.
func Unresponsive(now, lastReply, oldestUnanswered monotime.Micros) bool {
	return now-max(lastReply, oldestUnanswered-clientLineInterval) > UnresponsiveTimeout
}
