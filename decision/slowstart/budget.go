package slowstart

import "spurspread/decision/monotime"

// Limits of a server of mean size, in connections; the core scales them by the server's size.
const (
	// WarmUpRate is how many connections a second a server takes once warm, as the basis of its budget while it
	// warms up.
	WarmUpRate = 3.8
	// Rate is how many connections a second a server that is warm is sent by all balancers together, as far as each
	// has its equal part; with more than 1/MinFleetShare balancers their parts add up to more.
	Rate = 10.5
	// Burst is how many connections they send it at once, under the same condition.
	Burst = 24.0
	// MinFleetShare is the part of Rate and Burst that each balancer has at least, however many there are. With less,
	// one of many could not place the clients that reconnect to it.
	MinFleetShare = 1 / 3.
	// StartupTokens is how many tokens a balancer that has just started has for each server, until a server reports
	// that it is slow.
	StartupTokens = 18
)

// Budget is what this balancer may still send one server.
type Budget struct {
	// NextSlot is the next slot of the server's warm-up whose grants are to be added.
	NextSlot int64
	// GrantsLeft is how many grants are left; below 0 where connections took more work than was granted.
	GrantsLeft float64
	// GrantsBySlot is how many grants were added in the present slot and in those before, the present one first.
	GrantsBySlot [grantLifetime]float64
	// Tokens is how many connections a warm server may be sent now.
	Tokens float64
	// RefilledAt is when Tokens were refilled.
	RefilledAt monotime.Micros
}

// Refill adds the tokens of a warm server since the last call. scale is the server's size as a multiple of the mean
// size, times this balancer's part of the fleet. price is how many tokens the next connection costs: the bucket always
// holds as much, so that a high price delays a connection but never rules it out.
func (b *Budget) Refill(now monotime.Micros, scale, price float64) {
	burst := max(Burst*scale, price)
	if b.Tokens < burst {
		b.Tokens = min(b.Tokens+Rate*scale*float64(now-b.RefilledAt)/float64(monotime.Second), burst)
	}
	b.RefilledAt = now
}

// Spend charges a connection to the budget: to the grants of a server that is warming up, else to its tokens. work is
// what the connection takes, as a multiple of the least; perGrant is the work that one grant is for, the mean;
// price is how many tokens a connection of work 1 costs.
func (b *Budget) Spend(warmingUp bool, work, perGrant, price float64) {
	if warmingUp {
		b.GrantsLeft -= work / perGrant
	} else {
		b.Tokens = max(b.Tokens-work*price, 0)
	}
}

// CapTokens takes back the tokens over Burst times scale, after some server has reported that it is slow: what a
// balancer had for its start is more than servers can take then.
func (b *Budget) CapTokens(scale float64) { b.Tokens = min(b.Tokens, Burst*scale) }
