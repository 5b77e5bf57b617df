// Package simulation runs the members of a fleet in virtual time. A Cluster has one event queue, links whose two
// directions fail independently, and member processes that can be paused, killed and restarted. Members are those of
// the balancer (package membership) or one of the Alternatives that were not chosen.
//
// Run runs a script of package scenario, which injects faults and checks the state changes that members report. This
// package itself checks nothing. The same seed produces the same events and the same hash over them.
package simulation
