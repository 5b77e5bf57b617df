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
	zoneDelay, zoneJitter     = 200 * time.Microsecond, 400 * time.Microsecond
	regionDelay, regionJitter = time.Millisecond, time.Millisecond
	minFarDelay, maxFarDelay  = 10 * time.Millisecond, 80 * time.Millisecond
	// farJitterPart is the part of the delay between two regions by which it varies.
	farJitterPart = 10
	// linkStream tells the random source of delays from others with the same seed.
	linkStream = 0x7a6f6e6573
)

// Shape is that of a fleet.
type Shape struct {
	// Members has how many each zone has, Region the region of each zone.
	Members []int
	Region  []int
	// SeedZones are those whose first members are the seeds of all; nil: all zones.
	SeedZones []int
	// Loss is the part of messages between regions that is lost.
	Loss float64
}

// Even is a shape with so many members in zones of about the same size, which are dealt out to regions in turn.
func Even(members, zones, regions int) Shape {
	var s Shape
	for zone := range zones {
		s.Members = append(s.Members, (members+zone)/zones)
		s.Region = append(s.Region, zone%regions)
	}
	return s
}

func (s *Shape) sites() []zonedirectory.Site {
	var sites []zonedirectory.Site
	for zone, region := range s.Region {
		sites = append(sites, zonedirectory.Site{
			Region: fmt.Sprint("region-", region),
			Zone:   fmt.Sprint("zone-", zone),
		})
	}
	return sites
}

// links draws the links between all zones, and within them.
func (s *Shape) links(seed uint64) [][]*link.Link {
	rng := rand.New(rand.NewPCG(seed, linkStream))
	farDelays := map[[2]int]time.Duration{}
	links := make([][]*link.Link, len(s.Region))
	for a, from := range s.Region {
		for b, to := range s.Region {
			pair := [2]int{min(from, to), max(from, to)}
			if _, drawn := farDelays[pair]; !drawn {
				farDelays[pair] = minFarDelay + time.Duration(rng.Int64N(int64(maxFarDelay-minFarDelay)))
			}
			l := &link.Link{Delay: zoneDelay, Jitter: zoneJitter}
			if from != to {
				delay := farDelays[pair]
				l = &link.Link{Delay: delay, Jitter: delay / farJitterPart, Loss: s.Loss}
			} else if a != b {
				l = &link.Link{Delay: regionDelay, Jitter: regionJitter}
			}
			links[a] = append(links[a], l)
		}
	}
	return links
}
