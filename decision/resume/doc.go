// Package resume decides about resume tokens, by which a client whose connection is moved continues its stream on
// another connection: whether a token that a client presents may be accepted, how the end of an attempt affects the
// token, and for which reason a client's token is rejected.
//
// It does not know sockets, clocks or encryption keys: the decrypted token (Grant), the request and the time are
// arguments. Times are UnixMillis of the wall clock, as tokens are issued and checked on different machines.
//
// A Registry belongs to the server that a token names, and makes the final decision. A Validator belongs to a balancer:
// it rejects invalid tokens before they reach the server, and determines the reason that the client gets. Loss of a
// Validator's state never breaks the invariant.
//
// Invariant: at most one attempt with a token is ever live, anywhere, at any instant. This depends on a single process:
// the server that the token names, in the run that the token names. It holds both the claim and the stream, so that
// they end together. Whenever this is uncertain (the server has restarted, its clock has stepped, its table is full, an
// attempt may still be executed), the token is rejected, and the client starts over without one.
package resume
