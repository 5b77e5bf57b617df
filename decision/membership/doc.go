// Package membership detects failures and disseminates membership among the balancers of one zone, as SWIM does it
// with the additions of Lifeguard: which members are alive, suspected, dead or gone, under which incarnation and
// since when, as one member sees it.
//
// A Fleet is one member's state machine. Its owner hands it the time (Tick), decoded messages whose sender is
// authenticated (Receive) and a planned departure (Leave), and sends the messages that it returns. It has no sockets,
// no clock and no randomness but its seed, it must not know how messages are encoded, and all that it holds is
// bounded. It is for one goroutine.
//
// The invariant: a member is declared dead only by those whose own probes of it failed, at the end of a suspicion of
// at least MinSuspicionTimeout that maxRequiredReports members confirmed (or as many as there are), or while it still
// sends messages and reports the observer dead; all others learn it from them. An update of a member about itself
// under a newer incarnation overrides updates of others about an older one, but a member that was declared dead by
// the observer's own probes has to answer one of its pings first.
package membership
