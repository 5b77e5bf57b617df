// Package hotrestart decides, when a new process replaces an old one, which established connections are transferred to
// the new one, which process owns each of them after every answer, and when the remaining ones are drained instead.
//
// It does not know sockets or clocks, and knows connections by their numbers only. The old process (predecessor) has a
// Transfer; the new one (successor) decides on each offer with AcceptTransfer. Times are monotime.Micros.
//
// Invariant: the predecessor owns a connection until the successor has accepted it, and never again afterwards; at most
// MaxPendingOffers offers are unanswered at once.
package hotrestart
