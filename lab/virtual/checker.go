package virtual

import (
	"slices"

	"spurspread/decide/member"
)

// Checker judges what members say of one another by what was done to them.
type Checker struct {
	w       *World
	members []fate
	faults  []Micros

	// What was found.
	FalseDead    int // held dead by somebody, though it ran, was paused for no more than Bearable and nothing was cut
	DeadReturned int // alive again without a newer incarnation
	Flaps        int // most often that one observer took one member back after one fault
	Seen         []Micros
	Differ       Micros // the longest that views contradicted each other after the last change of faults
	Notes        []string

	Bearable Micros // a pause that must not cost a member its place
	cut      bool   // something is cut, or was within the memory of a suspicion
	flaps    map[[2]int]int
	deadInc  map[[2]int]uint64
	agreed   Micros
	watching bool
}

type fate struct {
	up      bool
	killed  Micros // 0 while it runs
	paused  Micros // until
	stood   Micros // since when, the last time
	longest Micros // pause since it was started
	seen    map[int]bool
	excused bool
}

func newChecker(w *World, n int) *Checker {
	return &Checker{w: w, members: make([]fate, n), Bearable: 2 * Second, flaps: map[[2]int]int{}, deadInc: map[[2]int]uint64{}}
}

// Check is the world's checker.
func (w *World) Check() *Checker { return w.check }

func (c *Checker) fault(now Micros, _ string) {
	c.faults = append(c.faults, now)
	clear(c.flaps)
}

// Cuts says whether links are cut from now on, so that members may be held dead that run.
func (c *Checker) Cuts(cut bool) { c.cut = cut }

// Excuse says that a member may be held dead from now on, since others can hardly reach it.
func (c *Checker) Excuse(i int) { c.members[i].excused = true }

func (c *Checker) started(i int) {
	c.members[i] = fate{up: true}
	for key := range c.deadInc {
		if key[0] == i {
			delete(c.deadInc, key)
		}
	}
}

func (c *Checker) killed(i int) {
	c.members[i].up, c.members[i].killed, c.members[i].seen = false, c.w.Now, map[int]bool{}
	for o := range c.members {
		if o != i && c.runs(o) && c.w.nodes[o].detect.Holds(i) == member.Dead {
			c.members[i].seen[o] = true
		}
	}
}

func (c *Checker) pausedFor(i int, d Micros) {
	m := &c.members[i]
	if c.w.Now > m.paused {
		m.stood = c.w.Now
	}
	m.paused = max(m.paused, c.w.Now+d)
	m.longest = max(m.longest, m.paused-m.stood)
}

// runs tells that a member's process is there and not paused.
func (c *Checker) runs(i int) bool { return c.members[i].up && c.w.Now >= c.members[i].paused }

func (c *Checker) changed(observer int, ch member.Change) {
	of := slices.IndexFunc(c.w.All(), func(i int) bool { return MemberID(i) == ch.ID })
	key := [2]int{observer, of}
	m := &c.members[of]
	switch {
	case ch.To == member.Dead:
		c.deadInc[key] = ch.Inc
		if m.up && m.longest <= c.Bearable && !c.cut && !m.excused {
			c.FalseDead++
			c.note("%d holds %d dead, which runs", observer, of)
		}
		if m.killed > 0 {
			m.seen[observer] = true
			c.Seen = append(c.Seen, c.w.Now-m.killed)
		}
	case ch.From == member.Dead && ch.To == member.Alive:
		if inc := c.deadInc[key]; ch.Inc <= inc {
			c.DeadReturned++
			c.note("%d takes %d back under %d, dead under %d", observer, of, ch.Inc, inc)
		}
		if c.flaps[key]++; !m.excused && !c.members[observer].excused {
			c.Flaps = max(c.Flaps, c.flaps[key])
		}
	}
}

func (c *Checker) note(format string, args ...any) {
	if c.w.Log != nil {
		c.w.Log("%8.3f s  "+format, append([]any{float64(c.w.Now) / 1e6}, args...)...)
	}
}

// Unseen is how many live members have not seen the crash of one that stays down.
func (c *Checker) Unseen() (n int) {
	for i := range c.members {
		if m := &c.members[i]; m.killed > 0 && !m.up {
			for o := range c.members {
				if c.runs(o) && c.w.nodes[o].detect.Holds(i) == member.Alive {
					n++
				}
			}
		}
	}
	return n
}

// Watch looks every 100 ms whether the views of those that reach each other both ways contradict, and keeps how long after
// the last fault they did.
func (c *Checker) Watch() {
	if c.watching {
		return
	}
	c.watching = true
	c.look()
}

func (c *Checker) look() {
	c.w.at(100*Millisecond, evFault, 0, 0, func() {
		if len(c.faults) > 0 && c.contradict() {
			c.Differ = max(c.Differ, c.w.Now-c.last())
		}
		c.look()
	})
}

func (c *Checker) last() Micros {
	last := c.faults[len(c.faults)-1]
	for i := range c.members { // a pause changes things again when it ends
		if m := &c.members[i]; m.paused <= c.w.Now {
			last = max(last, m.paused)
		}
	}
	return last
}

// contradict tells that two members that run and reach each other both ways hold a third to be different things, or one of
// them the other to be gone.
func (c *Checker) contradict() bool {
	side := c.sides()
	size := map[int]int{}
	for _, s := range side {
		size[s]++
	}
	for of := range c.members {
		if c.members[of].excused || c.members[of].up && c.w.Now < c.members[of].paused {
			continue // what is said of it while it is paused may change at any time
		}
		first := map[int]bool{}
		for o := range c.members {
			if o == of || !c.runs(o) || c.members[o].excused || size[side[o]] == 1 { // one that hears nobody says so, and judges nobody
				continue
			}
			s := c.w.nodes[o].detect.Holds(of)
			there := s == member.Alive || s == member.Suspect
			if was, known := first[side[o]]; known && was != there {
				return true
			}
			first[side[o]] = there
			if side[o] == side[of] && c.members[of].up && !there {
				return true
			}
			if !c.members[of].up && there {
				return true
			}
		}
	}
	return false
}

// sides groups the members that run by links that work both ways.
func (c *Checker) sides() []int {
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
				if side[b] < 0 && c.runs(b) && !c.broken(a, b) && !c.broken(b, a) {
					side[b] = i
					next = append(next, b)
				}
			}
		}
	}
	return side
}

func (c *Checker) broken(a, b int) bool {
	l := c.w.links[[2]int{a, b}]
	return l != nil && l.Cut
}
