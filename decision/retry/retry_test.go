package retry

import (
	"spurspread/decision/monotime"
	"testing"

	"pgregory.net/rapid"
)

// A ten-line model of the protocol's rule, in its own words: what has run is repeated only where its class says, and a
// refusal is given only where any repeat is discarded or harmless.
func model(r Policy, ran bool, age monotime.Micros, same func(DedupScope) bool) (allowed, harmless bool) {
	switch {
	case !ran || r.Idempotency == Idempotent:
		return true, true
	case r.Idempotency == NonIdempotent:
		return false, false
	}
	return age < r.DedupWindow-deliveryMargin && same(r.DedupScope), r.DedupScope == ScopeAll
}

func TestAgainstTheModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := Policy{
			Idempotency: Idempotency(
				rapid.IntRange(0, 2).Draw(t, "effect"),
			), DedupScope: DedupScope(rapid.IntRange(0, 2).Draw(t, "scope")),
			DedupWindow: monotime.Micros(rapid.Int64Range(0, 1_000_000).Draw(t, "window")),
		}
		place := func(name string) Location {
			return Location{
				Zone: rapid.Uint8Range(0, 1).Draw(t, name+" zone"),
				Cell: rapid.Uint16Range(0, 2).Draw(t, name+" cell"),
			}
		}
		var p AttemptHistory
		first, at := monotime.Micros(rapid.Int64Range(0, 1_000_000).Draw(t, "first")), place("first")
		ran := rapid.Bool().Draw(t, "ran")
		if ran {
			p.RecordAttempt(first, at)
			// which moves nothing
			p.RecordAttempt(first+monotime.Micros(rapid.Int64Range(0, 1_000_000).Draw(t, "second")), place("second"))
		}
		age, to := monotime.Micros(rapid.Int64Range(0, 2_000_000).Draw(t, "age")), place("to")
		same := func(s DedupScope) bool {
			return s == ScopeAll || s == ScopeZone && to.Zone == at.Zone || s == ScopeCell && to.Cell == at.Cell
		}
		allowed, harmless := model(r, ran, age, same)
		if got := r.RetryAllowedAt(&p, first+age, to); got != allowed {
			t.Fatalf("%+v %+v: allows %v", r, p, got)
		}
		if got := r.ClientRetrySafe(p.MayHaveExecuted()); got != harmless {
			t.Fatalf("%+v %+v: harmless %v", r, p, got)
		}
		if r.RetryForbidden(&p, first+age) && r.RetryAllowedAt(&p, first+age, to) {
			t.Fatalf("%+v %+v: spent and allowed", r, p)
		}
		if until, bound := r.RetryDeadline(&p); bound && until > first+r.DedupWindow-deliveryMargin {
			t.Fatalf("%+v %+v: until %d", r, p, until)
		}
	})
}
