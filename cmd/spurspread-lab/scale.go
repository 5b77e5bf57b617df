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

// scaleRuns returns the runs that accept the flags of scale runs.
func scaleRuns() []scale.Experiment {
	return []scale.Experiment{scale.Rest, scale.Region, connectionsRun}
}

// connectionsRun is the scale run of one balancer with many connections. It ignores the flags, which are about a fleet.
// It is defined here because package connections does not import package scale.
var connectionsRun = scale.Experiment{
	Name: connections.Name, About: connections.About,
	Execute: func(ctx context.Context, o scale.Options) (*report.Report, error) {
		return connections.Run(ctx, o.Options)
	},
}

// scaleFlags are the flags that only scale runs accept.
type scaleFlags struct {
	Members   int           `help:"Number of balancers of the fleet, including real ones; 0: each of the run's sizes in turn."`
	Regions   int           `help:"Number of regions; 0: the run's default."`
	Zones     int           `help:"Number of zones in all regions together; 0: the run's default."`
	Flat      bool          `help:"One membership of all balancers, without zones."`
	Loss      float64       `help:"Share of the datagrams between regions that is lost during the whole run, such as 0.05."`
	Partition time.Duration `name:"cut" help:"Duration of each partition; 0: as long as the bounds require."`
}

// commandLine returns the flags with non-zero values as on a command line, each after a blank.
func (f scaleFlags) commandLine() (out string) {
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

// applyTo sets the flags of the experiment e if it is a scale run. It returns an error if flags are given for any other
// experiment, if the fault can't be injected in experiments of its kind, or if a flag's value is out of range.
func (f scaleFlags) applyTo(e runner, name, fault string) error {
	isScaleFault := slices.Contains(scale.InjectedFaults, scale.InjectedFault(fault))
	s, isScaleRun := e.(*scaleRun)
	switch {
	case !isScaleRun && f != (scaleFlags{}):
		return fmt.Errorf(
			"%s is not a scale run; only these accept --members, --regions, --zones, --flat, --loss and --cut",
			name,
		)
	case fault != "" && isScaleRun != isScaleFault:
		return fmt.Errorf("experiment %s does not support --plant %s", name, fault)
	case f.Loss < 0 || f.Loss >= 1:
		return fmt.Errorf("--loss %v is out of range: want at least 0 and less than 1", f.Loss)
	case isScaleRun:
		s.scaleFlags = f
	}
	return nil
}

// scaleRun is a scale run with its flags. It implements runner.
type scaleRun struct {
	scale.Experiment
	scaleFlags
}

// Run executes the scale run with its flags.
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

// scaleNames returns the names of the scale runs.
func scaleNames() (names []string) {
	for _, e := range scaleRuns() {
		names = append(names, e.Name)
	}
	return names
}

// findScale returns the scale run of this name, or nil if there is none.
func findScale(name string) *scaleRun {
	for _, e := range scaleRuns() {
		if e.Name == name {
			return &scaleRun{Experiment: e}
		}
	}
	return nil
}

// stubMembersCmd runs the stub members of a scale run, which starts such processes itself; see package scale.
type stubMembersCmd struct{}

// Run runs stub members, controlled by commands on standard input.
func (stubMembersCmd) Run(s *streams) error { return scale.RunStubMembers(os.Stdin, s.out) }
