// Package resume decides about resume tokens, with which a client whose connection is moved continues its stream on
// another connection: whether a token that a client presents may be accepted, what the end of an attempt makes of it,
// and which reason a client gets whose token is rejected.
//
// It does not know sockets, clocks or keys: the opened token (Grant), the request and the time are arguments. Times are
// UnixMillis, of the wall clock, as tokens are issued and checked on different machines.
//
// A Registry is the part of the server that a token names, and has the last word. A Validator is the part of a
// balancer: it spares the server what is certainly rejected, and knows which reason the client gets. What a Validator
// loses never breaks the invariant.
//
// Invariant: at most one attempt with a token is ever live, anywhere, at any instant. It depends on one process alone,
// that of the server which the token names, in the very run that the token names: it holds both the claim and the
// stream, so that they end together. Whatever is not certain (the server has restarted, its clock has stepped, its
// table is full, an attempt may still be executed) rejects the token, and the client starts over without one.
package resume
