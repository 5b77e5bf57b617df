package requestids

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// The ids in use and those of the last finished requests are duplicates, and no others.
func TestDuplicatesMatchModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		active := map[uint64]bool{}
		var finished []uint64
		next := uint64(0)
		lifetime := rapid.Uint64Range(1, 5).Draw(t, "lifetime")
		for range rapid.IntRange(1, 3*MaxFinished).Draw(t, "steps") {
			if id := next - lifetime; next >= lifetime {
				delete(active, id)
				s.Finish(id)
				finished = append(finished, id)
			}
			if !s.Add(next) {
				t.Fatalf("new id %d was rejected as a duplicate", next)
			}
			active[next] = true
			next++
		}
		known := finished[max(0, len(finished)-MaxFinished):]
		for id := range next {
			want := active[id] || slices.Contains(known, id)
			if s.Known(id) != want {
				t.Fatalf("id %d known: %v, want %v", id, s.Known(id), want)
			}
			if want && s.Add(id) {
				t.Fatalf("duplicate %d was added", id)
			}
		}
		if s.Len() != len(active)+len(known) {
			t.Fatalf("%d known ids, want %d", s.Len(), len(active)+len(known))
		}
	})
}
