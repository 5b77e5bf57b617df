package resume

import "spurspread/decision/outcome"

// Gate is a balancer's part: it looks at tokens as they come in, before any server is asked, and tells what the ends
// of attempts mean for their clients. A gate that is new, or has lost what it knew, is as good as one that has not:
// the server that a token names has the last word.
type Gate struct {
	skew   Millis
	claims claims
	Told   [reasons]int // how many were refused, by reason, since the start
}

// NewGate returns a gate that remembers most tokens at once, for clocks that are at most skew apart.
func NewGate(skew Millis, most int) *Gate { return &Gate{skew: skew, claims: newClaims(most)} }

// Listed is what the balancer's route table says of the server that a token names.
type Listed struct {
	Ready   bool // listed as ready; what is not listed is not
	Started Millis
}

// Limit changes what the gate was made with. What it remembers stays.
func (g *Gate) Limit(skew Millis, most int) { g.skew, g.claims.max = skew, most }

// Present decides whether a token may be sent on to the server that it names. If it is Honoured, Withdrawn or Outcome
// tells what has become of it.
func (g *Gate) Present(now Millis, r *Right, l *Line, s Listed) Reason {
	why := r.check(now, g.skew, l)
	if why == Honoured && (!s.Ready || s.Started != r.Started) {
		why = Gone
	}
	if why == Honoured {
		why = g.claims.present(now, r)
	}
	return g.Refuse(why)
}

// Refuse counts a refusal, and returns it.
func (g *Gate) Refuse(why Reason) Reason {
	g.Told[why]++
	return why
}

// Up notes that an attempt stands.
func (g *Gate) Up(id ID) { g.claims.become(id, live) }

// Ended notes the end of a connection that stood.
func (g *Gate) Ended(id ID) { g.claims.become(id, spent) }

// Withdrawn notes that the request is over without an attempt: its client has left, or was refused. The token is as
// good as before.
func (g *Gate) Withdrawn(id ID) { g.claims.release(id) }

// Outcome takes how an attempt ended that did not come to stand, and tells what its client is to hear. Honoured means
// that the token is as good as before, and may be presented again after a while: the client is told BUSY. reached
// tells whether the first line's last byte was written.
func (g *Gate) Outcome(id ID, st outcome.Status, reached bool) Reason {
	switch st {
	case outcome.ServerFull, outcome.Inconclusive:
		g.claims.release(id)
		return Honoured
	case outcome.ConnectFailed:
		// It never ran, but with nobody there to honour the token, the client should not wait for it.
		g.claims.release(id)
		return g.Refuse(Unreachable)
	case outcome.Cancelled:
		if !reached {
			g.claims.release(id)
			return Honoured
		}
	}
	g.claims.become(id, spent)
	return g.Refuse(Unsure)
}

// Denied takes the refusal of the server itself, which is final: it never ran, and never will.
func (g *Gate) Denied(id ID, why Reason) Reason {
	g.claims.become(id, spent)
	return g.Refuse(why)
}

// Count tells how many tokens are presented, live and spent.
func (g *Gate) Count() (presented, live, spent int) {
	n := g.claims.count()
	return n[0], n[1], n[2]
}
