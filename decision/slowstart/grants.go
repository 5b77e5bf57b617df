package slowstart

import (
	"math"
	"math/bits"

	"spurspread/decision/monotime"
)

const (
	// SlotsPerWindow is the number of slots in the window over which the budget of a warming server is stated.
	SlotsPerWindow = 4
	// grantLifetime is the number of slots in which a grant can be used, its own included. Any window, wherever it
	// begins, therefore gets the grants of at most SlotsPerWindow + grantLifetime slots, even if all balancers have
	// requests at once after a pause. With a shorter lifetime, most grants would expire at balancers that rarely have a
	// request.
	grantLifetime = 3
	// maxRepaidSlots is the number of past slots whose grants are added to repay a debt. It bounds the work of one
	// call.
	maxRepaidSlots = 256
	// maxGrantsPerSlot bounds the grants of one slot, over the whole fleet.
	maxGrantsPerSlot = 4096

	// sameZoneFraction is the largest fraction of a warming server's budget that the balancers in its zone use.
	sameZoneFraction = 0.6
	// crossZoneFraction is the number of grants that a balancer of another zone uses, relative to a balancer in the
	// server's zone. It is below 1 because crossing zones costs more.
	crossZoneFraction = 1 / 3.
	// unevenLoadFraction is the fraction of the budget that is granted if the loads of connections differ. A grant
	// covers the mean load, so this leaves room for the few heavy connections.
	unevenLoadFraction = 0.63
)

// Constants of the sequences that assign grants to balancers.
const (
	// slotStride is the distance in the sequence between the beginnings of successive slots, larger than the usual
	// number of grants in a slot.
	slotStride = 64

	// Multiples of these steps, modulo 2^64, are spread evenly however many are taken. The first is derived from the
	// golden ratio; the other two are derived from the plastic number and also spread evenly as pairs.
	goldenRatioStep = 0x9e3779b97f4a7c15
	rankStep        = 0xc13fa9a902a6328f
	crossZoneStep   = 0x91e10da5c79e7b1d
)

// Constants that convert 64 random-like bits to a float64. The upper 53 bits divided by 2^53 give a number from 0 to 1;
// hashRange, 2^64, is the number of different values of the 64 bits.
const (
	mantissaBits  = 53
	droppedBits   = 64 - mantissaBits
	mantissaRange = 1 << mantissaBits
	hashRange     = 1 << 64
)

// Fleet describes the balancers that share a warming server's budget, and this balancer's place among them.
type Fleet struct {
	Rank        int    // of this balancer, from 0
	Balancers   int    // in all zones
	Zones       int    // that have balancers
	ServerID    uint64 // the same at every balancer
	SameZone    bool   // the server is in this balancer's zone
	UnevenLoads bool   // loads of connections differ, and are known only after their set-up
}

// SlotAt returns the slot of a server's warm-up that contains now, and when that slot began. Slots are counted from the
// server's start as discovery reports it, so that all balancers count the same ones; a server that seems to start in
// the future is in slot 0. window is the time over which the budget is stated, divided into SlotsPerWindow slots.
func SlotAt(now, startedAt, window monotime.Micros) (slot int64, began monotime.Micros) {
	length := max(window/SlotsPerWindow, 1)
	slot = int64(max(now-startedAt, 0) / length)
	return slot, startedAt + monotime.Micros(slot)*length
}

// GrantAvailable reports whether this balancer may send a warming server one more connection in this slot: at least one
// whole grant must be left. quota is the number of grants that all balancers together have in a window. A balancer
// can't use another's grants, and unused ones expire. If a connection takes more work than a grant covers, the excess
// is taken from this balancer's next grants.
func (b *Budget) GrantAvailable(slot int64, quota float64, fleet Fleet) bool {
	if slot >= b.NextSlot {
		for s := max(b.firstUsefulSlot(slot), b.NextSlot); s <= slot; s++ {
			b.addGrants(float64(fleet.grantsInSlot(s, quota/SlotsPerWindow)))
		}
		b.NextSlot = slot + 1
	}
	return b.GrantsLeft >= 1
}

// firstUsefulSlot returns the earliest slot whose grants can be used in the given slot: grants that have not expired
// or, if there is a debt, grants that repay it.
func (b *Budget) firstUsefulSlot(slot int64) int64 {
	if b.GrantsLeft < 0 {
		return slot - maxRepaidSlots
	}
	return slot - grantLifetime + 1
}

// addGrants begins a slot and adds its grants. Unused grants that were added grantLifetime slots ago expire.
func (b *Budget) addGrants(added float64) {
	unexpired := 0.0
	for i := len(b.GrantsBySlot) - 1; i > 0; i-- {
		b.GrantsBySlot[i] = b.GrantsBySlot[i-1]
		unexpired += b.GrantsBySlot[i]
	}
	b.GrantsBySlot[0] = added
	b.GrantsLeft = min(b.GrantsLeft, unexpired) + added
}

// ResetGrants discards the grants of a server that has restarted, and therefore warms up again.
func (b *Budget) ResetGrants() {
	b.NextSlot = 0
	b.GrantsLeft = 0
	b.GrantsBySlot = [grantLifetime]float64{}
}

// grantsInSlot returns how many of a slot's grants are this balancer's. quota is the number of grants that all
// balancers together have in a slot, at most maxGrantsPerSlot. Its whole part is granted in each slot, its fraction as
// one more grant in that fraction of the slots. The owner of each grant is drawn by a sequence that depends on the
// server and the slot only, so that all balancers agree on it. A balancer in another zone keeps only crossZoneFraction
// of the grants that it is dealt.
func (f Fleet) grantsInSlot(slot int64, quota float64) (own int) {
	balancers := uint64(max(f.Balancers, 1))
	rank := uint64(max(f.Rank, 0)) % balancers
	total := f.totalGrants(slot, quota)
	for i := range total {
		term := uint64(slot)*slotStride + uint64(i)
		owner, _ := bits.Mul64(f.ServerID+term*rankStep, balancers)
		if owner == rank && f.keepsGrant(term) {
			own++
		}
	}
	return own
}

// totalGrants returns the number of grants that all balancers together are dealt in a slot.
func (f Fleet) totalGrants(slot int64, quota float64) int {
	carry := float64((f.ServerID+uint64(slot)*goldenRatioStep)>>droppedBits) / mantissaRange
	return int(math.Floor(min(quota*f.grantRatio(), maxGrantsPerSlot) + carry))
}

// keepsGrant reports whether this balancer uses a grant that it is dealt: always in the server's zone, otherwise for
// crossZoneFraction of them.
func (f Fleet) keepsGrant(term uint64) bool {
	return f.SameZone || float64(f.ServerID+term*crossZoneStep) < crossZoneFraction*hashRange
}

// grantRatio returns the ratio of the grants that are dealt to the budget. Balancers of other zones keep only
// crossZoneFraction of their grants, so more are dealt: enough for those that are kept to add up to the budget,
// provided that each zone has the same number of balancers. The ratio is bounded, so that the balancers in the server's
// zone use at most sameZoneFraction of the budget.
func (f Fleet) grantRatio() float64 {
	zones := float64(min(max(f.Zones, 1), max(f.Balancers, 1)))
	kept := (1 + (zones-1)*crossZoneFraction) / zones
	part := min(sameZoneFraction*zones, 1/kept)
	if f.UnevenLoads {
		part *= unevenLoadFraction
	}
	return part
}
