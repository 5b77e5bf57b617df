package scale

import (
	"cmp"
	"context"
	"fmt"
	"time"

	"spurspread/lab/report"
)

// Sizes are those that scale-rest plays one after another where none is given.
var Sizes = []int{60, 125, 300, 600, 1000, 1500}

// The shape of the fleet that the balancer is built for.
const (
	targetRegions = 5
	targetZones   = 12
	// restTime is how long nothing happens, settleTime how long before that members are given to tell what they
	// have found.
	restTime   = 30 * time.Second
	settleTime = 3 * time.Second
)

// Rest is the run in which nothing happens, and then one thing at a time.
var Rest = Experiment{
	Name: "scale-rest", Play: playRest,
	About: "a fleet at rest, then one crash, one restart and one record: cost and time until all know",
}

func playRest(ctx context.Context, o Options) (*report.Report, error) {
	if o.Members != 0 {
		return playRestAt(ctx, o, o.Members)
	}
	sweep := newSweep(o)
	for _, members := range Sizes {
		one, err := playRestAt(ctx, o, members)
		if err != nil {
			return nil, fmt.Errorf("%d members: %w", members, err)
		}
		sweep.add(members, one)
	}
	return sweep.report(), nil
}

func newReport(name string, o Options) *report.Report {
	return &report.Report{
		Experiment: name,
		Seed:       o.Seed, Command: o.Command, Commit: o.Commit, Figures: map[string]float64{},
		Notes: map[string]string{},
	}
}

// playRestAt plays one size.
func playRestAt(ctx context.Context, o Options, members int) (*report.Report, error) {
	name := fmt.Sprint("scale-rest-", members)
	if o.Flat {
		name += "-flat"
	}
	r := newReport(name, o)
	t, err := layOut(
		members,
		cmp.Or(o.reals, realsOf(members)),
		cmp.Or(o.Regions, targetRegions),
		cmp.Or(o.Zones, targetZones),
		o.Flat,
		o.Seed,
	)
	if err != nil {
		return nil, err
	}
	if err := playFleet(ctx, o, t, r, (*play).quiet); err != nil {
		return nil, err
	}
	check(r, unmeasured(o)...)
	return r, nil
}

// unmeasured are the bounds that a run does not measure: a fleet without zones has no records.
func unmeasured(o Options) []string {
	if o.Flat {
		return []string{"record_everywhere_ms"}
	}
	return nil
}

// quiet lets nothing happen for a while, and then one thing after another.
func (p *play) quiet() error {
	p.atRest(cmp.Or(p.restTime, restTime))
	all := p.allZones()
	if err := p.crash("crash hollow", p.draw(false, all)); err != nil {
		return err
	}
	if err := p.crash("crash real", p.draw(true, all)); err != nil {
		return err
	}
	if err := p.cycle("restart real", p.draw(true, all)); err != nil {
		return err
	}
	if err := p.cycle("restart hollow", p.draw(false, all)); err != nil {
		return err
	}
	if p.t.Flat {
		return p.ctx.Err()
	}
	if _, err := p.spread("record hollow", p.draw(false, all)); err != nil {
		return err
	}
	if _, err := p.spread("record real", p.draw(true, all)); err != nil {
		return err
	}
	p.pause(2 * time.Second) // so that the last bytes are told
	return nil
}
