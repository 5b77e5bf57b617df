package scenario

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"spurspread/lab/link"
)

// Script schedules the faults of a trial. It returns its duration, from the call to the end of its last fault or to the
// time at which their effects must have ended.
type Script func(t *Trial) time.Duration

// scripts returns all scripts by name.
func scripts() map[string]Script {
	return map[string]Script{
		"pause":     pauseMembers,
		"loss":      killUnderLoss,
		"one-sided": partitionOneWay,
		"split":     partitionFleet,
		"storm":     restartMany,
		"quiet":     killOne,
		"weak":      loseHalfOfOne,
		"tired":     pauseUnderLoss,
		"return":    restartMembers,
	}
}

// Find returns the named script; ok is false if there is none.
func Find(name string) (script Script, ok bool) {
	script, ok = scripts()[name]
	return script, ok
}

// Names returns the names of all scripts, sorted.
func Names() []string { return slices.Sorted(maps.Keys(scripts())) }

// partition makes a link lose all messages.
func partition(l *link.Link) { l.Partitioned = true }

// scheduleHeal schedules the healing of all links.
func (t *Trial) scheduleHeal(at time.Duration, text string) {
	t.InjectFault(at, text, func() { t.Heal() })
}

// schedulePause schedules a pause of one member.
func (t *Trial) schedulePause(at time.Duration, i int, span time.Duration) {
	text := fmt.Sprintf("member %d is paused for %d ms", i, span/time.Millisecond)
	t.InjectFault(at, text, func() { t.Pause(i, span) })
}

func (t *Trial) pauseAll(members []int, span time.Duration) {
	for _, i := range members {
		t.Pause(i, span)
	}
}

// killOne kills one member, without any other fault.
func killOne(t *Trial) time.Duration {
	victim := t.Rand().IntN(t.Members())
	at := t.randomTime(time.Second, 3*time.Second)
	t.InjectFault(at, "one member is killed", func() { t.Kill(victim) })
	return at + MaxDetectionTime
}

// pauseMembers pauses alternately one member and a third of the members, in eight rounds: for up to 2 s in the first
// six rounds, and for up to 10 s in the last two. In each round other members are paused at the time at which they
// would report the first ones.
func pauseMembers(t *Trial) time.Duration {
	at := time.Second
	for round := range 8 {
		n := 1
		longest := 2 * time.Second
		if round%2 == 1 {
			n = max(t.Members()/3, 1)
		}
		if round >= 6 {
			longest = 10 * time.Second
		}
		victims := t.Draw(n)
		span := t.randomTime(500*time.Millisecond, longest+1)
		text := fmt.Sprintf("%d members are paused for %d ms", n, span/time.Millisecond)
		t.InjectFault(at, text, func() { t.pauseAll(victims, span) })
		// The other members are paused when they would report the first ones.
		others := t.Draw(max(t.Members()/3, 1))
		later := t.randomTime(500*time.Millisecond, 2500*time.Millisecond)
		long := t.randomTime(time.Second, 2*time.Second+1)
		text = fmt.Sprintf("%d others are paused for %d ms", len(others), long/time.Millisecond)
		t.InjectFault(at+later, text, func() { t.pauseAll(others, long) })
		at += max(span, later+long) + t.randomTime(2*time.Second, 4*time.Second)
	}
	return at
}

// loseHalfOfOne loses half of the messages from and to one member. That the member fails to reach others must not get
// them declared dead.
func loseHalfOfOne(t *Trial) time.Duration {
	one := t.Rand().IntN(t.Members())
	t.InjectFault(time.Second, fmt.Sprintf("half of the messages from and to member %d are lost", one), func() {
		t.Exempt(one)
		half := func(l *link.Link) { l.Loss = 0.5 }
		t.UpdateLinks([]int{one}, t.All(), half)
		t.UpdateLinks(t.All(), []int{one}, half)
	})
	at := t.randomTime(20*time.Second, 30*time.Second)
	t.scheduleHeal(at, "the member's links are good again")
	return at
}

// pauseUnderLoss pauses ten members, one after the other, for up to 2 s while a tenth of all messages is lost. A
// suspicion that lost messages have caused must not shorten the suspicion that begins with a pause.
func pauseUnderLoss(t *Trial) time.Duration {
	t.InjectFault(time.Second, "10% of all messages are lost", func() {
		t.UpdateLinks(t.All(), t.All(), lossy(0.1))
	})
	at := 4 * time.Second
	for range 10 {
		victim := t.Draw(1)[0]
		span := t.randomTime(time.Second, 2*time.Second)
		t.schedulePause(at, victim, span)
		at += t.randomTime(span, 3*time.Second)
	}
	t.scheduleHeal(at, "links are good again")
	return at
}

// restartMembers ends members, alternately by a kill and by a planned stop, and restarts them under their names. The
// restart follows 20 to 400 ms after the kill, which is less than a detection takes, or StopTime plus 20 to 400 ms
// after the stop. On a testbed that is a ClockStepper, some members restart with a clock that is a day behind.
func restartMembers(t *Trial) time.Duration {
	at := time.Second
	for round := range 6 {
		one := t.Draw(1)[0]
		gap := t.randomTime(20*time.Millisecond, 400*time.Millisecond)
		t.InjectFault(at, fmt.Sprintf("member %d ends", one), func() {
			if round%2 == 0 {
				t.Kill(one)
				return
			}
			t.Stop(one)
		})
		if round%2 == 1 {
			gap += StopTime
		}
		t.InjectFault(at+gap, fmt.Sprintf("member %d starts", one), func() {
			if c, ok := t.Testbed.(ClockStepper); ok && round%3 == 1 {
				c.StepClock(one, -24*time.Hour)
			}
			t.Start(one)
		})
		at += gap + t.randomTime(6*time.Second, 8*time.Second)
	}
	return at
}

// killUnderLoss kills members while messages are lost, delayed, duplicated and reordered.
func killUnderLoss(t *Trial) time.Duration {
	loss := 0.1 + 0.1*t.Rand().Float64()
	burst := []float64{1, 3}[t.Rand().IntN(2)]
	jitter := t.randomTime(time.Millisecond, 250*time.Millisecond)
	text := fmt.Sprintf("%.0f%% of all messages are lost, in bursts of %.0f, the others are up to %d ms late",
		100*loss, burst, jitter/time.Millisecond)
	t.InjectFault(time.Second, text, func() {
		t.UpdateLinks(t.All(), t.All(), func(l *link.Link) {
			l.Loss = loss
			l.Burst = burst
			l.Jitter = jitter
			l.Duplicated = 0.1
		})
	})
	at := 8 * time.Second
	for _, i := range t.Draw(max(t.Members()/8, 1)) {
		t.InjectFault(at, fmt.Sprintf("member %d is killed", i), func() { t.Kill(i) })
		at += t.randomTime(time.Second, 3*time.Second)
	}
	at += 5 * time.Second
	t.scheduleHeal(at, "links are good again")
	return at
}

// partitionOneWay partitions one set of links after the other, in one direction: a single link; a ring, from each
// member to the next; all links to one member; all links from it; all links from the first half of the members to the
// second.
func partitionOneWay(t *Trial) time.Duration {
	const span = 8 * time.Second
	all := t.All()
	at := time.Second
	pair := t.Draw(2)
	t.InjectFault(at, fmt.Sprintf("member %d no longer receives from member %d", pair[1], pair[0]), func() {
		t.UpdateLinks(pair[:1], pair[1:], partition)
	})
	at += span
	t.InjectFault(at, "each member no longer receives from the one before it", func() {
		t.Heal()
		t.SetPartitioned(len(all) < 4) // in a ring of three, no two members reach each other both ways
		for i := range all {
			t.UpdateLinks([]int{i}, []int{(i + 1) % len(all)}, partition)
		}
	})
	at += span
	at = t.schedulePartitionEnd(at)
	one := t.Rand().IntN(len(all))
	for _, c := range []struct {
		text     string
		from, to []int
		span     time.Duration
	}{
		{fmt.Sprintf("member %d can only send", one), all, []int{one}, span},
		{fmt.Sprintf("member %d can only receive", one), []int{one}, all, span},
		{"the second half no longer receives from the first", all[:len(all)/2], all[len(all)/2:], 10 * time.Second},
	} {
		t.InjectFault(at, c.text, func() {
			t.SetPartitioned(true)
			t.UpdateLinks(c.from, c.to, partition)
		})
		at = t.schedulePartitionEnd(at + c.span)
	}
	return at
}

// schedulePartitionEnd schedules the healing of all links at the given time. From MaxViewDivergence later on, running
// members must not be declared dead any more. It returns when the next fault may begin.
func (t *Trial) schedulePartitionEnd(at time.Duration) time.Duration {
	t.InjectFault(at, "links are good again", func() {
		t.Heal()
		t.InjectFault(MaxViewDivergence, "no member may be declared dead any more", func() { t.SetPartitioned(false) })
	})
	return at + 8*time.Second
}

// partitionFleet partitions the fleet into two parts, heals it, and does the same with three parts. Then the links
// between two members fail and recover in turn, every 700 ms for a minute.
func partitionFleet(t *Trial) time.Duration {
	at := time.Second
	for _, parts := range []int{2, 3} {
		t.InjectFault(at, fmt.Sprintf("the fleet is partitioned into %d parts", parts), func() {
			t.SetPartitioned(true)
			t.partitionInto(parts)
		})
		at += t.randomTime(8*time.Second, 12*time.Second)
		t.scheduleHeal(at, "healed")
		at += 8 * time.Second
	}
	t.InjectFault(at, "the links between two members begin to fail and recover", func() { t.SetPartitioned(false) })
	t.flapLink(at)
	at += 61 * time.Second
	t.scheduleHeal(at, "both links work")
	return at
}

// partitionInto partitions the fleet into parts, by the members' numbers modulo parts.
func (t *Trial) partitionInto(parts int) {
	for _, from := range t.All() {
		for _, to := range t.All() {
			if from%parts != to%parts {
				t.UpdateLinks([]int{from}, []int{to}, partition)
			}
		}
	}
}

// flapLink schedules that the links between two members fail and recover in turn for a minute.
func (t *Trial) flapLink(at time.Duration) {
	const (
		changes  = 86
		interval = 700 * time.Millisecond
	)
	pair := t.Draw(2)
	a := pair[:1]
	b := pair[1:]
	for i := range changes {
		change := func(l *link.Link) { l.Partitioned = i%2 == 0 }
		t.After(at+time.Duration(i)*interval, func() {
			t.UpdateLinks(a, b, change)
			t.UpdateLinks(b, a, change)
		})
	}
}

// restartMany kills 70% of the members at once, and restarts them all at once 8 to 12 s later.
func restartMany(t *Trial) time.Duration {
	victims := t.Draw(t.Members() * 7 / 10)
	at := t.randomTime(time.Second, 2*time.Second)
	t.InjectFault(at, fmt.Sprintf("%d of %d members are killed at once", len(victims), t.Members()), func() {
		for _, i := range victims {
			t.Kill(i)
		}
	})
	at += t.randomTime(8*time.Second, 12*time.Second)
	t.InjectFault(at, "the killed members start again at once", func() {
		for _, i := range victims {
			t.Start(i)
		}
	})
	return at + MaxViewDivergence
}

// lossy returns a change of a link, which then loses the given fraction of all messages, from 0 to 1, and delays the
// others by up to 20 ms.
func lossy(loss float64) func(*link.Link) {
	return func(l *link.Link) {
		l.Loss = loss
		l.Jitter = 20 * time.Millisecond
	}
}

// KillsUnderLoss returns a script that kills four members, one after the other, while the given fraction of all
// messages, from 0 to 1, is lost.
func KillsUnderLoss(loss float64) Script {
	return func(t *Trial) time.Duration {
		t.InjectFault(time.Second, fmt.Sprintf("%.0f%% of all messages are lost", 100*loss), func() {
			t.UpdateLinks(t.All(), t.All(), lossy(loss))
		})
		at := 3 * time.Second
		for _, i := range t.Draw(4) {
			t.InjectFault(at, fmt.Sprintf("member %d is killed", i), func() { t.Kill(i) })
			at += 2 * time.Second
		}
		return at + MaxViewDivergence
	}
}

// SinglePauses returns a script that pauses six members for the given time, one after the other.
func SinglePauses(span time.Duration) Script {
	return func(t *Trial) time.Duration {
		at := time.Second
		for _, i := range t.Draw(6) {
			t.schedulePause(at, i, span)
			at += span + 3*time.Second
		}
		return at
	}
}
