// Package keepalive decides when a multiplexed connection is pinged, and when it is closed because its peer sends
// nothing. It has no clock and no timers; the caller checks each connection at the intervals given here.
package keepalive

import "spurspread/decision/monotime"

// Verdict is the action to take on a connection now.
type Verdict uint8

// The verdicts.
const (
	Keep  Verdict = iota // no action
	Ping                 // send a ping
	Close                // close the connection
)

const (
	// UpstreamCheckInterval is the interval at which an upstream connection is checked.
	UpstreamCheckInterval = 500 * monotime.Millisecond
	// upstreamPingInterval is the time without data and without a ping after which an upstream connection with channels
	// is pinged.
	upstreamPingInterval = 2 * monotime.Second
	// UpstreamTimeout is the time without data after which an upstream connection is closed, with all its channels.
	UpstreamTimeout = 5 * monotime.Second
	// downstreamCheckDivisor is the number of checks of a client within its idle timeout.
	downstreamCheckDivisor = 4
	// downstreamTimeoutFactor is the time without data after which a client with channels is disconnected, as a
	// multiple of its idle timeout.
	downstreamTimeoutFactor = 2
)

// Upstream returns the verdict on a connection to a server that carries channels; a connection without channels is not
// checked and may stay quiet. lastReceived is when any data last arrived, lastPing when the last ping was sent.
func Upstream(now, lastReceived, lastPing monotime.Micros) Verdict {
	switch {
	case now-lastReceived >= UpstreamTimeout:
		return Close
	case now-max(lastReceived, lastPing) >= upstreamPingInterval:
		return Ping
	}
	return Keep
}

// DownstreamCheckInterval returns the interval at which a client's connection is checked, given its idle timeout.
func DownstreamCheckInterval(idle monotime.Micros) monotime.Micros {
	return idle / downstreamCheckDivisor
}

// Downstream returns the verdict on a client's connection. quiet is the time since data last arrived, idle is the
// connection's idle timeout, and channels is the number of its channels. The connection is pinged from one
// DownstreamCheckInterval before the idle timeout on. It is closed after the idle timeout if it has no channels,
// otherwise after twice that time.
func Downstream(quiet, idle monotime.Micros, channels int) Verdict {
	switch {
	case quiet >= downstreamTimeoutFactor*idle:
		return Close
	case quiet >= idle && channels == 0:
		return Close
	case quiet >= idle-DownstreamCheckInterval(idle):
		return Ping
	}
	return Keep
}
