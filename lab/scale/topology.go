package scale

import (
	"fmt"
	"net/netip"

	"spurspread/decision/zonedirectory"
	"spurspread/lab/procs"
)

// racksPerZone is the number of failure domains of a zone.
const racksPerZone = 4

// Topology places the members of a fleet in zones and regions, and gives each an address. The first RealMembers members
// are processes of the program, the others are stubs. All random choices depend on Seed only, so that each process of a
// run derives the same topology.
type Topology struct {
	Members     int
	RealMembers int `json:"Reals"`
	Regions     int
	Zones       int
	// Flat is whether all members are in one membership. Zones then determine only the delays of links, and members do
	// not know their zone.
	Flat  bool
	Seed  uint64
	Addrs []netip.AddrPort // by member
}

// newTopology places the members of a fleet, each with its own loopback address.
func newTopology(members, realMembers, regions, zones int, flat bool, seed uint64) (*Topology, error) {
	if realMembers > members || regions < 1 || zones < regions || members < zones {
		return nil, fmt.Errorf(
			"%d members, %d of them real, in %d zones of %d regions: each region needs a zone, each zone a member",
			members,
			realMembers,
			zones,
			regions,
		)
	}
	t := &Topology{
		Members:     members,
		RealMembers: realMembers,
		Regions:     regions,
		Zones:       zones,
		Flat:        flat,
		Seed:        seed,
	}
	ips, err := procs.FreeLoopbacks(members)
	if err != nil {
		return nil, fmt.Errorf("addresses of %d members: %w", members, err)
	}
	for _, ip := range ips {
		t.Addrs = append(t.Addrs, netip.AddrPortFrom(ip, procs.FleetPort))
	}
	return t, nil
}

// Name returns the name of a member.
func (t *Topology) Name(member int) string { return fmt.Sprint("n", member) }

// Real returns whether a member is a process of the program.
func (t *Topology) Real(member int) bool { return member < t.RealMembers }

// Zone returns the zone of a member. Members are assigned to zones in turn.
func (t *Topology) Zone(member int) int { return member % t.Zones }

// Region returns the region of a zone.
func (t *Topology) Region(zone int) int { return zone % t.Regions }

// Rack returns the failure domain of a member. Racks are numbered over all zones, with racksPerZone in each.
func (t *Topology) Rack(member int) int {
	return t.Zone(member)*racksPerZone + member/t.Zones%racksPerZone
}

// Racks returns the number of racks of all zones.
func (t *Topology) Racks() int { return t.Zones * racksPerZone }

// RacksOf returns the racks of some zones.
func (t *Topology) RacksOf(zones []int) []int {
	var racks []int
	for _, zone := range zones {
		for rack := range racksPerZone {
			racks = append(racks, zone*racksPerZone+rack)
		}
	}
	return racks
}

// ZonesOf returns the zones of a region.
func (t *Topology) ZonesOf(region int) []int {
	return t.zonesWhere(func(zone int) bool { return t.Region(zone) == region })
}

// zonesExcept returns the zones of all regions but one.
func (t *Topology) zonesExcept(region int) []int {
	return t.zonesWhere(func(zone int) bool { return t.Region(zone) != region })
}

// allZones returns the zones of all regions.
func (t *Topology) allZones() []int {
	return t.zonesWhere(func(int) bool { return true })
}

func (t *Topology) zonesWhere(accept func(zone int) bool) []int {
	var zones []int
	for zone := range t.Zones {
		if accept(zone) {
			zones = append(zones, zone)
		}
	}
	return zones
}

// Site returns the names of a zone and its region; the zero Site in a flat fleet.
func (t *Topology) Site(zone int) zonedirectory.Site {
	if t.Flat {
		return zonedirectory.Site{}
	}
	return zonedirectory.Site{Region: fmt.Sprint("region-", t.Region(zone)), Zone: fmt.Sprint("zone-", zone)}
}

const (
	ownZoneSeeds   = 2 // seeds of a member in its own zone
	otherZoneSeeds = 2 // seeds of a member in other zones, one in each of them
)

// Seeds returns the seeds of a member. They differ between members, so that no member has to answer the joins of all
// others. In a flat fleet they are the first three members.
func (t *Topology) Seeds(member int) []int {
	if t.Flat {
		return without(member, []int{0, 1, 2})
	}
	own := t.Zone(member)
	seeds := without(member, []int{own, own + t.Zones, own + 2*t.Zones})
	seeds = seeds[:min(len(seeds), ownZoneSeeds)]
	for k := range min(otherZoneSeeds, t.Zones-1) {
		seeds = append(seeds, (own+1+(member/t.Zones+k)%(t.Zones-1))%t.Zones)
	}
	return without(t.Members, seeds)
}

// without returns some members except one.
func without(member int, members []int) []int {
	var others []int
	for _, other := range members {
		if other != member {
			others = append(others, other)
		}
	}
	return others
}
