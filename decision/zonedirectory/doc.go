// Package zonedirectory maintains one balancer's knowledge of the other zones of its fleet: the number of their
// members, whether they are reachable, and through which members. Within its own zone a balancer has the full view of
// package membership; of each other zone it holds one summary, which members of that zone issue.
//
// A Directory is one member's state machine. Its owner passes in the time and the view of its own zone (Tick), decoded
// messages from authenticated senders (Receive), and the zone and digest that other datagrams carry (ObserveDatagram),
// and sends the messages that these calls return. A Directory uses no sockets, no clock and no randomness other than
// its seed, does not depend on how messages are encoded or on how membership works, and bounds all its state. It is not
// safe for concurrent use.
//
// In each zone, the first Delegates members in an order that all members compute identically exchange messages with the
// other zones: they probe other zones, push new items to them, and publish in their own zone, as an Observation, which
// zones they cannot reach. The first delegate issues the zone's Summary.
//
// Invariant: of each summary, observation and record, the newest version is kept regardless of the order of arrival.
// That a zone is unreachable is recorded only as the Reachability of that zone; its members are never declared dead for
// it. Their share of the rate divisor decreases slowly, and ends no earlier than zoneRetention after the zone became
// unreachable.
package zonedirectory
