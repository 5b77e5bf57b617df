package scale

import (
	"cmp"
	"context"
	"fmt"
	"time"

	"spurspread/lab/report"
)

// Sizes are the fleet sizes that scale-rest measures in turn if no size is given.
var Sizes = []int{60, 125, 300, 600, 1000, 1500}

// Numbers of regions and zones of the fleet that the balancer is designed for.
const (
	targetRegions = 5
	targetZones   = 12
)

const (
	// defaultRestTime is the time without faults before the first fault, which is measured as the time at rest.
	defaultRestTime = 30 * time.Second
	// settleTime is the time before the time at rest in which members complete protocol exchanges that are in progress.
	settleTime = 3 * time.Second
	// trafficDelay is the time that a run waits after its last fault for the samples that contain its traffic.
	trafficDelay = 2 * time.Second
)

// restRun is the name of the run Rest.
const restRun = "scale-rest"

// Rest is the run that measures a fleet at rest, and then the reaction to one fault or change at a time.
var Rest = Experiment{
	Name:    restRun,
	Execute: runRest,
	About:   "a fleet at rest, then crashes, restarts and records one at a time: cost, and time until all members know",
}

func runRest(ctx context.Context, o Options) (*report.Report, error) {
	if o.Members != 0 {
		return runRestAt(ctx, o, o.Members)
	}
	sweep := newSweep(o)
	for _, members := range Sizes {
		result, err := runRestAt(ctx, o, members)
		if err != nil {
			return nil, fmt.Errorf("%d members: %w", members, err)
		}
		sweep.add(members, result)
	}
	return sweep.report(), nil
}

// newReport returns a report without figures and notes.
func newReport(name string, o Options) *report.Report {
	return &report.Report{
		Experiment: name,
		Seed:       o.Seed,
		Command:    o.Command,
		Commit:     o.Commit,
		Figures:    map[string]float64{},
		Notes:      map[string]string{},
	}
}

// restName returns the name of a report of scale-rest, with a suffix such as the size.
func restName(o Options, suffix string) string {
	name := restRun + suffix
	if o.Flat {
		name += "-flat"
	}
	return name
}

// runRestAt measures a fleet of one size.
func runRestAt(ctx context.Context, o Options, members int) (*report.Report, error) {
	topology, err := o.topology(members)
	if err != nil {
		return nil, err
	}
	result := newReport(restName(o, fmt.Sprint("-", members)), o)
	if err := execute(ctx, o, topology, result, restScenario); err != nil {
		return nil, err
	}
	checkBounds(result, unmeasuredBounds(o)...)
	return result, nil
}

// topology returns the topology of a fleet of a size. Values that the options do not give are those of the fleet that
// the balancer is designed for.
func (o *Options) topology(members int) (*Topology, error) {
	return newTopology(
		members,
		cmp.Or(o.realMembers, realMemberCount(members)),
		cmp.Or(o.Regions, targetRegions),
		cmp.Or(o.Zones, targetZones),
		o.Flat,
		o.Seed,
	)
}

// unmeasuredBounds returns the bounds that a run does not measure: a fleet without zones has no records.
func unmeasuredBounds(o Options) []string {
	if o.Flat {
		return []string{"record_everywhere_ms"}
	}
	return nil
}

// restScenario measures the fleet at rest, and then crashes, restarts and published records one after another.
func restScenario(ctx context.Context, r *run) error {
	r.measureRest(ctx, cmp.Or(r.restTime, defaultRestTime))
	zones := r.topology.allZones()
	if err := r.crashOne(ctx, "crash hollow", false, zones); err != nil {
		return err
	}
	if err := r.crashOne(ctx, "crash real", true, zones); err != nil {
		return err
	}
	if err := r.restartOne(ctx, "restart real", true, zones); err != nil {
		return err
	}
	if err := r.restartOne(ctx, "restart hollow", false, zones); err != nil {
		return err
	}
	if r.topology.Flat {
		return ctx.Err()
	}
	if err := r.publishOne(ctx, "record hollow", false, zones); err != nil {
		return err
	}
	if err := r.publishOne(ctx, "record real", true, zones); err != nil {
		return err
	}
	pause(ctx, trafficDelay)
	return nil
}
