package membership

import "spurspread/decision/monotime"

const (
	// MaxBudgetExcess is by how much the sum of all members' parts of a budget may pass it while views differ.
	MaxBudgetExcess = 2.0
	// divisorHalfTime is in which the number that a budget is divided by falls by half: members that have gone may be
	// back, and may still be there, unheard.
	divisorHalfTime = 30 * sec
)

// rateDivisor is the number that budgets are divided by. It rises at once with what is known of the fleet, and falls
// slowly: a third of the fleet that vanishes moves no rate by a jump; it never falls under the half of all that are
// known, dead ones not forgotten, so that two sides of a cut together stay within Factor.
type rateDivisor struct {
	value     float64
	updatedAt monotime.Micros
}

func (s *rateDivisor) observe(now monotime.Micros, live, known int) {
	if s.value == 0 {
		s.updatedAt = now
	}
	floor := max(float64(live), float64(known)/MaxBudgetExcess)
	fallen := s.value * (1 - float64(now-s.updatedAt)/float64(2*divisorHalfTime))
	s.value, s.updatedAt = max(floor, fallen), now
}

func (s *rateDivisor) current() float64 { return max(s.value, 1) }

// RateDivisor is the rule of Fleet.Divisor for whoever counts the fleet in another way.
type RateDivisor struct{ rateDivisor }

// Start has the divisor start at a number, such as that of the settings, and fall from there.
func (r *RateDivisor) Start(now monotime.Micros, members int) {
	r.value, r.updatedAt = float64(members), now
}

// Observe takes how many members are there and how many are known.
func (r *RateDivisor) Observe(now monotime.Micros, live, known int) { r.observe(now, live, known) }

// Value is what a budget of the whole fleet is divided by.
func (r *RateDivisor) Value() float64 { return r.current() }
