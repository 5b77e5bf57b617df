// Package membership implements failure detection and membership dissemination among the balancers of one zone. It
// maintains one member's view of the zone: which members are alive, suspected, dead or departed, under which
// incarnation and since when.
//
// The protocol belongs to the SWIM and Lifeguard family (pings, indirect pings, suspicion, incarnations, piggybacked
// updates) and differs from memberlist in four points: each member is probed by fixed watchers on hash rings instead of
// at random; a suspicion requires failure reports from several members; the suspicion timeout is fixed instead of being
// shortened by confirmations; and local health is binary (an Unhealthy member reports no failures for now) instead of a
// multiplier.
//
// A Fleet is one member's state machine. Its owner passes in the time (Tick), decoded messages from authenticated
// senders (Receive) and a planned departure (Leave), and sends the messages that these calls return. A Fleet uses no
// sockets, no clock and no randomness other than its seed, does not depend on how messages are encoded, and bounds all
// its state. It is not safe for concurrent use.
//
// Invariant: a member is declared dead only by observers whose own probes of it failed. They do so at the end of a
// suspicion (MinSuspicionTimeout from suspicionStart) that was confirmed by maxRequiredReports members (or by all
// members able to report, if there are fewer), or as soon as the member, while still sending messages, reports the
// observer dead. All other members learn of the death from those observers. An update by a member about itself under a
// newer incarnation overrides updates by others about an older one, except that a member declared dead by the
// observer's own probes must first answer one of the observer's pings.
package membership
