// Package lifecycle decides what an admin command does to a balancer's lifecycle, whether it accepts clients (Serving),
// moves them away but stays (LameDuck) or is shutting down (Stopping), and what the caller is answered.
//
// It knows commands and states, and no sockets, clocks or connections. The admin listener reads lines up to LineLimit
// and passes them to Parse; the proxy holds the State and passes commands to Apply.
//
// Invariant: nothing leaves Stopping, and a command that changes nothing reports no change.
package lifecycle
