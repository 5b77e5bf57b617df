// Package simulation plays the members of a fleet in virtual time: one seeded queue of events, links that fail in
// each direction by themselves, processes that are paused, killed and started again. The members are those of the
// balancer (package membership), or alternatives that were not chosen. Package scenario does something to them and
// judges what they report of one another; this package must not know what is right. The same seed brings the same
// events, and the same hash of them.
package simulation
