// Package decision is the core of the balancer for long-lived connections. It decides where each request goes, when it
// is retried, held, rejected or failed, which servers are trusted, when connections move to another server, and when
// discovery and servers are polled.
//
// The core is a state machine: events in, actions out. The caller creates one Balancer with New, passes each event
// to Balancer.Handle together with the time, and carries out the returned actions in their order. For every
// StartAttempt it reports Established and, exactly once, AttemptEnded; for every ProbeServer one ProbeResult; for
// every SetTimer one TimerFired with the same token. Each request gets at most one final answer: a Reject, a Fail,
// or its connection.
//
// A Balancer is not safe for concurrent use: one goroutine, usually the event loop, owns it. Handle does no I/O, never
// blocks, starts no goroutine and reads no clock; its random numbers come from the seed that New is given. The same
// seed and the same events at the same times therefore give the same actions. Times are Micros on the caller's
// monotonic clock; a time may never be before that of the event handled last.
//
// State grows with the number of servers that discovery has ever listed and with the number of requests that have not
// ended. Settings.MaxHeldRequests bounds the latter; the caller enforces it before it passes a Request on. Nothing is
// kept across a restart: connections that outlive the process are passed in again as ExistingConnection.
//
// The package imports only its own policy packages (retry, concurrency, slowstart, latency, serverload, fleetsize,
// polling), which know neither this package nor each other. It must not know sockets, files, clocks or the wire.
package decision
