package slowstart

import (
	"math"
	"math/bits"

	"spurspread/decision/monotime"
)

const (
	// SlotsPerWindow is how many slots the window of a warming server's budget has.
	SlotsPerWindow = 4
	// grantLifetime is for how many slots a grant can be used, its own included. Any window, wherever it begins, so
	// gets the grants of at most SlotsPerWindow + grantLifetime slots, also when all balancers have requests at once
	// after a pause. With a shorter one, most grants would expire where a balancer rarely has a request.
	grantLifetime = 3
	// maxRepaidSlots is how many slots back grants are added to repay a debt. It bounds the work of one call.
	maxRepaidSlots = 256
	// maxGrantsPerSlot bounds the grants of one slot, over the whole fleet.
	maxGrantsPerSlot = 4096

	// sameZoneFraction is the part of a warming server's budget that balancers in its zone use.
	sameZoneFraction = 0.6
	// crossZoneFraction is what a balancer of another zone uses, as a part of what one in the server's zone does:
	// crossing zones costs.
	crossZoneFraction = 1 / 3.
	// unevenLoadFraction is the part of the budget that is granted where the loads of connections differ, so that the
	// few heavy ones still fit: a grant is for the mean load.
	unevenLoadFraction = 0.63
)

// The sequences by which grants are dealt.
const (
	// slotStride is how far apart the slots begin in the sequence: farther than a slot usually has grants.
	slotStride = 64

	// Multiples of these steps spread evenly over the circle of 2^64, however many are taken: those of the golden
	// ratio, and of the plastic number, whose two steps also spread evenly as pairs.
	goldenRatioStep = 0x9e3779b97f4a7c15
	rankStep        = 0xc13fa9a902a6328f
	crossZoneStep   = 0x91e10da5c79e7b1d
)

// The float64 fraction of 64 random-like bits: their upper 53 over 2^53.
const (
	mantissaBits  = 53
	droppedBits   = 64 - mantissaBits
	mantissaRange = 1 << mantissaBits
	circle        = 1 << 64
)

// Fleet is who shares a warming server's budget, and this balancer's place among them.
type Fleet struct {
	Rank        int    // of this balancer, from 0
	Balancers   int    // in all zones
	Zones       int    // that have balancers
	ServerID    uint64 // the same at every balancer
	SameZone    bool   // the server is in this balancer's zone
	UnevenLoads bool   // loads of connections differ, and are known only once these are established
}

// SlotAt returns the slot of a server's warm-up in which now lies, and when that slot began. Slots are counted from the
// server's start as discovery reports it, so that all balancers count the same ones; a server that seems to start in
// the future is in slot 0. window is the time over which the budget is stated, in SlotsPerWindow slots.
func SlotAt(now, startedAt, window monotime.Micros) (slot int64, began monotime.Micros) {
	length := max(window/SlotsPerWindow, 1)
	slot = int64(max(now-startedAt, 0) / length)
	return slot, startedAt + monotime.Micros(slot)*length
}

// GrantAvailable decides whether a server that is warming up may be sent one more connection by this balancer in this
// slot. quota is how many grants all balancers together have in a window. At least one whole grant must be left.
// No balancer can use another's grants, and unused ones expire; a connection that takes more work than a grant is for
// is repaid from this balancer's next ones.
func (b *Budget) GrantAvailable(slot int64, quota float64, fleet Fleet) bool {
	if slot >= b.NextSlot {
		for s := max(b.firstUsefulSlot(slot), b.NextSlot); s <= slot; s++ {
			b.addGrants(float64(fleet.grantsInSlot(s, quota/SlotsPerWindow)))
		}
		b.NextSlot = slot + 1
	}
	return b.GrantsLeft >= 1
}

// firstUsefulSlot returns the earliest slot whose grants can matter in this one: those that have not expired, and in
// debt those that repay it.
func (b *Budget) firstUsefulSlot(slot int64) int64 {
	if b.GrantsLeft < 0 {
		return slot - maxRepaidSlots
	}
	return slot - grantLifetime + 1
}

// addGrants begins a slot with its grants. What is left of those that were added grantLifetime slots ago expires.
func (b *Budget) addGrants(added float64) {
	unexpired := 0.0
	for i := len(b.GrantsBySlot) - 1; i > 0; i-- {
		b.GrantsBySlot[i] = b.GrantsBySlot[i-1]
		unexpired += b.GrantsBySlot[i]
	}
	b.GrantsBySlot[0] = added
	b.GrantsLeft = min(b.GrantsLeft, unexpired) + added
}

// ResetGrants discards the grants of a server that has restarted, and so warms up again.
func (b *Budget) ResetGrants() {
	b.NextSlot = 0
	b.GrantsLeft = 0
	b.GrantsBySlot = [grantLifetime]float64{}
}

// grantsInSlot decides how many of a slot's grants are this balancer's. quota is how many grants all balancers together
// have in a slot, at most maxGrantsPerSlot: its whole part is granted in each slot, its fraction as one more grant in
// that fraction of the slots. The owner of each grant is drawn by a sequence that depends on server and slot only, so
// all balancers agree on it; a balancer in another zone keeps only crossZoneFraction of what it is dealt.
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

// totalGrants returns how many grants all balancers together are dealt in a slot.
func (f Fleet) totalGrants(slot int64, quota float64) int {
	carry := float64((f.ServerID+uint64(slot)*goldenRatioStep)>>droppedBits) / mantissaRange
	return int(math.Floor(min(quota*f.grantedFraction(), maxGrantsPerSlot) + carry))
}

// keepsGrant decides whether this balancer uses a grant that it is dealt: each in the server's zone, else
// crossZoneFraction of them.
func (f Fleet) keepsGrant(term uint64) bool {
	return f.SameZone || float64(f.ServerID+term*crossZoneStep) < crossZoneFraction*circle
}

// grantedFraction is the factor between the grants that are dealt and the budget. Balancers of other zones keep
// crossZoneFraction of theirs, so more are dealt, such that all together keep the budget where each zone has as many
// balancers; but never so many that those of the server's zone use more than sameZoneFraction.
func (f Fleet) grantedFraction() float64 {
	zones := float64(min(max(f.Zones, 1), max(f.Balancers, 1)))
	kept := (1 + (zones-1)*crossZoneFraction) / zones
	part := min(sameZoneFraction*zones, 1/kept)
	if f.UnevenLoads {
		part *= unevenLoadFraction
	}
	return part
}
