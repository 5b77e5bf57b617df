package latency

import (
	"math"
	"spurspread/decision/monotime"
	"testing"
)

const (
	start = monotime.Micros(1000 * second)
	aim   = 0.1 * second
)

// A late server gets no more than nine in ten of what it could not carry, and slowly more once its notes cease.
func TestMost(t *testing.T) {
	n := New()
	if n.MissesObjective(start) || n.MeasuredSlow() || n.DelayKnown(start) || !math.IsInf(n.ConnectionCapacity, 1) {
		t.Fatalf("%+v without a note", n)
	}
	n.ObserveDelay(start, aim*(SlowThreshold+MoveThreshold)/2, aim, 20)
	if n.ConnectionCapacity != 20 || !n.MeasuredSlow() || n.MissesObjective(start) {
		t.Fatalf("slow: %+v", n)
	}
	n.ObserveDelay(start+second, aim*MoveThreshold*2, aim, 20)
	if n.ConnectionCapacity != 18 || !n.MissesObjective(start+second) ||
		n.MissesObjective(start+second+ReportLifetime) {
		t.Fatalf("late: %+v", n)
	}
	if n.GrowCapacity(start+2*second, second); n.ConnectionCapacity != 18 {
		t.Fatalf("may have %v while its note is fresh", n.ConnectionCapacity)
	}
	if n.GrowCapacity(start+second+ReportLifetime+1, second); n.ConnectionCapacity != 19 {
		t.Fatalf("may have %v a second later", n.ConnectionCapacity)
	}
}

// The part that is too much follows from how fast the delay grows, and from what waits already; one note counts once.
func TestPart(t *testing.T) {
	n := New()
	n.ObserveDelay(start, aim, aim, 10)
	steady := n
	if steady.ObserveDelay(start+minReportInterval-1, aim*5, aim, 10) {
		t.Fatal("the same news counts twice")
	}
	grows, melts := n, n
	steady.ObserveDelay(start+second, aim, aim, 10)
	grows.ObserveDelay(
		start+second,
		aim*6,
		aim,
		10,
	) // half a second more in a second: half as much again as it can do
	melts.ObserveDelay(start+second, aim/2, aim, 10)
	s, g, m := steady.ExcessPart(aim), grows.ExcessPart(aim), melts.ExcessPart(aim)
	if math.Abs(s-0.05) > 1e-9 || math.Abs(g-(0.5+0.3)/1.5) > 1e-9 || m >= 0 {
		t.Fatalf("steady %v, growing %v, melting %v", s, g, m)
	}
	if n.ObserveDelay(start+second, aim, 0, 10) {
		t.Fatal("no aim to compare with, and yet news")
	}
}
