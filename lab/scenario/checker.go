package scenario

import (
	"spurspread/decision/membership"
	"time"
)

// Checker judges what members say of one another by what was done to them.
type Checker struct {
	s       Stage
	say     func(format string, args ...any)
	members []fate
	last    time.Duration // the last change of faults

	// What was found.
	// held dead by somebody, though it ran, was paused for no more than Bearable and nothing was cut
	FalseDead    int
	HeldDead     int             // the same, however long it was paused
	DeadReturned int             // alive again without a newer incarnation
	Flaps        int             // most often that one observer took one member back after one fault
	Seen         []time.Duration // from a crash until one member held the crashed one dead
	Differ       time.Duration   // the longest that views contradicted each other after the last change of faults

	Bearable time.Duration // a pause that must not cost a member its place
	apart    bool          // something is cut, or was within the memory of a suspicion
	flaps    map[[2]int]int
	deadInc  map[[2]int]uint64
}

// fate is what has been done to a member.
type fate struct {
	up           bool
	leaves       bool          // was told to stop
	since        time.Duration // when it was started last
	killed       time.Duration // 0 while it runs
	paused       time.Duration // until
	runningSince time.Duration // since when, the last time
	longest      time.Duration // pause since it was started
	excused      bool
}

// breath is how long a member must have run between two pauses for them not to count as one: it says that it lives
// when it is asked, and whoever it has not answered asks again after half a second.
const breath = 500 * time.Millisecond

func newChecker(s Stage, say func(string, ...any)) *Checker {
	c := &Checker{
		s: s, say: say, members: make([]fate, s.Members()), Bearable: 2 * time.Second, flaps: map[[2]int]int{},
		deadInc: map[[2]int]uint64{},
	}
	for i := range c.members {
		c.members[i].up = true
	}
	return c
}

func (c *Checker) fault(now time.Duration) {
	c.last = now
	clear(c.flaps)
}

// Apart says whether members may be held dead from now on that run, since they are cut off from others.
func (c *Checker) Apart(may bool) { c.apart = may }

// Excuse says that a member may be held dead from now on, since others can hardly reach it.
func (c *Checker) Excuse(i int) { c.members[i].excused = true }

func (c *Checker) started(i int) {
	c.members[i] = fate{up: true, since: c.s.Now(), excused: c.members[i].excused}
	for key := range c.deadInc {
		if key[0] == i {
			delete(c.deadInc, key)
		}
	}
}

func (c *Checker) killed(i int) { c.members[i].up, c.members[i].killed = false, c.s.Now() }

// stopped: from now on it need not be held to be there, and may be until it has ended.
func (c *Checker) stopped(i int) { c.members[i].leaves = true }

func (c *Checker) pausedFor(i int, d time.Duration) {
	m, now := &c.members[i], c.s.Now()
	if now > m.paused+breath {
		m.runningSince = now
	}
	m.paused = max(m.paused, now+d)
	m.longest = max(m.longest, m.paused-m.runningSince)
}

// runs tells that a member's process is there and not paused.
func (c *Checker) runs(i int) bool { return c.members[i].up && c.s.Now() >= c.members[i].paused }

// Changed takes what an observer says that it holds another member to be now, and held it to be before.
func (c *Checker) Changed(at time.Duration, observer, of int, from, to membership.State, inc uint64) {
	key := [2]int{observer, of}
	m := &c.members[of]
	switch {
	case to == membership.Dead:
		c.deadInc[key] = inc
		if m.up && !m.leaves && !c.apart && !m.excused {
			c.HeldDead++
		}
		if m.up && !m.leaves && m.longest <= c.Bearable && !c.apart && !m.excused {
			c.FalseDead++
			c.say("%d holds %d dead, which runs", observer, of)
		}
		if m.killed > 0 {
			c.Seen = append(c.Seen, at-m.killed)
		}
	case from == membership.Dead && to == membership.Alive:
		if was := c.deadInc[key]; inc <= was {
			c.DeadReturned++
			c.say("%d takes %d back under %d, dead under %d", observer, of, inc, was)
		}
		if c.flaps[key]++; !m.excused && !c.members[observer].excused {
			c.Flaps = max(c.Flaps, c.flaps[key])
		}
	}
}

// Unseen is how many live members have not seen the crash of one that stays down.
func (c *Checker) Unseen() (n int) {
	for i := range c.members {
		if c.members[i].up {
			continue
		}
		for o := range c.members {
			if c.runs(o) && there(c.s.Holds(o, i)) {
				n++
			}
		}
	}
	return n
}

// there tells whether a member is held to be in the fleet.
func there(s membership.State) bool { return s == membership.Alive || s == membership.Suspect }

// Watch looks again and again whether the views of those that reach each other both ways contradict, and keeps how
// long after the last fault they did. A look takes a step for each pair of members, so that larger fleets are
// looked at less often.
func (c *Checker) Watch() {
	every := max(100*time.Millisecond, time.Duration(len(c.members))*time.Millisecond/2)
	c.s.After(every, func() {
		if c.contradict() {
			c.Differ = max(c.Differ, c.s.Now()-c.lastChange())
		}
		c.Watch()
	})
}

// lastChange is when faults changed last: a pause changes things again when it ends, a stop when the process has gone.
func (c *Checker) lastChange() time.Duration {
	last := c.last
	for i := range c.members {
		if m := &c.members[i]; m.paused <= c.s.Now() {
			last = max(last, m.paused)
		}
	}
	return last
}

// contradict tells that two members that run and reach each other both ways hold a third to be different things, or
// one of them the other to be gone.
func (c *Checker) contradict() bool {
	side := c.sides()
	size := map[int]int{}
	for _, s := range side {
		size[s]++
	}
	for of := range c.members {
		m := &c.members[of]
		if m.excused || m.leaves || m.up && !c.runs(of) {
			continue
		}
		first := map[int]bool{}
		for o := range c.members {
			// one that hears nobody says so, and judges nobody
			if o == of || !c.runs(o) || c.members[o].leaves || c.members[o].excused || size[side[o]] == 1 {
				continue
			}
			is := there(c.s.Holds(o, of))
			if was, known := first[side[o]]; known && was != is {
				return true
			}
			first[side[o]] = is
			if side[o] == side[of] && m.up && !is || !m.up && is {
				return true
			}
		}
	}
	return false
}

// sides groups the members that run by links that work both ways.
func (c *Checker) sides() []int {
	cuts := c.s.Cuts()
	side := make([]int, len(c.members))
	for i := range side {
		side[i] = -1
	}
	for i := range side {
		if side[i] >= 0 || !c.runs(i) {
			continue
		}
		side[i] = i
		for next := []int{i}; len(next) > 0; {
			a := next[0]
			next = next[1:]
			for b := range side {
				if side[b] < 0 && c.runs(b) && (len(cuts) == 0 || !cuts[[2]int{a, b}] && !cuts[[2]int{b, a}]) {
					side[b] = i
					next = append(next, b)
				}
			}
		}
	}
	return side
}
