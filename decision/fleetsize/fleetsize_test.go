package fleetsize

import (
	"math"
	"spurspread/decision/monotime"
	"testing"
)

const start = 1_000_000_000

// What comes back is dearer while a part of the fleet is out, each once, and as long as it may still come.
func TestReturned(t *testing.T) {
	f := New(start)
	f.Update(start, 10)
	f.ExpectReturn()
	if p := f.TakeReturn(); p != 1 {
		t.Fatalf("price %v while all is there", p)
	}
	f.Update(start+1_000_000, 5)
	f.ExpectReturn()
	f.ExpectReturn()
	prices := [3]float64{f.TakeReturn(), f.TakeReturn(), f.TakeReturn()}
	if !f.Reduced() || prices != [3]float64{returnPrice, returnPrice, 1} {
		t.Fatalf("thin %v, prices %v", f.Reduced(), prices)
	}
	f.ExpectReturn()
	if f.Update(start+12_000_000, 5); f.TakeReturn() != 1 {
		t.Fatal("still owed after the memory is over")
	}
}

// What is out for good is forgotten in a minute: the rest is the fleet then.
func TestWhatIsOutIsForgotten(t *testing.T) {
	f, now := New(start), monotime.Micros(start)
	f.Update(now, 10)
	for range 120 {
		now += 500_000
		f.Update(now, 6)
	}
	if f.Reduced() || math.Abs(f.PresentPart()-1) > 1e-9 {
		t.Fatalf("%v there of what was", f.PresentPart())
	}
}
