package zoned

import (
	"fmt"
	"math/rand/v2"
	"time"

	"spurspread/decision/zonedirectory"
	"spurspread/lab/link"
)

const (
	// Delays of messages: within a zone, between two zones of a region, and between two regions, of which one is
	// drawn for each pair.
	zoneDelay, zoneJitter                    = 200 * time.Microsecond, 400 * time.Microsecond
	regionDelay, regionJitter                = time.Millisecond, time.Millisecond
	minInterRegionDelay, maxInterRegionDelay = 10 * time.Millisecond, 80 * time.Millisecond
	// interRegionJitterDivisor is the part of the delay between two regions by which it varies.
	interRegionJitterDivisor = 10
	// linkStream tells the random source of delays from others with the same seed.
	linkStream = 0x7a6f6e6573
)

// Topology is that of a fleet.
type Topology struct {
	// ZoneSizes has how many each zone has, Region the region of each zone.
	ZoneSizes   []int
	ZoneRegions []int
	// SeedZones are those whose first members are the seeds of all; nil: all zones.
	SeedZones []int
	// Loss is the part of messages between regions that is lost.
	Loss float64
}

// EvenTopology is a shape with so many members in zones of about the same size, which are dealt out to regions in turn.
func EvenTopology(members, zones, regions int) Topology {
	var s Topology
	for zone := range zones {
		s.ZoneSizes = append(s.ZoneSizes, (members+zone)/zones)
		s.ZoneRegions = append(s.ZoneRegions, zone%regions)
	}
	return s
}

func (s *Topology) sites() []zonedirectory.Site {
	var sites []zonedirectory.Site
	for zone, region := range s.ZoneRegions {
		sites = append(sites, zonedirectory.Site{
			Region: fmt.Sprint("region-", region),
			Zone:   fmt.Sprint("zone-", zone),
		})
	}
	return sites
}

// links draws the links between all zones, and within them.
func (s *Topology) links(seed uint64) [][]*link.Link {
	rng := rand.New(rand.NewPCG(seed, linkStream))
	interRegionDelays := map[[2]int]time.Duration{}
	links := make([][]*link.Link, len(s.ZoneRegions))
	for a, from := range s.ZoneRegions {
		for b, to := range s.ZoneRegions {
			pair := [2]int{min(from, to), max(from, to)}
			if _, drawn := interRegionDelays[pair]; !drawn {
				interRegionDelays[pair] = minInterRegionDelay +
					time.Duration(rng.Int64N(int64(maxInterRegionDelay-minInterRegionDelay)))
			}
			l := &link.Link{Delay: zoneDelay, Jitter: zoneJitter}
			if from != to {
				delay := interRegionDelays[pair]
				l = &link.Link{Delay: delay, Jitter: delay / interRegionJitterDivisor, Loss: s.Loss}
			} else if a != b {
				l = &link.Link{Delay: regionDelay, Jitter: regionJitter}
			}
			links[a] = append(links[a], l)
		}
	}
	return links
}
