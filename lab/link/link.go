// Package link says how one direction between two processes is, and draws what becomes of each message that is sent
// there. It is the same for real datagrams (lab/faultproxy) and in virtual time (lab/simulation), and knows neither.
package link

import (
	"math/rand/v2"
	"time"
)

// Link is how one direction is. A zero Link loses and delays nothing.
type Link struct {
	Partitioned bool
	Loss        float64 // part of all messages
	Burst       float64 // mean length of a row of lost ones, where over 1
	Delay       time.Duration
	Jitter      time.Duration // and up to so much more, each by itself, so that messages overtake one another
	Twice       float64       // part that comes a second time
	Spoilt      float64       // part of which a byte is changed

	losing bool
}

// Times draws how often the next message comes: not at all, once or twice.
func (l *Link) Times(rng *rand.Rand) int {
	switch {
	case !l.passes(rng):
		return 0
	case l.Twice > 0 && rng.Float64() < l.Twice:
		return 2
	}
	return 1
}

// passes tells whether the next message comes through. Losses come in rows: a state that is left with probability
// 1/Burst.
func (l *Link) passes(rng *rand.Rand) bool {
	switch {
	case l.Partitioned:
		return false
	case l.Burst > 1 && l.Loss < 1:
		leave := 1 / l.Burst
		if l.losing {
			l.losing = rng.Float64() >= leave
		} else {
			l.losing = rng.Float64() < l.Loss/(1-l.Loss)*leave
		}
		return !l.losing
	}
	return rng.Float64() >= l.Loss
}

// Wait draws how long a message is on its way.
func (l *Link) Wait(rng *rand.Rand) time.Duration {
	if l.Jitter <= 0 {
		return l.Delay
	}
	return l.Delay + time.Duration(rng.Int64N(int64(l.Jitter)))
}

// Spoil draws whether a byte of a message is changed, and which, and changes it.
func (l *Link) Spoil(rng *rand.Rand, b []byte) {
	if l.Spoilt > 0 && len(b) > 0 && rng.Float64() < l.Spoilt {
		b[rng.IntN(len(b))] ^= byte(1 + rng.IntN(255))
	}
}
