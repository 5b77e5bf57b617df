package virtual

import (
	"fmt"
	"slices"
)

// Result is what one play brought.
type Result struct {
	Scenario string
	Members  int
	Seed     uint64
	Hash     string

	FalseDead, DeadReturned, Flaps, Unseen int
	Seen                                   []Micros // from a crash until one member held the crashed one dead
	Differ                                 Micros
	BytesPerS                              float64 // of one member, on average, while nothing but the script happens
}

// Bounds of every play, as issue 22 has them.
const (
	MostSeen   = 4 * Second
	MostDiffer = 5 * Second
	MostFlaps  = 1
	MostBytes  = 4096
)

// Broken tells which bounds do not hold.
func (r *Result) Broken() (out []string) {
	bound := func(ok bool, format string, args ...any) {
		if !ok {
			out = append(out, fmt.Sprintf(format, args...))
		}
	}
	bound(r.FalseDead == 0, "false_dead %d", r.FalseDead)
	bound(r.DeadReturned == 0, "dead_returned %d", r.DeadReturned)
	bound(r.Flaps <= MostFlaps, "flaps %d", r.Flaps)
	bound(r.Unseen == 0, "unseen %d", r.Unseen)
	bound(r.Differ <= MostDiffer, "view_differs_ms %d", r.Differ/Millisecond)
	bound(r.BytesPerS <= MostBytes, "bytes_per_s_per_member %.0f", r.BytesPerS)
	if p := r.SeenAt(0.99); p > MostSeen {
		bound(false, "crash_seen_by_all_ms p99 %d", p/Millisecond)
	}
	return out
}

// SeenAt is the time in which this part of all crashes was seen.
func (r *Result) SeenAt(part float64) Micros {
	if len(r.Seen) == 0 {
		return 0
	}
	all := slices.Sorted(slices.Values(r.Seen))
	return all[min(int(part*float64(len(all))), len(all)-1)]
}

// script is what is done to a world, and how long it lasts after the members have joined.
type script func(w *World) Micros

// Scenarios are the scripts by name.
var Scenarios = map[string]script{
	"pause": pauses, "loss": losses, "one-sided": oneSided, "split": splits, "storm": storm, "quiet": quiet, "weak": weak,
}

// Names are the scenarios' names.
func Names() (out []string) {
	for name := range Scenarios {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// joinTime is given to members to find each other before a script begins.
const joinTime = 12 * Second

// Play plays a scenario, with members as build makes them.
func Play(name string, members int, seed uint64, build func(w *World, i, start int) Detector, log func(string, ...any)) (*Result, error) {
	do := Scenarios[name]
	if do == nil {
		return nil, fmt.Errorf("no scenario %q; there are %v", name, Names())
	}
	w := NewWorld(members, seed, Link{Delay: 200, Jitter: 400}, build)
	w.Log = log
	for i := range members {
		w.at(w.rng.Int64N(Second), evFault, i, 0, func() { w.Start(i) })
	}
	w.Run(w.Now + joinTime)
	clear(w.Bytes)
	from := w.Now
	w.check.fault(w.Now, "joined")
	w.check.Watch()
	last := do(w)
	w.Run(from + last + MostDiffer + 3*Second)
	sum := int64(0)
	for _, b := range w.Bytes {
		sum += b
	}
	c := w.check
	return &Result{Scenario: name, Members: members, Seed: seed, Hash: w.Hash(), FalseDead: c.FalseDead, DeadReturned: c.DeadReturned,
		Flaps: c.Flaps, Unseen: c.Unseen(), Seen: c.Seen, Differ: c.Differ,
		BytesPerS: float64(sum) / float64(members) / (float64(w.Now-from) / float64(Second))}, nil
}

// between draws from a to b.
func (w *World) between(a, b Micros) Micros { return a + w.rng.Int64N(max(b-a, 1)) }

// quiet kills one member, and nothing else.
func quiet(w *World) Micros {
	victim := w.rng.IntN(len(w.nodes))
	at := w.between(Second, 3*Second)
	w.After(at, "one member is killed", func() { w.Kill(victim) })
	return at + MostSeen
}

// pauses stops one, then a third of them at once, three times each, by up to 2 s; then some by up to 10 s.
func pauses(w *World) Micros {
	at := Second
	for round := range 8 {
		n, most := 1, 2*Second
		if round%2 == 1 {
			n = max(len(w.nodes)/3, 1)
		}
		if round >= 6 {
			most = 10 * Second
		}
		who := w.Draw(n)
		span := w.between(500*Millisecond, most+1)
		w.After(at, fmt.Sprintf("%d members are paused for %d ms", n, span/Millisecond), func() {
			for _, i := range who {
				w.Pause(i, span)
			}
		})
		// Others stand still when what they would say of the first ones falls due.
		others, later, long := w.Draw(max(len(w.nodes)/3, 1)), w.between(500*Millisecond, 2500*Millisecond), w.between(Second, 2*Second+1)
		w.After(at+later, fmt.Sprintf("%d others for %d ms", len(others), long/Millisecond), func() {
			for _, i := range others {
				w.Pause(i, long)
			}
		})
		at += max(span, later+long) + w.between(2*Second, 4*Second)
	}
	return at
}

// weak has one member lose half of what it sends and half of what it is sent: what it says of others is its own fault.
func weak(w *World) Micros {
	one := w.rng.IntN(len(w.nodes))
	w.After(Second, fmt.Sprintf("%d loses half of all it sends and is sent", one), func() {
		w.check.Excuse(one)
		half := func(l *Link) { l.Loss = 0.5 }
		w.Set([]int{one}, w.All(), half)
		w.Set(w.All(), []int{one}, half)
	})
	at := w.between(20*Second, 30*Second)
	w.After(at, "no longer", func() { w.Heal() })
	return at
}

// losses has messages lost, late, twice and out of order, and members killed meanwhile.
func losses(w *World) Micros {
	loss, burst := 0.1+0.1*w.rng.Float64(), []float64{1, 3}[w.rng.IntN(2)]
	jitter := w.between(Millisecond, 250*Millisecond)
	w.After(Second, fmt.Sprintf("%.0f%% of all messages are lost, in rows of %.0f, the others up to %d ms late", 100*loss, burst, jitter/Millisecond), func() {
		w.Set(w.All(), w.All(), func(l *Link) { l.Loss, l.Burst, l.Jitter, l.Twice = loss, burst, jitter, 0.1 })
	})
	at := 8 * Second
	for _, i := range w.Draw(max(len(w.nodes)/8, 1)) {
		w.After(at, fmt.Sprintf("member %d is killed", i), func() { w.Kill(i) })
		at += w.between(Second, 3*Second)
	}
	at += 5 * Second
	w.After(at, "links are good again", func() { w.Heal() })
	return at
}

// oneSided cuts links one way: one; a ring of them; all to one member; all from one; all from one zone to another.
func oneSided(w *World) Micros {
	all := w.All()
	cut := func(l *Link) { l.Cut = true }
	at := Second
	a := w.Draw(2)
	w.After(at, fmt.Sprintf("%d no longer hears %d", a[1], a[0]), func() { w.Set(a[:1], a[1:], cut) })
	at += 8 * Second
	w.After(at, "each no longer hears the one before it", func() {
		w.Heal()
		w.check.Cuts(len(all) < 4) // with three, no two are left that hear each other
		for i := range all {
			w.Set([]int{i}, []int{(i + 1) % len(all)}, cut)
		}
	})
	at += 8 * Second
	heal := func() {
		w.After(at, "links are good again", func() {
			w.Heal()
			w.After(MostDiffer, "all is as before", func() { w.check.Cuts(false) })
		})
		at += 8 * Second
	}
	heal()
	one := w.rng.IntN(len(all))
	w.After(at, fmt.Sprintf("%d can only send", one), func() {
		w.check.Cuts(true)
		w.Set(all, []int{one}, cut)
	})
	at += 8 * Second
	heal()
	w.After(at, fmt.Sprintf("%d can only receive", one), func() {
		w.check.Cuts(true)
		w.Set([]int{one}, all, cut)
	})
	at += 8 * Second
	heal()
	half := len(all) / 2
	w.After(at, "the second half no longer hears the first", func() {
		w.check.Cuts(true)
		w.Set(all[:half], all[half:], cut)
	})
	at += 10 * Second
	heal()
	return at
}

// splits cuts the fleet in two and in three, and heals it; then a link goes up and down every 700 ms for a minute.
func splits(w *World) Micros {
	all := w.All()
	at := Second
	for _, parts := range []int{2, 3} {
		w.After(at, fmt.Sprintf("cut in %d", parts), func() {
			w.check.Cuts(true)
			for _, a := range all {
				for _, b := range all {
					if a%parts != b%parts {
						w.Set([]int{a}, []int{b}, func(l *Link) { l.Cut = true })
					}
				}
			}
		})
		at += w.between(8*Second, 12*Second)
		w.After(at, "healed", func() { w.Heal() })
		at += 8 * Second
	}
	w.After(at, "a link goes up and down", func() { w.check.Cuts(false) })
	pair := w.Draw(2)
	for i := range 86 {
		w.at(at+Micros(i)*700*Millisecond, evFault, 0, i, func() {
			for _, ab := range [][]int{pair, {pair[1], pair[0]}} {
				w.Set(ab[:1], ab[1:], func(l *Link) { l.Cut = i%2 == 0 })
			}
		})
	}
	at += 61 * Second
	w.After(at, "it is up", func() { w.Heal() })
	return at
}

// storm kills seven in ten at once, and starts them all again a while later, at once.
func storm(w *World) Micros {
	victims := w.Draw(len(w.nodes) * 7 / 10)
	at := w.between(Second, 2*Second)
	w.After(at, fmt.Sprintf("%d of %d are killed at once", len(victims), len(w.nodes)), func() {
		for _, i := range victims {
			w.Kill(i)
		}
	})
	at += w.between(8*Second, 12*Second)
	w.After(at, "they start again at once", func() {
		for _, i := range victims {
			w.Start(i)
		}
	})
	return at + MostDiffer
}
