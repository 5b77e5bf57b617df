package zoned

import (
	"fmt"
	"math/rand/v2"
	"time"

	"spurspread/decision/zonedirectory"
	"spurspread/lab/link"
)

const (
	// Delays of messages within a zone, between two zones of one region, and between two regions. The last one is drawn
	// for each pair of regions, from the minimum up to the maximum.
	zoneDelay, zoneJitter                    = 200 * time.Microsecond, 400 * time.Microsecond
	intraRegionDelay, intraRegionJitter      = time.Millisecond, time.Millisecond
	minInterRegionDelay, maxInterRegionDelay = 10 * time.Millisecond, 80 * time.Millisecond
	// interRegionJitterDivisor: the jitter between two regions is their delay divided by it.
	interRegionJitterDivisor = 10
	// linkStream selects the random sequence of the delays; other users of the seed select others.
	linkStream = 0x7a6f6e6573
)

// Topology describes the zones and regions of a fleet.
type Topology struct {
	// ZoneSizes has the number of members of each zone, and ZoneRegions has the region of each zone.
	ZoneSizes   []int
	ZoneRegions []int
	// SeedZones are the zones whose first members are the seeds of the whole fleet; nil means all zones.
	SeedZones []int
	// Loss is the fraction of the messages between regions that is lost, from 0 to 1.
	Loss float64
}

// EvenTopology returns a topology whose zones have sizes that differ by at most 1, and are assigned to the regions in
// turn.
func EvenTopology(members, zones, regions int) Topology {
	var t Topology
	for zone := range zones {
		t.ZoneSizes = append(t.ZoneSizes, (members+zone)/zones)
		t.ZoneRegions = append(t.ZoneRegions, zone%regions)
	}
	return t
}

func (t *Topology) sites() []zonedirectory.Site {
	var sites []zonedirectory.Site
	for zone, region := range t.ZoneRegions {
		sites = append(sites, zonedirectory.Site{
			Region: fmt.Sprint("region-", region),
			Zone:   fmt.Sprint("zone-", zone),
		})
	}
	return sites
}

// links returns the links between all zones, and within them, by zone of the sender and of the receiver.
func (t *Topology) links(seed uint64) [][]*link.Link {
	rng := rand.New(rand.NewPCG(seed, linkStream))
	interRegionDelays := map[[2]int]time.Duration{}
	links := make([][]*link.Link, len(t.ZoneRegions))
	for a, from := range t.ZoneRegions {
		for b, to := range t.ZoneRegions {
			pair := [2]int{min(from, to), max(from, to)}
			if _, drawn := interRegionDelays[pair]; !drawn {
				interRegionDelays[pair] = minInterRegionDelay +
					time.Duration(rng.Int64N(int64(maxInterRegionDelay-minInterRegionDelay)))
			}
			l := &link.Link{Delay: zoneDelay, Jitter: zoneJitter}
			if from != to {
				delay := interRegionDelays[pair]
				l = &link.Link{Delay: delay, Jitter: delay / interRegionJitterDivisor, Loss: t.Loss}
			} else if a != b {
				l = &link.Link{Delay: intraRegionDelay, Jitter: intraRegionJitter}
			}
			links[a] = append(links[a], l)
		}
	}
	return links
}
