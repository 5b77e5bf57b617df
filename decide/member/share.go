package member

const (
	// Factor is by how much the sum of all members' parts of a budget may pass it while views differ.
	Factor = 2.0
	// fallTime is in which the number that a budget is divided by falls by half: members that have gone may be back, and may
	// still be there, unheard.
	fallTime = 30 * sec
)

// share is the number that budgets are divided by. It rises at once with what is known of the fleet, and falls slowly: a
// third of the fleet that vanishes moves no rate by a jump; it never falls under the half of all that are known, dead ones
// not forgotten, so that two sides of a cut together stay within Factor.
type share struct {
	value float64
	at    int64
}

func (s *share) note(now int64, live, known int) {
	if s.value == 0 {
		s.at = now
	}
	floor := max(float64(live), float64(known)/Factor)
	fallen := s.value * (1 - float64(now-s.at)/float64(2*fallTime))
	s.value, s.at = max(floor, fallen), now
}

func (s *share) divisor() float64 { return max(s.value, 1) }
