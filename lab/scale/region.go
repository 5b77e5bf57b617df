package scale

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"time"

	"spurspread/lab/report"
)

// Region is the run that partitions regions from each other.
var Region = Experiment{
	Name:    "scale-region",
	Execute: runRegion,
	About: "a region is partitioned from all others, both ways and one way, then two regions from each other only; " +
		"no running member may be declared dead",
}

const (
	// regionMembers is the size of the fleet that the balancer is designed for.
	regionMembers = 1500
	// defaultPartitionTime is the duration of the partition of a region from all others, as required by issue 31. The
	// partition between two regions takes half of it.
	defaultPartitionTime = 120 * time.Second
	// regionRestTime is the time without faults before the first partition, which is measured as the time at rest.
	regionRestTime = 15 * time.Second
	// steadyDelay is the time after the start of a partition by which the traffic that it causes has ended.
	steadyDelay = 45 * time.Second
	// healPause is the time between the end of a partition and the start of the next one.
	healPause = 3 * time.Second
	// minRegions is the number of regions that the run needs.
	minRegions = 2
	// minPairRegions is the number of regions that the partition of a pair needs: the two, and a third that reaches
	// both.
	minPairRegions = 3
)

// errFlat means that the run was started for a fleet without zones.
var errFlat = errors.New("scale-region partitions zones from each other: a flat fleet has no zones")

func runRegion(ctx context.Context, o Options) (*report.Report, error) {
	if o.Flat {
		return nil, errFlat
	}
	members := cmp.Or(o.Members, regionMembers)
	result := newReport(fmt.Sprint("scale-region-", members), o)
	if o.PartitionTime > 0 && o.PartitionTime < defaultPartitionTime {
		result.Notes["shortened"] = fmt.Sprintf("partitions last %v instead of %v",
			o.PartitionTime, defaultPartitionTime)
	}
	topology, err := o.topology(members)
	if err != nil {
		return nil, err
	}
	if topology.Regions < minRegions {
		return nil, fmt.Errorf("scale-region needs at least %d regions", minRegions)
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

// regionScenario partitions one region from all others, in both directions and then in one, and then a pair of regions.
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

// partition is a set of links that lose all datagrams, with its name in figures and its description in the report.
type partition struct {
	name        string
	description string
	from        []int // zones on the first side
	to          []int // zones on the second side
	outbound    bool  // whether links from the first side to the second are included
	inbound     bool  // whether links from the second side to the first are included
}

// regionPartition separates a region from all others, in both directions.
func regionPartition(topology *Topology, region int) partition {
	return partition{
		name:        "cut",
		description: fmt.Sprintf("region %d is partitioned from all others", region),
		from:        topology.ZonesOf(region),
		to:          topology.zonesExcept(region),
		outbound:    true,
		inbound:     true,
	}
}

// oneWayPartition loses the datagrams from a region to all others, or from all others to it if fromOthers is set.
func oneWayPartition(topology *Topology, region int, fromOthers bool) partition {
	p := partition{
		name:        "one way",
		description: fmt.Sprintf("datagrams from region %d to all others are lost", region),
		from:        topology.ZonesOf(region),
		to:          topology.zonesExcept(region),
		outbound:    true,
	}
	if fromOthers {
		p.description = fmt.Sprintf("datagrams from all others to region %d are lost", region)
		p.from, p.to = p.to, p.from
	}
	return p
}

// pairPartition separates two regions from each other; the other regions reach both.
func pairPartition(topology *Topology, region, other int) partition {
	return partition{
		name:        "pair",
		description: fmt.Sprintf("regions %d and %d are partitioned from each other only", region, other),
		from:        topology.ZonesOf(region),
		to:          topology.ZonesOf(other),
		outbound:    true,
		inbound:     true,
	}
}

// setPartition partitions the links, or heals them.
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

// partitionZones partitions zones for a duration and then heals the links. During the partition, a member on each side
// crashes and a member publishes a record. Within the bounds all members have to count the members that they can reach,
// and have the record.
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
	r.addSteadySpan(begin.at)
	return r.healPartition(ctx, p, r.topology.Zone(publisher), value)
}

// addSteadySpan adds the part of a partition from steadyDelay until now to steadySpans, if it is long enough to be
// measured.
func (r *run) addSteadySpan(begin int64) {
	steady := span{begin + steadyDelay.Microseconds(), time.Now().UnixMicro()}
	if steady.to-steady.from >= windowMicros {
		r.steadySpans = append(r.steadySpans, steady)
	}
}

// healPartition ends a partition. Within the bounds all members have to count the whole fleet, and have the record that
// was published during the partition.
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

// pickAny draws a running member in one of the zones. Half of the draws are for a real member, and fall back to a stub
// if no real one runs there.
func (r *run) pickAny(zones []int) (member int, ok bool) {
	if member, ok := r.pickRunning(r.rng.IntN(2) == 0, zones); ok {
		return member, true
	}
	return r.pickRunning(false, zones)
}
