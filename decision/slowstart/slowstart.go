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
	// WarmUpRate is how many connections a second a warm server of mean size takes, for a cold one's budget.
	WarmUpRate = 3.8
	// Rate is how many connections a second a warm server of mean size gets at most, of all balancers; Burst is how
	// many at once.
	Rate, Burst = 10.5, 24.0
	// MinFleetShare is the part of both that each balancer has at least: less would not place what comes back to one of many.
	MinFleetShare = 1 / 3.
	// StartupTokens is how many a balancer that has just started may send, until a server tells of lateness.
	StartupTokens = 18
)

const (
	// SlotsPerWindow is into how many slots the window of a cold server's rule is divided. A grant holds in its slot and the
	// next two, then lapses: so any window, wherever it begins, gets the grants of at most Slots+3 slots, also when
	// all that rested ask at once. A shorter life would waste most of them where a balancer has a request only now
	// and then.
	SlotsPerWindow = 4
	grantLifetime  = 3
	// sameZonePart is the part of a cold server's budget that its own zone's balancers use. Balancers of other zones use
	// awayPart of what one of its zone does, for crossings cost.
	sameZonePart, crossZonePart = 0.6, 1 / 3.
	// unevenLoadPart is the part of a cold server's budget that is granted where loads differ: they do by tens of
	// times, so that a few heavy connections take what a grant's mean load does not tell.
	unevenLoadPart = 0.63
	// maxRepaidSlots is how many slots back a debt is repaid from grants, which bounds the work of one call.
	maxRepaidSlots = 256
	// maxGrantsPerSlot bounds the grants of one slot: more than a server that is cold can be sent by any rule seen.
	maxGrantsPerSlot = 4096
	// slotStride is how far apart in the sequence of grants the slots begin: further than a slot has grants as a rule.
	slotStride = 64

	// Steps of sequences that spread evenly over the circle of 2^64 however many of their terms are taken: the golden
	// ratio's, and the two of the plastic number, which together spread evenly over pairs.
	goldenRatioStep = 0x9e3779b97f4a7c15
	rankStep        = 0xc13fa9a902a6328f
	crossZoneStep   = 0x91e10da5c79e7b1d
)

// Fleet is who shares a cold server's budget, and this balancer's place among them.
type Fleet struct {
	Rank, Balancers, Zones int
	ServerID               uint64 // the server's id, the same at every balancer
	SameZone               bool   // it is in this balancer's zone
	UnevenLoads            bool   // loads of connections differ, and are known only once these stand
}

// Budget is what one server may still get.
type Budget struct {
	NextSlot     int64                  // the slot of a cold server that is counted next
	GrantsLeft   float64                // grants that it may still be sent by; under 0 where requests took more
	GrantsBySlot [grantLifetime]float64 // how many were granted in the present slot and those before, the last first
	Tokens       float64                // connections that a warm one may get now
	RefilledAt   monotime.Micros        // when they were counted
}

// SlotAt is the slot of a cold server's life in which now lies, and when that began. It is counted from the server's own
// start, as discovery tells it, so that all balancers count the same slots.
func SlotAt(now, started, window monotime.Micros) (slot int64, began monotime.Micros) {
	length := max(window/SlotsPerWindow, 1)
	slot = int64(max(now-started, 0) / length)
	return slot, started + monotime.Micros(slot)*length
}

// GrantAvailable tells whether a cold server has room in this slot. Quota is for how many requests all balancers together
// have grants in a window. A slot's grants are dealt by a sequence that every balancer computes alike, so their sum
// over the fleet is the slot's quota, whoever asks; no balancer can use another's, and unused they lapse. A request
// that takes more than a grant is for is paid from this balancer's next ones.
func (b *Budget) GrantAvailable(slot int64, quota float64, f Fleet) bool {
	if slot >= b.NextSlot {
		from := slot - grantLifetime + 1
		if b.GrantsLeft < 0 {
			from = slot - maxRepaidSlots
		}
		for k := max(from, b.NextSlot); k <= slot; k++ {
			b.addGrants(float64(f.grantsInSlot(k, quota/SlotsPerWindow)))
		}
		b.NextSlot = slot + 1
	}
	return b.GrantsLeft >= 1
}

// addGrants begins a slot with its grants. What is left of one that held long enough lapses.
func (b *Budget) addGrants(fresh float64) {
	held := 0.0
	for i := len(b.GrantsBySlot) - 1; i > 0; i-- {
		b.GrantsBySlot[i] = b.GrantsBySlot[i-1]
		held += b.GrantsBySlot[i]
	}
	b.GrantsBySlot[0] = fresh
	b.GrantsLeft = min(b.GrantsLeft, held) + fresh
}

// ResetGrants forgets what a cold server was granted: its process has begun anew.
func (b *Budget) ResetGrants() {
	b.NextSlot, b.GrantsLeft, b.GrantsBySlot = 0, 0, [grantLifetime]float64{}
}

// grantsInSlot is how many of a slot's grants are this balancer's. The whole part of the quota is granted in each slot
// and the rest in as many slots as it is worth.
func (f Fleet) grantsInSlot(slot int64, quota float64) (mine int) {
	balancers := uint64(max(f.Balancers, 1))
	rank := uint64(max(f.Rank, 0)) % balancers
	carry := float64((f.ServerID+uint64(slot)*goldenRatioStep)>>11) / (1 << 53)
	all := int(math.Floor(min(quota*f.grantedPart(), maxGrantsPerSlot) + carry))
	for i := range all {
		term := uint64(slot)*slotStride + uint64(i)
		owner, _ := bits.Mul64(f.ServerID+term*rankStep, balancers)
		if owner == rank && (f.SameZone || float64(f.ServerID+term*crossZoneStep) < crossZonePart*(1<<64)) {
			mine++
		}
	}
	return mine
}

// grantedPart is the part of a server's budget that is granted, for the part that is kept to be the whole where each zone
// has as many balancers: those of its own zone keep all that they are granted, the others awayPart. Its own zone's
// never use more than homePart.
func (f Fleet) grantedPart() float64 {
	zones := float64(min(max(f.Zones, 1), max(f.Balancers, 1)))
	kept := (1 + (zones-1)*crossZonePart) / zones
	part := min(sameZonePart*zones, 1/kept)
	if f.UnevenLoads {
		part *= unevenLoadPart
	}
	return part
}

// Refill counts what a warm server of this part of the fleet's mean size has room for. A price is always met in time.
func (b *Budget) Refill(now monotime.Micros, part, price float64) {
	if burst := max(Burst*part, price); b.Tokens < burst {
		b.Tokens = min(b.Tokens+Rate*part*float64(now-b.RefilledAt)/1e6, burst)
	}
	b.RefilledAt = now
}

// Spend books a connection that takes this work; a grant of a cold server is for the work of each connection on
// average.
func (b *Budget) Spend(cold bool, work, each, price float64) {
	if cold {
		b.GrantsLeft -= work / each
	} else {
		b.Tokens = max(b.Tokens-work*price, 0)
	}
}

// CapTokens takes back what is over a burst: a server has told of lateness.
func (b *Budget) CapTokens(part float64) { b.Tokens = min(b.Tokens, Burst*part) }
