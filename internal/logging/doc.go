// Package logging provides the parts of logging that a balancer's packages share: the names of log fields, the two
// formats, and an AsyncWriter that never blocks the event loop. docs/operate/logging.md lists all messages and fields.
//
// Use New to create a logger, and the constants of this package as keys of WithField. The package must not depend on
// the packages that log.
package logging
