// Package link models one direction of a network link between two processes. A Link has probabilities of faults, and
// draws the loss, delay, duplication and corruption of each message. The model is the same for real datagrams
// (lab/faultproxy) and in virtual time (lab/simulation); this package must not depend on either.
package link

import (
	"math/rand/v2"
	"time"
)

// Link is one direction of a link. The zero Link neither loses nor delays messages. It must not be used from several
// goroutines at once.
type Link struct {
	Partitioned bool          // all messages are lost
	Loss        float64       // fraction of messages that are lost, from 0 to 1
	Burst       float64       // mean number of messages that are lost in a row; up to 1, losses are independent
	Delay       time.Duration // minimum delay of a message
	Jitter      time.Duration // bound of each message's random additional delay, which reorders messages
	Duplicated  float64       // fraction of messages that arrive twice, from 0 to 1
	Corrupted   float64       // fraction of messages in which one byte is changed, from 0 to 1

	losing bool // the state of the Gilbert model, see loses
}

// DrawCopies draws how many copies of the next message arrive: 0, 1 or 2.
func (l *Link) DrawCopies(rng *rand.Rand) int {
	if l.loses(rng) {
		return 0
	}
	if l.Duplicated > 0 && rng.Float64() < l.Duplicated {
		return 2
	}
	return 1
}

// loses draws whether the next message is lost. Bursts of losses follow a Gilbert model: all messages in the losing
// state are lost, and each message leaves that state with probability 1/Burst.
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

// DrawDelay draws the delay of a message.
func (l *Link) DrawDelay(rng *rand.Rand) time.Duration {
	if l.Jitter <= 0 {
		return l.Delay
	}
	return l.Delay + time.Duration(rng.Int64N(int64(l.Jitter)))
}

// Corrupt draws whether a byte of a message is corrupted, and changes a random byte in place.
func (l *Link) Corrupt(rng *rand.Rand, message []byte) {
	if l.Corrupted > 0 && len(message) > 0 && rng.Float64() < l.Corrupted {
		message[rng.IntN(len(message))] ^= byte(1 + rng.IntN(255))
	}
}
