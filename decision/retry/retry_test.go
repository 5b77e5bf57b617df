package retry

import (
	"testing"

	"pgregory.net/rapid"

	"spurspread/decision/monotime"
)

// model is an independent statement of the protocol's rule: a request that may have been executed is retried only where
// its class allows that, and a client is invited to retry only if any duplicate is discarded or harmless.
func model(p Policy, executed bool, age monotime.Micros, same func(DedupScope) bool) (allowed, clientSafe bool) {
	switch {
	case !executed || p.Idempotency == Idempotent:
		return true, true
	case p.Idempotency == NonIdempotent:
		return false, false
	}
	return age < p.DedupWindow-deliveryMargin && same(p.DedupScope), p.DedupScope == ScopeAll
}

func drawMicros(t *rapid.T, most int64, name string) monotime.Micros {
	return monotime.Micros(rapid.Int64Range(0, most).Draw(t, name))
}

func drawLocation(t *rapid.T, name string) Location {
	return Location{
		Zone: rapid.Uint32Range(0, 1).Draw(t, name+" zone"),
		Cell: rapid.Uint64Range(0, 2).Draw(t, name+" cell"),
	}
}

func TestAgainstTheModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Policy{
			Idempotency: Idempotency(rapid.IntRange(0, 2).Draw(t, "idempotency")),
			DedupScope:  DedupScope(rapid.IntRange(0, 2).Draw(t, "scope")),
			DedupWindow: drawMicros(t, 1_000_000, "window"),
		}
		var history AttemptHistory
		firstSentAt, first := drawMicros(t, 1_000_000, "first"), drawLocation(t, "first")
		executed := rapid.Bool().Draw(t, "executed")
		if executed {
			history.RecordAttempt(firstSentAt, first)
			// A second attempt must not move the window.
			history.RecordAttempt(firstSentAt+drawMicros(t, 1_000_000, "second"), drawLocation(t, "second"))
		}
		age, next := drawMicros(t, 2_000_000, "age"), drawLocation(t, "next")
		now := firstSentAt + age
		same := func(s DedupScope) bool {
			sameZone, sameCell := next.Zone == first.Zone, next.Cell == first.Cell
			return s == ScopeAll || s == ScopeZone && sameZone || s == ScopeCell && sameCell
		}
		allowed, clientSafe := model(p, executed, age, same)
		if got := p.RetryAllowedAt(&history, now, next); got != allowed {
			t.Fatalf("%+v %+v: RetryAllowedAt = %v, want %v", p, history, got, allowed)
		}
		if got := p.ClientRetrySafe(history.MayHaveExecuted()); got != clientSafe {
			t.Fatalf("%+v %+v: ClientRetrySafe = %v, want %v", p, history, got, clientSafe)
		}
		if p.RetryForbidden(&history, now) && p.RetryAllowedAt(&history, now, next) {
			t.Fatalf("%+v %+v: retry both forbidden and allowed", p, history)
		}
		latest := firstSentAt + p.DedupWindow - deliveryMargin
		if deadline, bounded := p.RetryDeadline(&history); bounded && deadline > latest {
			t.Fatalf("%+v %+v: RetryDeadline = %d, want at most %d", p, history, deadline, latest)
		}
	})
}

// A request with a key that may have been executed is retried only at servers that share its keys.
func TestDedupScope(t *testing.T) {
	first := Location{Zone: 1, Cell: 1}
	sameCell, sameZone, otherZone := first, Location{Zone: 1, Cell: 2}, Location{Zone: 2, Cell: 1}
	for _, c := range []struct {
		scope   DedupScope
		server  Location
		allowed bool
	}{
		{ScopeAll, otherZone, true},
		{ScopeZone, sameCell, true},
		{ScopeZone, sameZone, true},
		{ScopeZone, otherZone, false},
		{ScopeCell, sameCell, true},
		{ScopeCell, sameZone, false},
	} {
		p := Policy{Idempotency: IdempotentWithKey, DedupScope: c.scope, DedupWindow: monotime.Second}
		var history AttemptHistory
		history.RecordAttempt(0, first)
		if got := p.RetryAllowedAt(&history, monotime.Millisecond, c.server); got != c.allowed {
			t.Errorf("scope %d, server at %+v: allowed %v, want %v", c.scope, c.server, got, c.allowed)
		}
	}
}
