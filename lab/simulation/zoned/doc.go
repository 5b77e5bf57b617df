// Package zoned plays a fleet of several zones in virtual time: regions with delays between them, faults by failure
// domain in each direction, and a checker that knows what was done. Members are what internal/peer makes of them: a
// membership.Fleet and a zonedirectory.Directory each, whose messages go over the links of package simulation. The
// same seed brings the same events.
package zoned
