// Package scenario has scripts of faults for the members of a fleet, and a checker that judges what members then
// report of one another. The same scripts and the same checker serve members in virtual time (lab/simulation) and
// real processes (lab/procs), each as a Stage; the package must not know which of them it has.
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
	// Members is the number of members; they are numbered from 0.
	Members() int
	Now() time.Duration
	// After schedules a call.
	After(d time.Duration, callback func())
	// Rand is the source from which scripts draw.
	Rand() *rand.Rand

	// Set changes the links from some members to others, one way; Heal makes all links what they are usually.
	UpdateLinks(from, to []int, change func(*link.Link))
	Heal()
	// Partitioned lists the links that are partitioned, as from and to.
	Partitioned() map[[2]int]bool

	// Kill ends a member's process at once.
	Kill(i int)
	// Stop makes a member announce its end, and end.
	Stop(i int)
	// Start starts a process under the name of a member that has ended.
	Start(i int)
	// Pause suspends a member's process for d.
	Pause(i int, d time.Duration)

	// StateSeen is another member's state in the view of a member that runs.
	StateSeen(observer, of int) membership.State
}

// ClockStepper is a testbed whose members' clocks can be set.
type ClockStepper interface {
	// StepClock has a member's clock be off by d from its next start on.
	StepClock(i int, d time.Duration)
}

// Trial is one script on a testbed, and the checker that judges it.
type Trial struct {
	Testbed
	*Checker
	Log    func(format string, args ...any) // receives a line for each fault and each false report; may be nil
	Faults []string                         // the faults, with when they came
}

// New begins a trial of members that all run, and have found each other.
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

// InjectFault schedules a fault, or the end of one, and notes it for the checker and the report when it happens.
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

// Stop stops a member in the planned way. From now on it may be reported alive, or not.
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

// randomTime draws a time from the half-open span.
func (t *Trial) randomTime(from, to time.Duration) time.Duration {
	return from + time.Duration(t.Rand().Int64N(int64(max(to-from, 1))))
}
