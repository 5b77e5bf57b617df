package membership

import "spurspread/decision/monotime"

const (
	// MaxBudgetExcess is by how much the sum of all members' parts of a budget may exceed it while views differ.
	MaxBudgetExcess = 2.0
	// divisorDecayTime is the time constant with which a divisor falls after members have gone: they may be back, or
	// may still be there and out of reach.
	divisorDecayTime = 60 * monotime.Second
)

// rateDivisor decides by how much a budget of the whole fleet is divided to have one member's part. It rises at once
// with the members that are there. It falls slowly, so that a third of the fleet that vanishes moves no rate by a
// jump, and never below the known members, dead ones included, divided by MaxBudgetExcess: so two sides of a
// partition together stay within MaxBudgetExcess times the budget.
type rateDivisor struct {
	value     float64
	updatedAt monotime.Micros
}

// observe takes how many members are there, and how many are known.
func (d *rateDivisor) observe(now monotime.Micros, live, known int) {
	if d.value == 0 {
		d.updatedAt = now
	}
	lowest := max(float64(live), float64(known)/MaxBudgetExcess)
	decayed := d.value * (1 - float64(now-d.updatedAt)/float64(divisorDecayTime))
	d.value = max(lowest, decayed)
	d.updatedAt = now
}

// current returns the divisor, 1 at least.
func (d *rateDivisor) current() float64 { return max(d.value, 1) }

// RateDivisor is the rule of Fleet.RateDivisor for a caller that counts the fleet in another way.
type RateDivisor struct{ divisor rateDivisor }

// Start has the divisor begin at a number of members, such as that of the settings, and decay from there.
func (r *RateDivisor) Start(now monotime.Micros, members int) {
	r.divisor = rateDivisor{value: float64(members), updatedAt: now}
}

// Observe takes how many members are there, and how many are known, dead ones included.
func (r *RateDivisor) Observe(now monotime.Micros, live, known int) {
	r.divisor.observe(now, live, known)
}

// Value returns by how much a budget of the whole fleet is divided, 1 at least.
func (r *RateDivisor) Value() float64 { return r.divisor.current() }
