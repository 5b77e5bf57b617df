// Package connections measures what one real balancer's connections cost, by their number: memory, processor time
// and delay, all read from outside the process, on loopback, between clients and stand-in servers of the harness's
// own. Lines are due by a clock that does not wait for answers, and their delay counts from then. Where the harness
// itself ran late, a figure is left out and a note says 'not valid'.
//
// The harness turns on lab/netloop, in threads of its own: it is measured itself, by how late it sends and how late its
// timers are, so that nothing of a balancer's delay is hidden by it.
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

// Name is what the run is called.
const Name = "scale-connections"

// About is what the run shows, in one line.
const About = "one balancer by its number of connections: memory of each, processor time of set-ups, lines and " +
	"reconnects, delay"

// Plan says how much is done.
type Plan struct {
	Sizes   []int         // standing connections
	Listed  int           // servers that discovery lists
	Servers int           // addresses that they listen at
	Loops   int           // of clients, and of servers
	SetUps  float64       // connections a second while they come to stand
	Rates   []float64     // lines that clients send a second, step after step
	Step    time.Duration // each step
	Rest    time.Duration // without any line
	Churn   time.Duration // of set-ups without a pause
	Changes int           // of discovery's list
}

// fullPlan is the plan of a kept run. The number of listed servers follows from the slow-start budget of each (18 at
// once, 10.5 a second): fewer would bound set-ups before the program does.
var fullPlan = Plan{
	Sizes: []int{2000, 3500, 5000, 7000, 10000, 20000}, Listed: 400, Servers: 16, Loops: 2, SetUps: 3000,
	Rates: []float64{restRate, commonRate, 10000, 20000, 30000, 40000, 50000, 60000, 80000, 100000},
	Step:  time.Second, Rest: 2 * time.Second, Churn: 1500 * time.Millisecond, Changes: 20,
}

const (
	// restRate is the first step's: so few lines that none waits for another.
	restRate = 500
	// commonRate is one that all sizes bear; what a line costs is compared at it.
	commonRate = 5000
	// breakMS is the delay of one line in a hundred from which on a rate counts as not borne.
	breakMS = 50.0
	// latenessMS is how late the harness may be, one time in a hundred, for a delay to count. Its own timers have whole
	// milliseconds.
	latenessMS = 5.0
	// spareDescriptors are the harness's and the balancer's own: listeners, discovery, clients that churn, and what has
	// ended and is not closed yet.
	spareDescriptors = 400
	// reservedPart of the descriptors, and reservedMore, a balancer keeps free for set-ups (internal/proxy):
	// with fewer it closes idle connections and rejects new ones.
	reservedPart, reservedMore = 16, 16
	// maxWait bounds waits for what has to come; what has not come by then is told by the figures.
	maxWait = 20 * time.Second
	// settle is how long counts and memory are given to come to rest.
	settle = 300 * time.Millisecond
)

// Run plays the whole plan.
func Run(ctx context.Context, o experiment.Options) (*report.Report, error) {
	return Play(ctx, o, &fullPlan)
}

// run is one run under way.
type run struct {
	plan   *Plan
	o      experiment.Options
	dir    string
	limit  int // descriptors of a process
	ld     *load
	sv     *servers
	r      *report.Report
	points []point
}

// Play plays a plan. An error means that it could not be played; bounds that do not hold are in the report.
func Play(ctx context.Context, o experiment.Options, plan *Plan) (*report.Report, error) {
	dir, err := os.MkdirTemp("", "spurspread-lab")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	x := &run{plan: plan, o: o, dir: dir, r: &report.Report{
		Experiment: Name, Seed: o.Seed, Command: o.Command, Commit: o.Commit,
		Figures: map[string]float64{}, Notes: map[string]string{},
	}}
	if x.limit, err = descriptors(); err != nil {
		return nil, err
	}
	if x.sv, err = startServers(plan.Loops, plan.Servers); err != nil {
		return nil, err
	}
	defer x.sv.close()
	if x.ld, err = startLoad(plan.Loops, o.Seed); err != nil {
		return nil, err
	}
	defer x.ld.close()
	for _, n := range x.sizes() {
		if err := x.size(ctx, n); err != nil {
			return nil, fmt.Errorf("%d connections: %w", n, err)
		}
	}
	x.reportPoints()
	return x.r, nil
}

// sizes are those of the plan that the descriptors allow, and in place of larger ones the largest that they do. A
// standing connection takes two of the balancer's, and two of the harness's.
func (x *run) sizes() []int {
	balancer := (x.limit - x.limit/reservedPart - reservedMore - spareDescriptors) / 2
	most := min(balancer, (x.limit-spareDescriptors)/2)
	var out []int
	for _, n := range x.plan.Sizes {
		if n > most {
			x.r.Notes["descriptors"] = fmt.Sprintf(
				"a process may hold %d: %d connections stand at most, and not %d",
				x.limit,
				most,
				slices.Max(x.plan.Sizes),
			)
		}
		out = append(out, min(n, most))
	}
	x.r.Figures["descriptors"], x.r.Figures["most_standing"] = float64(x.limit), float64(most)
	slices.Sort(out)
	return slices.Compact(out)
}

func (x *run) say(format string, args ...any) {
	if x.o.Progress != nil {
		_, _ = fmt.Fprintf(x.o.Progress, Name+": "+format+"\n", args...)
	}
}

// note keeps a word on a part of one size's measurement.
func (x *run) note(p *point, part, format string, args ...any) {
	x.r.Notes[fmt.Sprintf("%s_%d", part, p.n)] = fmt.Sprintf(format, args...)
}

// size measures one number of connections, with balancers of their own: memory that one kind of connection has used
// and freed would else be taken for that of the next.
func (x *run) size(ctx context.Context, n int) error {
	p := point{n: n, f: map[string]float64{}}
	for _, part := range []struct {
		mode string
		play func(ctx context.Context, b *balancer, p *point) error
	}{{"proxy", x.silent}, {"proxy", x.waiting}, {"pass", x.attempts}, {"proxy", x.standing}} {
		b, err := startBalancer(x.o.Program, x.dir, part.mode, x.limit, x.plan.Listed, x.sv.addrs, x.o.Seed)
		if err != nil {
			return err
		}
		err = part.play(ctx, b, &p)
		b.close()
		x.sv.reset()
		if err = cmp.Or(err, ctx.Err()); err != nil {
			return err
		}
	}
	x.points = append(x.points, p)
	return nil
}
