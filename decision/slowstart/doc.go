// Package slowstart limits how fast one balancer sends connections to one server. What too many connections do to a
// server shows only a second or two later, so clients that reconnect all at once are admitted at a rate:
//
//   - a server that has warmed up, by a token bucket per balancer (Refill, Tokens);
//   - a server that is still warming up, by grants. The fleet's budget for each slot of time is divided into grants by
//     a sequence that all balancers compute alike, each by itself, so that their sum over the fleet is the budget
//     without any message between them (GrantAvailable).
//
// It knows the fleet only as the numbers in Fleet, and no clock, no random source and no request. The core keeps one
// Budget per server, asks it before each attempt and charges each attempt with Spend. Times are monotime.Micros.
//
// Invariant: in any window of time, whatever balancers have requests, all of them together use at most the grants of
// SlotsPerWindow + grantLifetime slots, and exceed them only where requests take more than a grant is for.
package slowstart
