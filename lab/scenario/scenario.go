package scenario

import (
	"fmt"
	"slices"
	"spurspread/lab/link"
	"time"
)

// Script does something to the members of a trial, and returns how long it lasts after they have joined.
type Script func(t *Trial) time.Duration

// Scenarios are the scripts by name.
var Scenarios = map[string]Script{
	"pause": pauses, "loss": losses, "one-sided": oneSided, "split": splits, "storm": storm, "quiet": quiet,
	"weak": weak, "tired": tired, "return": returns,
}

// Names are the scenarios' names.
func Names() (out []string) {
	for name := range Scenarios {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// quiet kills one member, and nothing else.
func quiet(t *Trial) time.Duration {
	victim := t.Rand().IntN(t.Members())
	at := t.between(time.Second, 3*time.Second)
	t.Fault(at, "one member is killed", func() { t.Kill(victim) })
	return at + MaxDetectionTime
}

// pauses stops one, then a third of them at once, three times each, by up to 2 s; then some by up to 10 s.
func pauses(t *Trial) time.Duration {
	at := time.Second
	for round := range 8 {
		n, most := 1, 2*time.Second
		if round%2 == 1 {
			n = max(t.Members()/3, 1)
		}
		if round >= 6 {
			most = 10 * time.Second
		}
		who := t.Draw(n)
		span := t.between(500*time.Millisecond, most+1)
		t.Fault(at, fmt.Sprintf("%d members are paused for %d ms", n, span/time.Millisecond), func() {
			for _, i := range who {
				t.Pause(i, span)
			}
		})
		// Others stand still when what they would say of the first ones falls due.
		others, later, long := t.Draw(
			max(t.Members()/3, 1),
		), t.between(
			500*time.Millisecond,
			2500*time.Millisecond,
		), t.between(
			time.Second,
			2*time.Second+1,
		)
		t.Fault(at+later, fmt.Sprintf("%d others for %d ms", len(others), long/time.Millisecond), func() {
			for _, i := range others {
				t.Pause(i, long)
			}
		})
		at += max(span, later+long) + t.between(2*time.Second, 4*time.Second)
	}
	return at
}

// weak has one member lose half of what it sends and half of what it is sent: what it says of others is its own fault.
func weak(t *Trial) time.Duration {
	one := t.Rand().IntN(t.Members())
	t.Fault(time.Second, fmt.Sprintf("%d loses half of all it sends and is sent", one), func() {
		t.Excuse(one)
		half := func(l *link.Link) { l.Loss = 0.5 }
		t.Set([]int{one}, t.All(), half)
		t.Set(t.All(), []int{one}, half)
	})
	at := t.between(20*time.Second, 30*time.Second)
	t.Fault(at, "no longer", func() { t.Heal() })
	return at
}

// tired pauses one member after the other for up to 2 s while a tenth of all messages are lost: an accusation by
// chance must not shorten the suspicion that a pause begins.
func tired(t *Trial) time.Duration {
	t.Fault(time.Second, "10% of all messages are lost", func() {
		t.Set(t.All(), t.All(), func(l *link.Link) { l.Loss, l.Jitter = 0.1, 20*time.Millisecond })
	})
	at := 4 * time.Second
	for range 10 {
		one, span := t.Draw(1), t.between(time.Second, 2*time.Second)
		t.Fault(
			at,
			fmt.Sprintf("%d is paused for %d ms", one[0], span/time.Millisecond),
			func() { t.Pause(one[0], span) },
		)
		at += t.between(span, 3*time.Second)
	}
	t.Fault(at, "links are good again", func() { t.Heal() })
	return at
}

// returns has members end and start again under their names within less than a period: killed, or stopped in the
// planned way; where the stage has clocks, some of them a day behind.
func returns(t *Trial) time.Duration {
	at := time.Second
	for round := range 6 {
		one, gap := t.Draw(1)[0], t.between(20*time.Millisecond, 400*time.Millisecond)
		t.Fault(at, fmt.Sprintf("%d ends", one), func() {
			if round%2 == 0 {
				t.Kill(one)
				return
			}
			t.Stop(one)
		})
		if round%2 == 1 {
			gap += StopTime
		}
		t.Fault(at+gap, fmt.Sprintf("%d starts", one), func() {
			if c, ok := t.Stage.(Clocked); ok && round%3 == 1 {
				c.StepClock(one, -24*time.Hour)
			}
			t.Start(one)
		})
		at += gap + t.between(6*time.Second, 8*time.Second)
	}
	return at
}

// losses has messages lost, late, twice and out of order, and members killed meanwhile.
func losses(t *Trial) time.Duration {
	loss, burst := 0.1+0.1*t.Rand().Float64(), []float64{1, 3}[t.Rand().IntN(2)]
	jitter := t.between(time.Millisecond, 250*time.Millisecond)
	t.Fault(
		time.Second,
		fmt.Sprintf(
			"%.0f%% of all messages are lost, in rows of %.0f, the others up to %d ms late",
			100*loss,
			burst,
			jitter/time.Millisecond,
		),
		func() {
			t.Set(
				t.All(),
				t.All(),
				func(l *link.Link) { l.Loss, l.Burst, l.Jitter, l.Twice = loss, burst, jitter, 0.1 },
			)
		},
	)
	at := 8 * time.Second
	for _, i := range t.Draw(max(t.Members()/8, 1)) {
		t.Fault(at, fmt.Sprintf("member %d is killed", i), func() { t.Kill(i) })
		at += t.between(time.Second, 3*time.Second)
	}
	at += 5 * time.Second
	t.Fault(at, "links are good again", func() { t.Heal() })
	return at
}

// oneSided cuts links one way: one; a ring of them; all to one member; all from one; all from one zone to another.
func oneSided(t *Trial) time.Duration {
	all := t.All()
	cut := func(l *link.Link) { l.Partitioned = true }
	at := time.Second
	a := t.Draw(2)
	t.Fault(at, fmt.Sprintf("%d no longer hears %d", a[1], a[0]), func() { t.Set(a[:1], a[1:], cut) })
	at += 8 * time.Second
	t.Fault(at, "each no longer hears the one before it", func() {
		t.Heal()
		t.Apart(len(all) < 4) // with three, no two are left that hear each other
		for i := range all {
			t.Set([]int{i}, []int{(i + 1) % len(all)}, cut)
		}
	})
	at += 8 * time.Second
	heal := func() {
		t.Fault(at, "links are good again", func() {
			t.Heal()
			t.Fault(MaxViewDivergence, "all is as before", func() { t.Apart(false) })
		})
		at += 8 * time.Second
	}
	heal()
	one := t.Rand().IntN(len(all))
	t.Fault(at, fmt.Sprintf("%d can only send", one), func() {
		t.Apart(true)
		t.Set(all, []int{one}, cut)
	})
	at += 8 * time.Second
	heal()
	t.Fault(at, fmt.Sprintf("%d can only receive", one), func() {
		t.Apart(true)
		t.Set([]int{one}, all, cut)
	})
	at += 8 * time.Second
	heal()
	half := len(all) / 2
	t.Fault(at, "the second half no longer hears the first", func() {
		t.Apart(true)
		t.Set(all[:half], all[half:], cut)
	})
	at += 10 * time.Second
	heal()
	return at
}

// splits cuts the fleet in two and in three, and heals it; then a link goes up and down every 700 ms for a minute.
func splits(t *Trial) time.Duration {
	all := t.All()
	at := time.Second
	for _, parts := range []int{2, 3} {
		t.Fault(at, fmt.Sprintf("cut in %d", parts), func() {
			t.Apart(true)
			for _, a := range all {
				for _, b := range all {
					if a%parts != b%parts {
						t.Set([]int{a}, []int{b}, func(l *link.Link) { l.Partitioned = true })
					}
				}
			}
		})
		at += t.between(8*time.Second, 12*time.Second)
		t.Fault(at, "healed", func() { t.Heal() })
		at += 8 * time.Second
	}
	t.Fault(at, "a link goes up and down", func() { t.Apart(false) })
	pair := t.Draw(2)
	for i := range 86 {
		t.After(at+time.Duration(i)*700*time.Millisecond, func() {
			for _, ab := range [][]int{pair, {pair[1], pair[0]}} {
				t.Set(ab[:1], ab[1:], func(l *link.Link) { l.Partitioned = i%2 == 0 })
			}
		})
	}
	at += 61 * time.Second
	t.Fault(at, "it is up", func() { t.Heal() })
	return at
}

// storm kills seven in ten at once, and starts them all again a while later, at once.
func storm(t *Trial) time.Duration {
	victims := t.Draw(t.Members() * 7 / 10)
	at := t.between(time.Second, 2*time.Second)
	t.Fault(at, fmt.Sprintf("%d of %d are killed at once", len(victims), t.Members()), func() {
		for _, i := range victims {
			t.Kill(i)
		}
	})
	at += t.between(8*time.Second, 12*time.Second)
	t.Fault(at, "they start again at once", func() {
		for _, i := range victims {
			t.Start(i)
		}
	})
	return at + MaxViewDivergence
}

// Lossy kills some members, one after the other, while this part of all messages is lost.
func Lossy(loss float64) Script {
	return func(t *Trial) time.Duration {
		t.Fault(time.Second, fmt.Sprintf("%.0f%% of all messages are lost", 100*loss), func() {
			t.Set(t.All(), t.All(), func(l *link.Link) { l.Loss, l.Jitter = loss, 20*time.Millisecond })
		})
		at := 3 * time.Second
		for _, i := range t.Draw(4) {
			t.Fault(at, fmt.Sprintf("member %d is killed", i), func() { t.Kill(i) })
			at += 2 * time.Second
		}
		return at + MaxViewDivergence
	}
}

// Paused stops some members for this long, one after the other.
func Paused(span time.Duration) Script {
	return func(t *Trial) time.Duration {
		at := time.Second
		for _, i := range t.Draw(6) {
			t.Fault(at, fmt.Sprintf("%d is paused for %d ms", i, span/time.Millisecond), func() { t.Pause(i, span) })
			at += span + 3*time.Second
		}
		return at
	}
}
