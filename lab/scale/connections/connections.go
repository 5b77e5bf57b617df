// Package connections measures the cost of the connections of one real balancer by their number: memory, processor time
// and delay. All figures are measured from outside the process, on loopback, between clients and stand-in servers of
// the harness. Lines are due by a clock that does not wait for answers, and the delay of a line is measured from when
// it was due. If the harness itself ran late, a figure is left out and a note says 'not valid'.
//
// The harness runs on loops of lab/netloop, each on a separate thread. The lag of its sends and of its timers is
// measured as well, so that delays of the harness are not attributed to the balancer. The package knows the client and
// server protocol, the discovery and the settings of the balancer, but none of its decisions.
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
const About = "cost of one balancer by its number of connections: memory of each, processor time of set-ups, lines " +
	"and reconnects, and delay"

// plan holds the sizes, rates and times of a run.
type plan struct {
	sizes         []int         // numbers of established connections
	listedServers int           // servers that discovery lists
	listeners     int           // addresses of these servers
	loops         int           // number of loops for clients, and the same number for servers
	setUpRate     float64       // rate at which connections are set up, per second
	lineRates     []float64     // rates at which clients send lines, per second, one step after another
	stepTime      time.Duration // duration of a step
	restTime      time.Duration // duration of the measurement without any line
	churnTime     time.Duration // duration of the measurement of continuous set-ups
	listChanges   int           // number of changes of discovery's list
}

// fullPlan returns the plan of a run whose report is stored. The number of listed servers follows from the slow-start
// budget of each (18 at once, 10.5 a second): with fewer servers, that budget would limit set-ups before the program
// does.
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
	// baselineRate is the rate of the first step, so low that no line waits for another.
	baselineRate = 500
	// referenceRate is a rate that is sustained at all sizes, at which the cost of a line is compared.
	referenceRate = 5000
	// spareDescriptors are those that the harness and the balancer need in addition to the measured connections: for
	// listeners, discovery, clients that churn, and connections that have ended and are not closed yet.
	spareDescriptors = 400
	// A balancer reserves 1/reservedDivisor of its descriptors, and reservedExtra more, for set-ups (internal/proxy).
	// With fewer left it closes idle connections and rejects new ones.
	reservedDivisor = 16
	reservedExtra   = 16
	// descriptorsPerConnection is the number of descriptors that an established connection uses in the balancer, and in
	// the harness.
	descriptorsPerConnection = 2
	// maxWait limits each wait. The figures show if something did not complete in time.
	maxWait = 20 * time.Second
	// settleTime is the time for counts and memory to settle before they are read.
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
	descriptors  int // limit for one process
	load         *load
	servers      *servers
	report       *report.Report
	measurements []measurement
}

// runPlan carries out a plan.
func runPlan(ctx context.Context, o experiment.Options, p *plan) (*report.Report, error) {
	dir, err := os.MkdirTemp("", "spurspread-lab")
	if err != nil {
		return nil, fmt.Errorf("create the directory of the balancers: %w", err)
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

// newReport returns a report without figures and notes.
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

// maxEstablished returns the number of connections that can be established at once under a limit of descriptors, which
// is the same for the balancer and the harness.
func maxEstablished(descriptors int) int {
	ofBalancer := descriptors - descriptors/reservedDivisor - reservedExtra - spareDescriptors
	ofHarness := descriptors - spareDescriptors
	return min(ofBalancer/descriptorsPerConnection, ofHarness/descriptorsPerConnection)
}

// sizes returns the sizes of the plan, ascending. Sizes that the descriptors do not allow are replaced by the largest
// size that they do allow.
func (r *run) sizes() []int {
	largest := maxEstablished(r.descriptors)
	var sizes []int
	for _, size := range r.plan.sizes {
		if size > largest {
			r.report.Notes["descriptors"] = fmt.Sprintf(
				"a process may open %d: at most %d connections can be established, not %d",
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

// measureSize measures one number of connections. Each kind of connection is measured with a new balancer: otherwise
// memory that was used and freed for one kind would be attributed to the next.
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
