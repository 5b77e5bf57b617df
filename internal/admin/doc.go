// Package admin serves the admin address of a balancer (the management address, mgmt, in settings and messages) on the
// balancer's event loop. A connection carries one command, on one line, and gets one reply line, which begins with +OK
// or -ERR. Connections are limited in duration, bytes and number, so that clients that send nothing, an incomplete line
// or garbage do not delay others.
//
// The package depends on the event loop and on package lifecycle, which parses commands. The Handler carries out
// the commands; this package must not depend on their effects.
package admin
