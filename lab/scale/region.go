package scale

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"time"

	"spurspread/lab/report"
)

// Region is the run in which regions are partitioned from each other.
var Region = Experiment{
	Name:    "scale-region",
	Execute: runRegion,
	About: "a region is cut off from all others, whole and one way, and two from each other only: " +
		"nobody is held dead",
}

const (
	// regionMembers is the size of the fleet that the balancer is designed for.
	regionMembers = 1500
	// defaultPartitionTime is how long a region is partitioned from all others, as issue 31 requires; two regions
	// lose each other for half of it.
	defaultPartitionTime = 120 * time.Second
	// regionRestTime is how long nothing happens before the first partition, which is measured as rest.
	regionRestTime = 15 * time.Second
	// quietDelay is how long after the beginning of a partition the traffic that it causes has ended.
	quietDelay = 45 * time.Second
	// healPause is the time between a healing and the next partition.
	healPause = 3 * time.Second
	// minRegions is how many regions the run needs.
	minRegions = 2
	// minPairRegions is how many regions the partition of a pair needs: the two, and a third that reaches both.
	minPairRegions = 3
)

// errFlat means that the run was given a fleet without zones.
var errFlat = errors.New("scale-region cuts zones off from each other: a flat fleet has none")

func runRegion(ctx context.Context, o Options) (*report.Report, error) {
	if o.Flat {
		return nil, errFlat
	}
	members := cmp.Or(o.Members, regionMembers)
	result := newReport(fmt.Sprint("scale-region-", members), o)
	if o.PartitionTime > 0 && o.PartitionTime < defaultPartitionTime {
		result.Notes["shortened"] = fmt.Sprintf("cuts last %v, not %v", o.PartitionTime, defaultPartitionTime)
	}
	topology, err := o.topology(members)
	if err != nil {
		return nil, err
	}
	if topology.Regions < minRegions {
		return nil, fmt.Errorf("scale-region needs %d regions", minRegions)
	}
	duration := cmp.Or(o.PartitionTime, defaultPartitionTime)
	err = execute(ctx, o, topology, result, func(ctx context.Context, r *run) error {
		return regionScenario(ctx, r, duration)
	})
	if err != nil {
		return nil, err
	}
	checkBounds(result)
	return result, nil
}

// regionScenario partitions one region from all others, both ways and then one way, and then a pair of regions.
func regionScenario(ctx context.Context, r *run, duration time.Duration) error {
	r.measureRest(ctx, cmp.Or(r.restTime, regionRestTime))
	region := r.rng.IntN(r.topology.Regions)
	if err := r.partitionZones(ctx, regionPartition(r.topology, region), duration); err != nil {
		return err
	}
	fromOthers := r.rng.IntN(2) == 0
	if err := r.partitionZones(ctx, oneWayPartition(r.topology, region, fromOthers), duration); err != nil {
		return err
	}
	if r.topology.Regions < minPairRegions {
		return nil
	}
	other := (region + 1 + r.rng.IntN(r.topology.Regions-1)) % r.topology.Regions
	return r.partitionZones(ctx, pairPartition(r.topology, region, other), duration/2)
}

// partition is a set of links that lose all datagrams, and how it is named in figures and the report.
type partition struct {
	name        string
	description string
	from        []int // zones on one side
	to          []int // zones on the other
	outbound    bool  // links from from to to
	inbound     bool  // links from to to from
}

// regionPartition separates a region from all others, both ways.
func regionPartition(topology *Topology, region int) partition {
	return partition{
		name:        "cut",
		description: fmt.Sprintf("region %d is cut off from all others", region),
		from:        topology.ZonesOf(region),
		to:          topology.zonesExcept(region),
		outbound:    true,
		inbound:     true,
	}
}

// oneWayPartition loses what a region sends to others, or what others send to it.
func oneWayPartition(topology *Topology, region int, fromOthers bool) partition {
	p := partition{
		name:        "one way",
		description: fmt.Sprintf("nothing comes from region %d to others", region),
		from:        topology.ZonesOf(region),
		to:          topology.zonesExcept(region),
		outbound:    true,
	}
	if fromOthers {
		p.description = fmt.Sprintf("nothing comes from others to region %d", region)
		p.from, p.to = p.to, p.from
	}
	return p
}

// pairPartition separates two regions from each other; all others reach both.
func pairPartition(topology *Topology, region, other int) partition {
	return partition{
		name:        "pair",
		description: fmt.Sprintf("regions %d and %d are cut off from each other only", region, other),
		from:        topology.ZonesOf(region),
		to:          topology.ZonesOf(other),
		outbound:    true,
		inbound:     true,
	}
}

// setPartition partitions or heals the links.
func (r *run) setPartition(p partition, partitioned bool) error {
	var errs []error
	if p.outbound {
		errs = append(errs, r.setLinks(p.from, p.to, partitioned))
	}
	if p.inbound {
		errs = append(errs, r.setLinks(p.to, p.from, partitioned))
	}
	return errors.Join(errs...)
}

// partitionZones partitions zones for a duration, in which a member of each side crashes and a record is published
// on one of them, and heals the links. Within the bounds all members count as many as they can reach, and have the
// record.
func (r *run) partitionZones(ctx context.Context, p partition, duration time.Duration) error {
	begin, err := r.injectFault(ctx, p.description, func() error { return r.setPartition(p, true) })
	if err != nil {
		return err
	}
	if err := r.awaitBound(ctx, begin, "count_everywhere", p.name, r.monitor.countsComplete); err != nil {
		return err
	}
	if err := r.crashOne(ctx, p.name+" crash on one side", false, p.from); err != nil {
		return err
	}
	if member, ok := r.pickAny(p.to); ok {
		if err := r.crash(ctx, p.name+" crash on the other", member); err != nil {
			return err
		}
	}
	publisher, ok := r.pickAny(p.from)
	if !ok {
		return fmt.Errorf("%s record: %w", p.name, errNoMember)
	}
	value, err := r.publishRecord(ctx, p.name+" record", publisher)
	if err != nil {
		return err
	}
	r.setFastPolling(false)
	pause(ctx, duration-time.Since(time.UnixMicro(begin.at)))
	r.addQuietPartition(begin.at)
	return r.healPartition(ctx, p, r.topology.Zone(publisher), value)
}

// addQuietPartition adds the quiet part of a partition that ends now, if it is long enough to be measured.
func (r *run) addQuietPartition(begin int64) {
	quiet := span{begin + quietDelay.Microseconds(), time.Now().UnixMicro()}
	if quiet.to-quiet.from >= windowMicros {
		r.quietPartitions = append(r.quietPartitions, quiet)
	}
}

// healPartition ends a partition: within the bounds all members count all, and have the record that was published
// meanwhile.
func (r *run) healPartition(ctx context.Context, p partition, publisherZone int, value string) error {
	begin, err := r.injectFault(ctx, p.name+" is healed", func() error { return r.setPartition(p, false) })
	if err != nil {
		return err
	}
	fault := p.name + " healed"
	if err := r.awaitBound(ctx, begin, "count_everywhere", fault, r.monitor.countsComplete); err != nil {
		return err
	}
	seen := r.monitor.recordSeen(publisherZone, recordName, value)
	if err := r.awaitBound(ctx, begin, "record_everywhere", fault, seen); err != nil {
		return err
	}
	pause(ctx, healPause)
	return context.Cause(ctx)
}

// pickAny draws a member that runs in one of some zones: half of all draws are for a real one, and find a stub
// where no real one runs there.
func (r *run) pickAny(zones []int) (member int, ok bool) {
	if member, ok := r.pickRunning(r.rng.IntN(2) == 0, zones); ok {
		return member, true
	}
	return r.pickRunning(false, zones)
}
