// Package admin serves the admin address of a balancer, on the balancer's own event loop. A connection carries one
// command, on one line, and gets one line back, which begins with +OK or -ERR. Connections are bounded in time, bytes
// and number, so that clients that send nothing, half a line or garbage delay nobody else.
//
// The package knows the loop and, by package lifecycle, the form of commands. It must not know what a command does:
// the Handler does.
package admin
