// Package logging has what all parts of a balancer share about its log: the names of fields, the two formats, and an
// AsyncWriter that never blocks the event loop. docs/operate/logging.md lists all messages.
//
// Use New for a logger, and the constants of this package as keys of WithField. The package must not know what is
// logged or why.
package logging
