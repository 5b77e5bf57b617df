package scale

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"spurspread/decision/zonedirectory"
	"spurspread/lab/link"
)

// The delays of links, one way. Within a zone a datagram takes what loopback takes.
const (
	zoneDelay      = time.Millisecond // between zones of a region
	regionDelay    = 10 * time.Millisecond
	maxRegionDelay = 80 * time.Millisecond
	jitterPart     = 10 // each datagram takes up to a tenth of its link's delay longer
)

// racksPerZone is how many failure domains a zone has.
const racksPerZone = 4

// Topology is where each member of a fleet stands, and where it takes datagrams. The first Reals members are
// processes of the program; the others are hollow. All that is drawn follows from Seed, so that each process of a
// run comes to the same.
type Topology struct {
	Members, Reals int
	Regions, Zones int
	Flat           bool // one membership for all: zones are laid out, and nobody is told
	Seed           uint64
	Addrs          []netip.AddrPort // of each member
}

// Name is what a member is called.
func (t *Topology) Name(member int) string { return fmt.Sprint("n", member) }

// Zone is the zone of a member: members are dealt to zones in turn.
func (t *Topology) Zone(member int) int { return member % t.Zones }

// Region is the region of a zone.
func (t *Topology) Region(zone int) int { return zone % t.Regions }

// Rack is the failure domain of a member, of all zones' together.
func (t *Topology) Rack(member int) int {
	return t.Zone(member)*racksPerZone + member/t.Zones%racksPerZone
}

// Racks is how many there are of all zones together.
func (t *Topology) Racks() int { return t.Zones * racksPerZone }

// RacksOf are the racks of some zones.
func (t *Topology) RacksOf(zones []int) (out []int) {
	for _, z := range zones {
		for r := range racksPerZone {
			out = append(out, z*racksPerZone+r)
		}
	}
	return out
}

// ZonesOf are the zones of a region.
func (t *Topology) ZonesOf(region int) (out []int) {
	for z := range t.Zones {
		if t.Region(z) == region {
			out = append(out, z)
		}
	}
	return out
}

// Site is what a zone is called, the zero Site in a flat fleet.
func (t *Topology) Site(z int) zonedirectory.Site {
	if t.Flat {
		return zonedirectory.Site{}
	}
	return zonedirectory.Site{Region: fmt.Sprint("region-", t.Region(z)), Zone: fmt.Sprint("zone-", z)}
}

// Seeds are the members that one is told of at its start: two of its own zone, and one each of two others, which
// differ from member to member so that none is asked by all. In a flat fleet they are the first three.
func (t *Topology) Seeds(member int) (out []int) {
	if t.Flat {
		return notItself(member, []int{0, 1, 2})
	}
	own := t.Zone(member)
	out = notItself(member, []int{own, own + t.Zones, own + 2*t.Zones})
	out = out[:min(len(out), 2)]
	for k := range min(2, t.Zones-1) {
		out = append(out, (own+1+(member/t.Zones+k)%(t.Zones-1))%t.Zones)
	}
	return notItself(t.Members, out)
}

// notItself leaves out a member, and numbers from Members on are none.
func notItself(member int, of []int) (out []int) {
	for _, one := range of {
		if one != member {
			out = append(out, one)
		}
	}
	return out
}

// Links are the links between racks, one for each direction. They are for one goroutine.
type Links struct {
	racks int
	links []link.Link
	rng   *rand.Rand
}

// Links are those of a fleet without faults: delays are drawn from the seed, a direction and its opposite alike.
// salt tells apart what different holders of the same links draw for each datagram.
func (t *Topology) Links(salt uint64) *Links {
	l := &Links{
		racks: t.Racks(),
		links: make([]link.Link, t.Racks()*t.Racks()),
		rng:   rand.New(rand.NewPCG(t.Seed, 0x6c696e6b00+salt)),
	}
	delays := t.regionDelays()
	for a := range t.Racks() {
		for b := range t.Racks() {
			d := t.delay(a/racksPerZone, b/racksPerZone, delays)
			*l.Between(a, b) = link.Link{Delay: d, Jitter: d / jitterPart}
		}
	}
	return l
}

func (t *Topology) regionDelays() [][]time.Duration {
	rng := rand.New(rand.NewPCG(t.Seed, 0x726567696f6e))
	out := make([][]time.Duration, t.Regions)
	for a := range out {
		out[a] = make([]time.Duration, t.Regions)
		for b := range a {
			d := regionDelay + time.Duration(rng.Int64N(int64(maxRegionDelay-regionDelay)))
			out[a][b], out[b][a] = d, d
		}
	}
	return out
}

func (t *Topology) delay(a, b int, regions [][]time.Duration) time.Duration {
	switch {
	case a == b:
		return 0
	case t.Region(a) == t.Region(b):
		return zoneDelay
	}
	return regions[t.Region(a)][t.Region(b)]
}

// Between is the link from one rack to another.
func (l *Links) Between(from, to int) *link.Link { return &l.links[from*l.racks+to] }

// Set changes the links from some racks to others, one way, but not those within a rack.
func (l *Links) Set(from, to []int, change func(*link.Link)) {
	for _, a := range from {
		for _, b := range to {
			if a != b {
				change(l.Between(a, b))
			}
		}
	}
}

// Draw is when a datagram arrives, each time that it does: mostly once.
func (l *Links) Draw(from, to int) (waits []time.Duration) {
	one := l.Between(from, to)
	for range one.Times(l.rng) {
		waits = append(waits, one.Wait(l.rng))
	}
	return waits
}
