// Package proxy is the data plane of one balancer: it accepts client connections, forwards each request to a server,
// and then forwards lines in both directions until either side closes the connection.
//
// It translates socket events into events of the decision core and carries out the core's actions. It owns sockets,
// buffers and timers but makes no decisions: which server to choose and what to reject, retry, move or close is
// decided by package decision and its subpackages, none of which imports this one.
//
// Everything runs on the goroutine of one event loop; only New, before the loop runs, may be called from elsewhere.
// Proxy connects these components:
//
//   - listener: the listening socket, and the idle, lingering and multiplexed downstream connections; a plain
//     connection that carries a request belongs to that request
//   - requestTable: the requests, from the first line to the end of the connection
//   - serverDirectory: service discovery and the server list
//   - latencyTable: the message latency of each server, which is the time that it takes to answer a line
//   - muxUpstreams: the multiplexed upstream connections, which several requests share
//   - drain: planned stops, hot restarts and lame-duck mode
//   - resumption: streams that a client can resume on another connection with a token
//   - bufferLimits: the read buffers, and the limit on buffered data for slow readers
//   - dispatcher: the event queue of the decision core
//
// A downstream connection (downstreamConn), or each channel of a multiplexed one (downstreamChannel), carries one
// request. A request has at most one attempt at a time, and an attempt uses either a dedicated upstream connection or a
// channel (upstreamChannel) of a multiplexed one. request_state.go lists the states of a request.
package proxy
