package scenario

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"spurspread/lab/link"
)

// Script schedules faults of a trial's members, and returns how long it lasts after the members have joined.
type Script func(t *Trial) time.Duration

// scripts are all scripts by name.
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

// Find returns the script of that name; ok is false if there is none.
func Find(name string) (script Script, ok bool) {
	script, ok = scripts()[name]
	return script, ok
}

// Names are the names of all scripts, sorted.
func Names() []string { return slices.Sorted(maps.Keys(scripts())) }

// partition loses all that is sent over a link.
func partition(l *link.Link) { l.Partitioned = true }

// scheduleHeal schedules that all links are healed.
func (t *Trial) scheduleHeal(at time.Duration, text string) {
	t.InjectFault(at, text, func() { t.Heal() })
}

// schedulePause schedules that one member is paused.
func (t *Trial) schedulePause(at time.Duration, i int, span time.Duration) {
	text := fmt.Sprintf("%d is paused for %d ms", i, span/time.Millisecond)
	t.InjectFault(at, text, func() { t.Pause(i, span) })
}

func (t *Trial) pauseAll(members []int, span time.Duration) {
	for _, i := range members {
		t.Pause(i, span)
	}
}

// killOne kills one member, and does nothing else.
func killOne(t *Trial) time.Duration {
	victim := t.Rand().IntN(t.Members())
	at := t.randomTime(time.Second, 3*time.Second)
	t.InjectFault(at, "one member is killed", func() { t.Kill(victim) })
	return at + MaxDetectionTime
}

// pauseMembers pauses one member and then a third of them, by turns, for up to 2 s and at last for up to 10 s; others
// are paused while they would report the first ones.
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
		// Others are paused when they would report the first ones.
		others := t.Draw(max(t.Members()/3, 1))
		later := t.randomTime(500*time.Millisecond, 2500*time.Millisecond)
		long := t.randomTime(time.Second, 2*time.Second+1)
		text = fmt.Sprintf("%d others for %d ms", len(others), long/time.Millisecond)
		t.InjectFault(at+later, text, func() { t.pauseAll(others, long) })
		at += max(span, later+long) + t.randomTime(2*time.Second, 4*time.Second)
	}
	return at
}

// loseHalfOfOne loses half of what one member sends and receives: that it declares others dead is then its own fault.
func loseHalfOfOne(t *Trial) time.Duration {
	one := t.Rand().IntN(t.Members())
	t.InjectFault(time.Second, fmt.Sprintf("%d loses half of all it sends and is sent", one), func() {
		t.Exempt(one)
		half := func(l *link.Link) { l.Loss = 0.5 }
		t.UpdateLinks([]int{one}, t.All(), half)
		t.UpdateLinks(t.All(), []int{one}, half)
	})
	at := t.randomTime(20*time.Second, 30*time.Second)
	t.scheduleHeal(at, "no longer")
	return at
}

// pauseUnderLoss pauses one member after the other for up to 2 s while a tenth of all messages are lost: a suspicion
// by chance must not shorten the suspicion that a pause begins.
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

// restartMembers has members end and start again under their names within less than a period: killed, or stopped in
// the planned way; where the testbed has clocks, some of them a day behind.
func restartMembers(t *Trial) time.Duration {
	at := time.Second
	for round := range 6 {
		one := t.Draw(1)[0]
		gap := t.randomTime(20*time.Millisecond, 400*time.Millisecond)
		t.InjectFault(at, fmt.Sprintf("%d ends", one), func() {
			if round%2 == 0 {
				t.Kill(one)
				return
			}
			t.Stop(one)
		})
		if round%2 == 1 {
			gap += StopTime
		}
		t.InjectFault(at+gap, fmt.Sprintf("%d starts", one), func() {
			if c, ok := t.Testbed.(ClockStepper); ok && round%3 == 1 {
				c.StepClock(one, -24*time.Hour)
			}
			t.Start(one)
		})
		at += gap + t.randomTime(6*time.Second, 8*time.Second)
	}
	return at
}

// killUnderLoss has messages lost, late, duplicated and out of order, and kills members meanwhile.
func killUnderLoss(t *Trial) time.Duration {
	loss := 0.1 + 0.1*t.Rand().Float64()
	burst := []float64{1, 3}[t.Rand().IntN(2)]
	jitter := t.randomTime(time.Millisecond, 250*time.Millisecond)
	text := fmt.Sprintf("%.0f%% of all messages are lost, in rows of %.0f, the others up to %d ms late",
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

// partitionOneWay partitions links one way: one; a ring of them; all to one member; all from one; all from one half
// to the other.
func partitionOneWay(t *Trial) time.Duration {
	const span = 8 * time.Second
	all := t.All()
	at := time.Second
	pair := t.Draw(2)
	t.InjectFault(at, fmt.Sprintf("%d no longer hears %d", pair[1], pair[0]), func() {
		t.UpdateLinks(pair[:1], pair[1:], partition)
	})
	at += span
	t.InjectFault(at, "each no longer hears the one before it", func() {
		t.Heal()
		t.SetPartitioned(len(all) < 4) // of three, no two reach each other both ways
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
		{fmt.Sprintf("%d can only send", one), all, []int{one}, span},
		{fmt.Sprintf("%d can only receive", one), []int{one}, all, span},
		{"the second half no longer hears the first", all[:len(all)/2], all[len(all)/2:], 10 * time.Second},
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
		t.InjectFault(MaxViewDivergence, "all is as before", func() { t.SetPartitioned(false) })
	})
	return at + 8*time.Second
}

// partitionFleet partitions the fleet into two and then three parts, and heals it; then a link fails and works again
// every 700 ms for a minute.
func partitionFleet(t *Trial) time.Duration {
	at := time.Second
	for _, parts := range []int{2, 3} {
		t.InjectFault(at, fmt.Sprintf("cut in %d", parts), func() {
			t.SetPartitioned(true)
			t.partitionInto(parts)
		})
		at += t.randomTime(8*time.Second, 12*time.Second)
		t.scheduleHeal(at, "healed")
		at += 8 * time.Second
	}
	t.InjectFault(at, "a link goes up and down", func() { t.SetPartitioned(false) })
	t.flapLink(at)
	at += 61 * time.Second
	t.scheduleHeal(at, "it is up")
	return at
}

// partitionInto partitions the fleet by each member's number modulo parts.
func (t *Trial) partitionInto(parts int) {
	for _, from := range t.All() {
		for _, to := range t.All() {
			if from%parts != to%parts {
				t.UpdateLinks([]int{from}, []int{to}, partition)
			}
		}
	}
}

// flapLink schedules that the links between two members fail and work by turns for a minute.
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

// restartMany kills seven in ten members at once, and starts them all again at once a while later.
func restartMany(t *Trial) time.Duration {
	victims := t.Draw(t.Members() * 7 / 10)
	at := t.randomTime(time.Second, 2*time.Second)
	t.InjectFault(at, fmt.Sprintf("%d of %d are killed at once", len(victims), t.Members()), func() {
		for _, i := range victims {
			t.Kill(i)
		}
	})
	at += t.randomTime(8*time.Second, 12*time.Second)
	t.InjectFault(at, "they start again at once", func() {
		for _, i := range victims {
			t.Start(i)
		}
	})
	return at + MaxViewDivergence
}

// lossy loses a part of all messages, and delays the others by up to 20 ms.
func lossy(loss float64) func(*link.Link) {
	return func(l *link.Link) {
		l.Loss = loss
		l.Jitter = 20 * time.Millisecond
	}
}

// KillsUnderLoss is a script that kills four members, one after the other, while this part of all messages is lost.
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

// SinglePauses is a script that pauses six members for this long, one after the other.
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
