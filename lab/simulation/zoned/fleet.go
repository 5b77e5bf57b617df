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
	// seedsPerZone is how many members of each zone all know from the start.
	seedsPerZone = 2
	// startSpan is the time within which all members are started.
	startSpan = time.Second
	// leaveDelay is how long a process that leaves runs on.
	leaveDelay = 500 * time.Millisecond
	// sampleInterval is how often the checker looks at the fleet.
	sampleInterval = 50 * time.Millisecond
	// instanceStartBits is how many bits of an instance count the member's starts.
	instanceStartBits = 8
)

// Fleet is a fleet that is played. Its members are numbered through, zone by zone.
type Fleet struct {
	*simulation.Cluster
	checker

	// Zones has the members of each zone.
	Zones    [][]int
	topology Topology
	sites    []zonedirectory.Site // of zones
	zoneOf   []int                // the zone of each member
	up       []bool               // whether each member's process runs
	members  []*balancer          // the processes
	fault    *Fault               // nil: none

	links            [][]*link.Link  // from zone to zone
	disconnected     map[[2]int]bool // members between which nothing arrives, in one direction
	disconnectedLink link.Link       // between these
}

// New returns a fleet whose members are started within startSpan, all with a fault where that is not nil.
func New(shape Topology, seed uint64, fault *Fault) *Fleet {
	f := &Fleet{
		topology:         shape,
		sites:            shape.sites(),
		fault:            fault,
		links:            shape.links(seed),
		disconnected:     map[[2]int]bool{},
		disconnectedLink: link.Link{Partitioned: true},
	}
	for zone, members := range shape.ZoneSizes {
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

// linkBetween is the link from one member to another.
func (f *Fleet) linkBetween(from, to int) *link.Link {
	if f.disconnected[[2]int{from, to}] {
		return &f.disconnectedLink
	}
	return f.links[f.zoneOf[from]][f.zoneOf[to]]
}

// build makes a member's process.
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

// Crash ends processes without an announcement.
func (f *Fleet) Crash(members ...int) {
	for _, i := range members {
		f.up[i] = false
		f.Kill(i)
	}
}

// Restart ends processes without an announcement and starts new ones in their place.
func (f *Fleet) Restart(members ...int) {
	f.Crash(members...)
	for _, i := range members {
		f.start(i)
	}
}

// Leave ends a process in the planned way.
func (f *Fleet) Leave(i int) {
	f.Stop(i)
	f.After(leaveDelay, func() { f.up[i] = false })
}

// SetPartition has nothing arrive from some zones at others, or all again.
func (f *Fleet) SetPartition(from, to []int, partitioned bool) {
	for _, a := range from {
		for _, b := range to {
			if a != b {
				f.links[a][b].Partitioned = partitioned
			}
		}
	}
}

// Disconnect has nothing arrive from some members at others.
func (f *Fleet) Disconnect(from, to []int) {
	for _, a := range from {
		for _, b := range to {
			f.disconnected[[2]int{a, b}] = true
		}
	}
}

// Reconnect ends what Disconnect has done.
func (f *Fleet) Reconnect() { clear(f.disconnected) }

// ZonesIn lists the zones of a region.
func (f *Fleet) ZonesIn(region int) []int {
	return f.zonesWhere(func(r int) bool { return r == region })
}

// ZonesOutside lists the zones that are not in a region.
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

// MembersOf lists the members of zones, of all where zones is nil.
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

// Delegates lists the first n candidates of a zone by rank, as one of its members sees them.
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

// Publish has a member publish a record.
func (f *Fleet) Publish(i int, name, value string) (zonedirectory.Record, error) {
	return f.members[i].directory.Publish(simulation.Micros(f.Now().Microseconds()), name, value)
}

// RunFor lets time pass.
func (f *Fleet) RunFor(d time.Duration) {
	until := f.Now() + d
	for f.Now() < until {
		next := min(until, f.Now()+sampleInterval)
		f.Run(simulation.Micros(next.Microseconds()))
		f.sample()
	}
}

// RunUntil lets time pass until a condition holds, for limit at most, and returns how long that took.
func (f *Fleet) RunUntil(limit time.Duration, holds func() bool) time.Duration {
	from := f.Now()
	for !holds() && f.Now()-from < limit {
		f.RunFor(sampleInterval)
	}
	return f.Now() - from
}
