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
	// defaultJoinLimit is the time that members have to join, that is to find each other.
	defaultJoinLimit = 90 * time.Second
	// defaultWaitLimit limits every other wait. It is longer than the bounds, so that the report shows by how much one
	// is missed.
	defaultWaitLimit = 25 * time.Second
	// requiredHoldTime is the time for which a condition must hold before it counts as met: longer than two polls of a
	// real member.
	requiredHoldTime = 500 * time.Millisecond
	// conditionPollInterval is the interval at which a condition is evaluated.
	conditionPollInterval = 20 * time.Millisecond
)

// recordName is the name of the record that runs publish.
const recordName = "scale-run"

var (
	// errJoinTimeout means that the members did not join in time, so that the scenario could not start.
	errJoinTimeout = errors.New("not all members joined in time")
	// errNoMember means that a scenario needs a running member of a kind, real or stub, and there is none.
	errNoMember = errors.New("no running member of this kind")
)

// run is the execution of a scenario on a fleet.
type run struct {
	*fleet
	report   *report.Report
	joinedAt int64 // when all members had joined, wall clock in microseconds
	restSpan span  // time at rest, without faults
	// delegates is, by member, whether it was a delegate of its zone at the end of restSpan.
	delegates map[int]bool
	// steadySpans are the parts of partitions after the traffic that they cause has ended.
	steadySpans []span
	faultLog    []string      // injected faults, with their times since joinedAt
	killedAt    map[int]int64 // by member, wall clock in microseconds

	restTime  time.Duration // time at rest; 0: the default of the scenario
	joinLimit time.Duration
	waitLimit time.Duration
	failFast  bool // end the run at the first condition that is not met in time
}

// scenario is the part of a run after all members have joined.
type scenario func(ctx context.Context, r *run) error

// execute starts a fleet, runs a scenario on it, and records the figures in a report. An error means that the run could
// not be completed.
func execute(ctx context.Context, o Options, topology *Topology, result *report.Report, runScenario scenario) error {
	dir, err := os.MkdirTemp("", "spurspread-lab")
	if err != nil {
		return fmt.Errorf("create the directory of the fleet: %w", err)
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
	if err := runScenario(ctx, r); err != nil {
		return err
	}
	r.recordFigures(o)
	return nil
}

// join starts all members and waits until each of them knows all others. Then recording begins; see monitor.recording.
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
	r.log("all members have joined")
	r.monitor.mu.Lock()
	defer r.monitor.mu.Unlock()
	r.joinedAt = time.Now().UnixMicro()
	r.monitor.recording = true
	r.monitor.starvedUntil = 0
	clear(r.monitor.recoveries)
	return nil
}

// outcome is the result of waiting for a condition.
type outcome struct {
	holds   bool  // whether the condition was met
	at      int64 // time since which it holds by the members' clock, or else the end of the wait; microseconds
	periods int64 // protocol periods until it first held
}

// await waits until a condition has held for requiredHoldTime, but no longer than the limit.
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

// measureRest leaves the fleet at rest for a duration, after settleTime in which members complete exchanges that are in
// progress.
func (r *run) measureRest(ctx context.Context, duration time.Duration) {
	r.setFastPolling(false)
	pause(ctx, settleTime)
	r.log("fleet at rest for %v", duration)
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

// injectFault performs an action on the fleet and returns the instant from which reaction times are measured.
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

// awaitBound waits until a condition is met, and records the time since a fault, both as the value of a bound (the
// greatest over all faults) and as a figure of this fault.
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

// noteMissedBound notes that a condition was not met in time. It returns an error, which ends the run, if failFast is
// set.
func (r *run) noteMissedBound(bound, fault string) error {
	r.monitor.mu.Lock()
	defer r.monitor.mu.Unlock()
	reason := fmt.Sprintf("%s after '%s' not reached within %v; %s",
		bound, fault, r.waitLimit, r.monitor.describeMiscounts())
	if r.failFast {
		return errors.New(reason)
	}
	r.monitor.addNote("%s", reason)
	return nil
}

// recordMax sets a figure to a value if the figure has no value yet or a smaller one.
func (r *run) recordMax(figure string, value float64) {
	if worst, had := r.report.Figures[figure]; !had || value > worst {
		r.report.Figures[figure] = value
	}
}

// crash kills a member and waits until its zone has declared it dead and no member counts it any more.
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

// crashOne crashes a member, real or stub, that is drawn from some zones. It does nothing if none is running.
func (r *run) crashOne(ctx context.Context, fault string, realMember bool, zones []int) error {
	member, ok := r.pickRunning(realMember, zones)
	if !ok {
		return nil
	}
	return r.crash(ctx, fault, member)
}

// restartOne draws a member, real or stub, from some zones, shuts it down in the planned way and starts it again. After
// each step it waits until all members count the fleet correctly.
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
	pause(ctx, leaveMicros*time.Microsecond) // until a stub has stopped
	begin, err = r.injectFault(ctx, fmt.Sprintf("%s: %s starts", fault, name),
		func() error { return r.restart(member) })
	if err != nil {
		return err
	}
	return r.awaitBound(ctx, begin, "count_everywhere", fault+" starts", r.monitor.countsComplete)
}

// publishOne has a member, real or stub, that is drawn from some zones publish a record; see publishRecord.
func (r *run) publishOne(ctx context.Context, fault string, realMember bool, zones []int) error {
	member, ok := r.pickRunning(realMember, zones)
	if !ok {
		return fmt.Errorf("%s: %w", fault, errNoMember)
	}
	_, err := r.publishRecord(ctx, fault, member)
	return err
}

// publishRecord has a member publish a record with a new value, and waits until all members that can receive it have
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
