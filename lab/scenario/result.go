// Package scenario has the scripts of what is done to the members of a fleet, and the checker that judges by them what
// members report of one another. The same scripts and the same checker serve members in virtual time (lab/simulation)
// and real processes (lab/procs); this package knows neither.
package scenario

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"spurspread/decision/membership"
	"spurspread/lab/link"
	"time"
)

// Stage is where members are, and what can be done to them. Calls and what After has called come one after another.
type Stage interface {
	Members() int
	Now() time.Duration
	After(d time.Duration, do func())
	Rand() *rand.Rand

	// Set changes the links from some members to others, one way; Heal makes all links what they are usually.
	Set(from, to []int, change func(*link.Link))
	Heal()
	// Cuts lists the links that are cut, as from and to.
	Cuts() map[[2]int]bool

	// Kill ends a member's process without a word, Stop in the planned way, Start starts one, or a new one under
	// its name, and Pause stops it for a while.
	Kill(i int)
	Stop(i int)
	Start(i int)
	Pause(i int, d time.Duration)

	// Holds is what a member that runs holds another to be.
	Holds(observer, of int) membership.State
}

// Clocked is a stage whose members' clocks can be set.
type Clocked interface {
	// StepClock has a member's clock be off by d from its next start on.
	StepClock(i int, d time.Duration)
}

// Trial is one script being played on a stage, and judged.
type Trial struct {
	Stage
	*Checker
	Log    func(format string, args ...any)
	Faults []string // the faults, with when they came
}

// New begins a trial of members that all run, and have found each other.
func New(s Stage, log func(string, ...any)) *Trial {
	t := &Trial{Stage: s, Log: log}
	t.Checker = newChecker(s, t.note)
	return t
}

func (t *Trial) note(format string, args ...any) {
	if t.Log != nil {
		t.Log("%8.3f s  "+format, append([]any{t.Now().Seconds()}, args...)...)
	}
}

// Fault has something done to the stage, and its time in the checker's list of faults.
func (t *Trial) Fault(d time.Duration, what string, do func()) {
	t.After(d, func() {
		t.note("%s", what)
		t.Faults = append(t.Faults, fmt.Sprintf("%.1f s: %s", t.Now().Seconds(), what))
		do()
		t.fault(t.Now())
	})
}

// Kill ends a member's process without a word.
func (t *Trial) Kill(i int) {
	t.Stage.Kill(i)
	t.killed(i)
}

// Stop ends it in the planned way. From now on it need not be held to be there, and may be.
func (t *Trial) Stop(i int) {
	t.Stage.Stop(i)
	t.stopped(i)
}

// Start starts a member's process, or a new one under its name.
func (t *Trial) Start(i int) {
	t.Stage.Start(i)
	t.started(i)
}

// Pause stops a member's process for a while.
func (t *Trial) Pause(i int, d time.Duration) {
	t.Stage.Pause(i, d)
	t.pausedFor(i, d)
}

// All is every member.
func (t *Trial) All() []int {
	out := make([]int, t.Members())
	for i := range out {
		out[i] = i
	}
	return out
}

// Draw is n different members.
func (t *Trial) Draw(n int) []int {
	all := t.All()
	t.Rand().Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	out := all[:min(n, len(all))]
	slices.Sort(out)
	return out
}

// between draws from a to b.
func (t *Trial) between(a, b time.Duration) time.Duration {
	return a + time.Duration(t.Rand().Int64N(int64(max(b-a, 1))))
}

// Result is what one play brought.
type Result struct {
	Scenario string
	Members  int
	Seed     uint64
	Hash     string // of all events, in virtual time

	FalseDead, HeldDead, DeadReturned, Flaps, Unseen int
	// from a crash until one member held the crashed one dead
	Seen      []time.Duration
	Differ    time.Duration
	BytesPerS float64 // of one member, on average, while the script was played
}

// Bounds of every play, as issue 22 has them.
const (
	MaxDetectionTime  = 4 * time.Second
	MaxViewDivergence = 5 * time.Second
	MaxFlaps          = 1
	MaxBytesPerSecond = 4096
)

// Figure is one of a result's figures, with its bound.
type Figure struct {
	Name          string
	Measured, Max float64
}

// Figures are all that have a bound.
func (r *Result) Figures() []Figure {
	ms := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	return []Figure{
		{"false_dead", float64(r.FalseDead), 0},
		{"dead_returned", float64(r.DeadReturned), 0},
		{"flaps", float64(r.Flaps), MaxFlaps},
		{"unseen", float64(r.Unseen), 0},
		{"crash_seen_by_all_ms", ms(r.SeenAt(0.99)), ms(MaxDetectionTime)},
		{"view_differs_ms", ms(r.Differ), ms(MaxViewDivergence)},
		{"bytes_per_s_per_member", r.BytesPerS, MaxBytesPerSecond},
	}
}

// Broken tells which bounds do not hold.
func (r *Result) Broken() (out []string) {
	for _, f := range r.Figures() {
		if f.Measured > f.Max {
			out = append(out, fmt.Sprintf("%s %.0f, over %.0f", f.Name, f.Measured, f.Max))
		}
	}
	return out
}

// SeenAt is the time in which this part of all crashes was seen, by each member that could see it.
func (r *Result) SeenAt(part float64) time.Duration {
	if len(r.Seen) == 0 {
		return 0
	}
	all := slices.Sorted(slices.Values(r.Seen))
	return all[min(int(part*float64(len(all))), len(all)-1)]
}

// StopTime is how long a planned stop may take.
const StopTime = 4 * time.Second

// JoinTime is given to members to find each other before a script begins.
const JoinTime = 12 * time.Second

// Settle is how long a stage is watched after a script.
const Settle = MaxViewDivergence + 3*time.Second

// Result is what was found so far.
func (t *Trial) Result(name string, seed uint64) *Result {
	return &Result{
		Scenario: name, Members: t.Members(), Seed: seed, FalseDead: t.FalseDead, HeldDead: t.HeldDead,
		DeadReturned: t.DeadReturned,
		Flaps:        t.Flaps, Unseen: t.Unseen(), Seen: t.Seen, Differ: t.Differ,
	}
}
