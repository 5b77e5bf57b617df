// Package polling schedules one balancer's polls of discovery, among many balancers, where discovery answers only when
// polled. Discovery serves one call after another, and its work on calls that have waited too long is lost: if polled
// faster than it can answer, it answers none of the calls in time. So the balancers take turns, each in its own part of
// a cycle that all share by the clock.
//
// It knows no sockets, no clock and not the contents of the answers. The core calls PollDue several times a second, at
// most maxCheckInterval apart, and reports the outcome of each poll with Answered or Failed. Times are monotime.Micros.
//
// Invariant: however many balancers there are, each polls so soon after a failure that the answer can arrive before the
// balancer must stop acting on an older list. A failure does not show whether discovery is unavailable or has too many
// callers. A retry cycle therefore becomes too long for this only after failures have persisted for some time, and not
// if discovery was seen to answer quickly enough for all balancers.
//
// A process that has just started holds a list of unknown age. Once it has requests to place, it polls within
// confirmationTime of its start, before any entry of that list can have been outdated for Grace. After that time it
// places no request until discovery has answered, or the poll has failed or has been in flight for confirmationTimeout.
package polling
