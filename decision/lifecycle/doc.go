// Package lifecycle decides how an admin command changes a balancer's lifecycle state and how it is answered.
// A balancer accepts clients (Serving), moves them away but stays (LameDuck), or is shutting down (Stopping).
//
// It knows commands and states, and has no sockets, clocks or connections. The admin listener reads lines up to
// LineLimit and passes them to Parse; the proxy holds the State and passes commands to Apply.
//
// Invariant: no command leaves Stopping, and a command that changes nothing reports no change.
package lifecycle
