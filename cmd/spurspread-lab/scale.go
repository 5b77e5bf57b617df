package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"time"

	"spurspread/lab/experiment"
	"spurspread/lab/report"
	"spurspread/lab/scale"
	"spurspread/lab/scale/connections"
)

// scaleRuns are the runs that take the flags of a scale run.
func scaleRuns() []scale.Experiment {
	return []scale.Experiment{scale.Rest, scale.Region, ofConnections}
}

// ofConnections is the scale run of one balancer. None of the flags of a fleet applies to it, and its package
// imports none of package scale.
var ofConnections = scale.Experiment{
	Name: connections.Name, About: connections.About,
	Execute: func(ctx context.Context, o scale.Options) (*report.Report, error) {
		return connections.Run(ctx, o.Options)
	},
}

// scaleFlags are the flags of scale runs.
type scaleFlags struct {
	Members   int           `help:"Balancers of the fleet, real ones among them; 0: each of the run's sizes in turn."`
	Regions   int           `help:"Regions that zones are laid out in; 0: the run's own number."`
	Zones     int           `help:"Zones of all regions together; 0: the run's own number."`
	Flat      bool          `help:"One membership for all, without zones."`
	Loss      float64       `help:"Part of the datagrams between regions that is lost for the whole run, such as 0.05."`
	Partition time.Duration `name:"cut" help:"How long each cut lasts; 0: as long as the bounds ask for."`
}

// asWritten are the flags that were given as on the command line, each with a blank before it.
func (f scaleFlags) asWritten() (out string) {
	for _, flag := range []struct {
		name  string
		value int
	}{
		{"members", f.Members},
		{"regions", f.Regions},
		{"zones", f.Zones},
	} {
		if flag.value != 0 {
			out += fmt.Sprintf(" --%s %d", flag.name, flag.value)
		}
	}
	if f.Flat {
		out += " --flat"
	}
	if f.Loss != 0 {
		out += fmt.Sprintf(" --loss %v", f.Loss)
	}
	if f.Partition != 0 {
		out += fmt.Sprintf(" --cut %v", f.Partition)
	}
	return out
}

// give hands the flags to a scale run. What only such runs know is refused for others, and the other way round.
func (f scaleFlags) give(e runner, name, plant string) error {
	ofScale := slices.Contains(scale.InjectedFaults, scale.InjectedFault(plant))
	s, is := e.(*scaleRun)
	switch {
	case !is && f != (scaleFlags{}):
		return fmt.Errorf(
			"%s is no scale run: --members, --regions, --zones, --flat, --loss and --cut say nothing to it",
			name,
		)
	case plant != "" && is != ofScale:
		return fmt.Errorf("%s has no fault %s to plant", name, plant)
	case f.Loss < 0 || f.Loss >= 1:
		return fmt.Errorf("--loss %v is no part: 0 to 1, less than 1", f.Loss)
	case is:
		s.scaleFlags = f
	}
	return nil
}

// scaleRun is a scale run with its flags, as an experiment of any kind.
type scaleRun struct {
	scale.Experiment
	scaleFlags
}

// Run plays it.
func (s *scaleRun) Run(ctx context.Context, o experiment.Options) (*report.Report, error) {
	return s.Execute(
		ctx,
		scale.Options{
			Options:       o,
			Members:       s.Members,
			Regions:       s.Regions,
			Zones:         s.Zones,
			Flat:          s.Flat,
			PartitionTime: s.Partition,
			Loss:          s.Loss,
		},
	)
}

// scaleNames are the names of the scale runs.
func scaleNames() (names []string) {
	for _, e := range scaleRuns() {
		names = append(names, e.Name)
	}
	return names
}

// findScale returns the scale run of that name, nil if there is none.
func findScale(name string) *scaleRun {
	for _, e := range scaleRuns() {
		if e.Name == name {
			return &scaleRun{Experiment: e}
		}
	}
	return nil
}

// hollowCmd is the process of hollow members that a scale run starts.
type hollowCmd struct{}

// Run runs hollow members as the commands on standard input have it.
func (hollowCmd) Run(s *streams) error { return scale.RunStubMembers(os.Stdin, s.out) }
