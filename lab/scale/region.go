package scale

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"time"

	"spurspread/lab/report"
)

// Region is the run in which regions lose each other.
var Region = Experiment{
	Name: "scale-region", Play: playRegion,
	About: "a region is cut off from all others, whole and one way, and two from each other only: nobody is held dead",
}

const (
	// regionMembers are those of the fleet that the balancer is built for.
	regionMembers = 1500
	// partitionTime is how long a region is cut off, as issue 31 asks for; two regions lose each other for half of
	// that.
	partitionTime = 120 * time.Second
	// beforeTime is how long nothing happens before the first cut: what is spent at rest.
	beforeTime = 15 * time.Second
	// quietAfter is how long after a cut's beginning all is said that it brings.
	quietAfter = 45 * time.Second
	// calmTime is given after a healing before the next cut.
	calmTime = 3 * time.Second
	// leastRegions: two that are cut from each other need a third that sees both.
	minRegions = 2
)

// errFlat says that a run needs zones.
var errFlat = errors.New("scale-region cuts zones off from each other: a flat fleet has none")

func playRegion(ctx context.Context, o Options) (*report.Report, error) {
	if o.Flat {
		return nil, errFlat
	}
	members := cmp.Or(o.Members, regionMembers)
	r := newReport(fmt.Sprint("scale-region-", members), o)
	if o.PartitionTime > 0 && o.PartitionTime < partitionTime {
		r.Notes["shortened"] = fmt.Sprintf("cuts last %v, not %v", o.PartitionTime, partitionTime)
	}
	t, err := layOut(
		members,
		cmp.Or(o.reals, realsOf(members)),
		cmp.Or(o.Regions, targetRegions),
		cmp.Or(o.Zones, targetZones),
		false,
		o.Seed,
	)
	if err != nil {
		return nil, err
	}
	if t.Regions < minRegions {
		return nil, fmt.Errorf("scale-region needs %d regions", minRegions)
	}
	if err := playFleet(ctx, o, t, r, func(p *play) error {
		return p.regions(cmp.Or(o.PartitionTime,
			partitionTime))
	}); err != nil {
		return nil, err
	}
	check(r)
	return r, nil
}

// regions cuts one region off from all others, whole and then one way, and then two from each other.
func (p *play) regions(lasts time.Duration) error {
	p.atRest(cmp.Or(p.restTime, beforeTime))
	one := p.rng.IntN(p.t.Regions)
	in := p.t.ZonesOf(one)
	out := p.zonesBut(one)
	whole := partition{"cut", fmt.Sprintf("region %d is cut off from all others", one), in, out, true, true}
	if err := p.isolate(whole, lasts); err != nil {
		return err
	}
	oneWay := partition{"one way", fmt.Sprintf("nothing comes from region %d to others", one), in, out, true, false}
	if p.rng.IntN(2) == 0 {
		oneWay.from, oneWay.to, oneWay.what = out, in, fmt.Sprintf("nothing comes from others to region %d", one)
	}
	if err := p.isolate(oneWay, lasts); err != nil {
		return err
	}
	if p.t.Regions < 3 {
		return nil // nobody sees both
	}
	other := (one + 1 + p.rng.IntN(p.t.Regions-1)) % p.t.Regions
	pair := partition{
		"pair",
		fmt.Sprintf("regions %d and %d are cut off from each other only", one, other),
		in,
		p.t.ZonesOf(other),
		true,
		true,
	}
	return p.isolate(pair, lasts/2)
}

// zonesBut are the zones of all regions but one.
func (p *play) zonesBut(region int) (out []int) {
	for z := range p.t.Zones {
		if p.t.Region(z) != region {
			out = append(out, z)
		}
	}
	return out
}

// partition is what is done to the links between some zones and others.
type partition struct {
	name, what  string
	from, to    []int
	there, back bool // which directions are cut
}

// set cuts or heals the links.
func (p *play) set(c partition, on bool) error {
	var err error
	if c.there {
		err = p.link(c.from, c.to, on)
	}
	if c.back {
		err = errors.Join(err, p.link(c.to, c.from, on))
	}
	return err
}

// isolate cuts zones off for a while, in which a member of each side crashes and a record is published on one of
// them, and heals them: within the bounds all count as many as they reach, and have the record.
func (p *play) isolate(c partition, lasts time.Duration) error {
	m, err := p.fault(c.what, func() error { return p.set(c, true) })
	if err != nil {
		return err
	}
	if err := p.within(m, "count_everywhere", c.name, p.watch.counted); err != nil {
		return err
	}
	if err := p.crash(c.name+" crash on one side", p.draw(false, c.from)); err != nil {
		return err
	}
	if err := p.crash(c.name+" crash on the other", p.drawAny(c.to)); err != nil {
		return err
	}
	from := p.drawAny(c.from)
	value, err := p.spread(c.name+" record", from)
	if err != nil {
		return err
	}
	p.attend(false)
	p.pause(lasts - time.Since(time.UnixMicro(m.at)))
	if quiet := (span{m.at + quietAfter.Microseconds(), time.Now().UnixMicro()}); quiet.to-quiet.from >= window {
		p.quietCuts = append(p.quietCuts, quiet)
	}
	return p.heal(c, p.t.Zone(from), value)
}

// heal ends a cut: within the bounds all count all, and have what was published meanwhile.
func (p *play) heal(c partition, from int, value string) error {
	m, err := p.fault(c.name+" is healed", func() error { return p.set(c, false) })
	if err != nil {
		return err
	}
	if err := p.within(m, "count_everywhere", c.name+" healed", p.watch.counted); err != nil {
		return err
	}
	if err := p.within(m, "record_everywhere", c.name+" healed",
		p.watch.recorded(from, recordName, value)); err != nil {
		return err
	}
	p.pause(calmTime)
	return context.Cause(p.ctx)
}

// drawAny is a member that runs in one of some zones, a real one in half of all draws where there is one.
func (p *play) drawAny(zones []int) int {
	if i := p.draw(p.rng.IntN(2) == 0, zones); i >= 0 {
		return i
	}
	return p.draw(false, zones)
}
