// Package setups keeps how set-ups of connections went lately, at all servers together, and tells from it how many may
// be under way at once, how long one is to be given, whether the cause of failures is shared by all servers, and which
// part of what is asked is not worth beginning. It does not know servers, requests or clocks; spans are microseconds.
package concurrency

import "math"

const (
	ms = 1000.0

	failMemory = 0.1
	failShared = 0.5 // of recent set-ups fail: the cause is shared

	rise, fall = 1.6, 1.25 // settle where about two thirds of set-ups are quicker
	least      = 1 * ms

	// While set-ups fail, what is sent is so many times what comes to stand, and some to find out.
	throttleTimes = 2.0
	throttleFree  = 160.0 // by all balancers together, in the memory
	throttleFade  = 0.975 // a tick; a memory of 10 s

	// Set-ups at once.
	widthAt    = 200 * ms // set-ups that take longer wait for something that all share: fewer at once
	widthCut   = 0.8      // for each that ends while they do
	widthGrow  = 1.0      // for each that ends while they don't
	widthLeast = 2.0
	widthMost  = 40.0
	widthStart = 12.0
)

// Pace is how set-ups go. Its zero value is not usable; see New.
type Pace struct {
	failing      float64 // part of recent set-ups that failed
	Width        float64 // how many may be under way
	span         float64 // two thirds of recent set-ups were quicker
	tries, goods float64 // set-ups that ended or were not begun, and those that stood; they fade
}

// New returns the pace of a balancer that has seen no set-up yet.
func New() Pace { return Pace{Width: widthStart} }

// End is how a set-up ended.
type End uint8

// The ends; Unheard says nothing of how set-ups go.
const (
	Unheard  End = iota
	Stood        // it came to stand
	Failed       // inside a server
	TimedOut     // no answer came
)

// Ended notes the end of a set-up that took so long.
func (p *Pace) Ended(end End, took float64) {
	switch end {
	case Stood:
		p.failing -= p.failing * failMemory
		p.tries, p.goods = p.tries+1, p.goods+1
	case Failed, TimedOut:
		p.failing += (1 - p.failing) * failMemory
		p.tries++
	}
	if end == Stood || end == TimedOut {
		p.timed(took)
	}
}

// NotBegun notes one that was refused by Refuses.
func (p *Pace) NotBegun() { p.tries++ }

// timed follows what two thirds take at most: a mean would take a few servers that hang for a slow store.
func (p *Pace) timed(took float64) {
	if took > p.span {
		p.span *= rise
	} else {
		p.span /= fall
	}
	p.span = max(p.span, least)
	// A crowd that comes back outruns the store: tried all at once, each would take too long and be tried again, which
	// keeps the store busy with what nobody waits for any more.
	if p.span > widthAt {
		p.Width = max(p.Width*widthCut, widthLeast)
	} else {
		p.Width = min(p.Width+widthGrow, widthMost)
	}
}

// Fade lets the memory of tries fade; it is called four times a second.
func (p *Pace) Fade() { p.tries, p.goods = p.tries*throttleFade, p.goods*throttleFade }

// Span is what two thirds of recent set-ups took at most.
func (p *Pace) Span() float64 { return p.span }

// Shared tells that so many set-ups fail that the cause must lie behind all servers: none is demoted for it, and
// nothing is tried twice, which would keep the cause alive.
func (p *Pace) Shared() bool { return p.failing > failShared }

// Room tells whether one more may begin while so many are under way.
func (p *Pace) Room(underWay int) bool { return float64(underWay) < p.Width }

// Refuses is how likely a set-up is not to be begun, by a balancer that has this share of the fleet.
func (p *Pace) Refuses(share float64) float64 {
	return math.Max(p.tries-throttleTimes*p.goods-throttleFree*share, 0) / (p.tries + 1)
}
