package resume

import "spurspread/decision/outcome"

// Validator belongs to a balancer. It validates tokens as they arrive, before a server is involved, and decides how the
// end of an attempt affects its client. A new one, or one that has lost its state, is as safe as any other, because the
// server's Registry makes the final decision.
//
// After each Claim that is Accepted, the caller must call Established and then Closed, or one of Release, AttemptFailed
// and RejectedByServer.
type Validator struct {
	// Verdicts counts the verdicts by Reason since the start; Accepted counts the accepted claims.
	Verdicts [reasonCount]int

	skew   UnixMillis
	claims claimTable
}

// NewValidator returns a validator that holds at most maxClaims tokens (the site file's default is 16384, of some 150
// bytes each; a full one rejects new tokens). skew is the largest difference between clocks (default 2 s); a larger one
// accepts tokens from balancers whose clocks are further ahead.
func NewValidator(skew UnixMillis, maxClaims int) *Validator {
	return &Validator{skew: skew, claims: newClaimTable(maxClaims)}
}

// ListedServer is the entry in the balancer's server list of the server that a token names.
type ListedServer struct {
	Ready     bool // also false if it is not listed
	StartedAt UnixMillis
}

// SetLimits changes the arguments of NewValidator. Existing claims stay.
func (v *Validator) SetLimits(skew UnixMillis, maxClaims int) {
	v.skew = skew
	v.claims.limit = maxClaims
}

// Claim decides whether a token may be sent on to the server that it names: it is valid now and for this request, the
// server is ready and has not restarted since, and no other attempt has used the token. The verdict is counted.
func (v *Validator) Claim(now UnixMillis, grant *Grant, request *StreamRequest, server ListedServer) Reason {
	verdict := grant.checkRequest(now, v.skew, request)
	if verdict == Accepted && !server.inRunOf(grant) {
		verdict = ServerGone
	}
	if verdict == Accepted {
		verdict = v.claims.claim(now, grant)
	}
	v.Verdicts[verdict]++
	return verdict
}

// inRunOf reports whether a server is ready and in the run that a grant names.
func (s ListedServer) inRunOf(grant *Grant) bool {
	return s.Ready && s.StartedAt == grant.ServerStartedAt
}

// Reject counts a rejection and returns its reason.
func (v *Validator) Reject(reason Reason) Reason {
	v.Verdicts[reason]++
	return reason
}

// Established records that an attempt with the token was established.
func (v *Validator) Established(id ID) { v.claims.advance(id, stateLive) }

// Closed records that an established connection with the token has ended. The token is used up.
func (v *Validator) Closed(id ID) { v.claims.advance(id, stateUsed) }

// Release records that the request ended without an attempt: its client left, or it was rejected. The token may be
// presented again.
func (v *Validator) Release(id ID) { v.claims.release(id) }

// AttemptFailed ends the claim of an attempt that was not established, and returns the reason to send to its client.
// Accepted means that the token may be presented again after a while, because the server certainly did not execute the
// attempt. requestSent says that the last byte of the request was written to the server.
func (v *Validator) AttemptFailed(id ID, status outcome.Status, requestSent bool) Reason {
	switch status {
	case outcome.ServerFull, outcome.Inconclusive:
		v.claims.release(id)
		return Accepted
	case outcome.ConnectFailed:
		// The attempt was not executed, but the server that could accept the token is unreachable, so the client should
		// not wait for it.
		v.claims.release(id)
		return v.Reject(Unreachable)
	case outcome.Cancelled:
		if !requestSent {
			v.claims.release(id)
			return Accepted
		}
	}
	v.claims.advance(id, stateUsed)
	return v.Reject(OutcomeUnknown)
}

// RejectedByServer records that the server itself rejected the token, which is final: the attempt was not executed and
// never will be.
func (v *Validator) RejectedByServer(id ID, reason Reason) Reason {
	v.claims.advance(id, stateUsed)
	return v.Reject(reason)
}

// Counts returns the numbers of pending, live and used tokens.
func (v *Validator) Counts() (pending, live, used int) {
	n := v.claims.counts()
	return n[statePending], n[stateLive], n[stateUsed]
}
