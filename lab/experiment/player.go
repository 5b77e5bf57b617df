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

// slack is how far a stream may be behind the index at the end, beyond a message's interval.
const slack = 500 * time.Millisecond

// player is one pass under way.
type player struct {
	e              *Experiment
	w              *deployment.Deployment
	rng            *rand.Rand
	o              Options
	pass           *Pass
	drainAnnounced map[int]time.Time // when a balancer was first told of a node's drain
	began          time.Time         // of the first fault
	all            checker.Figures
	more           map[string]float64
	first          map[uint64]bool  // the keys of the first streams of their connections
	held           []*client.Client // and their clients
}

func (e *Experiment) pass(
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
	w, err := deployment.Start(ctx, e.deployment(o, p, dir))
	if err != nil {
		return err
	}
	defer w.Stop()
	pl := &player{
		e:              e,
		w:              w,
		drainAnnounced: map[int]time.Time{},
		first:          map[uint64]bool{},
		rng:            rand.New(rand.NewPCG(o.Seed, 0x6c6162)),
		o:              o,
		pass:           p,
	}
	pl.say("%d streams come to stand", e.Load.Streams)
	idle := pl.resident()
	pl.clients()
	if err := pl.settle(2 * time.Minute); err != nil {
		return err
	}
	calls, failures := w.Store.Calls()
	w.Check.Split()
	pl.all, pl.more = checker.NewFigures(), map[string]float64{"idle_mb": idle / (1 << 20)}
	pl.began = time.Now()
	for _, s := range e.Steps.Step {
		if err := pl.step(ctx, s); err != nil {
			return err
		}
	}
	time.Sleep(2 * e.Load.Interval.Std())
	standing, behind := w.Check.Standing(time.Now(), slack+e.Load.Interval.Std())
	pl.all.Add(w.Check.Split())
	f := pl.all
	after, failed := w.Store.Calls()
	pl.more["store_calls"], pl.more["store_failed"] = float64(after-calls), float64(failed-failures)
	pl.more["standing"], pl.more["behind"] = float64(standing), float64(behind)
	pl.figures(r, prefix, f, pl.more)
	pl.chart(f, gaps, ups)
	return nil
}

// deployment is what one pass of the experiment runs on.
func (e *Experiment) deployment(o Options, p *Pass, dir string) deployment.Config {
	return deployment.Config{
		Program: o.Program, Dir: dir, Seed: o.Seed, Fault: o.Fault,
		Balancers: e.Fleet.Balancers, Nodes: e.Fleet.Nodes,
		Tokens: p.Tokens, Channels: p.Channels, Apart: p.Apart,
		Interval: e.Load.Interval.Std(), Keep: uint64(e.Load.Keep), Length: int(e.Load.Length),
		StoreRate: float64(e.Fleet.Store), SetUp: e.Fleet.SetUp.Std(), Patience: e.Fleet.Patience.Std(),
		Late: e.Fleet.Late.Std(), Notice: e.Fleet.Notice.Std(),
	}
}

// chart adds the pass to the charts: how long streams were interrupted, and when they were established again.
func (pl *player) chart(f checker.Figures, gaps, ups *report.Chart) {
	var establishedAt []float64
	for _, t := range f.Ups {
		establishedAt = append(establishedAt, t.Sub(pl.began).Seconds())
	}
	gaps.Series = append(gaps.Series, report.Percentiles(string(pl.pass.Name), millis(f.Gaps)))
	ups.Series = append(ups.Series, report.Counts(string(pl.pass.Name), establishedAt, 0.1))
}

func (pl *player) say(format string, args ...any) {
	if pl.o.Progress != nil {
		_, _ = fmt.Fprintf(pl.o.Progress, "%s, pass %s: %s\n", pl.e.Name, pl.pass.Name, fmt.Sprintf(format, args...))
	}
}

// clients starts the streams, spread over a while, at the node where all of them stand.
func (pl *player) clients() {
	var link client.Link
	for i := range pl.e.Load.Streams {
		at := pl.e.Load.Node
		if pl.e.Load.Spread {
			at = i % pl.e.Fleet.Nodes
		}
		cfg := client.Config{
			Name: fmt.Sprint("client-", i), Key: pl.rng.Uint64(), Class: deployment.IndexSync,
			Group: fmt.Sprintf("%016x", 1+pl.rng.IntN(pl.e.Load.Groups)), Owner: "firm", At: deployment.NodeID(at),
			Tokens: pl.pass.Tokens, Deadline: deployment.Deadline, Seed: pl.o.Seed,
		}
		if pl.pass.Twice {
			cfg.Twice = pl.w.Addrs()
		}
		if pl.pass.Channels {
			if i%pl.e.Load.Share == 0 {
				link = pl.w.Shared()
			}
			cfg.Link = link
		}
		c := pl.w.Client(cfg)
		if i%pl.e.Load.Share == 0 {
			pl.first[cfg.Key] = true
			pl.held = append(pl.held, c)
		}
		if i%50 == 49 {
			time.Sleep(20 * time.Millisecond)
		}
	}
}

func (pl *player) settle(within time.Duration) error {
	err := pl.w.Await(within, "all streams stand", func() bool {
		standing, _ := pl.w.Check.Standing(time.Now(), slack)
		return standing == pl.e.Load.Streams
	})
	if err != nil {
		err = fmt.Errorf("%w; how the others ended: %s", err, checker.Explain(pl.w.Check.Missing()))
	}
	return err
}

// step waits for a step's time and does what it says.
func (pl *player) step(ctx context.Context, s *Step) error {
	wait := s.After.Std()
	if s.Jitter > 0 {
		wait += time.Duration(pl.rng.Int64N(int64(s.Jitter)))
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(wait):
	}
	pl.say("%v: %s", time.Since(pl.began).Round(time.Millisecond), s.Do)
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
		return pl.garbage(ctx, s.For.Std())
	case "watch":
		return pl.watch(ctx, s)
	case "hold-clients":
		for _, c := range pl.held {
			c.Reads.Shut()
		}
	case "release-clients":
		for _, c := range pl.held {
			c.Reads.Open()
		}
	case "weigh":
		pl.more["loaded_mb"] = pl.resident() / (1 << 20)
		pl.more["bytes_per_stream"] = (pl.resident() - pl.more["idle_mb"]*(1<<20)) / float64(pl.e.Load.Streams)
	}
	return nil
}

// nodeStep does what is done to one node.
func (pl *player) nodeStep(s *Step) error {
	w := pl.w
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
		pl.more["channels_on_broken_trunks"] += float64(w.Nodes[s.Node].ResetChannelConnections())
	}
	return nil
}

// balancerStep does what is done to one balancer.
func (pl *player) balancerStep(ctx context.Context, s *Step) error {
	b := pl.w.Balancers[s.Balancer]
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
		return pl.manage(b, "REJOIN")
	}
	return nil
}

// garbage measures the delay of messages for a span, and then for as long while clients present garbage.
func (pl *player) garbage(ctx context.Context, span time.Duration) error {
	p99 := func() float64 {
		f := pl.w.Check.Split()
		pl.all.Add(f)
		return report.Quantile(millis(f.Delays), 0.99)
	}
	pl.all.Add(pl.w.Check.Split())
	time.Sleep(span)
	before := p99()
	ctx, stop := context.WithTimeout(ctx, span)
	defer stop()
	var group errgroup.Group
	var sent, answered atomic.Int64
	for i := range garbageClients {
		rng := rand.New(rand.NewPCG(pl.o.Seed, uint64(i)))
		group.Go(func() error { return client.Garbage(ctx, pl.w.Frontend.Addr(), rng, &sent, &answered) })
	}
	if err := group.Wait(); err != nil {
		return err
	}
	during := p99()
	pl.more["delay_p99_before_ms"], pl.more["delay_p99_during_ms"] = before, during
	pl.more["delay_p99_added_ms"] = during - before
	pl.more["garbage_per_s"] = float64(sent.Load()) / span.Seconds()
	pl.more["garbage_unanswered"] = float64(sent.Load() - answered.Load())
	return nil
}

// manage makes a call of a balancer's management address, and keeps how long the slowest answer took.
func (pl *player) manage(b *deployment.Balancer, call string) error {
	took, err := b.Manage(call)
	pl.more["call_ms_max"] = max(pl.more["call_ms_max"], float64(took.Microseconds())/1000)
	return err
}

// lameTime is how long a lame duck has to move its clients away.
const lameTime = 4 * time.Second

// lameDuck has a balancer move its clients away, and counts those that are moved in time. Moves after it are
// counted as the rest of all moves.
func (pl *player) lameDuck(ctx context.Context, b *deployment.Balancer) error {
	pl.all.Add(pl.w.Check.Split())
	if err := pl.manage(b, "LAMEDUCK"); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(lameTime):
	}
	f := pl.w.Check.Split()
	pl.all.Add(f)
	pl.more["moves_in_time"] += float64(f.Moves)
	return nil
}

// resident is what all balancers hold in memory.
func (pl *player) resident() float64 {
	sum := 0.0
	for _, b := range pl.w.Balancers {
		sum += b.Resident()
	}
	return sum
}

// watch measures the streams beside those that a step is about, for a while.
func (pl *player) watch(ctx context.Context, s *Step) error {
	node := deployment.NodeID(s.Node)
	n := pl.w.Check.Watch(func(key uint64, at string) bool {
		if s.Beside == "first" {
			return !pl.first[key]
		}
		return at != node
	})
	pl.all.Add(pl.w.Check.Split())
	// The median of the p99s of each second: a machine that stops for a moment spoils a second or two, and not the
	// whole.
	var each, medians []float64
	gap, ends := time.Duration(0), 0
	for end := time.Now().Add(s.For.Std()); time.Now().Before(end); {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Second):
		}
		f := pl.w.Check.Split()
		pl.all.Add(f)
		delays := millis(f.Focus.Delays)
		each, medians = append(each, report.Quantile(delays, 0.99)), append(medians, report.Quantile(delays, 0.5))
		gap, ends = max(gap, f.Focus.Gap), ends+f.Focus.Ends
	}
	as := string(s.As) + "_"
	p99 := report.Quantile(each, 0.5)
	pl.more[as+"streams"], pl.more[as+"p99_ms"], pl.more[as+"p50_ms"] = float64(n), p99, report.Quantile(medians, 0.5)
	pl.more[as+"max_gap_ms"] = float64(gap.Microseconds()) / 1000
	if s.As == "before" {
		return nil
	}
	pl.more["sibling_max_gap_ms"] = max(pl.more["sibling_max_gap_ms"], pl.more[as+"max_gap_ms"])
	pl.more["sibling_ends"] += float64(ends)
	// Where nothing was watched before, there is no ratio, and a bound on it is broken.
	if before := pl.more["before_p99_ms"]; before > 0 {
		pl.more["sibling_p99_ratio"] = max(pl.more["sibling_p99_ratio"], p99/before)
	}
	return nil
}

// garbageClients is how many of them there are at once.
const garbageClients = 8
