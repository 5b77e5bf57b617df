package scale

import (
	"fmt"
	"slices"
	"strings"
)

// reach tells whether zones reach each other, both ways.
func (w *watch) reach(a, b int) bool {
	x, y := a*racksPerZone, b*racksPerZone
	return !w.partitioned[[2]int{x, y}] && !w.partitioned[[2]int{y, x}]
}

// reachable tells whether members of one zone are to count another's: they reach it, or reach a zone that does.
func (w *watch) reachable(a, b int) bool {
	if a == b || w.reach(a, b) {
		return true
	}
	for c := range w.t.Zones {
		if w.reach(a, c) && w.reach(c, b) {
			return true
		}
	}
	return false
}

// expected is how many members those of each zone are to count.
func (w *watch) expected() []int {
	runs := make([]int, w.t.Zones)
	for i := range w.members {
		if w.members[i].runs {
			runs[w.t.Zone(i)]++
		}
	}
	out := make([]int, w.t.Zones)
	for a := range out {
		for b := range runs {
			if w.reachable(a, b) {
				out[a] += runs[b]
			}
		}
	}
	return out
}

// condition looks whether something holds of all members, and since when.
type condition func() (since int64, holds bool)

// counted tells whether all that run count all that they reach.
func (w *watch) counted() (since int64, holds bool) {
	want := w.expected()
	for i := range w.members {
		m := &w.members[i]
		if !m.runs {
			continue
		}
		if m.all != want[w.t.Zone(i)] {
			return 0, false
		}
		since = max(since, m.allAt)
	}
	return since, true
}

// found tells whether all that run know all of their own zone, and count all.
func (w *watch) found() (since int64, holds bool) {
	since, holds = w.counted()
	own := make([]int, w.t.Zones)
	for i := range w.members {
		if w.members[i].runs {
			own[w.t.Zone(i)]++
		}
	}
	for i := range w.members {
		m := &w.members[i]
		if m.runs && !w.t.Flat && m.own != own[w.t.Zone(i)] {
			return 0, false
		}
	}
	return since, holds
}

// seenDead tells whether all of a member's zone that run hold it dead.
func (w *watch) seenDead(of int) condition {
	return func() (since int64, holds bool) {
		for i := range w.members {
			m := &w.members[i]
			if !m.runs || i == of || !w.t.Flat && w.t.Zone(i) != w.t.Zone(of) {
				continue
			}
			at, seen := m.deadAt[of]
			if !seen {
				return 0, false
			}
			since = max(since, at)
		}
		return since, true
	}
}

// recorded tells whether all that run in zones that one zone reaches have a record's value.
func (w *watch) recorded(from int, name, value string) condition {
	return func() (since int64, holds bool) {
		for i := range w.members {
			m := &w.members[i]
			if !m.runs || !w.reachable(from, w.t.Zone(i)) {
				continue
			}
			r := m.records[name]
			if r.value != value {
				return 0, false
			}
			since = max(since, r.at)
		}
		return since, true
	}
}

// wrong names some members that count something else than they reach.
func (w *watch) wrong() string {
	var out []string
	want := w.expected()
	count := 0
	for i := range w.members {
		m := &w.members[i]
		if !m.runs || m.all == want[w.t.Zone(i)] {
			continue
		}
		if count++; count <= 5 {
			out = append(
				out,
				fmt.Sprintf(
					"%s (zone %d) counts %d, %d are there",
					w.t.Name(i),
					w.t.Zone(i),
					m.all,
					want[w.t.Zone(i)],
				),
			)
		}
	}
	slices.Sort(out)
	return fmt.Sprintf("%d count wrongly: %s", count, strings.Join(out, ", "))
}
