package drainorder

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"spurspread/decision/monotime"
)

const ms = monotime.Millisecond

// moves calls Due as the proxy would until nothing is left, and returns the ids with the times at which they fell due.
func moves(p *Plan, now monotime.Micros) (ids []uint32, at []monotime.Micros) {
	for range 1_000_000 {
		due, next := p.Due(now, nil)
		for _, id := range due {
			ids = append(ids, id)
			at = append(at, now)
		}
		if next < 0 {
			return ids, at
		}
		now = next
	}
	panic("the plan never ends")
}

// Every connection falls due once, in time, and evenly spread; members of a group fall due one after another.
func TestStartDrain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 300).Draw(t, "n")
		duration := monotime.Micros(rapid.IntRange(1, 3_000_000).Draw(t, "duration"))
		var connections []Connection
		for i := range n {
			group := uint64(rapid.IntRange(0, 9).Draw(t, "group"))
			connections = append(connections, Connection{ID: uint32(i), Group: group})
		}
		p := New(rapid.Uint64().Draw(t, "seed"))
		p.StartDrain(0, 1, connections, duration)
		p.StartDrain(0, 1, connections, duration) // has no effect
		ids, at := moves(p, 0)
		if len(ids) != n {
			t.Fatalf("%d of %d connections fell due, want all", len(ids), n)
		}
		seen := map[uint32]bool{}
		parts := map[uint64]int{}
		for i, id := range ids {
			if seen[id] || at[i] > duration {
				t.Fatalf("connection %d fell due a second time, or too late: at %d us, want at most %d",
					id, at[i], duration)
			}
			seen[id] = true
			if g := connections[id].Group; i == 0 || g != connections[ids[i-1]].Group {
				parts[g]++
			}
			interval := duration / monotime.Micros(n)
			if even := duration * monotime.Micros(i) / monotime.Micros(n); at[i] < even-1 || at[i] > even+interval+1 {
				t.Fatalf("move %d of %d at %d us, want %d to %d", i, n, at[i], even-1, even+interval+1)
			}
		}
		for group, n := range parts {
			if n > 1 {
				t.Fatalf("group %d fell due in %d parts, want 1", group, n)
			}
		}
	})
}

// A connection that is established at a draining server joins its drain, even after the drain's duration has passed.
// Without a drain it is not added. Cancelling the drain of one server does not affect that of another.
func TestAddAndCancel(t *testing.T) {
	p := New(1)
	if p.AddConnection(0, 1, 5) {
		t.Error("connection added without a drain")
	}
	p.StartDrain(0, 1, []Connection{{1, 0}, {2, 0}}, 100*ms)
	p.StartDrain(0, 2, []Connection{{3, 0}}, 100*ms)
	if !p.AddConnection(50*ms, 1, 4) || !p.AddConnection(500*ms, 1, 9) {
		t.Error("connection not added to a drain")
	}
	p.CancelDrain(2)
	ids, at := moves(p, 0)
	slices.Sort(ids)
	if !slices.Equal(ids, []uint32{1, 2, 4, 9}) {
		t.Errorf("moved %v at %v, want 1, 2, 4 and 9", ids, at)
	}
	p.StartDrain(0, 2, []Connection{{3, 0}}, 100*ms)
	if ids, _ = moves(p, 0); len(ids) != 1 {
		t.Errorf("drain after a cancelled one: moved %v, want one connection", ids)
	}
}
