// Package retry is the retry policy: it decides what may still be done with a request of which an attempt may have
// run, whether, where and until when it may be sent again, and whether its client may be told that a repeat is
// harmless. It knows the effects of classes and the places of servers, and nothing of sockets, of which server is
// best, or of any clock; times are microseconds.
//
// Invariant: no effect is brought about twice, by this balancer or by a client that it told to come again.
package retry

import "spurspread/decision/monotime"

// Idempotency says what repeating a request of a class may do.
type Idempotency uint8

// The effects: a Safe request may be repeated freely, a Keyed one only to the group of servers that discards its
// repeats, an Unsafe one only when no earlier attempt can have run.
const (
	Idempotent Idempotency = iota
	IdempotentWithKey
	NonIdempotent
)

// DedupScope is the group of servers that discards the repeats of a keyed request.
type DedupScope uint8

// The scopes of a keyed class.
const (
	ScopeAll DedupScope = iota
	ScopeZone
	ScopeCell
)

// deliveryMargin is how long before the end of the window a repeat must have been written: it still has to reach its server,
// across sites, whose clock counts.
const deliveryMargin = 20_000

// Policy is what a class says of repeats.
type Policy struct {
	Idempotency Idempotency
	DedupScope  DedupScope
	// how long a keyed request's repeats are discarded, from the first attempt that may have run
	DedupWindow monotime.Micros
}

// Location is where a server stands.
type Location struct {
	Zone uint8
	Cell uint16
}

// AttemptHistory is what a request's attempts may have done. The zero Past is that of one that has not run.
type AttemptHistory struct {
	mayHaveExecuted bool
	firstSentAt     monotime.Micros
	location        Location
}

// RecordAttempt notes an attempt that may have run, sent then to a server there. Only the first counts.
func (p *AttemptHistory) RecordAttempt(at monotime.Micros, place Location) {
	if !p.mayHaveExecuted {
		*p = AttemptHistory{mayHaveExecuted: true, firstSentAt: at, location: place}
	}
}

// MayHaveExecuted tells whether any attempt may have.
func (p *AttemptHistory) MayHaveExecuted() bool { return p.mayHaveExecuted }

// RetryDeadline is when a repeat must have been written at the latest; bound is false where time does not matter.
func (r Policy) RetryDeadline(p *AttemptHistory) (until monotime.Micros, bound bool) {
	return p.firstSentAt + r.DedupWindow - deliveryMargin, p.mayHaveExecuted && r.Idempotency == IdempotentWithKey
}

// RetryForbidden tells that no server may have the request any more.
func (r Policy) RetryForbidden(p *AttemptHistory, now monotime.Micros) bool {
	until, bound := r.RetryDeadline(p)
	return p.mayHaveExecuted && r.Idempotency == NonIdempotent || bound && now >= until
}

// RetryAllowedAt tells whether a server there may have the request now.
func (r Policy) RetryAllowedAt(p *AttemptHistory, now monotime.Micros, at Location) bool {
	switch {
	case r.RetryForbidden(p, now):
		return false
	case !p.mayHaveExecuted || r.Idempotency != IdempotentWithKey || r.DedupScope == ScopeAll:
		return true
	}
	if r.DedupScope == ScopeCell {
		return at.Cell == p.location.Cell
	}
	return at.Zone == p.location.Zone
}

// ClientRetrySafe tells whether a client may be told to come again: unsure says that an attempt may have run, or may yet.
func (r Policy) ClientRetrySafe(unsure bool) bool {
	return !unsure || r.Idempotency == Idempotent || r.Idempotency == IdempotentWithKey && r.DedupScope == ScopeAll
}
