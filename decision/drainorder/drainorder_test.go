package drainorder

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

const ms = Micros(1000)

// run plays a plan until nothing is left, as a socket side would, and returns what fell due when.
func run(p *Plan, now Micros) (ids []uint32, at []Micros) {
	for range 1_000_000 {
		due, next := p.Due(now, nil)
		for _, id := range due {
			ids, at = append(ids, id), append(at, now)
		}
		if next < 0 {
			return ids, at
		}
		now = next
	}
	panic("never ends")
}

// Every connection falls due once, in time, and evenly; members of a group go one after another.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 300).Draw(t, "n")
		span := Micros(rapid.IntRange(1, 3_000_000).Draw(t, "span"))
		var standing []Connection
		for i := range n {
			standing = append(standing, Connection{uint32(i), uint64(rapid.IntRange(0, 9).Draw(t, "group"))})
		}
		p := New(rapid.Uint64().Draw(t, "seed"))
		p.StartDrain(0, 1, standing, span)
		p.StartDrain(0, 1, standing, span) // told again: nothing new
		ids, at := run(p, 0)
		if len(ids) != n {
			t.Fatalf("%d of %d", len(ids), n)
		}
		seen := map[uint32]bool{}
		groups := map[uint64]int{}
		for i, id := range ids {
			if seen[id] || at[i] > span {
				t.Fatalf("%d at %d", id, at[i])
			}
			seen[id] = true
			if g := standing[id].Group; i == 0 || g != standing[ids[i-1]].Group {
				groups[g]++
			}
			if even := span * Micros(i) / Micros(n); at[i] < even-1 || at[i] > even+span/Micros(n)+1 {
				t.Fatalf("move %d of %d at %d of %d", i, n, at[i], span)
			}
		}
		for g, runs := range groups {
			if runs > 1 {
				t.Fatalf("group %d in %d parts", g, runs)
			}
		}
	})
}

func TestJoinAndWithdraw(t *testing.T) {
	p := New(1)
	if p.AddConnection(0, 1, 5) {
		t.Error("joined without an order")
	}
	p.StartDrain(0, 1, []Connection{{1, 0}, {2, 0}}, 100*ms)
	p.StartDrain(0, 2, []Connection{{3, 0}}, 100*ms)
	if !p.AddConnection(50*ms, 1, 4) || !p.AddConnection(500*ms, 1, 9) {
		t.Error("not joined")
	}
	p.CancelDrain(2)
	ids, at := run(p, 0)
	slices.Sort(ids)
	if !slices.Equal(ids, []uint32{1, 2, 4, 9}) {
		t.Errorf("%v at %v", ids, at)
	}
	p.StartDrain(0, 2, []Connection{{3, 0}}, 100*ms)
	if ids, _ = run(p, 0); len(ids) != 1 {
		t.Errorf("after a withdrawal: %v", ids)
	}
}
