// Package link models one direction of a network link between two processes, and draws what becomes of each message
// that is sent over it. It is the same for real datagrams (lab/faultproxy) and in virtual time (lab/simulation), and
// must not know which of them it serves.
package link

import (
	"math/rand/v2"
	"time"
)

// Link is the state of one direction. A zero Link loses and delays nothing. It belongs to one goroutine at a time.
type Link struct {
	Partitioned bool          // it loses everything
	Loss        float64       // part of all messages that is lost, from 0 to 1
	Burst       float64       // mean number of messages that are lost in a row; up to 1: losses are independent
	Delay       time.Duration // least time that a message takes
	Jitter      time.Duration // up to which each message takes longer, so that messages overtake one another
	Duplicated  float64       // part of the messages that comes twice, from 0 to 1
	Corrupted   float64       // part of the messages of which a byte is changed, from 0 to 1

	losing bool // the present state of losses in a row
}

// DrawCopies draws how often the next message comes: not at all, once or twice.
func (l *Link) DrawCopies(rng *rand.Rand) int {
	if l.loses(rng) {
		return 0
	}
	if l.Duplicated > 0 && rng.Float64() < l.Duplicated {
		return 2
	}
	return 1
}

// loses draws whether the next message is lost. Losses in a row are those of a Gilbert model: each message in the
// losing state is lost, and that state is left with probability 1/Burst.
func (l *Link) loses(rng *rand.Rand) bool {
	if l.Partitioned {
		return true
	}
	if l.Burst <= 1 || l.Loss >= 1 {
		return rng.Float64() < l.Loss
	}
	leave := 1 / l.Burst
	if l.losing {
		l.losing = rng.Float64() >= leave
	} else {
		l.losing = rng.Float64() < l.Loss/(1-l.Loss)*leave
	}
	return l.losing
}

// DrawDelay draws how long a message takes.
func (l *Link) DrawDelay(rng *rand.Rand) time.Duration {
	if l.Jitter <= 0 {
		return l.Delay
	}
	return l.Delay + time.Duration(rng.Int64N(int64(l.Jitter)))
}

// Corrupt draws whether a byte of a message is changed, and which, and changes it in place.
func (l *Link) Corrupt(rng *rand.Rand, message []byte) {
	if l.Corrupted > 0 && len(message) > 0 && rng.Float64() < l.Corrupted {
		message[rng.IntN(len(message))] ^= byte(1 + rng.IntN(255))
	}
}
