// Package scale runs a fleet of balancers at the size that it is designed for, on one machine, and measures its cost
// and reaction times. Some members are real processes of the program. The others are stub members, many to a process:
// they run the production decision core and transport, without clients, servers, discovery and admin listener. Links
// between members have the delays of a deployment in several regions.
//
// A run starts a fleet, waits until all members know each other, executes its scenario (crashes, restarts, published
// records, partitions), and reports figures, which are checked against bounds. Members are observed from outside: the
// package knows the management commands, the log and the datagram format of the balancer, and makes no decision for it.
// A run whose own processes were short of processor time is not valid, and reports no figure of the fleet.
//
// Rest and Region are the runs. RunStubMembers is the main function of a process of stub members, which a run starts as
// a child process. Stub members are called "hollow" in the names of figures and faults and of the command that starts
// them.
package scale

import (
	"context"
	"time"

	"spurspread/lab/experiment"
	"spurspread/lab/report"
)

// Options are the parameters of a run. A zero value selects the default of the run.
type Options struct {
	experiment.Options
	Members       int           // fleet size, real members included; 0: default, or each of Sizes in turn
	Regions       int           // number of failure domains that consist of whole zones; 0: default
	Zones         int           // number of zones in all regions; 0: default
	Flat          bool          // one membership for all members, without zones
	PartitionTime time.Duration // duration of each partition; 0: default
	Loss          float64       // share of the datagrams between regions that is lost throughout the run, in [0, 1)

	testOptions
}

// testOptions shorten a run for tests. The program leaves them zero.
type testOptions struct {
	realMembers  int             // number of real members
	restTime     time.Duration   // time without faults before the first one; 0: default
	waitLimit    time.Duration   // limit of each wait; 0: default
	allowStarved bool            // report the figures of the fleet even if the run was short of processor time
	failFast     bool            // end the run at the first condition that is not met within its limit
	stubCommand  stubCommandFunc // starts a process of stub members; nil: this program
}

// Experiment is a run that is selected by its name.
type Experiment struct {
	Name  string
	About string // one line for the list of experiments
	// Execute carries out the run. An error means that the run could not be completed; a missed bound is not an error,
	// but marked in the report.
	Execute func(ctx context.Context, o Options) (*report.Report, error)
}
