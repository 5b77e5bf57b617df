package scenario

import (
	"time"

	"spurspread/decision/membership"
)

const (
	// maxPause is a pause that must not have a member declared dead.
	maxPause = 2 * time.Second
	// minRunBetweenPauses is how long a member must have run between two pauses for them to count separately: it
	// needs the time to refute a suspicion, of which the others may remind it after half a second only.
	minRunBetweenPauses = 500 * time.Millisecond
	// Views are compared every minViewInterval, in large fleets less often: every viewIntervalPerMember for each
	// member, since a comparison takes a step for each pair.
	minViewInterval       = 100 * time.Millisecond
	viewIntervalPerMember = time.Millisecond / 2
)

// Checker compares what members report of one another with the faults that were injected. Its methods must be called on
// the goroutine of the testbed.
type Checker struct {
	stage     Testbed
	log       func(format string, args ...any)
	members   []memberHistory
	lastFault time.Duration // the last change of faults

	// FalseDead counts reports that a running member is dead, though it was paused for no more than maxPause and
	// nothing was partitioned.
	FalseDead      int
	DeclaredDead   int
	DeadReturned   int             // dead members that were alive again without a newer incarnation
	Flaps          int             // most returns of one member to one observer after one fault
	DetectionTimes []time.Duration // from each crash until one member reported it
	Divergence     time.Duration   // the longest that views contradicted each other after the last change of faults

	partitioned     bool // members may be declared dead since links are, or lately were, partitioned
	flapCounts      map[[2]int]int
	deadIncarnation map[[2]int]uint64 // by observer and member: the incarnation that was reported dead
}

// memberHistory is what has been done to a member. Times are those of the testbed.
type memberHistory struct {
	up           bool
	stopping     bool          // it was stopped in the planned way
	killedAt     time.Duration // 0 while it runs
	pausedUntil  time.Duration
	runningSince time.Duration // before its present pause, or since the pauses that count as one with it
	longestPause time.Duration // since it was started
	exempt       bool
}

func newChecker(s Testbed, log func(string, ...any)) *Checker {
	c := &Checker{
		stage:           s,
		log:             log,
		members:         make([]memberHistory, s.Members()),
		flapCounts:      map[[2]int]int{},
		deadIncarnation: map[[2]int]uint64{},
	}
	for i := range c.members {
		c.members[i].up = true
	}
	return c
}

// faultsChanged notes that a fault began or ended.
func (c *Checker) faultsChanged(now time.Duration) {
	c.lastFault = now
	clear(c.flapCounts)
}

// SetPartitioned sets whether running members may be declared dead from now on, since others can't reach them.
func (c *Checker) SetPartitioned(partitioned bool) { c.partitioned = partitioned }

// Exempt allows from now on that a member is declared dead, since others can hardly reach it.
func (c *Checker) Exempt(i int) { c.members[i].exempt = true }

func (c *Checker) started(i int) {
	c.members[i] = memberHistory{up: true, exempt: c.members[i].exempt}
	for key := range c.deadIncarnation {
		if key[0] == i {
			delete(c.deadIncarnation, key)
		}
	}
}

func (c *Checker) killed(i int) {
	c.members[i].up = false
	c.members[i].killedAt = c.stage.Now()
}

// stopped notes that a member is being stopped: it may be reported alive until it has ended, or not.
func (c *Checker) stopped(i int) { c.members[i].stopping = true }

func (c *Checker) pausedFor(i int, d time.Duration) {
	m := &c.members[i]
	now := c.stage.Now()
	if now > m.pausedUntil+minRunBetweenPauses {
		m.runningSince = now
	}
	m.pausedUntil = max(m.pausedUntil, now+d)
	m.longestPause = max(m.longestPause, m.pausedUntil-m.runningSince)
}

// running reports whether a member's process has neither ended nor is paused.
func (c *Checker) running(i int) bool {
	m := &c.members[i]
	return m.up && c.stage.Now() >= m.pausedUntil
}

// expectedAlive reports whether a report that a member is dead is false, if its pauses are not taken into account.
func (c *Checker) expectedAlive(m *memberHistory) bool {
	return m.up && !m.stopping && !m.exempt && !c.partitioned
}

// StateChanged checks a report: at the given time the observer changed the state of member of, under an incarnation.
func (c *Checker) StateChanged(at time.Duration, observer, of int, from, to membership.State, incarnation uint64) {
	switch {
	case to == membership.Dead:
		c.reportedDead(at, observer, of, incarnation)
	case from == membership.Dead && to == membership.Alive:
		c.reportedAlive(observer, of, incarnation)
	}
}

func (c *Checker) reportedDead(at time.Duration, observer, of int, incarnation uint64) {
	m := &c.members[of]
	c.deadIncarnation[[2]int{observer, of}] = incarnation
	if c.expectedAlive(m) {
		c.DeclaredDead++
		if m.longestPause <= maxPause {
			c.FalseDead++
			c.log("%d holds %d dead, which runs", observer, of)
		}
	}
	if m.killedAt > 0 {
		c.DetectionTimes = append(c.DetectionTimes, at-m.killedAt)
	}
}

func (c *Checker) reportedAlive(observer, of int, incarnation uint64) {
	key := [2]int{observer, of}
	if dead := c.deadIncarnation[key]; incarnation <= dead {
		c.DeadReturned++
		c.log("%d takes %d back under %d, dead under %d", observer, of, incarnation, dead)
	}
	c.flapCounts[key]++
	if !c.members[of].exempt && !c.members[observer].exempt {
		c.Flaps = max(c.Flaps, c.flapCounts[key])
	}
}

// UndetectedCrashes counts the pairs of a running member and one that has ended, where the first still has the second
// in the fleet.
func (c *Checker) UndetectedCrashes() (n int) {
	for i := range c.members {
		if c.members[i].up {
			continue
		}
		for observer := range c.members {
			if c.running(observer) && inFleet(c.stage.StateSeen(observer, i)) {
				n++
			}
		}
	}
	return n
}

// inFleet reports whether a state is that of a member of the fleet.
func inFleet(s membership.State) bool { return s == membership.Alive || s == membership.Suspect }

// WatchViews compares the views of members periodically, and keeps in Divergence how long after the last fault views
// of members that reach each other contradicted each other.
func (c *Checker) WatchViews() {
	interval := max(minViewInterval, time.Duration(len(c.members))*viewIntervalPerMember)
	c.stage.After(interval, func() {
		if c.viewsContradict() {
			c.Divergence = max(c.Divergence, c.stage.Now()-c.lastFaultEnd())
		}
		c.WatchViews()
	})
}

// lastFaultEnd is when faults changed last, the ends of pauses included.
func (c *Checker) lastFaultEnd() time.Duration {
	last := c.lastFault
	for i := range c.members {
		if m := &c.members[i]; m.pausedUntil <= c.stage.Now() {
			last = max(last, m.pausedUntil)
		}
	}
	return last
}

// viewsContradict reports whether two running members that reach each other both ways differ on whether a third is in
// the fleet, or whether one of them has the other not in the fleet, or an ended member in it.
func (c *Checker) viewsContradict() bool {
	parts := c.partitions()
	size := map[int]int{}
	for _, part := range parts {
		size[part]++
	}
	for of := range c.members {
		m := &c.members[of]
		if m.exempt || m.stopping || m.up && !c.running(of) {
			continue
		}
		if c.contradictOn(of, parts, size) {
			return true
		}
	}
	return false
}

// contradictOn compares the views of one member, by the part of the fleet in which the observers are.
func (c *Checker) contradictOn(of int, parts []int, size map[int]int) bool {
	m := &c.members[of]
	seenInPart := map[int]bool{}
	for observer := range c.members {
		part := parts[observer]
		// A member that is alone knows that it receives nothing, and declares no member dead.
		if observer == of || !c.viewCounts(observer) || size[part] == 1 {
			continue
		}
		seen := inFleet(c.stage.StateSeen(observer, of))
		if other, known := seenInPart[part]; known && other != seen {
			return true
		}
		seenInPart[part] = seen
		if !m.up && seen {
			return true
		}
		if m.up && part == parts[of] && !seen {
			return true
		}
	}
	return false
}

// viewCounts reports whether a member's view counts.
func (c *Checker) viewCounts(observer int) bool {
	return c.running(observer) && !c.members[observer].stopping && !c.members[observer].exempt
}

// partitions groups the running members by links that work both ways: for each member the first one of its group, -1
// for one that does not run.
func (c *Checker) partitions() []int {
	lost := c.stage.Partitioned()
	connected := func(a, b int) bool {
		return len(lost) == 0 || !lost[[2]int{a, b}] && !lost[[2]int{b, a}]
	}
	group := make([]int, len(c.members))
	for i := range group {
		group[i] = -1
	}
	for first := range group {
		if group[first] >= 0 || !c.running(first) {
			continue
		}
		group[first] = first
		for queue := []int{first}; len(queue) > 0; {
			member := queue[0]
			queue = queue[1:]
			for other := range group {
				if group[other] < 0 && c.running(other) && connected(member, other) {
					group[other] = first
					queue = append(queue, other)
				}
			}
		}
	}
	return group
}
