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

// Attempt is an attempt that has no answer yet.
type Attempt struct {
	Placed  bool    // the core placed it; false where its client names the server
	Written bool    // its request is written, and may have been executed
	Chosen  Listing // of its server, when it was chosen
	Current Listing // of its server, now
}

// Needed reports whether an attempt is recalled and its request placed again. That is so if nothing has been written
// and the server is no longer ready, has restarted or has another address: a placement made now would not choose it.
// An attempt at a server that the client names goes on whatever the listing is.
func Needed(a Attempt) bool {
	return a.Placed && !a.Written && changed(a.Chosen, a.Current)
}

func changed(chosen, current Listing) bool {
	restarted := current.StartedAt != chosen.StartedAt
	readdressed := current.Addr != chosen.Addr
	return !current.Ready || restarted || readdressed
}
