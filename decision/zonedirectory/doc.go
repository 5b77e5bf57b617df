// Package zonedirectory decides what one balancer knows of the other zones of its fleet: how many members are there,
// whether the zone can be reached, and through which members. Within its own zone a balancer has the full view of
// package membership; of each other zone it holds one summary, which members of that zone issue.
//
// A Directory is one member's state machine. Its owner hands it the time and the view of the own zone (Tick), decoded
// messages whose sender is authenticated (Receive), and what other datagrams say of their sender's zone
// (ObserveDatagram), and sends the messages that it returns. It has no sockets, no clock and no randomness but its
// seed, it must not know how messages are encoded or how membership works, and all that it holds is bounded. It is
// for one goroutine.
//
// In each zone the first Delegates members, in an order that all members compute alike, exchange messages with the
// other zones: they probe them, push new items to them, and tell their own zone by an Observation what they do not
// reach. The first of them issues the zone's Summary.
//
// The invariant: of each zone, delegate and record the newest item is kept, in whatever order items arrive; and a
// zone that cannot be reached is one fact, its Reachability, and never a death of its members: their part in the rate
// divisor ends slowly, and zoneRetention later at the earliest.
package zonedirectory
