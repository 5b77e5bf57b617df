package scale

import (
	"math/rand/v2"
	"time"

	"spurspread/lab/link"
)

// One-way delays of links. Links within a zone add no delay to that of loopback.
const (
	zoneDelay      = time.Millisecond      // between zones of a region
	regionDelay    = 10 * time.Millisecond // between regions, minimum
	maxRegionDelay = 80 * time.Millisecond // between regions, less than this
	jitterDivisor  = 10                    // a datagram takes up to 1/10 of the delay of its link longer
)

// Random number streams of a topology, which are drawn from its seed.
const (
	linkStream  = 0x6c696e6b00
	delayStream = 0x726567696f6e
)

// Links are the links between the racks of a fleet, one for each direction. They are not safe for concurrent use.
type Links struct {
	racks int
	links []link.Link // racks*racks, by rack of the sender and rack of the receiver
	rng   *rand.Rand
}

// Links returns the links of a fleet without faults. Their delays are drawn from the seed of the topology, the same for
// both directions. The random numbers for single datagrams also depend on the salt, so that processes with the same
// links draw independently.
func (t *Topology) Links(salt uint64) *Links {
	l := &Links{
		racks: t.Racks(),
		links: make([]link.Link, t.Racks()*t.Racks()),
		rng:   rand.New(rand.NewPCG(t.Seed, linkStream+salt)),
	}
	delays := t.regionDelays()
	for from := range t.Racks() {
		for to := range t.Racks() {
			delay := t.zonesDelay(from/racksPerZone, to/racksPerZone, delays)
			*l.Between(from, to) = link.Link{Delay: delay, Jitter: delay / jitterDivisor}
		}
	}
	return l
}

// regionDelays draws the delay between each pair of regions.
func (t *Topology) regionDelays() [][]time.Duration {
	rng := rand.New(rand.NewPCG(t.Seed, delayStream))
	delays := make([][]time.Duration, t.Regions)
	for a := range delays {
		delays[a] = make([]time.Duration, t.Regions)
		for b := range a {
			delay := regionDelay + time.Duration(rng.Int64N(int64(maxRegionDelay-regionDelay)))
			delays[a][b] = delay
			delays[b][a] = delay
		}
	}
	return delays
}

// zonesDelay returns the delay between two zones.
func (t *Topology) zonesDelay(a, b int, regionDelays [][]time.Duration) time.Duration {
	switch {
	case a == b:
		return 0
	case t.Region(a) == t.Region(b):
		return zoneDelay
	}
	return regionDelays[t.Region(a)][t.Region(b)]
}

// Between returns the link from one rack to another, which may be changed.
func (l *Links) Between(from, to int) *link.Link { return &l.links[from*l.racks+to] }

// Set changes the links from some racks to others, in one direction. Links within a rack are not changed.
func (l *Links) Set(from, to []int, change func(*link.Link)) {
	for _, sender := range from {
		for _, receiver := range to {
			if sender != receiver {
				change(l.Between(sender, receiver))
			}
		}
	}
}

// DrawDelays returns the delay of each copy of a datagram that arrives: none if it is lost, several if it is
// duplicated.
func (l *Links) DrawDelays(from, to int) []time.Duration {
	between := l.Between(from, to)
	var delays []time.Duration
	for range between.DrawCopies(l.rng) {
		delays = append(delays, between.DrawDelay(l.rng))
	}
	return delays
}
