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
	// garbageClients is the number of clients that present random tokens at the same time.
	garbageClients = 8
	// lameDuckWindow is the time after which a lame duck should have moved all its clients.
	lameDuckWindow = 4 * time.Second
	// watchPeriod is the period for which one p99 and one median of the delays are computed.
	watchPeriod = time.Second
)

// sleep waits for a duration. If the context is done earlier, it returns the context's error.
func sleep(ctx context.Context, wait time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(wait):
		return nil
	}
}

// runStep waits for a step's delay and jitter, and carries the step out.
func (pr *passRunner) runStep(ctx context.Context, s *Step) error {
	wait := s.After.Std()
	if s.Jitter > 0 {
		wait += time.Duration(pr.rng.Int64N(int64(s.Jitter)))
	}
	if err := sleep(ctx, wait); err != nil {
		return err
	}
	pr.logProgress("%v: %s", time.Since(pr.firstFaultAt).Round(time.Millisecond), s.Do)
	switch s.Do {
	case "drain", "kill-node", "hang-node", "wake-node", "restart-node", "list-gone", "stop-reading-node",
		"break-trunks":
		return pr.nodeStep(s)
	case "kill-balancer", "start-balancer", "terminate-balancer", "upgrade-balancer", "lame-duck", "rejoin":
		return pr.balancerStep(ctx, s)
	case "settle":
		return pr.settle(s.Within.Std())
	case "garbage":
		return pr.presentGarbage(ctx, s.Duration.Std())
	case "watch":
		return pr.measureOthers(ctx, s)
	case "hold-clients":
		for _, c := range pr.firstClients {
			c.Reads.Close()
		}
	case "release-clients":
		for _, c := range pr.firstClients {
			c.Reads.Open()
		}
	case "weigh":
		pr.measureMemory()
	}
	return nil
}

// nodeStep carries out a step on one node.
func (pr *passRunner) nodeStep(s *Step) error {
	d := pr.deployment
	switch s.Do {
	case "drain":
		announcedAt, err := d.Drain(s.Node)
		pr.drainAnnouncedAt[s.Node] = announcedAt
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
		pr.extra["channels_on_broken_trunks"] += float64(d.Nodes[s.Node].ResetChannelConnections())
	}
	return nil
}

// balancerStep carries out a step on one balancer.
func (pr *passRunner) balancerStep(ctx context.Context, s *Step) error {
	b := pr.deployment.Balancers[s.Balancer]
	switch s.Do {
	case "kill-balancer":
		b.Kill()
	case "start-balancer":
		return b.Start()
	case "terminate-balancer":
		if code := b.Terminate(); code != 0 {
			return fmt.Errorf("balancer %d ended with exit code %d: %v", s.Balancer, code, b.Tail())
		}
	case "upgrade-balancer":
		code, err := b.Upgrade()
		if err == nil && code != 0 {
			err = fmt.Errorf("the old process of balancer %d ended with exit code %d: %v", s.Balancer, code, b.Tail())
		}
		return err
	case "lame-duck":
		return pr.lameDuck(ctx, b)
	case "rejoin":
		return pr.callManagement(b, "REJOIN")
	}
	return nil
}

// measureMemory adds the balancers' present memory as a figure, and its increase for each stream since they were
// idle.
func (pr *passRunner) measureMemory() {
	pr.extra["loaded_mb"] = pr.residentBytes() / bytesPerMiB
	added := pr.residentBytes() - pr.extra["idle_mb"]*bytesPerMiB
	pr.extra["bytes_per_stream"] = added / float64(pr.experiment.Load.Streams)
}

// presentGarbage measures the delay of messages for a span, and then for another span of the same length during which
// clients present random tokens.
func (pr *passRunner) presentGarbage(ctx context.Context, span time.Duration) error {
	check := pr.deployment.Checker
	pr.total.Add(check.TakeFigures())
	time.Sleep(span)
	before := pr.delayP99()
	ctx, stop := context.WithTimeout(ctx, span)
	defer stop()
	var group errgroup.Group
	var sent, answered atomic.Int64
	for i := range garbageClients {
		rng := rand.New(rand.NewPCG(pr.options.Seed, uint64(i)))
		addr := pr.deployment.Frontend.Addr()
		group.Go(func() error { return client.SendGarbage(ctx, addr, rng, &sent, &answered) })
	}
	if err := group.Wait(); err != nil {
		return err
	}
	during := pr.delayP99()
	pr.extra["delay_p99_before_ms"] = before
	pr.extra["delay_p99_during_ms"] = during
	pr.extra["delay_p99_added_ms"] = during - before
	pr.extra["garbage_per_s"] = float64(sent.Load()) / span.Seconds()
	pr.extra["garbage_unanswered"] = float64(sent.Load() - answered.Load())
	return nil
}

// delayP99 takes the checker's figures, adds them to the total, and returns the p99 of their delays in milliseconds.
func (pr *passRunner) delayP99() float64 {
	f := pr.deployment.Checker.TakeFigures()
	pr.total.Add(f)
	return report.Quantile(allMillis(f.Delays), 0.99)
}

// callManagement sends a command to a balancer's management address, and keeps the longest time to an answer as a
// figure.
func (pr *passRunner) callManagement(b *deployment.Balancer, call string) error {
	took, err := b.CallManagement(call)
	pr.extra["call_ms_max"] = max(pr.extra["call_ms_max"], millis(took))
	return err
}

// lameDuck makes a balancer a lame duck, and counts the clients that are moved within lameDuckWindow. Later moves
// count only in the total.
func (pr *passRunner) lameDuck(ctx context.Context, b *deployment.Balancer) error {
	check := pr.deployment.Checker
	pr.total.Add(check.TakeFigures())
	if err := pr.callManagement(b, "LAMEDUCK"); err != nil {
		return err
	}
	if err := sleep(ctx, lameDuckWindow); err != nil {
		return err
	}
	f := check.TakeFigures()
	pr.total.Add(f)
	pr.extra["moves_in_time"] += float64(f.Moves)
	return nil
}

// measureOthers measures the streams that a fault does not affect directly, for the step's duration: those that are
// not on the step's node, or those that are not the first of their connection.
func (pr *passRunner) measureOthers(ctx context.Context, s *Step) error {
	node := deployment.NodeID(s.Node)
	streams := pr.deployment.Checker.Watch(func(key uint64, at string) bool {
		if s.Others == "first" {
			return !pr.firstStreams[key]
		}
		return at != node
	})
	pr.total.Add(pr.deployment.Checker.TakeFigures())
	w, err := pr.watch(ctx, s.Duration.Std())
	if err != nil {
		return err
	}
	prefix := string(s.Prefix) + "_"
	pr.extra[prefix+"streams"] = float64(streams)
	pr.extra[prefix+"p99_ms"] = w.p99Millis
	pr.extra[prefix+"p50_ms"] = w.p50Millis
	pr.extra[prefix+"max_gap_ms"] = millis(w.gap)
	if s.Prefix != "before" {
		pr.compareWithBefore(w)
	}
	return nil
}

// watchResult has the figures of the watched streams for one watch step.
type watchResult struct {
	p99Millis float64       // median of the p99 delays of all periods
	p50Millis float64       // median of the median delays of all periods
	gap       time.Duration // the longest time between two messages of a stream
	ends      int           // established connections that ended
}

// watch measures the watched streams for a span. It computes the quantiles for each second and takes their median, so
// that a pause of the machine affects one or two seconds, but not the result.
func (pr *passRunner) watch(ctx context.Context, span time.Duration) (w watchResult, err error) {
	var p99s, medians []float64
	for end := time.Now().Add(span); time.Now().Before(end); {
		if err := sleep(ctx, watchPeriod); err != nil {
			return w, err
		}
		f := pr.deployment.Checker.TakeFigures()
		pr.total.Add(f)
		delays := allMillis(f.Watched.Delays)
		p99s = append(p99s, report.Quantile(delays, 0.99))
		medians = append(medians, report.Quantile(delays, 0.5))
		w.gap = max(w.gap, f.Watched.Gap)
		w.ends += f.Watched.Ends
	}
	w.p99Millis = report.Quantile(p99s, 0.5)
	w.p50Millis = report.Quantile(medians, 0.5)
	return w, nil
}

// compareWithBefore adds the figures of siblings, the streams that the fault does not affect directly. Without a
// preceding watch step with the prefix "before" there is no ratio, so a bound on the ratio is broken.
func (pr *passRunner) compareWithBefore(w watchResult) {
	pr.extra["sibling_max_gap_ms"] = max(pr.extra["sibling_max_gap_ms"], millis(w.gap))
	pr.extra["sibling_ends"] += float64(w.ends)
	if before := pr.extra["before_p99_ms"]; before > 0 {
		pr.extra["sibling_p99_ratio"] = max(pr.extra["sibling_p99_ratio"], w.p99Millis/before)
	}
}
