// Package scale plays a fleet of balancers at the size that it is built for: some real processes beside hollow
// members, which run the production decider and transport without clients, servers, discovery and admin listener,
// many to a process.
package scale

import (
	"context"
	"time"

	"spurspread/lab/experiment"
	"spurspread/lab/report"
)

// Options are what a run is played with. A number of 0 stands for the run's own default.
type Options struct {
	experiment.Options
	Members       int           // of the fleet, real ones among them; 0: each of the run's sizes, one after another
	Regions       int           // failure domains that hold whole zones
	Zones         int           // of all regions together
	Flat          bool          // one membership for all, without zones
	PartitionTime time.Duration // how long each cut lasts
	Loss          float64       // part of the datagrams between regions that is lost, for the whole run

	// What tests set: how many members are real, how long nothing happens, how long anything is awaited, that a run
	// is judged also where timers came late, and that it ends with the first thing that is awaited in vain.
	reals          int
	rest, patience time.Duration
	starvedToo     bool
	hasty          bool
}

// Experiment is one scale run.
type Experiment struct {
	Name, About string
	Play        func(ctx context.Context, o Options) (*report.Report, error)
}
