package membership

import "spurspread/decision/monotime"

const (
	// MaxBudgetExcess is the factor by which the sum of all members' shares of a budget may exceed the budget while
	// views differ.
	MaxBudgetExcess = 2.0
	// divisorDecayTime is the time constant of the divisor's decrease after members have disappeared: they may come
	// back, or may still be running and merely unreachable.
	divisorDecayTime = 60 * monotime.Second
)

// rateDivisor computes the number by which a fleet-wide budget is divided to get one member's share. It rises at once
// with the number of live members. It falls slowly, so that rates do not jump when a third of the fleet disappears, and
// never below the number of known members, including dead ones, divided by MaxBudgetExcess: the two sides of a
// partition together stay within MaxBudgetExcess times the budget.
type rateDivisor struct {
	value     float64
	updatedAt monotime.Micros
}

// observe updates the divisor with the numbers of live and known members.
func (d *rateDivisor) observe(now monotime.Micros, live, known int) {
	if d.value == 0 {
		d.updatedAt = now
	}
	lowest := max(float64(live), float64(known)/MaxBudgetExcess)
	decayed := d.value * (1 - float64(now-d.updatedAt)/float64(divisorDecayTime))
	d.value = max(lowest, decayed)
	d.updatedAt = now
}

// current returns the divisor, at least 1.
func (d *rateDivisor) current() float64 { return max(d.value, 1) }

// RateDivisor applies the rule of Fleet.RateDivisor to member counts that come from elsewhere, such as a zone
// directory.
type RateDivisor struct{ divisor rateDivisor }

// Start initializes the divisor with an expected number of members, from which it decays.
func (r *RateDivisor) Start(now monotime.Micros, members int) {
	r.divisor = rateDivisor{value: float64(members), updatedAt: now}
}

// Observe updates the divisor with the numbers of live members and of known members, including dead ones.
func (r *RateDivisor) Observe(now monotime.Micros, live, known int) {
	r.divisor.observe(now, live, known)
}

// Value returns the number by which a fleet-wide budget is divided, at least 1.
func (r *RateDivisor) Value() float64 { return r.divisor.current() }
