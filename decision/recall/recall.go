// Package recall decides whether a change of a server's listing cancels an attempt whose request has not been written
// to that server yet, so that the request is placed again. It does not know sockets or the server list; the caller
// passes the listing at the time of placement and the current one.
package recall

import "net/netip"

// Listing is the part of a server's listing that matters to a request that is about to be written to it.
type Listing struct {
	Ready     bool           // listed and ready, neither draining nor removed
	StartedAt int64          // start of the server's process, Unix time in milliseconds; 0 if unknown
	Addr      netip.AddrPort // where it listens
}

// Attempt is an attempt that has no answer yet.
type Attempt struct {
	Placed  bool    // the core placed it; false if its client names the server
	Written bool    // its request has been written, and may have been executed
	Chosen  Listing // listing of its server when it was chosen
	Current Listing // present listing of its server
}

// Needed reports whether an attempt must be cancelled and its request placed again. This is so if the request has not
// been written and the server is no longer ready, has restarted or has another address: a new placement would not
// choose it. An attempt at a server that the client names continues in any case.
func Needed(a Attempt) bool {
	return a.Placed && !a.Written && changed(a.Chosen, a.Current)
}

// changed reports whether a server was removed, drained, restarted or moved to another address since it was chosen.
func changed(chosen, current Listing) bool {
	restarted := current.StartedAt != chosen.StartedAt
	readdressed := current.Addr != chosen.Addr
	return !current.Ready || restarted || readdressed
}
