// Package scale measures a fleet of balancers at the size that it is designed for, on one machine. Some members are
// real processes of the program; the others are stub members: the production decider and transport without
// clients, servers, discovery and admin listener, many to a process. Links between the members have the delays of a
// deployment in several regions.
//
// A run starts a fleet, waits until all members know each other, carries out its scenario (crashes, restarts,
// published records, partitions), and reports figures and the bounds that they have to meet. What the members do is
// observed from outside: the package knows the admin interface, the log and the datagram format of the balancer, and
// decides nothing for it. A run whose own processes had too little processor time is not valid and reports no figure
// of the fleet.
//
// Rest and Region are the runs. RunStubMembers is the main function of a process of stub members, which a run starts as
// a child process.
package scale

import (
	"context"
	"time"

	"spurspread/lab/experiment"
	"spurspread/lab/report"
)

// Options are the parameters of a run. A zero value stands for the default of the run.
type Options struct {
	experiment.Options
	Members       int           // size of the fleet, real members included; 0: each of the run's sizes in turn
	Regions       int           // number of failure domains that consist of whole zones
	Zones         int           // number of zones of all regions together
	Flat          bool          // one membership for all members, without zones
	PartitionTime time.Duration // length of each partition
	Loss          float64       // share of the datagrams between regions that is lost during the whole run, in [0, 1)

	testOptions
}

// testOptions make runs short enough for tests. The program leaves them zero.
type testOptions struct {
	realMembers  int             // number of real members
	restTime     time.Duration   // how long nothing happens before the first fault
	waitLimit    time.Duration   // bound of each wait
	allowStarved bool            // keep the figures also where timers came late
	failFast     bool            // end the run at the first condition that does not come to hold
	stubCommand  stubCommandFunc // nil: this program's own
}

// Experiment is a run that can be chosen by its name.
type Experiment struct {
	Name  string
	About string // one line for the list of experiments
	// Execute carries out the run. An error means that the run could not be completed; bounds that were missed are
	// in the report.
	Execute func(ctx context.Context, o Options) (*report.Report, error)
}
