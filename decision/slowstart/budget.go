package slowstart

import "spurspread/decision/monotime"

// Rates and limits for a server of mean size, in connections; the core scales them by the server's size.
const (
	// WarmUpRate is the rate, in connections a second, that a server can take once it is warm. The budget of a server
	// that is warming up is derived from it.
	WarmUpRate = 3.8
	// Rate is the rate, in connections a second, at which all balancers together send connections to a warm server if
	// each uses an equal share. With more than 1/MinFleetShare balancers, their shares add up to more.
	Rate = 10.5
	// Burst is the number of connections that they send it at once, under the same condition.
	Burst = 24.0
	// MinFleetShare is the smallest share of Rate and Burst that a balancer has, however many there are. With less, one
	// of many balancers could not place the clients that reconnect to it.
	MinFleetShare = 1 / 3.
	// StartupTokens is the number of tokens that a balancer has for each server when it starts, until a server reports
	// that it is slow.
	StartupTokens = 18
)

// Budget limits the connections that this balancer may send one server.
type Budget struct {
	// NextSlot is the first slot of the server's warm-up whose grants have not been added yet.
	NextSlot int64
	// GrantsLeft is the number of unused grants; below 0 if connections took more work than was granted.
	GrantsLeft float64
	// GrantsBySlot holds the numbers of grants that were added in the present slot and in the slots before, the present
	// one first.
	GrantsBySlot [grantLifetime]float64
	// Tokens is the number of connections that a warm server may be sent now.
	Tokens float64
	// RefilledAt is when Tokens was last refilled.
	RefilledAt monotime.Micros
}

// Refill adds the tokens of a warm server since the last call. scale is the server's size as a multiple of the mean
// size, times this balancer's share of the fleet. price is the number of tokens that the next connection costs (the
// core's admission cost). The bucket always holds at least that many, so that a high price delays a connection but
// never rules it out.
func (b *Budget) Refill(now monotime.Micros, scale, price float64) {
	burst := max(Burst*scale, price)
	if b.Tokens < burst {
		b.Tokens = min(b.Tokens+Rate*scale*float64(now-b.RefilledAt)/float64(monotime.Second), burst)
	}
	b.RefilledAt = now
}

// Spend charges a connection to the budget: to the grants if the server is warming up, otherwise to its tokens. work is
// the connection's work as a multiple of the mean, but at least 1; perGrant is the work that one grant covers, in the
// same unit, which is the mean of work over all connections; price is the number of tokens that a connection of work 1
// costs.
func (b *Budget) Spend(warmingUp bool, work, perGrant, price float64) {
	if warmingUp {
		b.GrantsLeft -= work / perGrant
	} else {
		b.Tokens = max(b.Tokens-work*price, 0)
	}
}

// CapTokens discards the tokens beyond Burst times scale. The core calls it after any server has reported that it is
// slow: from then on, StartupTokens are more than servers can handle.
func (b *Budget) CapTokens(scale float64) { b.Tokens = min(b.Tokens, Burst*scale) }
