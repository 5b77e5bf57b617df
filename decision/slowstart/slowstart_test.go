package slowstart

import (
	"spurspread/decision/monotime"
	"testing"
)

// A cold server's grants lapse when two more slots are over, unused ones are not spent later together, and what it was
// sent too much is paid from the next ones.
func TestCold(t *testing.T) {
	only := Fleet{Balancers: 1, Zones: 1, SameZone: true}
	const quota = SlotsPerWindow / sameZonePart // one grant a slot
	var b Budget
	for slot := range int64(40) {
		if !b.GrantAvailable(slot, quota, only) || b.GrantsLeft > grantLifetime {
			t.Fatalf("%v left in slot %d, where each grants one and none was used", b.GrantsLeft, slot)
		}
	}
	b.Spend(true, 9, 2, 1)
	if b.GrantsLeft != -1.5 || b.GrantAvailable(40, quota, only) || b.GrantAvailable(41, quota, only) ||
		b.GrantsLeft != 0.5 {
		t.Fatalf("%v left after too much", b.GrantsLeft)
	}
	if !b.GrantAvailable(42, quota, only) || b.GrantsLeft != 1.5 {
		t.Fatalf("%v left once the debt is paid", b.GrantsLeft)
	}
	b.Spend(true, 9, 2, 1)
	if b.GrantAvailable(50, quota, only); b.GrantsLeft <= 0 || b.GrantsLeft > grantLifetime {
		t.Fatalf("%v left, where a debt of 3 was paid in slots in which nobody asked", b.GrantsLeft)
	}
	b.Spend(true, 1000, 1, 1)
	if b.GrantAvailable(1000, quota, only) || b.GrantsLeft > -700 {
		t.Fatalf("%v left of a debt longer than is repaid in one look", b.GrantsLeft)
	}
	if b.ResetGrants(); !b.GrantAvailable(0, quota, only) || b.GrantsLeft != 1 {
		t.Fatalf("%v left when it has begun anew", b.GrantsLeft)
	}
}

// Slots are counted from the server's start, and a clock that is behind counts none.
func TestSlot(t *testing.T) {
	for now, want := range map[monotime.Micros]int64{900: 0, 1000: 0, 1249: 0, 1250: 1, 2499: 5} {
		if slot, began := SlotAt(now, 1000, 1000); slot != want || began != 1000+monotime.Micros(want)*250 {
			t.Errorf("at %d slot %d, begun at %d", now, slot, began)
		}
	}
}

// A warm server is filled at its part of the rate, up to a burst; a price beyond that is met in time all the same.
func TestFill(t *testing.T) {
	var b Budget
	b.Refill(0, 0.5, 1)
	b.Refill(1_000_000, 0.5, 1)
	if b.Tokens != Rate/2 {
		t.Fatalf("%v after a second", b.Tokens)
	}
	if b.Refill(3_600_000_000, 0.5, 1); b.Tokens != Burst/2 {
		t.Fatalf("%v after an hour", b.Tokens)
	}
	if b.CapTokens(0.25); b.Tokens != Burst/4 {
		t.Fatalf("%v once a server is late", b.Tokens)
	}
	b.Spend(false, 2, 1, 100)
	if b.Tokens != 0 {
		t.Fatalf("%v after more than there was", b.Tokens)
	}
	if b.Refill(7_200_000_000, 0.05, 2.5); b.Tokens != 2.5 {
		t.Fatalf("%v where one costs 2.5", b.Tokens)
	}
}
