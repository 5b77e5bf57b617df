// Package proxy is the data plane of one balancer: it accepts downstream connections, forwards each request to an
// upstream server, and then forwards lines in both directions for as long as the connection lives.
//
// It turns what happens on sockets into events of the decision core and carries out the core's actions. It owns
// sockets, buffers and timers and holds no rule of its own: whom to choose, reject, retry, move or give up is decided
// by package decision and the packages below it, none of which knows this one.
//
// All of it runs on the goroutine of one event loop; only New, before the loop runs, may be called from elsewhere. Each
// part has one owner, and Proxy connects them:
//
//   - listener: the listening socket, and the downstream connections on which no request depends
//   - requestTable: the requests, from the first line to the end of the connection
//   - serverDirectory: service discovery and the server list
//   - latencyTable: how long each server takes to answer messages
//   - muxUpstreams: the upstream connections that several requests share
//   - drain: a planned stop, a hot restart, a lame duck
//   - resumption: streams that continue elsewhere with a token
//   - bufferLimits: read buffers and what may be kept for slow readers
//   - dispatcher: the queue of events for the decision core
//
// A downstream connection (downstreamConn, or downstreamChannel where it is multiplexed) gives rise to a request; a
// request has at most one attempt at a time; an attempt has an upstream connection of its own or a channel
// (upstreamChannel) of a shared one. The states of a request are in request_state.go.
package proxy
