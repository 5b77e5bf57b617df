// Package membership detects failures and disseminates membership among the balancers of one zone: which members are
// alive, suspected, dead or gone, under which incarnation and since when, as one member sees it.
//
// It is of the family of SWIM and Lifeguard (pings, indirect pings, suspicion, incarnations, piggybacked updates) and
// differs from memberlist in four points: each member is probed by fixed watchers on rings rather than at random; a
// suspicion needs the reports of several members; its timeout is fixed, not shortened by confirmations; and local
// health is a yes or no (Unhealthy: this member reports no failures for now), not a multiplier.
//
// A Fleet is one member's state machine. Its owner hands it the time (Tick), decoded messages whose sender is
// authenticated (Receive) and a planned departure (Leave), and sends the messages that it returns. It has no sockets,
// no clock and no randomness but its seed, it must not know how messages are encoded, and all that it holds is
// bounded. It is for one goroutine.
//
// The invariant: a member is declared dead only by those whose own probes of it failed, at the end of a suspicion
// (MinSuspicionTimeout from suspicionStart) that maxRequiredReports members confirmed (or as many as there are), or
// while it still sends messages and reports the observer dead; all others learn it from them. An update of a member
// about itself under a newer incarnation overrides updates of others about an older one, but a member that was
// declared dead by the observer's own probes has to answer one of its pings first.
package membership
