package zoned

import (
	"net/netip"
	"slices"
	"time"

	"spurspread/decision/membership"
	"spurspread/decision/zonedirectory"
	"spurspread/lab/link"
	"spurspread/lab/simulation"
)

const (
	// seedsPerZone is the number of members of each zone that are seeds of the whole fleet.
	seedsPerZone = 2
	// startSpan is the time over which the starts of the members are spread at random.
	startSpan = time.Second
	// leaveDelay is the time from a member's announcement that it leaves to the end of its process, as in package
	// simulation.
	leaveDelay = 500 * time.Millisecond
	// sampleInterval is the time between two samples of the checker.
	sampleInterval = 50 * time.Millisecond
	// instanceStartBits is the number of low bits of an instance that hold the start count.
	instanceStartBits = 8
)

// Fleet is a simulated fleet and its checker. Members are numbered from 0, zone by zone.
type Fleet struct {
	*simulation.Cluster
	checker

	// Zones lists the members of each zone.
	Zones    [][]int
	topology Topology
	sites    []zonedirectory.Site // by zone
	zoneOf   []int                // by member
	up       []bool               // by member: whether its process runs
	members  []*balancer          // by member: its current process; nil before the first start
	fault    *Fault               // nil for none

	links            [][]*link.Link  // from zone to zone
	disconnected     map[[2]int]bool // pairs of sender and receiver whose packets are lost
	disconnectedLink link.Link       // the link of all these pairs
}

// New returns a fleet whose members start at random times within startSpan. fault, if it is not nil, is injected into
// all of them.
func New(topology Topology, seed uint64, fault *Fault) *Fleet {
	f := &Fleet{
		topology:         topology,
		sites:            topology.sites(),
		fault:            fault,
		links:            topology.links(seed),
		disconnected:     map[[2]int]bool{},
		disconnectedLink: link.Link{Partitioned: true},
	}
	for zone, members := range topology.ZoneSizes {
		f.Zones = append(f.Zones, nil)
		for range members {
			f.Zones[zone] = append(f.Zones[zone], len(f.zoneOf))
			f.zoneOf = append(f.zoneOf, zone)
		}
	}
	n := len(f.zoneOf)
	f.up = make([]bool, n)
	f.members = make([]*balancer, n)
	f.Cluster = simulation.NewCluster(n, seed, link.Link{}, f.build)
	f.LinkBetween = f.linkBetween
	f.attach(f)
	for i := range n {
		f.After(time.Duration(f.Rand().Int64N(int64(startSpan))), func() { f.start(i) })
	}
	return f
}

// linkBetween returns the link from one member to another.
func (f *Fleet) linkBetween(from, to int) *link.Link {
	if f.disconnected[[2]int{from, to}] {
		return &f.disconnectedLink
	}
	return f.links[f.zoneOf[from]][f.zoneOf[to]]
}

// build creates a process of a member. It is the cluster's simulation.Builder.
func (f *Fleet) build(c *simulation.Cluster, i, start int) simulation.Detector {
	now := simulation.Micros(c.Now().Microseconds())
	site := f.sites[f.zoneOf[i]]
	self := membership.Self{
		ID:       simulation.MemberID(i),
		Name:     simulation.Name(i),
		Addr:     simulation.Addr(i),
		Instance: uint64(now)<<instanceStartBits | uint64(start),
	}
	seeds := f.seeds()
	directory := zonedirectory.Config{
		Self: zonedirectory.Self{
			ID:       zonedirectory.MemberID(self.ID),
			Addr:     self.Addr,
			Instance: self.Instance,
		},
		Site:            site,
		Seeds:           seeds,
		ExpectedMembers: len(f.zoneOf),
		RandomSeed:      c.Rand().Uint64(),
		RateDivisor:     &membership.RateDivisor{},
	}
	if f.fault != nil && f.fault.rank != nil {
		directory.Rank = f.fault.rank()
	}
	fleet := membership.Config{
		Self:        self,
		Incarnation: uint64(now / simulation.Millisecond),
		Seeds:       seeds,
		RandomSeed:  c.Rand().Uint64(),
	}
	b := &balancer{
		fleet:     membership.New(fleet, now),
		directory: zonedirectory.New(directory, now),
		id:        self.ID,
		zoneID:    site.ID(),
		fault:     f.fault,
	}
	f.members[i] = b
	return b
}

func (f *Fleet) seeds() []netip.AddrPort {
	zones := f.topology.SeedZones
	if zones == nil {
		zones = f.allZones()
	}
	var seeds []netip.AddrPort
	for _, zone := range zones {
		for _, i := range f.Zones[zone][:min(seedsPerZone, len(f.Zones[zone]))] {
			seeds = append(seeds, simulation.Addr(i))
		}
	}
	return seeds
}

func (f *Fleet) start(i int) {
	f.up[i] = true
	f.Start(i)
}

// Crash ends the processes of members without an announcement.
func (f *Fleet) Crash(members ...int) {
	for _, i := range members {
		f.up[i] = false
		f.Kill(i)
	}
}

// Restart ends the processes of members without an announcement, and starts new ones at once.
func (f *Fleet) Restart(members ...int) {
	f.Crash(members...)
	for _, i := range members {
		f.start(i)
	}
}

// Leave ends a member's process in the planned way, with an announcement.
func (f *Fleet) Leave(i int) {
	f.Stop(i)
	f.After(leaveDelay, func() { f.up[i] = false })
}

// SetPartition sets whether the links from some zones to others, in this direction, are partitioned. Links within a
// zone are not changed.
func (f *Fleet) SetPartition(from, to []int, partitioned bool) {
	for _, a := range from {
		for _, b := range to {
			if a != b {
				f.links[a][b].Partitioned = partitioned
			}
		}
	}
}

// Disconnect drops all packets from some members to others from now on.
func (f *Fleet) Disconnect(from, to []int) {
	for _, a := range from {
		for _, b := range to {
			f.disconnected[[2]int{a, b}] = true
		}
	}
}

// Reconnect reverts all calls of Disconnect.
func (f *Fleet) Reconnect() { clear(f.disconnected) }

// ZonesIn returns the zones of a region.
func (f *Fleet) ZonesIn(region int) []int {
	return f.zonesWhere(func(r int) bool { return r == region })
}

// ZonesOutside returns the zones that are not in a region.
func (f *Fleet) ZonesOutside(region int) []int {
	return f.zonesWhere(func(r int) bool { return r != region })
}

func (f *Fleet) zonesWhere(inRegion func(region int) bool) []int {
	return slices.DeleteFunc(f.allZones(), func(zone int) bool { return !inRegion(f.topology.ZoneRegions[zone]) })
}

func (f *Fleet) allZones() []int {
	zones := make([]int, len(f.Zones))
	for zone := range zones {
		zones[zone] = zone
	}
	return zones
}

// MembersOf returns the members of some zones, or of all zones if zones is nil.
func (f *Fleet) MembersOf(zones []int) []int {
	if zones == nil {
		zones = f.allZones()
	}
	var members []int
	for _, zone := range zones {
		members = append(members, f.Zones[zone]...)
	}
	return members
}

// Delegates returns the n first-ranked candidates for delegate of a zone, in the view of the first running member of
// the zone that knows any; nil if there is none.
func (f *Fleet) Delegates(zone, n int) []int {
	for _, i := range f.Zones[zone] {
		if !f.up[i] {
			continue
		}
		for _, v := range f.members[i].directory.Views() {
			if v.Own && len(v.Contacts) > 0 {
				return indexes(v.Contacts[:min(n, len(v.Contacts))])
			}
		}
	}
	return nil
}

func indexes(contacts []zonedirectory.Contact) []int {
	var members []int
	for _, contact := range contacts {
		members = append(members, simulation.MemberIndex(contact.Addr))
	}
	return members
}

// Publish publishes a record at a member.
func (f *Fleet) Publish(i int, name, value string) (zonedirectory.Record, error) {
	return f.members[i].directory.Publish(simulation.Micros(f.Now().Microseconds()), name, value)
}

// RunFor runs the fleet for d, and takes the checker's samples.
func (f *Fleet) RunFor(d time.Duration) {
	until := f.Now() + d
	for f.Now() < until {
		next := min(until, f.Now()+sampleInterval)
		f.Run(simulation.Micros(next.Microseconds()))
		f.sample()
	}
}

// RunUntil runs the fleet until a condition holds, for limit at most, and returns the virtual time that passed.
func (f *Fleet) RunUntil(limit time.Duration, holds func() bool) time.Duration {
	from := f.Now()
	for !holds() && f.Now()-from < limit {
		f.RunFor(sampleInterval)
	}
	return f.Now() - from
}
