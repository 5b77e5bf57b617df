package scale

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"spurspread/lab/report"
)

const (
	// defaultJoinLimit bounds how long the members may take to find each other.
	defaultJoinLimit = 90 * time.Second
	// defaultWaitLimit bounds every other wait: longer than the bound of what is awaited, so that the report shows
	// by how much that was missed.
	defaultWaitLimit = 25 * time.Second
	// requiredHoldTime is how long a condition must hold before it counts: longer than two polls of a real member.
	requiredHoldTime = 500 * time.Millisecond
	// conditionPollInterval is how often a condition is evaluated.
	conditionPollInterval = 20 * time.Millisecond
)

// recordName is the record that runs publish.
const recordName = "scale-run"

var (
	// errJoinTimeout means that a run could not begin.
	errJoinTimeout = errors.New("the members did not find each other")
	// errNoMember means that no member of the kind that a scenario needs runs any more.
	errNoMember = errors.New("no such member runs")
)

// run is the execution of a scenario on a fleet.
type run struct {
	*fleet
	report   *report.Report
	joinedAt int64 // when all members had joined, wall clock in microseconds
	restSpan span  // when nothing happened
	// delegates are the members that were delegates of their zones at the end of restSpan.
	delegates map[int]bool
	// quietPartitions are the spans of partitions in which nothing more happened.
	quietPartitions []span
	faultLog        []string      // what was done, with when
	killedAt        map[int]int64 // by member, wall clock in microseconds

	restTime  time.Duration // 0: the scenario's own
	joinLimit time.Duration
	waitLimit time.Duration
	failFast  bool // the first condition that does not come to hold ends the run
}

// scenario is what a run does to its fleet once all members have joined.
type scenario func(ctx context.Context, r *run) error

// execute starts a fleet, carries out a scenario, and records the figures in a report. An error means that the run
// could not be completed.
func execute(ctx context.Context, o Options, topology *Topology, result *report.Report, carryOut scenario) error {
	dir, err := os.MkdirTemp("", "spurspread-lab")
	if err != nil {
		return fmt.Errorf("directory of the fleet: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	f, err := newFleet(o, topology, dir, cancel)
	if err != nil {
		return err
	}
	defer f.close()
	r := &run{
		fleet:     f,
		report:    result,
		killedAt:  map[int]int64{},
		restTime:  o.restTime,
		joinLimit: cmp.Or(o.waitLimit, defaultJoinLimit),
		waitLimit: cmp.Or(o.waitLimit, defaultWaitLimit),
		failFast:  o.failFast,
	}
	if err := r.join(ctx); err != nil {
		return err
	}
	if err := carryOut(ctx, r); err != nil {
		return err
	}
	r.recordFigures(o)
	return nil
}

// join starts all members and waits until each knows all. From then on observations count.
func (r *run) join(ctx context.Context) error {
	r.log("%d members, %d of them real, in %d zones of %d regions",
		r.topology.Members, r.topology.RealMembers, r.topology.Zones, r.topology.Regions)
	r.setFastPolling(true)
	begin := r.monitor.beginFault()
	if err := r.startMembers(); err != nil {
		return err
	}
	joined := r.await(ctx, begin, r.joinLimit, r.monitor.joinComplete)
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	if !joined.holds {
		r.monitor.mu.Lock()
		defer r.monitor.mu.Unlock()
		return fmt.Errorf("%w: %s %s", errJoinTimeout, r.monitor.describeMiscounts(),
			strings.Join(r.monitor.errors, "; "))
	}
	r.report.Figures["join_ms"] = float64(joined.at-begin.at) / 1000
	r.log("all have found each other")
	r.monitor.mu.Lock()
	defer r.monitor.mu.Unlock()
	r.joinedAt = time.Now().UnixMicro()
	r.monitor.recording = true
	r.monitor.starvedUntil = 0
	clear(r.monitor.recoveries)
	return nil
}

// outcome is how the wait for a condition ended.
type outcome struct {
	holds   bool
	at      int64 // since when it holds by the clock of the members, else the end of the wait; microseconds
	periods int64 // protocol periods until it held first
}

// await waits until a condition has held for requiredHoldTime, at most for the limit.
func (r *run) await(ctx context.Context, since instant, limit time.Duration, holds condition) outcome {
	var result outcome
	var heldSince time.Time
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		r.monitor.mu.Lock()
		result.at, result.holds = holds()
		if heldSince.IsZero() {
			result.periods = r.monitor.periodsSince(since)
		}
		r.monitor.mu.Unlock()
		switch {
		case !result.holds:
			heldSince = time.Time{}
		case heldSince.IsZero():
			heldSince = time.Now()
		case time.Since(heldSince) >= requiredHoldTime:
			return result
		}
		pause(ctx, conditionPollInterval)
	}
	result.at = time.Now().UnixMicro()
	result.holds = false
	return result
}

// pause waits for a duration, or until the run is cancelled.
func pause(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}

// measureRest lets nothing happen for a duration, after settleTime in which the members finish what is under way.
func (r *run) measureRest(ctx context.Context, duration time.Duration) {
	r.setFastPolling(false)
	pause(ctx, settleTime)
	r.log("nothing happens for %v", duration)
	r.restSpan.from = time.Now().UnixMicro()
	pause(ctx, duration)
	r.restSpan.to = time.Now().UnixMicro()
	r.monitor.mu.Lock()
	defer r.monitor.mu.Unlock()
	r.delegates = map[int]bool{}
	for member := range r.monitor.members {
		r.delegates[member] = r.monitor.members[member].delegate
	}
}

// injectFault does something to the fleet, and returns when: times until the members see it count from there.
func (r *run) injectFault(ctx context.Context, description string, do func() error) (instant, error) {
	r.setFastPolling(true)
	if err := context.Cause(ctx); err != nil {
		return instant{}, err
	}
	r.log("%s", description)
	begin := r.monitor.beginFault()
	sinceJoin := float64(begin.at-r.joinedAt) / 1e6
	r.faultLog = append(r.faultLog, fmt.Sprintf("%.1f s: %s", sinceJoin, description))
	return begin, do()
}

// awaitBound waits until a condition holds, and records how long after a fault that was: as the value of a bound,
// which is the worst of all faults, and as a figure of this fault.
func (r *run) awaitBound(ctx context.Context, begin instant, bound, fault string, holds condition) error {
	result := r.await(ctx, begin, r.waitLimit, holds)
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	if !result.holds {
		if err := r.noteMissedBound(bound, fault); err != nil {
			return err
		}
	}
	millis := max(float64(result.at-begin.at)/1000, 0)
	r.log("%s: %s_ms %.0f", fault, bound, millis)
	r.recordMax(bound+"_ms", millis)
	r.recordMax(bound+"_periods", float64(result.periods))
	r.report.Figures[strings.ReplaceAll(fault, " ", "_")+"_"+bound+"_ms"] = millis
	return nil
}

// noteMissedBound notes that a condition did not come to hold. It returns that as an error where it ends the run.
func (r *run) noteMissedBound(bound, fault string) error {
	r.monitor.mu.Lock()
	defer r.monitor.mu.Unlock()
	reason := fmt.Sprintf("%s after '%s' not within %v; %s", bound, fault, r.waitLimit, r.monitor.describeMiscounts())
	if r.failFast {
		return errors.New(reason)
	}
	r.monitor.addNote("%s", reason)
	return nil
}

// recordMax sets a figure to a value where that is its first or largest.
func (r *run) recordMax(figure string, value float64) {
	if worst, had := r.report.Figures[figure]; !had || value > worst {
		r.report.Figures[figure] = value
	}
}

// crash kills a member, and waits until its zone has declared it dead and all members count without it.
func (r *run) crash(ctx context.Context, fault string, member int) error {
	begin, err := r.injectFault(ctx, fmt.Sprintf("%s: %s is killed", fault, r.topology.Name(member)),
		func() error { return r.kill(member) })
	if err != nil {
		return err
	}
	r.killedAt[member] = time.Now().UnixMicro()
	if err := r.awaitBound(ctx, begin, "zone_seen", fault, r.monitor.deathSeen(member)); err != nil {
		return err
	}
	return r.awaitBound(ctx, begin, "count_everywhere", fault, r.monitor.countsComplete)
}

// crashOne crashes a member that is drawn from some zones, real or stub. Where none runs it does nothing.
func (r *run) crashOne(ctx context.Context, fault string, realMember bool, zones []int) error {
	member, ok := r.pickRunning(realMember, zones)
	if !ok {
		return nil
	}
	return r.crash(ctx, fault, member)
}

// restartOne has a member that is drawn from some zones, real or stub, leave in the planned way, starts it again,
// and waits each time until all members count as many as there are.
func (r *run) restartOne(ctx context.Context, fault string, realMember bool, zones []int) error {
	member, ok := r.pickRunning(realMember, zones)
	if !ok {
		return fmt.Errorf("%s: %w", fault, errNoMember)
	}
	name := r.topology.Name(member)
	begin, err := r.injectFault(ctx, fmt.Sprintf("%s: %s leaves", fault, name),
		func() error { return r.leave(member) })
	if err != nil {
		return err
	}
	if err := r.awaitBound(ctx, begin, "count_everywhere", fault+" leaves", r.monitor.countsComplete); err != nil {
		return err
	}
	pause(ctx, leaveMicros*time.Microsecond) // until a stub member has ended
	begin, err = r.injectFault(ctx, fmt.Sprintf("%s: %s starts", fault, name),
		func() error { return r.restart(member) })
	if err != nil {
		return err
	}
	return r.awaitBound(ctx, begin, "count_everywhere", fault+" starts", r.monitor.countsComplete)
}

// publishOne has a member that is drawn from some zones, real or stub, publish a record, as publishRecord does.
func (r *run) publishOne(ctx context.Context, fault string, realMember bool, zones []int) error {
	member, ok := r.pickRunning(realMember, zones)
	if !ok {
		return fmt.Errorf("%s: %w", fault, errNoMember)
	}
	_, err := r.publishRecord(ctx, fault, member)
	return err
}

// publishRecord has a member publish a record with a new value, and waits until all members that it can reach have
// it.
func (r *run) publishRecord(ctx context.Context, fault string, member int) (value string, err error) {
	value = fmt.Sprintf("%016x", r.rng.Uint64())
	begin, err := r.injectFault(ctx, fmt.Sprintf("%s: %s publishes a record", fault, r.topology.Name(member)),
		func() error { return r.publish(member, recordName, value) })
	if err != nil {
		return "", err
	}
	seen := r.monitor.recordSeen(r.topology.Zone(member), recordName, value)
	return value, r.awaitBound(ctx, begin, "record_everywhere", fault, seen)
}
