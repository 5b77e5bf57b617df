// Package hotrestart decides, when a new process replaces an old one, which established connections are transferred to
// it, which process owns each of them after every answer, and when those that are left are drained instead.
//
// It does not know sockets or clocks, and knows connections by their numbers only. The old process (predecessor) has a
// Transfer; the new one (successor) decides on each offer with AcceptTransfer. Times are monotime.Micros.
//
// Invariant: a connection is the predecessor's until the successor has accepted it, and never again afterwards; at most
// MaxPendingOffers offers are unanswered at once.
package hotrestart
