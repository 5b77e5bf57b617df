// Package recall decides which change of a server's listing recalls an attempt: one that is on its way to that server
// while its request has not been written yet. It knows neither sockets nor the server list; the caller compares the
// listing at the time of placement with the current one.
package recall

import "net/netip"

// Listing is the part of a server's listing that matters to a request that is about to be written to it.
type Listing struct {
	Ready     bool           // listed as ready, neither draining nor removed
	StartedAt int64          // start of the server's process, Unix time in milliseconds; 0 where unknown
	Addr      netip.AddrPort // where it listens
}

// Needed reports whether an attempt is to be recalled and its request placed again. Its inputs are the listing that
// the placement was based on and the current one. It is needed if the server is no longer ready, has restarted or
// has moved to another address: a placement made now would not choose it, and nothing has been written yet.
func Needed(chosen, current Listing) bool {
	restarted := current.StartedAt != chosen.StartedAt
	readdressed := current.Addr != chosen.Addr
	return !current.Ready || restarted || readdressed
}
