// Package drainschedule decides when a process that drains moves its established connections, rejects new requests,
// closes its listener and stops. It has no clock; times are those since the drain began.
package drainschedule

import "spurspread/decision/monotime"

const (
	// maxDuration bounds how long a planned stop waits for requests, whatever their deadlines.
	maxDuration = 3 * monotime.Second
	// MinDuration is how long new connections may still come after the drain began, from clients that don't know of it.
	MinDuration = 600 * monotime.Millisecond
	// FirstMoveDelay is the time that a connection which is established during a drain has for its first lines.
	FirstMoveDelay = 50 * monotime.Millisecond
	// FinalAnswerDelay is how long after the last move all that is left is answered or moved.
	FinalAnswerDelay = 200 * monotime.Millisecond
	// shutdownGrace is how long the process may go on beyond the drain's duration; the platform kills it 0.7 s beyond
	// it.
	shutdownGrace = 450 * monotime.Millisecond
	// MoveLineTimeout is how long a move may wait for a line that is under way to end. After that the connection is
	// aborted: MOVE can't be sent in the middle of a line.
	MoveLineTimeout = 900 * monotime.Millisecond
	// LameDuckDuration is the time over which a lame duck's moves are spread: no client may be left after 4 s, and a
	// line that is under way then still has time to end.
	LameDuckDuration = 2800 * monotime.Millisecond
	// CheckInterval is how often the progress of a drain is looked at.
	CheckInterval = 20 * monotime.Millisecond
	// firstLineTime is how long a connection that comes while the process stops has for its first line: its client may
	// have sent it already.
	firstLineTime = 300 * monotime.Millisecond
	// firstMoveDivisor is the part of the duration, as a divisor, that passes before the first move.
	firstMoveDivisor = 2
)

// Duration is how long a planned stop waits, from the deadlines of all request classes: for the longest, at most 3 s.
func Duration(deadlines []monotime.Micros) monotime.Micros {
	var longest monotime.Micros
	for _, deadline := range deadlines {
		longest = max(longest, deadline)
	}
	return min(longest, maxDuration)
}

// State is how far a process is with a drain.
type State struct {
	Draining    bool
	Stopping    bool            // the process ends when it has drained; else it is a lame duck
	HandingOver bool            // a successor listens on the same port
	Elapsed     monotime.Micros // since the drain began
}

// RejectsNew reports whether new requests are rejected. A process that stops without a successor rejects all. A lame
// duck, and one with a successor, still serves what comes within MinDuration.
func RejectsNew(s State) bool {
	if s.Stopping && !s.HandingOver {
		return true
	}
	return s.Draining && s.Elapsed > MinDuration
}

// MoveDelay is when the i-th of n established connections is moved, where all are to be moved within span: spread over
// its second half, for clients that are all moved at once come back at once. Until then each is served; and where
// processes restart one after another, the one before this may still be away. The last move is early enough for a line
// that is under way then to end before the process does.
func MoveDelay(span monotime.Micros, i, n int) monotime.Micros {
	last := max(span-(MoveLineTimeout-shutdownGrace), FirstMoveDelay)
	first := min(max(FirstMoveDelay, span/firstMoveDivisor), last)
	return first + (last-first)*monotime.Micros(i)/monotime.Micros(n)
}

// Remaining is the time that is left of a drain's span.
func Remaining(span, elapsed monotime.Micros) monotime.Micros { return max(span-elapsed, 0) }

// ClosesIdle reports whether a process that stops closes idle connections by now.
func ClosesIdle(elapsed monotime.Micros) bool { return elapsed >= MinDuration }

// IdleAge is from which age on a process that stops closes an idle connection: firstLineTime while the drain has time
// left, 0 after that.
func IdleAge(elapsed, duration monotime.Micros) monotime.Micros {
	if elapsed >= duration {
		return 0
	}
	return firstLineTime
}

// Finished reports whether a process that stops is done: nothing remains, though no earlier than MinDuration, or the
// time is up. Without requests and multiplexed client connections it closes its listener; once new connections have had
// their time for a first line and those clients have closed that have their final answer, it stops.
func Finished(elapsed, duration monotime.Micros, remaining int) bool {
	timeUp := elapsed >= duration+shutdownGrace
	nothingLeft := elapsed >= MinDuration && remaining == 0
	return timeUp || nothingLeft
}
