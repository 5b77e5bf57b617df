// Package scenario has scripts that inject faults into the members of a fleet, and a Checker that compares the state
// changes that members report, and their views, with these faults. A Trial runs one script on a Testbed. There are two
// testbeds, of members in virtual time (lab/simulation) and of real processes (lab/procs); this package must not depend
// on which of them it runs on.
package scenario

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"spurspread/decision/membership"
	"spurspread/lab/link"
)

// Testbed runs the members of a fleet, and injects faults into them and their links. Its methods, and the calls that
// After schedules, run one after another. All times are since the testbed began.
type Testbed interface {
	// Members returns the number of members; they are numbered from 0.
	Members() int
	Now() time.Duration
	// After schedules a call after a delay.
	After(d time.Duration, callback func())
	// Rand returns the random source of scripts.
	Rand() *rand.Rand

	// UpdateLinks applies a change to the links from some members to others, in this direction only. Heal reverts all
	// changes.
	UpdateLinks(from, to []int, change func(*link.Link))
	Heal()
	// Partitioned returns the links that are partitioned, as pairs of sender and receiver.
	Partitioned() map[[2]int]bool

	// Kill ends a member's process at once.
	Kill(i int)
	// Stop makes a member announce that it leaves, and end.
	Stop(i int)
	// Start starts a process under the name of a member that has ended.
	Start(i int)
	// Pause suspends a member's process for d.
	Pause(i int, d time.Duration)

	// StateSeen returns a member's state in the view of the observer, which runs.
	StateSeen(observer, of int) membership.State
}

// ClockStepper is a Testbed whose members' clocks can be set.
type ClockStepper interface {
	// StepClock sets the offset of a member's clock to d, from the member's next start on.
	StepClock(i int, d time.Duration)
}

// Trial is one run of a script on a testbed, with its checker.
type Trial struct {
	Testbed
	*Checker
	Log    func(format string, args ...any) // called for each fault and each false report; may be nil
	Faults []string                         // the injected faults with their times
}

// New returns a trial on a testbed all of whose members run and have joined. log may be nil.
func New(s Testbed, log func(string, ...any)) *Trial {
	t := &Trial{Testbed: s, Log: log}
	t.Checker = newChecker(s, t.logEvent)
	return t
}

func (t *Trial) logEvent(format string, args ...any) {
	if t.Log != nil {
		t.Log("%8.3f s  "+format, append([]any{t.Now().Seconds()}, args...)...)
	}
}

// InjectFault schedules a fault, or the end of one, after a delay. When it happens, it is logged, added to Faults and
// reported to the checker. text describes it.
func (t *Trial) InjectFault(after time.Duration, text string, fault func()) {
	t.After(after, func() {
		t.logEvent("%s", text)
		t.Faults = append(t.Faults, fmt.Sprintf("%.1f s: %s", t.Now().Seconds(), text))
		fault()
		t.faultsChanged(t.Now())
	})
}

// Kill ends a member's process at once.
func (t *Trial) Kill(i int) {
	t.Testbed.Kill(i)
	t.killed(i)
}

// Stop stops a member in the planned way. From then on the checker accepts any state of it.
func (t *Trial) Stop(i int) {
	t.Testbed.Stop(i)
	t.stopped(i)
}

// Start starts a process under the name of a member that has ended.
func (t *Trial) Start(i int) {
	t.Testbed.Start(i)
	t.started(i)
}

// Pause suspends a member's process for d.
func (t *Trial) Pause(i int, d time.Duration) {
	t.Testbed.Pause(i, d)
	t.pausedFor(i, d)
}

// All returns the numbers of all members.
func (t *Trial) All() []int {
	all := make([]int, t.Members())
	for i := range all {
		all[i] = i
	}
	return all
}

// Draw returns n different random members, or all if there are fewer, in ascending order.
func (t *Trial) Draw(n int) []int {
	all := t.All()
	t.Rand().Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	drawn := all[:min(n, len(all))]
	slices.Sort(drawn)
	return drawn
}

// randomTime returns a random duration from the half-open interval [from, to).
func (t *Trial) randomTime(from, to time.Duration) time.Duration {
	return from + time.Duration(t.Rand().Int64N(int64(max(to-from, 1))))
}
