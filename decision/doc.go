// Package decision is the core of the balancer for long-lived connections. It decides where each request is placed,
// when it is retried, held, rejected or failed, which servers are healthy, when connections move to another server, and
// when discovery and servers are polled.
//
// The core is a state machine: events in, actions out. The caller creates one Balancer with New, passes each event and
// its time to Balancer.Handle, and carries out the returned actions in order. In return it must report:
//
//   - for every StartAttempt, Established if the connection is established, and AttemptEnded exactly once;
//   - for every ProbeServer, one ProbeResult;
//   - for every SetTimer, one TimerFired with the same token.
//
// Each request gets one final answer, which is its connection, a Reject or a Fail, unless it is cancelled first.
//
// The rules are in files of their own: placement selects a server, admission decides whether a request is placed, held
// or answered, capacity limits new connections per server, retries limits attempts, health tracks which servers are
// healthy, load tracks their utilization, and rebalance moves established connections.
//
// A Balancer is not safe for concurrent use: one goroutine, usually the event loop, owns it. Handle does no I/O, never
// blocks, starts no goroutine and reads no clock. Its random numbers come from the seed passed to New, so the same seed
// and the same events at the same times give the same actions. Times are Micros on the caller's monotonic clock and
// must never decrease from one event to the next.
//
// State grows with the number of servers that discovery has ever listed and with the number of requests that have not
// ended. Settings.MaxHeldRequests bounds the latter; the caller enforces it before it passes a Request on. No state
// survives a restart: connections that outlive the process are passed in again as ExistingConnection.
//
// The package imports only its own subpackages: the policies (retry, concurrency, slowstart, latency, serverload,
// fleetsize, polling), which depend neither on this package nor on each other, and small helpers and value types. It
// must not depend on sockets, files, clocks or wire formats. The remaining subpackages, such as resume, drainorder or
// membership, hold decisions that other parts of the balancer make without the core.
package decision
