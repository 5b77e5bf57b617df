package resume

import "spurspread/decision/outcome"

// Validator is a balancer's part: it looks at tokens as they come in, before any server is asked, and tells what the ends
// of attempts mean for their clients. A gate that is new, or has lost what it knew, is as good as one that has not:
// the server that a token names has the last word.
type Validator struct {
	skew     UnixMillis
	claims   claimTable
	Rejected [reasonCount]int // how many were refused, by reason, since the start
}

// NewValidator returns a gate that remembers most tokens at once, for clocks that are at most skew apart.
func NewValidator(skew UnixMillis, most int) *Validator {
	return &Validator{skew: skew, claims: newClaimTable(most)}
}

// ListedServer is what the balancer's route table says of the server that a token names.
type ListedServer struct {
	Ready     bool // listed as ready; what is not listed is not
	StartedAt UnixMillis
}

// SetLimits changes what the gate was made with. What it remembers stays.
func (g *Validator) SetLimits(skew UnixMillis, most int) { g.skew, g.claims.limit = skew, most }

// Claim decides whether a token may be sent on to the server that it names. If it is Honoured, Withdrawn or Outcome
// tells what has become of it.
func (g *Validator) Claim(now UnixMillis, r *Grant, l *StreamRequest, s ListedServer) Reason {
	why := r.checkRequest(now, g.skew, l)
	if why == Accepted && (!s.Ready || s.StartedAt != r.ServerStartedAt) {
		why = ServerGone
	}
	if why == Accepted {
		why = g.claims.claim(now, r)
	}
	return g.Reject(why)
}

// Reject counts a refusal, and returns it.
func (g *Validator) Reject(why Reason) Reason {
	g.Rejected[why]++
	return why
}

// Established notes that an attempt stands.
func (g *Validator) Established(id ID) { g.claims.advance(id, stateLive) }

// Closed notes the end of a connection that stood.
func (g *Validator) Closed(id ID) { g.claims.advance(id, stateUsed) }

// Release notes that the request is over without an attempt: its client has left, or was refused. The token is as
// good as before.
func (g *Validator) Release(id ID) { g.claims.release(id) }

// AttemptFailed takes how an attempt ended that did not come to stand, and tells what its client is to hear. Honoured means
// that the token is as good as before, and may be presented again after a while: the client is told BUSY. reached
// tells whether the first line's last byte was written.
func (g *Validator) AttemptFailed(id ID, st outcome.Status, reached bool) Reason {
	switch st {
	case outcome.ServerFull, outcome.Inconclusive:
		g.claims.release(id)
		return Accepted
	case outcome.ConnectFailed:
		// It never ran, but with nobody there to honour the token, the client should not wait for it.
		g.claims.release(id)
		return g.Reject(Unreachable)
	case outcome.Cancelled:
		if !reached {
			g.claims.release(id)
			return Accepted
		}
	}
	g.claims.advance(id, stateUsed)
	return g.Reject(OutcomeUnknown)
}

// RejectedByServer takes the refusal of the server itself, which is final: it never ran, and never will.
func (g *Validator) RejectedByServer(id ID, why Reason) Reason {
	g.claims.advance(id, stateUsed)
	return g.Reject(why)
}

// Counts tells how many tokens are presented, live and spent.
func (g *Validator) Counts() (presented, live, spent int) {
	n := g.claims.counts()
	return n[0], n[1], n[2]
}
