package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"spurspread/lab/checker"
	"spurspread/lab/client"
	"spurspread/lab/deployment"
	"spurspread/lab/report"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

// deliverySlack is how far a stream may be behind the index at the end, beyond a message's interval.
const deliverySlack = 500 * time.Millisecond

// player is one pass under way.
type player struct {
	experiment              *Experiment
	deployment              *deployment.Deployment
	rng            *rand.Rand
	options              Options
	pass           *Pass
	drainAnnounced map[int]time.Time // when a balancer was first told of a node's drain
	firstFaultAt          time.Time         // of the first fault
	total            checker.Figures
	extra           map[string]float64
	firstStreams          map[uint64]bool  // the keys of the first streams of their connections
	firstClients           []*client.Client // and their clients
}

func (e *Experiment) runPass(
	ctx context.Context,
	o Options,
	p *Pass,
	prefix string,
	r *report.Report,
	gaps, ups *report.Chart,
) error {
	dir, err := os.MkdirTemp("", "spurspread-lab")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	w, err := deployment.Start(ctx, e.deploymentConfig(o, p, dir))
	if err != nil {
		return err
	}
	defer w.Stop()
	pl := &player{
		experiment:              e,
		deployment:              w,
		drainAnnounced: map[int]time.Time{},
		firstStreams:          map[uint64]bool{},
		rng:            rand.New(rand.NewPCG(o.Seed, 0x6c6162)),
		options:              o,
		pass:           p,
	}
	pl.logProgress("%d streams come to stand", e.Load.Streams)
	idle := pl.residentBytes()
	pl.startClients()
	if err := pl.settle(2 * time.Minute); err != nil {
		return err
	}
	calls, failures := w.Store.Calls()
	w.Check.Split()
	pl.total, pl.extra = checker.NewFigures(), map[string]float64{"idle_mb": idle / (1 << 20)}
	pl.firstFaultAt = time.Now()
	for _, s := range e.Steps.Step {
		if err := pl.runStep(ctx, s); err != nil {
			return err
		}
	}
	time.Sleep(2 * e.Load.Interval.Std())
	standing, behind := w.Check.Established(time.Now(), deliverySlack+e.Load.Interval.Std())
	pl.total.Add(w.Check.Split())
	f := pl.total
	after, failed := w.Store.Calls()
	pl.extra["store_calls"], pl.extra["store_failed"] = float64(after-calls), float64(failed-failures)
	pl.extra["standing"], pl.extra["behind"] = float64(standing), float64(behind)
	pl.addFigures(r, prefix, f, pl.extra)
	pl.addToCharts(f, gaps, ups)
	return nil
}

// deploymentConfig is what one pass of the experiment runs on.
func (e *Experiment) deploymentConfig(o Options, p *Pass, dir string) deployment.Config {
	return deployment.Config{
		Program: o.Program, Dir: dir, Seed: o.Seed, Fault: o.Fault,
		Balancers: e.Fleet.Balancers, Nodes: e.Fleet.Nodes,
		Tokens: p.Tokens, Channels: p.Channels, SeparateTempDirs: p.SeparateTempDirs,
		Interval: e.Load.Interval.Std(), RetainedMessages: uint64(e.Load.RetainedMessages), MessageBytes: int(e.Load.MessageBytes),
		StoreRate: float64(e.Fleet.Store), SetUp: e.Fleet.SetUp.Std(), DrainPatience: e.Fleet.DrainPatience.Std(),
		DiscoveryDelay: e.Fleet.DiscoveryDelay.Std(), HealthCheckDelay: e.Fleet.HealthCheckDelay.Std(),
	}
}

// addToCharts adds the pass to the charts: how long streams were interrupted, and when they were established again.
func (pl *player) addToCharts(f checker.Figures, gaps, ups *report.Chart) {
	var establishedAt []float64
	for _, t := range f.Reestablished {
		establishedAt = append(establishedAt, t.Sub(pl.firstFaultAt).Seconds())
	}
	gaps.Series = append(gaps.Series, report.Percentiles(string(pl.pass.Name), millis(f.Gaps)))
	ups.Series = append(ups.Series, report.Counts(string(pl.pass.Name), establishedAt, 0.1))
}

func (pl *player) logProgress(format string, args ...any) {
	if pl.options.Progress != nil {
		_, _ = fmt.Fprintf(pl.options.Progress, "%s, pass %s: %s\n", pl.experiment.Name, pl.pass.Name, fmt.Sprintf(format, args...))
	}
}

// startClients starts the streams, spread over a while, at the node where all of them stand.
func (pl *player) startClients() {
	var link client.Link
	for i := range pl.experiment.Load.Streams {
		at := pl.experiment.Load.Node
		if pl.experiment.Load.Spread {
			at = i % pl.experiment.Fleet.Nodes
		}
		cfg := client.Config{
			Name: fmt.Sprint("client-", i), Key: pl.rng.Uint64(), Class: deployment.IndexSync,
			Group: fmt.Sprintf("%016x", 1+pl.rng.IntN(pl.experiment.Load.Groups)), Owner: "firm", At: deployment.NodeID(at),
			Tokens: pl.pass.Tokens, Deadline: deployment.Deadline, Seed: pl.options.Seed,
		}
		if pl.pass.Duplicate {
			cfg.DuplicateAt = pl.deployment.Addrs()
		}
		if pl.pass.Channels {
			if i%pl.experiment.Load.StreamsPerConnection == 0 {
				link = pl.deployment.SharedLink()
			}
			cfg.Link = link
		}
		c := pl.deployment.StartClient(cfg)
		if i%pl.experiment.Load.StreamsPerConnection == 0 {
			pl.firstStreams[cfg.Key] = true
			pl.firstClients = append(pl.firstClients, c)
		}
		if i%50 == 49 {
			time.Sleep(20 * time.Millisecond)
		}
	}
}

func (pl *player) settle(within time.Duration) error {
	err := pl.deployment.Await(within, "all streams stand", func() bool {
		standing, _ := pl.deployment.Check.Established(time.Now(), deliverySlack)
		return standing == pl.experiment.Load.Streams
	})
	if err != nil {
		err = fmt.Errorf("%w; how the others ended: %s", err, checker.Explain(pl.deployment.Check.Disconnected()))
	}
	return err
}

// runStep waits for a step's time and does what it says.
func (pl *player) runStep(ctx context.Context, s *Step) error {
	wait := s.After.Std()
	if s.Jitter > 0 {
		wait += time.Duration(pl.rng.Int64N(int64(s.Jitter)))
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(wait):
	}
	pl.logProgress("%v: %s", time.Since(pl.firstFaultAt).Round(time.Millisecond), s.Do)
	switch s.Do {
	case "drain",
		"kill-node",
		"hang-node",
		"wake-node",
		"restart-node",
		"list-gone",
		"stop-reading-node",
		"break-trunks":
		return pl.nodeStep(s)
	case "kill-balancer", "start-balancer", "terminate-balancer", "upgrade-balancer", "lame-duck", "rejoin":
		return pl.balancerStep(ctx, s)
	case "settle":
		return pl.settle(s.Within.Std())
	case "garbage":
		return pl.presentGarbage(ctx, s.Duration.Std())
	case "watch":
		return pl.measureOthers(ctx, s)
	case "hold-clients":
		for _, c := range pl.firstClients {
			c.Reads.Shut()
		}
	case "release-clients":
		for _, c := range pl.firstClients {
			c.Reads.Open()
		}
	case "weigh":
		pl.extra["loaded_mb"] = pl.residentBytes() / (1 << 20)
		pl.extra["bytes_per_stream"] = (pl.residentBytes() - pl.extra["idle_mb"]*(1<<20)) / float64(pl.experiment.Load.Streams)
	}
	return nil
}

// nodeStep does what is done to one node.
func (pl *player) nodeStep(s *Step) error {
	w := pl.deployment
	switch s.Do {
	case "drain":
		told, err := w.Drain(s.Node)
		pl.drainAnnounced[s.Node] = told
		return err
	case "kill-node":
		w.KillNode(s.Node)
	case "hang-node":
		w.Nodes[s.Node].Hang()
	case "wake-node":
		w.Nodes[s.Node].Wake()
	case "restart-node":
		return w.RestartNode(s.Node)
	case "list-gone":
		w.ListGone(s.Node)
	case "stop-reading-node":
		w.Nodes[s.Node].StopReading()
	case "break-trunks":
		pl.extra["channels_on_broken_trunks"] += float64(w.Nodes[s.Node].ResetChannelConnections())
	}
	return nil
}

// balancerStep does what is done to one balancer.
func (pl *player) balancerStep(ctx context.Context, s *Step) error {
	b := pl.deployment.Balancers[s.Balancer]
	switch s.Do {
	case "kill-balancer":
		b.Kill()
	case "start-balancer":
		return b.Start()
	case "terminate-balancer":
		if code := b.Terminate(); code != 0 {
			return fmt.Errorf("balancer %d ended with %d: %v", s.Balancer, code, b.Tail())
		}
	case "upgrade-balancer":
		code, err := b.Upgrade()
		if err == nil && code != 0 {
			err = fmt.Errorf("the old process of balancer %d ended with %d: %v", s.Balancer, code, b.Tail())
		}
		return err
	case "lame-duck":
		return pl.lameDuck(ctx, b)
	case "rejoin":
		return pl.callManagement(b, "REJOIN")
	}
	return nil
}

// presentGarbage measures the delay of messages for a span, and then for as long while clients present garbage.
func (pl *player) presentGarbage(ctx context.Context, span time.Duration) error {
	p99 := func() float64 {
		f := pl.deployment.Check.Split()
		pl.total.Add(f)
		return report.Quantile(millis(f.Delays), 0.99)
	}
	pl.total.Add(pl.deployment.Check.Split())
	time.Sleep(span)
	before := p99()
	ctx, stop := context.WithTimeout(ctx, span)
	defer stop()
	var group errgroup.Group
	var sent, answered atomic.Int64
	for i := range garbageClients {
		rng := rand.New(rand.NewPCG(pl.options.Seed, uint64(i)))
		group.Go(func() error { return client.SendGarbage(ctx, pl.deployment.Frontend.Addr(), rng, &sent, &answered) })
	}
	if err := group.Wait(); err != nil {
		return err
	}
	during := p99()
	pl.extra["delay_p99_before_ms"], pl.extra["delay_p99_during_ms"] = before, during
	pl.extra["delay_p99_added_ms"] = during - before
	pl.extra["garbage_per_s"] = float64(sent.Load()) / span.Seconds()
	pl.extra["garbage_unanswered"] = float64(sent.Load() - answered.Load())
	return nil
}

// callManagement makes a call of a balancer's management address, and keeps how long the slowest answer took.
func (pl *player) callManagement(b *deployment.Balancer, call string) error {
	took, err := b.CallManagement(call)
	pl.extra["call_ms_max"] = max(pl.extra["call_ms_max"], float64(took.Microseconds())/1000)
	return err
}

// lameDuckWindow is how long a lame duck has to move its clients away.
const lameDuckWindow = 4 * time.Second

// lameDuck has a balancer move its clients away, and counts those that are moved in time. Moves after it are
// counted as the rest of all moves.
func (pl *player) lameDuck(ctx context.Context, b *deployment.Balancer) error {
	pl.total.Add(pl.deployment.Check.Split())
	if err := pl.callManagement(b, "LAMEDUCK"); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(lameDuckWindow):
	}
	f := pl.deployment.Check.Split()
	pl.total.Add(f)
	pl.extra["moves_in_time"] += float64(f.Moves)
	return nil
}

// residentBytes is what all balancers hold in memory.
func (pl *player) residentBytes() float64 {
	sum := 0.0
	for _, b := range pl.deployment.Balancers {
		sum += b.ResidentBytes()
	}
	return sum
}

// measureOthers measures the streams beside those that a step is about, for a while.
func (pl *player) measureOthers(ctx context.Context, s *Step) error {
	node := deployment.NodeID(s.Node)
	n := pl.deployment.Check.Watch(func(key uint64, at string) bool {
		if s.Others == "first" {
			return !pl.firstStreams[key]
		}
		return at != node
	})
	pl.total.Add(pl.deployment.Check.Split())
	// The median of the p99s of each second: a machine that stops for a moment spoils a second or two, and not the
	// whole.
	var each, medians []float64
	gap, ends := time.Duration(0), 0
	for end := time.Now().Add(s.Duration.Std()); time.Now().Before(end); {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Second):
		}
		f := pl.deployment.Check.Split()
		pl.total.Add(f)
		delays := millis(f.Focus.Delays)
		each, medians = append(each, report.Quantile(delays, 0.99)), append(medians, report.Quantile(delays, 0.5))
		gap, ends = max(gap, f.Focus.Gap), ends+f.Focus.Ends
	}
	as := string(s.Prefix) + "_"
	p99 := report.Quantile(each, 0.5)
	pl.extra[as+"streams"], pl.extra[as+"p99_ms"], pl.extra[as+"p50_ms"] = float64(n), p99, report.Quantile(medians, 0.5)
	pl.extra[as+"max_gap_ms"] = float64(gap.Microseconds()) / 1000
	if s.Prefix == "before" {
		return nil
	}
	pl.extra["sibling_max_gap_ms"] = max(pl.extra["sibling_max_gap_ms"], pl.extra[as+"max_gap_ms"])
	pl.extra["sibling_ends"] += float64(ends)
	// Where nothing was watched before, there is no ratio, and a bound on it is broken.
	if before := pl.extra["before_p99_ms"]; before > 0 {
		pl.extra["sibling_p99_ratio"] = max(pl.extra["sibling_p99_ratio"], p99/before)
	}
	return nil
}

// garbageClients is how many of them there are at once.
const garbageClients = 8
