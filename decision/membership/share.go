package membership

import "spurspread/decision/monotime"

const (
	// Factor is by how much the sum of all members' parts of a budget may pass it while views differ.
	Factor = 2.0
	// fallTime is in which the number that a budget is divided by falls by half: members that have gone may be
	// back, and may still be there, unheard.
	fallTime = 30 * sec
)

// share is the number that budgets are divided by. It rises at once with what is known of the fleet, and falls
// slowly: a third of the fleet that vanishes moves no rate by a jump; it never falls under the half of all that are
// known, dead ones not forgotten, so that two sides of a cut together stay within Factor.
type share struct {
	value float64
	at    monotime.Micros
}

func (s *share) note(now monotime.Micros, live, known int) {
	if s.value == 0 {
		s.at = now
	}
	floor := max(float64(live), float64(known)/Factor)
	fallen := s.value * (1 - float64(now-s.at)/float64(2*fallTime))
	s.value, s.at = max(floor, fallen), now
}

func (s *share) divisor() float64 { return max(s.value, 1) }

// RateDivisor is the rule of Fleet.Divisor for whoever counts the fleet in another way.
type RateDivisor struct{ share }

// Begin has the divisor start at a number, such as that of the settings, and fall from there.
func (r *RateDivisor) Begin(now monotime.Micros, members int) { r.value, r.at = float64(members), now }

// Note takes how many members are there and how many are known.
func (r *RateDivisor) Note(now monotime.Micros, live, known int) { r.note(now, live, known) }

// Value is what a budget of the whole fleet is divided by.
func (r *RateDivisor) Value() float64 { return r.divisor() }
