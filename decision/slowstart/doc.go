// Package slowstart limits the rate at which one balancer sends connections to one server. The effect of too many
// connections on a server shows only a second or two later, so clients that reconnect all at once are admitted at a
// limited rate:
//
//   - to a server that has warmed up, by a token bucket per balancer (Refill, Tokens);
//   - to a server that is still warming up, by grants (GrantAvailable). The fleet's budget for each slot of time is
//     dealt out as grants by a sequence that every balancer computes alike, so that the grants of the fleet add up to
//     the budget without any message between balancers.
//
// It knows the fleet only as the numbers in Fleet, and has no clock, no random source and no requests. The core keeps
// one Budget per server, consults it before each attempt and charges each attempt with Spend. Times are
// monotime.Micros.
//
// Invariant: in any window of time, whichever balancers have requests, all of them together use at most the grants of
// SlotsPerWindow + grantLifetime slots, unless requests take more work than a grant covers.
package slowstart
