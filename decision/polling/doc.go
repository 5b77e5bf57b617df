// Package polling is the schedule by which one of many balancers polls discovery, where that answers only when polled.
// Discovery serves one call after another, and calls that wait too long are lost work to it: polled faster than it
// answers, it answers nobody. So all balancers take turns, each at its own moment of a cycle that they share by the
// clock.
//
// It does not know what is polled for, nor sockets or clocks. The core asks PollDue several times a second, at most
// maxCheckInterval apart, and reports what came of each poll with Answered or Failed. Times are monotime.Micros.
//
// Invariant: however many balancers there are, each polls so soon after a failure that it can have the answer before it
// must stop acting on an older list. A failure does not show whether discovery is away or has too many callers, so
// a cycle grows beyond that only after several failures in a row, and not where discovery was seen to answer quickly
// enough for all balancers.
//
// A process that has just started holds a list of unknown age. Once it has requests to place it polls before that list
// may have been outdated for Grace, and from then on places none until discovery has answered or failed.
package polling
