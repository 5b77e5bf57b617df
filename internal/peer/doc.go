// Package peer connects this process to the other members of its fleet. It exchanges the messages of package
// membership, and in a fleet with zones also those of package zonedirectory, as encrypted UDP datagrams on the
// program's event loop.
//
// Start joins the fleet and returns a Host, which may be used only on its event loop. The package owns the sockets,
// timers, keys and known addresses of members, and limits the cost of a datagram flood. It does not interpret messages
// or decide who is in the fleet: it passes each datagram that is authentic, addressed to this process and not a replay
// to those two packages, and sends the messages that they return.
package peer
