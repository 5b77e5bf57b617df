// Package connections measures what the connections of one real balancer cost, by their number: memory, processor
// time and delay. All is read from outside the process, on loopback, between clients and stand-in servers of the
// harness. Lines are due by a clock that does not wait for answers, and their delay counts from when they were due.
// Where the harness itself ran late, a figure is left out and a note says 'not valid'.
//
// The harness runs on loops of lab/netloop, on threads of its own. How late it sends and how late its timers fire is
// measured, too, so that its own delays are not taken for the balancer's. It knows the client and server protocol,
// discovery and settings of the balancer, and none of its decisions.
package connections

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"slices"
	"time"

	"spurspread/lab/experiment"
	"spurspread/lab/report"
)

// Name is the name of the run.
const Name = "scale-connections"

// About is the description of the run in the list of experiments.
const About = "one balancer by its number of connections: memory of each, processor time of set-ups, lines and " +
	"reconnects, delay"

// plan is how much a run measures.
type plan struct {
	sizes         []int         // numbers of established connections
	listedServers int           // servers that discovery lists
	listeners     int           // addresses that they have
	loops         int           // of clients, and of servers
	setUpRate     float64       // connections per second while they are set up
	lineRates     []float64     // lines that clients send per second, one step after another
	stepTime      time.Duration // of each line rate
	restTime      time.Duration // without any line
	churnTime     time.Duration // of set-ups without a pause
	listChanges   int           // of discovery's list
}

// fullPlan returns the plan of a run that is kept. The number of listed servers follows from the slow-start budget of
// each (18 at once, 10.5 a second): with fewer, that would bound set-ups before the program does.
func fullPlan() *plan {
	return &plan{
		sizes:         []int{2000, 3500, 5000, 7000, 10000, 20000},
		listedServers: 400,
		listeners:     16,
		loops:         2,
		setUpRate:     3000,
		lineRates:     []float64{baselineRate, referenceRate, 10000, 20000, 30000, 40000, 50000, 60000, 80000, 100000},
		stepTime:      time.Second,
		restTime:      2 * time.Second,
		churnTime:     1500 * time.Millisecond,
		listChanges:   20,
	}
}

const (
	// baselineRate is the rate of the first step: so few lines that none waits for another.
	baselineRate = 500
	// referenceRate is a rate that is sustained at all sizes; the cost of a line is compared at it.
	referenceRate = 5000
	// spareDescriptors are those that the harness and the balancer need besides the measured connections: listeners,
	// discovery, clients that churn, and connections that have ended and are not closed yet.
	spareDescriptors = 400
	// A balancer reserves this part of its descriptors, and some more, for set-ups (internal/proxy): with fewer left
	// it closes idle connections and rejects new ones.
	reservedDivisor = 16
	reservedExtra   = 16
	// descriptorsPerConnection is how many an established connection takes of the balancer, and of the harness.
	descriptorsPerConnection = 2
	// maxWait bounds waits; what has not happened by then is visible in the figures.
	maxWait = 20 * time.Second
	// settleTime is how long counts and memory have until they are read.
	settleTime = 300 * time.Millisecond
)

// Run carries out the full plan. An error means that the run could not be completed; bounds that were missed are in
// the report.
func Run(ctx context.Context, o experiment.Options) (*report.Report, error) {
	return runPlan(ctx, o, fullPlan())
}

// run is the execution of a plan.
type run struct {
	plan         *plan
	options      experiment.Options
	dir          string
	descriptors  int // that a process may hold
	load         *load
	servers      *servers
	report       *report.Report
	measurements []measurement
}

func runPlan(ctx context.Context, o experiment.Options, p *plan) (*report.Report, error) {
	dir, err := os.MkdirTemp("", "spurspread-lab")
	if err != nil {
		return nil, fmt.Errorf("directory of the balancers: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	r := &run{plan: p, options: o, dir: dir, report: newReport(o)}
	if r.descriptors, err = raiseDescriptorLimit(); err != nil {
		return nil, err
	}
	if r.servers, err = startServers(p.loops, p.listeners); err != nil {
		return nil, err
	}
	defer r.servers.close()
	if r.load, err = startLoad(p.loops, o.Seed); err != nil {
		return nil, err
	}
	defer r.load.close()
	for _, size := range r.sizes() {
		if err := r.measureSize(ctx, size); err != nil {
			return nil, fmt.Errorf("%d connections: %w", size, err)
		}
	}
	r.recordFigures()
	return r.report, nil
}

func newReport(o experiment.Options) *report.Report {
	return &report.Report{
		Experiment: Name,
		Seed:       o.Seed,
		Command:    o.Command,
		Commit:     o.Commit,
		Figures:    map[string]float64{},
		Notes:      map[string]string{},
	}
}

// maxEstablished is how many connections may be established at once by a limit of descriptors, which is the same for
// the balancer and the harness.
func maxEstablished(descriptors int) int {
	ofBalancer := descriptors - descriptors/reservedDivisor - reservedExtra - spareDescriptors
	ofHarness := descriptors - spareDescriptors
	return min(ofBalancer/descriptorsPerConnection, ofHarness/descriptorsPerConnection)
}

// sizes returns the sizes of the plan, ascending; in place of those that the descriptors do not allow, the largest
// that they do.
func (r *run) sizes() []int {
	largest := maxEstablished(r.descriptors)
	var sizes []int
	for _, size := range r.plan.sizes {
		if size > largest {
			r.report.Notes["descriptors"] = fmt.Sprintf(
				"a process may hold %d: %d connections stand at most, and not %d",
				r.descriptors,
				largest,
				slices.Max(r.plan.sizes),
			)
		}
		sizes = append(sizes, min(size, largest))
	}
	r.report.Figures["descriptors"] = float64(r.descriptors)
	r.report.Figures["most_standing"] = float64(largest)
	slices.Sort(sizes)
	return slices.Compact(sizes)
}

// logProgress writes a line of progress.
func (r *run) logProgress(format string, args ...any) {
	if r.options.Progress != nil {
		_, _ = fmt.Fprintf(r.options.Progress, Name+": "+format+"\n", args...)
	}
}

// note adds a note on one part of a measurement to the report.
func (r *run) note(m *measurement, part, format string, args ...any) {
	r.report.Notes[fmt.Sprintf("%s_%d", part, m.size)] = fmt.Sprintf(format, args...)
}

// measureSize measures one number of connections. Each kind of connection has a balancer of its own: memory that one
// has used and freed would otherwise be taken for that of the next.
func (r *run) measureSize(ctx context.Context, size int) error {
	m := measurement{size: size, figures: map[string]float64{}}
	for _, part := range []struct {
		mode    string
		measure func(ctx context.Context, b *balancer, m *measurement) error
	}{
		{proxyMode, r.measureSilent},
		{proxyMode, r.measureWaiting},
		{passMode, r.measureAttempts},
		{proxyMode, r.measureEstablished},
	} {
		b, err := startBalancer(r.options.Program, r.dir, part.mode, r.descriptors, r.plan.listedServers,
			r.servers.addrs, r.options.Seed)
		if err != nil {
			return err
		}
		err = part.measure(ctx, b, &m)
		b.close()
		r.servers.reset()
		if err = cmp.Or(err, ctx.Err()); err != nil {
			return err
		}
	}
	r.measurements = append(r.measurements, m)
	return nil
}
