package latency

import (
	"math"
	"testing"

	"spurspread/decision/monotime"
)

const (
	second    = monotime.Second
	start     = 1000 * second
	objective = 0.1 * float64(second)
)

// The capacity of a server that misses objectives falls to nine tenths of the connections that it could not sustain,
// and grows slowly once its reports cease.
func TestConnectionCapacity(t *testing.T) {
	e := New()
	if e.AboveMoveThreshold(start) || e.MeasuredSlow() || e.DelayKnown(start) || !math.IsInf(e.ConnectionCapacity, 1) {
		t.Fatalf("without a report: %+v, want no known delay and no limit of connections", e)
	}
	e.ObserveDelay(start, objective*(SlowThreshold+MoveThreshold)/2, objective, 20)
	if e.ConnectionCapacity != 20 || !e.MeasuredSlow() || e.AboveMoveThreshold(start) {
		t.Fatalf("slow: %+v, want a capacity of 20, below the threshold of moves", e)
	}
	e.ObserveDelay(start+second, objective*MoveThreshold*2, objective, 20)
	if e.ConnectionCapacity != 18 || !e.AboveMoveThreshold(start+second) ||
		e.AboveMoveThreshold(start+second+ReportLifetime) {
		t.Fatalf("late: %+v, want a capacity of 18, above the threshold of moves until the report expires", e)
	}
	if e.GrowCapacity(start+2*second, second); e.ConnectionCapacity != 18 {
		t.Fatalf("capacity %v while the report is recent, want 18", e.ConnectionCapacity)
	}
	if e.GrowCapacity(start+second+ReportLifetime+1, second); e.ConnectionCapacity != 19 {
		t.Fatalf("capacity %v a second later, want 19", e.ConnectionCapacity)
	}
}

// The excess fraction follows from the growth of the delay and from the backlog, and the same report counts once.
func TestExcessFraction(t *testing.T) {
	e := New()
	e.ObserveDelay(start, objective, objective, 10)
	steady := e
	if steady.ObserveDelay(start+minReportInterval-1, objective*5, objective, 10) {
		t.Fatal("the same report was counted twice")
	}
	growing, shrinking := e, e
	steady.ObserveDelay(start+second, objective, objective, 10)
	growing.ObserveDelay(start+second, objective*6, objective, 10) // 0.5 s more in 1 s: load is 1.5 times throughput
	shrinking.ObserveDelay(start+second, objective/2, objective, 10)
	s, g, n := steady.ExcessFraction(objective), growing.ExcessFraction(objective), shrinking.ExcessFraction(objective)
	if math.Abs(s-0.05) > 1e-9 || math.Abs(g-(0.5+0.3)/1.5) > 1e-9 || n >= 0 {
		t.Fatalf("steady %v, growing %v, shrinking %v, want 0.05, %v and less than 0", s, g, n, (0.5+0.3)/1.5)
	}
	if e.ObserveDelay(start+second, objective, 0, 10) {
		t.Fatal("a report was counted without an objective")
	}
}
