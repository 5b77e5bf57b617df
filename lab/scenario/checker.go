package scenario

import (
	"time"

	"spurspread/decision/membership"
)

const (
	// maxPause is the longest pause for which a member must not be declared dead.
	maxPause = 2 * time.Second
	// minRunBetweenPauses is the minimum time between two pauses of a member; with less time they count as one pause.
	// The member needs that time to refute a suspicion, of which the others may remind it only after half a second.
	minRunBetweenPauses = 500 * time.Millisecond
	// Views are compared every minViewInterval, or, in large fleets, every viewIntervalPerMember times the number of
	// members, since the cost of a comparison is quadratic in that number.
	minViewInterval       = 100 * time.Millisecond
	viewIntervalPerMember = time.Millisecond / 2
)

// Checker compares what members report of one another with the faults that were injected. Its methods must be called on
// the goroutine of the testbed.
type Checker struct {
	testbed   Testbed
	log       func(format string, args ...any)
	members   []memberHistory
	lastFault time.Duration // time of the last change of faults

	// FalseDead counts the reports that a member is dead although its process has not ended, was paused for no longer
	// than maxPause, and no links were partitioned. DeclaredDead counts the same reports, however long the member was
	// paused.
	FalseDead      int
	DeclaredDead   int
	DeadReturned   int             // reports that a dead member is alive again, without a newer incarnation
	Flaps          int             // most returns of a member from dead to alive, seen by one observer after one fault
	DetectionTimes []time.Duration // time from a crash to a member's report of it, for each report
	Divergence     time.Duration   // longest time after the last change of faults at which views still differed

	partitioned     bool // links are, or recently were, partitioned: members may be declared dead
	flapCounts      map[[2]int]int
	deadIncarnation map[[2]int]uint64 // incarnation that was reported dead, by observer and member
}

// memberHistory records the faults of a member. Times are those of the testbed.
type memberHistory struct {
	up             bool
	stopping       bool          // a planned stop has begun
	killedAt       time.Duration // 0 if it was not killed
	pausedUntil    time.Duration
	pauseStartedAt time.Duration // start of its last pause, or of the first of several that count as one
	longestPause   time.Duration // since its start
	exempt         bool          // see Checker.Exempt
}

func newChecker(s Testbed, log func(string, ...any)) *Checker {
	c := &Checker{
		testbed:         s,
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

// faultsChanged records that a fault began or ended.
func (c *Checker) faultsChanged(now time.Duration) {
	c.lastFault = now
	clear(c.flapCounts)
}

// SetPartitioned sets whether running members may be declared dead from now on, because others can't reach them.
func (c *Checker) SetPartitioned(partitioned bool) { c.partitioned = partitioned }

// Exempt excludes a member from checks from now on, because its links are too bad. It may be declared dead, and neither
// its flaps nor the views of it and by it are checked.
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
	c.members[i].killedAt = c.testbed.Now()
}

// stopped records that a member is being stopped. Any state of it is accepted until it is started again.
func (c *Checker) stopped(i int) { c.members[i].stopping = true }

func (c *Checker) pausedFor(i int, d time.Duration) {
	m := &c.members[i]
	now := c.testbed.Now()
	if now > m.pausedUntil+minRunBetweenPauses {
		m.pauseStartedAt = now
	}
	m.pausedUntil = max(m.pausedUntil, now+d)
	m.longestPause = max(m.longestPause, m.pausedUntil-m.pauseStartedAt)
}

// running reports whether a member's process has not ended and is not paused.
func (c *Checker) running(i int) bool {
	m := &c.members[i]
	return m.up && c.testbed.Now() >= m.pausedUntil
}

// expectedAlive reports whether it would be a mistake to declare a member dead. It does not take the member's pauses
// into account.
func (c *Checker) expectedAlive(m *memberHistory) bool {
	return m.up && !m.stopping && !m.exempt && !c.partitioned
}

// StateChanged checks the observer's report that another member has a new state, under an incarnation.
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
			c.log("member %d declares member %d dead, although it runs", observer, of)
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
		c.log("member %d reports member %d alive under incarnation %d, after dead under %d",
			observer, of, incarnation, dead)
	}
	c.flapCounts[key]++
	if !c.members[of].exempt && !c.members[observer].exempt {
		c.Flaps = max(c.Flaps, c.flapCounts[key])
	}
}

// UndetectedCrashes returns the number of pairs of a running member and an ended one, where the first still has the
// second alive or suspect.
func (c *Checker) UndetectedCrashes() (n int) {
	for i := range c.members {
		if c.members[i].up {
			continue
		}
		for observer := range c.members {
			if c.running(observer) && inFleet(c.testbed.StateSeen(observer, i)) {
				n++
			}
		}
	}
	return n
}

// inFleet reports whether a member in this state belongs to the fleet.
func inFleet(s membership.State) bool { return s == membership.Alive || s == membership.Suspect }

// WatchViews starts a periodic comparison of the members' views, which updates Divergence.
func (c *Checker) WatchViews() {
	interval := max(minViewInterval, time.Duration(len(c.members))*viewIntervalPerMember)
	c.testbed.After(interval, func() {
		if c.viewsContradict() {
			c.Divergence = max(c.Divergence, c.testbed.Now()-c.lastFaultEnd())
		}
		c.WatchViews()
	})
}

// lastFaultEnd returns the time of the last change of faults, including ends of pauses.
func (c *Checker) lastFaultEnd() time.Duration {
	last := c.lastFault
	for i := range c.members {
		if m := &c.members[i]; m.pausedUntil <= c.testbed.Now() {
			last = max(last, m.pausedUntil)
		}
	}
	return last
}

// viewsContradict reports whether the views of any two running members, connected directly or through others by links
// that work both ways, differ on whether a third member is in the fleet. It also reports true if one of them does not
// see the other in the fleet, or sees a member in it that has ended.
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

// contradictOn reports whether the observers' views of one member contradict each other. parts has the part of the
// fleet in which each observer is, and size has the number of members of each part.
func (c *Checker) contradictOn(of int, parts []int, size map[int]int) bool {
	m := &c.members[of]
	seenInPart := map[int]bool{}
	for observer := range c.members {
		part := parts[observer]
		// A member without any connection notices that it receives nothing, and declares no member dead.
		if observer == of || !c.viewCounts(observer) || size[part] == 1 {
			continue
		}
		seen := inFleet(c.testbed.StateSeen(observer, of))
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

// viewCounts reports whether a member's view is compared with others.
func (c *Checker) viewCounts(observer int) bool {
	return c.running(observer) && !c.members[observer].stopping && !c.members[observer].exempt
}

// partitions returns the connected parts of the fleet, by links that work both ways: for each member the lowest number
// of a member of its part, or -1 if the member does not run.
func (c *Checker) partitions() []int {
	partitioned := c.testbed.Partitioned()
	connected := func(a, b int) bool {
		return len(partitioned) == 0 || !partitioned[[2]int{a, b}] && !partitioned[[2]int{b, a}]
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
