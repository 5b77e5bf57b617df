// Package slowstart keeps how many connections one server may be sent by one balancer: a warm one at a rate with a
// burst, a cold one by grants that all balancers of the fleet divide alike, each by itself. Whether one is too much
// shows a second or two later, so a crowd is let in at a rate. It knows no clock and no randomness; times are
// microseconds.
package slowstart

import (
	"math"
	"math/bits"
	"spurspread/decision/monotime"
)

const (
	// ColdRate is how many connections a second a warm server of mean size takes, for a cold one's budget.
	ColdRate = 3.8
	// Rate is how many connections a second a warm server of mean size gets at most, of all balancers; Burst is how
	// many at once.
	Rate, Burst = 10.5, 24.0
	// Least is the part of both that each balancer has at least: less would not place what comes back to one of many.
	Least = 1 / 3.
	// First is how many a balancer that has just started may send, until a server tells of lateness.
	First = 18
)

const (
	// Slots is into how many slots the window of a cold server's rule is divided. A grant holds in its slot and the
	// next two, then lapses: so any window, wherever it begins, gets the grants of at most Slots+3 slots, also when
	// all that rested ask at once. A shorter life would waste most of them where a balancer has a request only now
	// and then.
	Slots = 4
	held  = 3
	// homePart is the part of a cold server's budget that its own zone's balancers use. Balancers of other zones use
	// awayPart of what one of its zone does, for crossings cost.
	homePart, awayPart = 0.6, 1 / 3.
	// unevenPart is the part of a cold server's budget that is granted where loads differ: they do by tens of
	// times, so that a few heavy connections take what a grant's mean load does not tell.
	unevenPart = 0.63
	// mostRepaid is how many slots back a debt is repaid from grants, which bounds the work of one call.
	mostRepaid = 256
	// mostGrants bounds the grants of one slot: more than a server that is cold can be sent by any rule seen.
	mostGrants = 4096
	// stride is how far apart in the sequence of grants the slots begin: further than a slot has grants as a rule.
	stride = 64

	// Steps of sequences that spread evenly over the circle of 2^64 however many of their terms are taken: the golden
	// ratio's, and the two of the plastic number, which together spread evenly over pairs.
	goldenStep  = 0x9e3779b97f4a7c15
	rankStep    = 0xc13fa9a902a6328f
	thinnedStep = 0x91e10da5c79e7b1d
)

// Fleet is who shares a cold server's budget, and this balancer's place among them.
type Fleet struct {
	Rank, Balancers, Zones int
	Server                 uint64 // the server's id, the same at every balancer
	Home                   bool   // it is in this balancer's zone
	Uneven                 bool   // loads of connections differ, and are known only once these stand
}

// Budget is what one server may still get.
type Budget struct {
	Next     int64           // the slot of a cold server that is counted next
	Left     float64         // grants that it may still be sent by; under 0 where requests took more
	Fresh    [held]float64   // how many were granted in the present slot and those before, the last first
	Tokens   float64         // connections that a warm one may get now
	TokensAt monotime.Micros // when they were counted
}

// Slot is the slot of a cold server's life in which now lies, and when that began. It is counted from the server's own
// start, as discovery tells it, so that all balancers count the same slots.
func Slot(now, started, window monotime.Micros) (slot int64, began monotime.Micros) {
	length := max(window/Slots, 1)
	slot = int64(max(now-started, 0) / length)
	return slot, started + monotime.Micros(slot)*length
}

// Cold tells whether a cold server has room in this slot. Quota is for how many requests all balancers together
// have grants in a window. A slot's grants are dealt by a sequence that every balancer computes alike, so their sum
// over the fleet is the slot's quota, whoever asks; no balancer can use another's, and unused they lapse. A request
// that takes more than a grant is for is paid from this balancer's next ones.
func (b *Budget) Cold(slot int64, quota float64, f Fleet) bool {
	if slot >= b.Next {
		from := slot - held + 1
		if b.Left < 0 {
			from = slot - mostRepaid
		}
		for k := max(from, b.Next); k <= slot; k++ {
			b.grant(float64(f.grants(k, quota/Slots)))
		}
		b.Next = slot + 1
	}
	return b.Left >= 1
}

// grant begins a slot with its grants. What is left of one that held long enough lapses.
func (b *Budget) grant(fresh float64) {
	held := 0.0
	for i := len(b.Fresh) - 1; i > 0; i-- {
		b.Fresh[i] = b.Fresh[i-1]
		held += b.Fresh[i]
	}
	b.Fresh[0] = fresh
	b.Left = min(b.Left, held) + fresh
}

// Restart forgets what a cold server was granted: its process has begun anew.
func (b *Budget) Restart() { b.Next, b.Left, b.Fresh = 0, 0, [held]float64{} }

// grants is how many of a slot's grants are this balancer's. The whole part of the quota is granted in each slot
// and the rest in as many slots as it is worth.
func (f Fleet) grants(slot int64, quota float64) (mine int) {
	balancers := uint64(max(f.Balancers, 1))
	rank := uint64(max(f.Rank, 0)) % balancers
	carry := float64((f.Server+uint64(slot)*goldenStep)>>11) / (1 << 53)
	all := int(math.Floor(min(quota*f.used(), mostGrants) + carry))
	for i := range all {
		term := uint64(slot)*stride + uint64(i)
		owner, _ := bits.Mul64(f.Server+term*rankStep, balancers)
		if owner == rank && (f.Home || float64(f.Server+term*thinnedStep) < awayPart*(1<<64)) {
			mine++
		}
	}
	return mine
}

// used is the part of a server's budget that is granted, for the part that is kept to be the whole where each zone
// has as many balancers: those of its own zone keep all that they are granted, the others awayPart. Its own zone's
// never use more than homePart.
func (f Fleet) used() float64 {
	zones := float64(min(max(f.Zones, 1), max(f.Balancers, 1)))
	kept := (1 + (zones-1)*awayPart) / zones
	part := min(homePart*zones, 1/kept)
	if f.Uneven {
		part *= unevenPart
	}
	return part
}

// Fill counts what a warm server of this part of the fleet's mean size has room for. A price is always met in time.
func (b *Budget) Fill(now monotime.Micros, part, price float64) {
	if burst := max(Burst*part, price); b.Tokens < burst {
		b.Tokens = min(b.Tokens+Rate*part*float64(now-b.TokensAt)/1e6, burst)
	}
	b.TokensAt = now
}

// Spend books a connection that takes this work; a grant of a cold server is for the work of each connection on
// average.
func (b *Budget) Spend(cold bool, work, each, price float64) {
	if cold {
		b.Left -= work / each
	} else {
		b.Tokens = max(b.Tokens-work*price, 0)
	}
}

// Calm takes back what is over a burst: a server has told of lateness.
func (b *Budget) Calm(part float64) { b.Tokens = min(b.Tokens, Burst*part) }
