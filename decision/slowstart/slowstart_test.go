package slowstart

import (
	"testing"

	"spurspread/decision/monotime"
)

// Grants of a warming server expire after two more slots, unused grants don't accumulate, and a debt is repaid from the
// next grants.
func TestGrantAvailable(t *testing.T) {
	single := Fleet{Balancers: 1, Zones: 1, SameZone: true}
	const quota = SlotsPerWindow / sameZoneFraction // one grant a slot
	var b Budget
	for slot := range int64(40) {
		if !b.GrantAvailable(slot, quota, single) || b.GrantsLeft > grantLifetime {
			t.Fatalf("%v grants left in slot %d, want at most %v: each slot grants one and none was used",
				b.GrantsLeft, slot, grantLifetime)
		}
	}
	b.Spend(true, 9, 2, 1)
	if b.GrantsLeft != -1.5 || b.GrantAvailable(40, quota, single) || b.GrantAvailable(41, quota, single) ||
		b.GrantsLeft != 0.5 {
		t.Fatalf("%v grants left in slot 41 after a debt of 1.5 in slot 39, want 0.5, none available", b.GrantsLeft)
	}
	if !b.GrantAvailable(42, quota, single) || b.GrantsLeft != 1.5 {
		t.Fatalf("%v grants left once the debt is repaid, want 1.5", b.GrantsLeft)
	}
	b.Spend(true, 9, 2, 1)
	if b.GrantAvailable(50, quota, single); b.GrantsLeft <= 0 || b.GrantsLeft > grantLifetime {
		t.Fatalf("%v grants left after a debt of 3 was repaid in slots without a request, want more than 0, at most %v",
			b.GrantsLeft, grantLifetime)
	}
	b.Spend(true, 1000, 1, 1)
	if b.GrantAvailable(1000, quota, single) || b.GrantsLeft > -700 {
		t.Fatalf("%v grants left after a debt larger than one call repays, want at most -700", b.GrantsLeft)
	}
	if b.ResetGrants(); !b.GrantAvailable(0, quota, single) || b.GrantsLeft != 1 {
		t.Fatalf("%v grants left after a restart, want 1", b.GrantsLeft)
	}
}

// Slots are counted from the server's start, and a time before the start is in slot 0.
func TestSlotAt(t *testing.T) {
	for now, want := range map[monotime.Micros]int64{900: 0, 1000: 0, 1249: 0, 1250: 1, 2499: 5} {
		if slot, began := SlotAt(now, 1000, 1000); slot != want || began != 1000+monotime.Micros(want)*250 {
			t.Errorf("at %d: slot %d, which began at %d, want slot %d", now, slot, began, want)
		}
	}
}

// A warm server's tokens are refilled at its part of the rate, up to a burst or to a higher price.
func TestRefill(t *testing.T) {
	const second, hour = monotime.Second, 3600 * monotime.Second
	var b Budget
	b.Refill(0, 0.5, 1)
	b.Refill(second, 0.5, 1)
	if b.Tokens != Rate/2 {
		t.Fatalf("%v tokens after a second, want %v", b.Tokens, Rate/2)
	}
	if b.Refill(hour, 0.5, 1); b.Tokens != Burst/2 {
		t.Fatalf("%v tokens after an hour, want %v", b.Tokens, Burst/2)
	}
	if b.CapTokens(0.25); b.Tokens != Burst/4 {
		t.Fatalf("%v tokens after CapTokens(0.25), want %v", b.Tokens, Burst/4)
	}
	b.Spend(false, 2, 1, 100)
	if b.Tokens != 0 {
		t.Fatalf("%v tokens after spending more than there were, want 0", b.Tokens)
	}
	if b.Refill(2*hour, 0.05, 2.5); b.Tokens != 2.5 {
		t.Fatalf("%v tokens if one connection costs 2.5, want 2.5", b.Tokens)
	}
}
