// Package upstreampool decides about multiplexed upstream connections, which carry the channels of many clients to one
// server: how many a server has, which one a new channel takes, when one more is opened ahead of need, when an idle one
// is closed, and what is remembered of servers that can't be reached or understand plain lines only.
//
// It does not know sockets, clocks, channels' contents or which server is best. The socket side asks Acquire for
// each new channel and OpenAhead afterwards, opens and closes what they and IdleConnections return, and reports
// what became of it. Times are monotime.Micros.
//
// Invariant: no connection carries more channels than its limit, no server and no balancer has more connections than
// theirs, at most one connection to a server is being opened at a time, and after a failure none before its backoff is
// over. State is bounded by the limits and by the servers that are not forgotten.
package upstreampool
