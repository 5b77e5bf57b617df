package zoned

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"spurspread/decision/membership"
	"spurspread/decision/zonedirectory"
	"spurspread/lab/link"
	"spurspread/lab/simulation"
	"time"
)

// Delays: within a zone, between two zones of a region, and between two regions, drawn for each pair.
const (
	zoneDelay, zoneJitter     = 200 * time.Microsecond, 400 * time.Microsecond
	regionDelay, regionJitter = time.Millisecond, time.Millisecond
	minFarDelay, maxFarDelay  = 10 * time.Millisecond, 80 * time.Millisecond

	// seedsPerZone is how many members of each zone all know from the start.
	seedsPerZone = 2
	// leaveTime is how long a process that goes runs on.
	leaveTime = 500 * time.Millisecond
	// sampleEvery is how often the checker looks.
	sampleEvery = 50 * simulation.Millisecond
	budgetSpan  = 10 // seconds, for which the worst bytes are counted
)

// Shape is a fleet: how many members each zone has, and in which region it is.
type Shape struct {
	Members []int
	Region  []int
	// SeedZones are those whose first members are the seeds of all; all zones where it is nil.
	SeedZones []int
	// Loss is the part of messages between regions that is lost.
	Loss float64
}

// Even is a shape of so many members in zones of about the same size, dealt out to regions in turn.
func Even(members, zones, regions int) (s Shape) {
	for z := range zones {
		s.Members = append(s.Members, (members+z)/zones)
		s.Region = append(s.Region, z%regions)
	}
	return s
}

// Fleet is a fleet that is played.
type Fleet struct {
	*simulation.Cluster
	Zones   [][]int // members of each
	shape   Shape
	fault   *Fault
	sites   []zonedirectory.Site // of zones
	zoneOf  []int                // the zone of each member
	up      []bool
	members []*balancer // the processes
	links   [][]*link.Link
	severed map[[2]int]bool // members between which nothing comes through, one way

	checker
}

// New returns a fleet whose members are started in the first second.
func New(shape Shape, seed uint64, plant *Fault) *Fleet {
	f := &Fleet{shape: shape, fault: plant, severed: map[[2]int]bool{}}
	for z, n := range shape.Members {
		f.sites = append(
			f.sites,
			zonedirectory.Site{Region: fmt.Sprint("region-", shape.Region[z]), Zone: fmt.Sprint("zone-", z)},
		)
		f.Zones = append(f.Zones, nil)
		for range n {
			f.Zones[z] = append(f.Zones[z], len(f.zoneOf))
			f.zoneOf = append(f.zoneOf, z)
		}
	}
	n := len(f.zoneOf)
	f.up, f.members = make([]bool, n), make([]*balancer, n)
	f.Cluster = simulation.NewCluster(n, seed, link.Link{}, f.build)
	f.connect(seed)
	f.LinkBetween = f.between
	f.checker.begin(f)
	for i := range n {
		f.After(time.Duration(f.Rand().Int64N(int64(time.Second))), func() { f.start(i) })
	}
	return f
}

// connect draws how zones are connected.
func (f *Fleet) connect(seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 0x7a6f6e6573))
	far := map[[2]int]time.Duration{}
	for a := range f.Zones {
		f.links = append(f.links, nil)
		for b := range f.Zones {
			l := &link.Link{Delay: zoneDelay, Jitter: zoneJitter}
			ra, rb := f.shape.Region[a], f.shape.Region[b]
			pair := [2]int{min(ra, rb), max(ra, rb)}
			if _, ok := far[pair]; !ok {
				far[pair] = minFarDelay + time.Duration(rng.Int64N(int64(maxFarDelay-minFarDelay)))
			}
			if ra != rb {
				*l = link.Link{Delay: far[pair], Jitter: far[pair] / 10, Loss: f.shape.Loss}
			} else if a != b {
				*l = link.Link{Delay: regionDelay, Jitter: regionJitter}
			}
			f.links[a] = append(f.links[a], l)
		}
	}
}

var noLink = &link.Link{Partitioned: true}

func (f *Fleet) between(from, to int) *link.Link {
	if len(f.severed) > 0 && f.severed[[2]int{from, to}] {
		return noLink
	}
	return f.links[f.zoneOf[from]][f.zoneOf[to]]
}

// build makes a member's process.
func (f *Fleet) build(w *simulation.Cluster, i, start int) simulation.Detector {
	now := simulation.Micros(w.Now().Microseconds())
	self := membership.Self{
		ID:       simulation.MemberID(i),
		Name:     simulation.Name(i),
		Addr:     simulation.Addr(i),
		Instance: uint64(now)<<8 | uint64(start),
	}
	site := f.sites[f.zoneOf[i]]
	seeds := f.seeds()
	cfg := zonedirectory.Config{
		Self: zonedirectory.Self{
			ID:       zonedirectory.MemberID(self.ID),
			Addr:     self.Addr,
			Instance: self.Instance,
		}, Site: site, Seeds: seeds,
		ExpectedMembers: len(f.zoneOf), RandomSeed: w.Rand().Uint64(), RateDivisor: &membership.RateDivisor{},
	}
	if f.fault != nil && f.fault.rank != nil {
		cfg.Rank = f.fault.rank()
	}
	b := &balancer{
		id: self.ID, zoneID: site.ID(), directory: zonedirectory.New(cfg, now), fault: f.fault,
		fleet: membership.New(
			membership.Config{
				Self:        self,
				Incarnation: uint64(now / 1000),
				Seeds:       seeds,
				RandomSeed:  w.Rand().Uint64(),
			},
			now,
		),
	}
	f.members[i] = b
	return b
}

func (f *Fleet) seeds() (out []netip.AddrPort) {
	zones := f.shape.SeedZones
	if zones == nil {
		for z := range f.Zones {
			zones = append(zones, z)
		}
	}
	for _, z := range zones {
		for _, i := range f.Zones[z][:min(seedsPerZone, len(f.Zones[z]))] {
			out = append(out, simulation.Addr(i))
		}
	}
	return out
}

func (f *Fleet) start(i int) {
	f.up[i] = true
	f.Start(i)
}

// Crash ends processes without a word.
func (f *Fleet) Crash(members ...int) {
	for _, i := range members {
		f.up[i] = false
		f.Kill(i)
	}
}

// Restart ends processes without a word and starts new ones in their place.
func (f *Fleet) Restart(members ...int) {
	f.Crash(members...)
	for _, i := range members {
		f.start(i)
	}
}

// Leave has a process go in the planned way.
func (f *Fleet) Leave(i int) {
	f.Stop(i)
	f.After(leaveTime, func() { f.up[i] = false })
}

// SetPartition has nothing come through from some zones to others, or again.
func (f *Fleet) SetPartition(from, to []int, cut bool) {
	for _, a := range from {
		for _, b := range to {
			if a != b {
				f.links[a][b].Partitioned = cut
			}
		}
	}
}

// Sever has nothing come through from some members to others.
func (f *Fleet) Sever(from, to []int) {
	for _, a := range from {
		for _, b := range to {
			f.severed[[2]int{a, b}] = true
		}
	}
}

// Reconnect ends what Apart has done.
func (f *Fleet) Reconnect() { clear(f.severed) }

// In lists the zones of a region, and Outside all others.
func (f *Fleet) In(region int) (out []int) {
	for z, r := range f.shape.Region {
		if r == region {
			out = append(out, z)
		}
	}
	return out
}

// Outside lists the zones that are not in a region.
func (f *Fleet) Outside(region int) (out []int) {
	for z, r := range f.shape.Region {
		if r != region {
			out = append(out, z)
		}
	}
	return out
}

// MembersOf lists the members of zones, of all where it is nil.
func (f *Fleet) MembersOf(zones []int) (out []int) {
	if zones == nil {
		zones = f.all()
	}
	for _, z := range zones {
		out = append(out, f.Zones[z]...)
	}
	return out
}

// Delegates lists a zone's first members by rank that are up, as one of them sees it.
func (f *Fleet) Delegates(z, n int) (out []int) {
	for _, i := range f.Zones[z] {
		if !f.up[i] {
			continue
		}
		for _, v := range f.members[i].directory.Views() {
			if v.Own && len(v.Contacts) > 0 {
				for _, c := range v.Contacts[:min(n, len(v.Contacts))] {
					out = append(out, simulation.Index(c.Addr))
				}
				return out
			}
		}
	}
	return out
}

// Publish has a member publish a record.
func (f *Fleet) Publish(i int, name, value string) (zonedirectory.Record, error) {
	return f.members[i].directory.Publish(simulation.Micros(f.Cluster.Now().Microseconds()), name, value)
}

// For goes on for a while.
func (f *Fleet) For(d time.Duration) {
	until := f.Cluster.Now() + d
	for f.Cluster.Now() < until {
		f.Run(
			min(
				simulation.Micros(until.Microseconds()),
				simulation.Micros(f.Cluster.Now().Microseconds())+sampleEvery,
			),
		)
		f.sample()
	}
}

// Until goes on until something holds, and returns how long that took; at most for so long.
func (f *Fleet) Until(most time.Duration, holds func() bool) time.Duration {
	from := f.Cluster.Now()
	for !holds() && f.Cluster.Now()-from < most {
		f.For(time.Duration(sampleEvery) * time.Microsecond)
	}
	return f.Cluster.Now() - from
}
