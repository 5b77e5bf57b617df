package fleetsize

import (
	"math"
	"testing"

	"spurspread/decision/monotime"
)

const start = 1000 * monotime.Second

// Returning clients cost more while a part of the fleet is missing, each once, and only while they are expected.
func TestChargeReconnect(t *testing.T) {
	e := New(start)
	e.Update(start, 10)
	e.ExpectReconnect()
	if p := e.ChargeReconnect(); p != 1 {
		t.Fatalf("price %v while the fleet is complete, want 1", p)
	}
	e.Update(start+monotime.Second, 5)
	e.ExpectReconnect()
	e.ExpectReconnect()
	prices := [3]float64{e.ChargeReconnect(), e.ChargeReconnect(), e.ChargeReconnect()}
	if !e.Reduced() || prices != [3]float64{reconnectPrice, reconnectPrice, 1} {
		t.Fatalf("reduced %v, prices %v, want true and two reconnects at %v", e.Reduced(), prices, reconnectPrice)
	}
	e.ExpectReconnect()
	if e.Update(start+12*monotime.Second, 5); e.ChargeReconnect() != 1 {
		t.Fatal("reconnect charged after the expected reconnects have decayed")
	}
}

// A part of the fleet that stays missing is forgotten within a minute: the rest counts as complete then.
func TestMissingPartIsForgotten(t *testing.T) {
	e, now := New(start), monotime.Micros(start)
	e.Update(now, 10)
	for range 120 {
		now += 500 * monotime.Millisecond
		e.Update(now, 6)
	}
	if e.Reduced() || math.Abs(e.PresentFraction()-1) > 1e-9 {
		t.Fatalf("present fraction %v, want 1 and not reduced", e.PresentFraction())
	}
}
