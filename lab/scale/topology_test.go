package scale

import (
	"slices"
	"testing"
	"time"
)

// Racks have the same number of members (up to one), and each member has seeds in its zone and in two others.
func TestTopology(t *testing.T) {
	topology := &Topology{Members: 1500, RealMembers: 24, Regions: 5, Zones: 12, Seed: 7}
	racks := make([]int, topology.Racks())
	for member := range topology.Members {
		racks[topology.Rack(member)]++
		zones := map[int]bool{}
		for _, seed := range topology.Seeds(member) {
			zones[topology.Zone(seed)] = true
			if seed == member {
				t.Errorf("member %d is its own seed", member)
			}
		}
		if len(zones) != 3 || !zones[topology.Zone(member)] {
			t.Fatalf("the seeds of member %d are in zones %v, want its own and two others", member, zones)
		}
	}
	if smallest, largest := slices.Min(racks), slices.Max(racks); largest-smallest > 1 {
		t.Errorf("racks have %d to %d members, want a difference of at most 1", smallest, largest)
	}
	checkDelays(t, topology)
}

// checkDelays checks that links from the same seed have the same delays, in both directions and within their limits.
func checkDelays(t *testing.T, topology *Topology) {
	t.Helper()
	links := topology.Links(1)
	others := topology.Links(2)
	for from := range topology.Racks() {
		for to := range topology.Racks() {
			delay := links.Between(from, to).Delay
			lowest, highest := delayBounds(topology, from/racksPerZone, to/racksPerZone)
			if delay != others.Between(from, to).Delay || delay != links.Between(to, from).Delay ||
				delay < lowest || delay > highest {
				t.Fatalf("delay from rack %d to %d is %v, not symmetric, not reproducible or out of its limits",
					from, to, delay)
			}
		}
	}
}

// delayBounds returns the limits of the delay between two zones.
func delayBounds(topology *Topology, from, to int) (lowest, highest time.Duration) {
	switch {
	case from == to:
		return 0, 0
	case topology.Region(from) == topology.Region(to):
		return zoneDelay, zoneDelay
	}
	return regionDelay, maxRegionDelay
}
