package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"spurspread/lab/client"
	"spurspread/lab/deployment"
	"spurspread/lab/report"
)

const (
	// garbageClients present invalid tokens at the same time.
	garbageClients = 8
	// lameDuckWindow is how long a lame duck has to move its clients away.
	lameDuckWindow = 4 * time.Second
	// watchPeriod is the stretch over which one p99 of delays is taken.
	watchPeriod = time.Second
)

// sleep waits for a time, or until the context is done: then its error is returned.
func sleep(ctx context.Context, wait time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(wait):
		return nil
	}
}

// runStep waits for a step's time and carries it out.
func (pl *player) runStep(ctx context.Context, s *Step) error {
	wait := s.After.Std()
	if s.Jitter > 0 {
		wait += time.Duration(pl.rng.Int64N(int64(s.Jitter)))
	}
	if err := sleep(ctx, wait); err != nil {
		return err
	}
	pl.logProgress("%v: %s", time.Since(pl.firstFaultAt).Round(time.Millisecond), s.Do)
	switch s.Do {
	case "drain", "kill-node", "hang-node", "wake-node", "restart-node", "list-gone", "stop-reading-node",
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
			c.Reads.Close()
		}
	case "release-clients":
		for _, c := range pl.firstClients {
			c.Reads.Open()
		}
	case "weigh":
		pl.measureMemory()
	}
	return nil
}

// nodeStep carries out a step on one node.
func (pl *player) nodeStep(s *Step) error {
	d := pl.deployment
	switch s.Do {
	case "drain":
		announcedAt, err := d.Drain(s.Node)
		pl.drainAnnounced[s.Node] = announcedAt
		return err
	case "kill-node":
		d.KillNode(s.Node)
	case "hang-node":
		d.Nodes[s.Node].Hang()
	case "wake-node":
		d.Nodes[s.Node].Wake()
	case "restart-node":
		return d.RestartNode(s.Node)
	case "list-gone":
		d.ListGone(s.Node)
	case "stop-reading-node":
		d.Nodes[s.Node].StopReading()
	case "break-trunks":
		pl.extra["channels_on_broken_trunks"] += float64(d.Nodes[s.Node].ResetChannelConnections())
	}
	return nil
}

// balancerStep carries out a step on one balancer.
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

// measureMemory takes the balancers' memory with the streams established, and what each stream adds to the idle one.
func (pl *player) measureMemory() {
	pl.extra["loaded_mb"] = pl.residentBytes() / bytesPerMiB
	added := pl.residentBytes() - pl.extra["idle_mb"]*bytesPerMiB
	pl.extra["bytes_per_stream"] = added / float64(pl.experiment.Load.Streams)
}

// presentGarbage measures the delay of messages for a span, and then for another of the same length during which
// clients present garbage tokens.
func (pl *player) presentGarbage(ctx context.Context, span time.Duration) error {
	check := pl.deployment.Check
	pl.total.Add(check.Split())
	time.Sleep(span)
	before := pl.delayP99()
	ctx, stop := context.WithTimeout(ctx, span)
	defer stop()
	var group errgroup.Group
	var sent, answered atomic.Int64
	for i := range garbageClients {
		rng := rand.New(rand.NewPCG(pl.options.Seed, uint64(i)))
		addr := pl.deployment.Frontend.Addr()
		group.Go(func() error { return client.SendGarbage(ctx, addr, rng, &sent, &answered) })
	}
	if err := group.Wait(); err != nil {
		return err
	}
	during := pl.delayP99()
	pl.extra["delay_p99_before_ms"] = before
	pl.extra["delay_p99_during_ms"] = during
	pl.extra["delay_p99_added_ms"] = during - before
	pl.extra["garbage_per_s"] = float64(sent.Load()) / span.Seconds()
	pl.extra["garbage_unanswered"] = float64(sent.Load() - answered.Load())
	return nil
}

// delayP99 is the p99 of the delays since the last split, in milliseconds; what was counted is added to the total.
func (pl *player) delayP99() float64 {
	f := pl.deployment.Check.Split()
	pl.total.Add(f)
	return report.Quantile(allMillis(f.Delays), 0.99)
}

// callManagement makes a call of a balancer's management address, and keeps how long the slowest answer took.
func (pl *player) callManagement(b *deployment.Balancer, call string) error {
	took, err := b.CallManagement(call)
	pl.extra["call_ms_max"] = max(pl.extra["call_ms_max"], millis(took))
	return err
}

// lameDuck has a balancer move its clients away, and counts those that are moved in time. Later moves count among
// all moves only.
func (pl *player) lameDuck(ctx context.Context, b *deployment.Balancer) error {
	check := pl.deployment.Check
	pl.total.Add(check.Split())
	if err := pl.callManagement(b, "LAMEDUCK"); err != nil {
		return err
	}
	if err := sleep(ctx, lameDuckWindow); err != nil {
		return err
	}
	f := check.Split()
	pl.total.Add(f)
	pl.extra["moves_in_time"] += float64(f.Moves)
	return nil
}

// measureOthers measures, for a while, the streams that a step does not affect directly: all that are on other nodes
// than the step's, or all that are not the first of their connection.
func (pl *player) measureOthers(ctx context.Context, s *Step) error {
	node := deployment.NodeID(s.Node)
	streams := pl.deployment.Check.Watch(func(key uint64, at string) bool {
		if s.Others == "first" {
			return !pl.firstStreams[key]
		}
		return at != node
	})
	pl.total.Add(pl.deployment.Check.Split())
	w, err := pl.watch(ctx, s.Duration.Std())
	if err != nil {
		return err
	}
	prefix := string(s.Prefix) + "_"
	pl.extra[prefix+"streams"] = float64(streams)
	pl.extra[prefix+"p99_ms"] = w.p99Millis
	pl.extra[prefix+"p50_ms"] = w.p50Millis
	pl.extra[prefix+"max_gap_ms"] = millis(w.gap)
	if s.Prefix != "before" {
		pl.compareWithBefore(w)
	}
	return nil
}

// watched is what was measured of the watched streams.
type watched struct {
	p99Millis float64 // median of the p99s of each period
	p50Millis float64 // median of the medians of each period
	gap       time.Duration
	ends      int
}

// watch measures the watched streams for a span. It takes the median of the quantiles of each second: a pause of the
// machine then spoils a second or two, and not the whole figure.
func (pl *player) watch(ctx context.Context, span time.Duration) (w watched, err error) {
	var p99s, medians []float64
	for end := time.Now().Add(span); time.Now().Before(end); {
		if err := sleep(ctx, watchPeriod); err != nil {
			return w, err
		}
		f := pl.deployment.Check.Split()
		pl.total.Add(f)
		delays := allMillis(f.Focus.Delays)
		p99s = append(p99s, report.Quantile(delays, 0.99))
		medians = append(medians, report.Quantile(delays, 0.5))
		w.gap = max(w.gap, f.Focus.Gap)
		w.ends += f.Focus.Ends
	}
	w.p99Millis = report.Quantile(p99s, 0.5)
	w.p50Millis = report.Quantile(medians, 0.5)
	return w, nil
}

// compareWithBefore adds the figures of siblings. Where nothing was watched before, there is no ratio, and a bound on
// it is broken.
func (pl *player) compareWithBefore(w watched) {
	pl.extra["sibling_max_gap_ms"] = max(pl.extra["sibling_max_gap_ms"], millis(w.gap))
	pl.extra["sibling_ends"] += float64(w.ends)
	if before := pl.extra["before_p99_ms"]; before > 0 {
		pl.extra["sibling_p99_ratio"] = max(pl.extra["sibling_p99_ratio"], w.p99Millis/before)
	}
}
