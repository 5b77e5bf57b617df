// Package drainschedule decides when a draining process moves its established connections, rejects new requests, closes
// its listener and stops. It has no clock; times are spans since the drain began.
package drainschedule

import "spurspread/decision/monotime"

const (
	// maxDuration bounds the time that a planned stop waits for requests, whatever their deadlines.
	maxDuration = 3 * monotime.Second
	// MinDuration is the time for which new connections may still arrive after the drain began, from clients that don't
	// know of the drain.
	MinDuration = 600 * monotime.Millisecond
	// FirstMoveDelay is the time that a connection established during a drain has for its first lines.
	FirstMoveDelay = 50 * monotime.Millisecond
	// FinalAnswerDelay is the time after the last move at which all remaining requests are answered or moved.
	FinalAnswerDelay = 200 * monotime.Millisecond
	// shutdownGrace is the time that the process may continue beyond the drain's duration. The platform kills it 0.7 s
	// beyond the duration.
	shutdownGrace = 450 * monotime.Millisecond
	// MoveLineTimeout is the time that a move waits for the line in transmission to end. After that the connection is
	// aborted, because MOVE can't be sent in the middle of a line.
	MoveLineTimeout = 900 * monotime.Millisecond
	// MoveDataTimeout is the time that a move waits for a slow client to take the data that was received before it. It
	// is the first part of MoveLineTimeout; the rest is left for the line in transmission and for MOVE.
	MoveDataTimeout = MoveLineTimeout / 2
	// LameDuckDuration is the time over which a lame duck's moves are spread. No client may be left after 4 s, so this
	// leaves time for a line in transmission to end.
	LameDuckDuration = 2800 * monotime.Millisecond
	// CheckInterval is the interval at which the progress of a drain is checked.
	CheckInterval = 20 * monotime.Millisecond
	// firstLineTime is the time in which a connection that arrives while the process is stopping must send its first
	// line; its line may already be in transmission.
	firstLineTime = 300 * monotime.Millisecond
	// firstMoveDivisor sets the fraction of the duration that passes before the first move.
	firstMoveDivisor = 2
)

// Duration returns how long a planned stop waits for requests, given the deadlines of all request classes: for the
// longest deadline, at most 3 s.
func Duration(deadlines []monotime.Micros) monotime.Micros {
	var longest monotime.Micros
	for _, deadline := range deadlines {
		longest = max(longest, deadline)
	}
	return min(longest, maxDuration)
}

// State describes a process that may be draining.
type State struct {
	Draining    bool
	Stopping    bool            // the process ends when it has drained; otherwise it is a lame duck
	HandingOver bool            // a successor listens on the same port
	Elapsed     monotime.Micros // since the drain began
}

// RejectsNew reports whether new requests are rejected. A process that stops without a successor rejects all of them. A
// lame duck, or a process with a successor, still serves requests that arrive within MinDuration.
func RejectsNew(s State) bool {
	if s.Stopping && !s.HandingOver {
		return true
	}
	return s.Draining && s.Elapsed > MinDuration
}

// MoveDelay returns the time, since the drain began, at which the i-th of n established connections is moved if all are
// to be moved within span. The moves are spread over the second half of span, because clients that are moved all at
// once return all at once. Until its move each connection is served; and if processes restart one after another, the
// previous one may still be unavailable in the first half. The last move is early enough for a line then in
// transmission to end before the process does.
func MoveDelay(span monotime.Micros, i, n int) monotime.Micros {
	last := max(span-(MoveLineTimeout-shutdownGrace), FirstMoveDelay)
	first := min(max(FirstMoveDelay, span/firstMoveDivisor), last)
	return first + (last-first)*monotime.Micros(i)/monotime.Micros(n)
}

// Remaining returns the time left of a drain's span.
func Remaining(span, elapsed monotime.Micros) monotime.Micros { return max(span-elapsed, 0) }

// ClosesIdle reports whether a stopping process closes idle connections by now.
func ClosesIdle(elapsed monotime.Micros) bool { return elapsed >= MinDuration }

// IdleAge returns the age from which on a stopping process closes an idle connection: firstLineTime while the drain has
// time left, 0 after that.
func IdleAge(elapsed, duration monotime.Micros) monotime.Micros {
	if elapsed >= duration {
		return 0
	}
	return firstLineTime
}

// Finished reports whether a stopping process need not wait any longer: MinDuration has passed and remaining, the
// number of connections and requests that it waits for, is 0, or the time is up. The caller uses it twice. To close the
// listener, it counts the requests and the multiplexed client connections. To stop the process, it also counts the new
// connections that may still send a first line and the clients that have not closed after their final answer.
func Finished(elapsed, duration monotime.Micros, remaining int) bool {
	timeUp := elapsed >= duration+shutdownGrace
	nothingLeft := elapsed >= MinDuration && remaining == 0
	return timeUp || nothingLeft
}
