// Package upstreampool manages multiplexed upstream connections, which carry the channels of many clients to one
// server. It decides how many connections a server has, which one a new channel takes, when one more is opened ahead of
// need and when an idle one is closed. It remembers which servers can't be reached, and which understand plain lines
// only: a server of the latter kind needs a connection for each client.
//
// It does not know sockets, clocks, the contents of channels or which server is best. The proxy calls Acquire for each
// new channel and OpenAhead afterwards, opens and closes connections as they and IdleConnections say, and reports the
// outcome. Times are monotime.Micros.
//
// Invariant: no connection has more channels than the limit, no server and no balancer has more connections than its
// limit, at most one connection to a server is being opened at a time, and after a failure none is opened before the
// backoff is over. State is bounded by the limits and by the servers that are not forgotten.
package upstreampool
