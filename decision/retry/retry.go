// Package retry is the policy for requests that may already have been executed: whether another attempt may be sent, to
// which servers and until when, and whether the client may be invited to retry.
//
// It knows how idempotent a request class is and where servers are located. It does not know sockets, clocks, the retry
// budget, or which server is best; the core combines its verdicts with those. The core keeps one AttemptHistory per
// request and consults the Policy of the request's class before each attempt and each rejection.
//
// Invariant: no request takes effect twice, neither by a retry of this balancer nor by a retry that it invited a client
// to make.
package retry

import "spurspread/decision/monotime"

// Idempotency is the effect of executing a request of a class more than once.
type Idempotency uint8

const (
	// Idempotent requests may be executed any number of times, on any servers.
	Idempotent Idempotency = iota
	// IdempotentWithKey requests carry an idempotency key, by which the servers of one DedupScope discard duplicates
	// for a while.
	IdempotentWithKey
	// NonIdempotent requests take effect each time: after an attempt that may have been executed, none may follow.
	NonIdempotent
)

// DedupScope is the set of servers that share idempotency keys, and so discard each other's duplicates.
type DedupScope uint8

const (
	// ScopeAll is all servers.
	ScopeAll DedupScope = iota
	// ScopeZone is the servers of one zone.
	ScopeZone
	// ScopeCell is the servers of one cell.
	ScopeCell
)

// deliveryMargin is the time before the end of the deduplication window by which the last retry must have been written.
// The window ends by the clock of a server that may be in another site, and the retry still has to travel there.
const deliveryMargin = 20 * monotime.Millisecond

// Policy is the retry policy of a request class.
type Policy struct {
	Idempotency Idempotency
	// DedupScope is the scope in which duplicates are discarded. It is used with IdempotentWithKey only.
	DedupScope DedupScope
	// DedupWindow is the time for which duplicates are discarded, from the first attempt that may have been executed.
	// It is used with IdempotentWithKey only. A longer window allows later retries, and costs the servers memory.
	DedupWindow monotime.Micros
}

// Location is the place where a server runs.
type Location struct {
	Zone uint32
	Cell uint64
}

// AttemptHistory records the effect that the attempts of one request may have had. The zero value is the history of a
// request that has certainly not been executed.
type AttemptHistory struct {
	mayHaveExecuted bool
	firstSentAt     monotime.Micros
	location        Location
}

// RecordAttempt records that an attempt, sent at sentAt to a server at that location, may have been executed. Only the
// first such attempt counts, because the deduplication window begins with it.
func (h *AttemptHistory) RecordAttempt(sentAt monotime.Micros, server Location) {
	if h.mayHaveExecuted {
		return
	}
	*h = AttemptHistory{mayHaveExecuted: true, firstSentAt: sentAt, location: server}
}

// MayHaveExecuted reports whether any attempt may have been executed.
func (h *AttemptHistory) MayHaveExecuted() bool { return h.mayHaveExecuted }

// RetryDeadline returns the time by which a retry must have been written: deliveryMargin before the deduplication
// window ends. bounded is false, and the deadline meaningless, if there is no such limit, because the request can't
// have been executed or because its duplicates are not discarded by a key.
func (p Policy) RetryDeadline(history *AttemptHistory) (deadline monotime.Micros, bounded bool) {
	deadline = history.firstSentAt + p.DedupWindow - deliveryMargin
	bounded = history.mayHaveExecuted && p.Idempotency == IdempotentWithKey
	return deadline, bounded
}

// RetryForbidden reports whether the request must not be sent to any server any more: it may have been executed, and
// either is not idempotent or its RetryDeadline has passed.
func (p Policy) RetryForbidden(history *AttemptHistory, now monotime.Micros) bool {
	if history.mayHaveExecuted && p.Idempotency == NonIdempotent {
		return true
	}
	deadline, bounded := p.RetryDeadline(history)
	return bounded && now >= deadline
}

// RetryAllowedAt reports whether the request may be sent now to a server at this location. It may not if
// RetryForbidden. Otherwise, a request with a key that may have been executed must stay within its deduplication scope,
// because servers outside of it would execute it again.
func (p Policy) RetryAllowedAt(history *AttemptHistory, now monotime.Micros, server Location) bool {
	if p.RetryForbidden(history, now) {
		return false
	}
	return p.SharesKeys(history, server)
}

// SharesKeys is RetryAllowedAt for a caller that has checked RetryForbidden itself. It returns false only if the
// request has a key, may have been executed, and a server at this location would not discard the duplicate.
func (p Policy) SharesKeys(history *AttemptHistory, server Location) bool {
	if !history.mayHaveExecuted || p.Idempotency != IdempotentWithKey {
		return true
	}
	return p.sameDedupScope(history.location, server)
}

// sameDedupScope reports whether servers at both locations discard each other's duplicates.
func (p Policy) sameDedupScope(a, b Location) bool {
	switch p.DedupScope {
	case ScopeAll:
		return true
	case ScopeCell:
		return a.Cell == b.Cell
	default:
		return a.Zone == b.Zone
	}
}

// ClientRetrySafe reports whether the client may be invited to retry, as a rejection does. mayHaveExecuted says that an
// attempt may have been executed, or may still be. The client's retry can reach any server at any time, so after such
// an attempt it is safe only if duplicates are harmless or discarded everywhere.
func (p Policy) ClientRetrySafe(mayHaveExecuted bool) bool {
	if !mayHaveExecuted || p.Idempotency == Idempotent {
		return true
	}
	return p.Idempotency == IdempotentWithKey && p.DedupScope == ScopeAll
}
