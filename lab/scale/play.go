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
	// maxJoinTime bounds how long all may take to find each other, awaitMost how long anything else is awaited: more
	// than its bound, so that the report says by how much that is missed.
	maxJoinTime = 90 * time.Second
	maxWait     = 25 * time.Second
	// requiredHoldTime is for how long something must hold to count as reached: longer than two looks at a real member.
	requiredHoldTime = 500 * time.Millisecond
	lookTime         = 20 * time.Millisecond
)

// play is a run being played.
type play struct {
	*fleet
	ctx    context.Context
	report *report.Report
	began  int64 // when all had found each other
	rest   span
	// delegates are those that spoke for their zones at the end of the rest.
	delegates map[int]bool
	restTime  time.Duration
	// quietCuts are the parts of cuts in which nothing more happens.
	quietCuts             []span
	patience, maxJoinTime time.Duration
	hasty                 bool     // the first thing that is awaited in vain ends the run
	journal               []string // what was done, with when
	// killed tells when members were killed, wall clock in microseconds.
	killed map[int]int64
}

// errLate says that a run could not begin.
var errLate = errors.New("the members did not find each other")

// playFleet starts a fleet, has it play, and measures it; an error means that it could not be played.
func playFleet(ctx context.Context, o Options, t *Topology, r *report.Report, do func(p *play) error) (err error) {
	dir, err := os.MkdirTemp("", "spurspread-lab")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	f, err := newFleet(o, t, dir, stop)
	if err != nil {
		return err
	}
	defer f.close()
	p := &play{
		fleet:       f,
		ctx:         ctx,
		report:      r,
		restTime:    o.rest,
		patience:    cmp.Or(o.patience, maxWait),
		maxJoinTime: o.patience,
		hasty:       o.hasty,
		killed:      map[int]int64{},
	}
	if err := p.join(); err != nil {
		return err
	}
	if err := do(p); err != nil {
		return err
	}
	p.measured(o)
	return nil
}

// join starts all members and waits until each knows all.
func (p *play) join() error {
	p.log("%d members, %d of them real, in %d zones of %d regions", p.t.Members, p.t.Reals, p.t.Zones, p.t.Regions)
	p.attend(true)
	m := p.watch.mark()
	if err := p.start(); err != nil {
		return err
	}
	found := p.await(m, cmp.Or(p.maxJoinTime, maxJoinTime), p.watch.found)
	if p.ctx.Err() != nil {
		return context.Cause(p.ctx)
	}
	if !found.holds {
		p.watch.mu.Lock()
		defer p.watch.mu.Unlock()
		return fmt.Errorf("%w: %s %s", errLate, p.watch.wrong(), strings.Join(p.watch.errors, "; "))
	}
	p.report.Figures["join_ms"] = float64(found.at-m.at) / 1000
	p.log("all have found each other")
	p.watch.mu.Lock()
	defer p.watch.mu.Unlock()
	p.began, p.watch.judged, p.watch.starved = time.Now().UnixMicro(), true, 0
	clear(p.watch.took)
	return nil
}

// reached is when something came to hold: the clock of those who showed it, and protocol periods since a mark.
type reached struct {
	at, periods int64
	holds       bool
}

// await waits until something holds and goes on to hold.
func (p *play) await(m mark, most time.Duration, c condition) (r reached) {
	held := time.Time{}
	for late := time.Now().Add(most); time.Now().Before(late) && p.ctx.Err() == nil; p.pause(lookTime) {
		p.watch.mu.Lock()
		r.at, r.holds = c()
		if held.IsZero() {
			r.periods = p.watch.since(m)
		}
		p.watch.mu.Unlock()
		switch {
		case !r.holds:
			held = time.Time{}
		case held.IsZero():
			held = time.Now()
		case time.Since(held) >= requiredHoldTime:
			return r
		}
	}
	r.at, r.holds = time.Now().UnixMicro(), false
	return r
}

// pause lets time pass.
func (p *play) pause(d time.Duration) {
	select {
	case <-p.ctx.Done():
	case <-time.After(d):
	}
}

// atRest lets nothing happen for a while.
func (p *play) atRest(d time.Duration) {
	p.attend(false)
	p.pause(settleTime)
	p.log("nothing happens for %v", d)
	p.rest.from = time.Now().UnixMicro()
	p.pause(d)
	p.rest.to = time.Now().UnixMicro()
	p.watch.mu.Lock()
	defer p.watch.mu.Unlock()
	p.delegates = map[int]bool{}
	for i := range p.watch.members {
		p.delegates[i] = p.watch.members[i].delegate
	}
}

// fault does something to the fleet; what is measured from it begins here.
func (p *play) fault(what string, do func() error) (mark, error) {
	p.attend(true)
	if err := context.Cause(p.ctx); err != nil {
		return mark{}, err
	}
	p.log("%s", what)
	m := p.watch.mark()
	p.journal = append(p.journal, fmt.Sprintf("%.1f s: %s", float64(m.at-p.began)/1e6, what))
	return m, do()
}

// within waits until something holds, and keeps how long after a fault it did as the figure of a bound and of this
// fault.
func (p *play) within(m mark, bound, of string, c condition) error {
	r := p.await(m, p.patience, c)
	if p.ctx.Err() != nil {
		return context.Cause(p.ctx)
	}
	if !r.holds {
		if err := p.late(bound, of); err != nil {
			return err
		}
	}
	ms := max(float64(r.at-m.at)/1000, 0)
	p.log("%s: %s_ms %.0f", of, bound, ms)
	p.worst(bound+"_ms", ms)
	p.worst(bound+"_periods", float64(r.periods))
	p.report.Figures[strings.ReplaceAll(of, " ", "_")+"_"+bound+"_ms"] = ms
	return nil
}

// late notes that something was awaited in vain; a hasty run ends with that.
func (p *play) late(bound, of string) error {
	p.watch.mu.Lock()
	defer p.watch.mu.Unlock()
	why := fmt.Sprintf("%s after '%s' not within %v; %s", bound, of, p.patience, p.watch.wrong())
	if p.hasty {
		return errors.New(why)
	}
	p.watch.note("%s", why)
	return nil
}

// worst keeps the largest of a figure's values.
func (p *play) worst(name string, v float64) {
	if was, had := p.report.Figures[name]; !had || v > was {
		p.report.Figures[name] = v
	}
}

// crash ends a member without a word, and waits until its zone holds it dead and all count without it.
func (p *play) crash(of string, i int) error {
	if i < 0 {
		return nil // no such member is left there
	}
	m, err := p.fault(fmt.Sprintf("%s: %s is killed", of, p.t.Name(i)), func() error { return p.kill(i) })
	if err != nil {
		return err
	}
	p.killed[i] = time.Now().UnixMicro()
	if err := p.within(m, "zone_seen", of, p.watch.seenDead(i)); err != nil {
		return err
	}
	return p.within(m, "count_everywhere", of, p.watch.counted)
}

// cycle ends a member in the planned way and starts it again, and waits each time until all count as many as there are.
func (p *play) cycle(of string, i int) error {
	m, err := p.fault(fmt.Sprintf("%s: %s leaves", of, p.t.Name(i)), func() error { return p.leave(i) })
	if err != nil {
		return err
	}
	if err := p.within(m, "count_everywhere", of+" leaves", p.watch.counted); err != nil {
		return err
	}
	p.pause(leaveTime * time.Microsecond) // a hollow member has ended then
	if m, err = p.fault(fmt.Sprintf("%s: %s starts", of, p.t.Name(i)),
		func() error { return p.restart(i) }); err != nil {
		return err
	}
	return p.within(m, "count_everywhere", of+" starts", p.watch.counted)
}

// spread publishes a record, and waits until all whom its member reaches have it.
func (p *play) spread(of string, i int) (value string, err error) {
	value = fmt.Sprintf("%016x", p.rng.Uint64())
	m, err := p.fault(
		fmt.Sprintf("%s: %s publishes a record", of, p.t.Name(i)),
		func() error { return p.publish(i, recordName, value) },
	)
	if err != nil {
		return "", err
	}
	return value, p.within(m, "record_everywhere", of, p.watch.recorded(p.t.Zone(i), recordName, value))
}

// recordName is the record that runs publish.
const recordName = "scale-run"
