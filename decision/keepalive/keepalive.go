// Package keepalive decides when a multiplexed connection is pinged and when it is given up because its peer shows no
// sign of life. It has no clock and no timers; the caller looks at the intervals that it names.
package keepalive

import "spurspread/decision/monotime"

// Verdict is what is to be done with a connection now.
type Verdict uint8

// The verdicts.
const (
	Keep  Verdict = iota // nothing
	Ping                 // ask for a sign of life
	Close                // give it up
)

const (
	// UpstreamCheckInterval is how often an upstream connection is looked at.
	UpstreamCheckInterval = 500 * monotime.Millisecond
	// upstreamPingInterval is how long an upstream connection with channels is quiet between two pings.
	upstreamPingInterval = 2 * monotime.Second
	// UpstreamTimeout is after how long a quiet server is given up, with all channels.
	UpstreamTimeout = 5 * monotime.Second
	// downstreamCheckDivisor is how often a client is looked at in its idle time.
	downstreamCheckDivisor = 4
	// downstreamSilenceFactor is after how many idle times a client with channels is given up.
	downstreamSilenceFactor = 2
)

// Upstream decides about a connection to a server that carries channels; one without may be quiet for as long as it is
// kept. lastReceived is when anything last came, lastPing when the last ping went.
func Upstream(now, lastReceived, lastPing monotime.Micros) Verdict {
	switch {
	case now-lastReceived >= UpstreamTimeout:
		return Close
	case now-max(lastReceived, lastPing) >= upstreamPingInterval:
		return Ping
	}
	return Keep
}

// DownstreamCheckInterval is how often a client's connection is looked at, from its idle time-out.
func DownstreamCheckInterval(idle monotime.Micros) monotime.Micros {
	return idle / downstreamCheckDivisor
}

// Downstream decides about a client's connection from how long it has been quiet, its idle time-out and how many
// channels it has. Without channels it goes after its idle time; with channels it is pinged shortly before, and given
// up after as long again.
func Downstream(quiet, idle monotime.Micros, channels int) Verdict {
	switch {
	case quiet >= downstreamSilenceFactor*idle:
		return Close
	case quiet >= idle && channels == 0:
		return Close
	case quiet >= idle-DownstreamCheckInterval(idle):
		return Ping
	}
	return Keep
}
