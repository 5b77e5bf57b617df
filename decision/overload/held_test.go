package overload

import (
	"testing"

	"pgregory.net/rapid"
)

// However connections open and end requests, what they hold stays within the limit and one request, and a connection
// that holds nothing is refused only if the whole limit is used up.
func TestHeldRequestsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := HeldLimit(rapid.Int64Range(1<<20, 1<<28).Draw(t, "memory"))
		own := make([]int64, rapid.IntRange(1, 50).Draw(t, "connections"))
		total := int64(0)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			c := rapid.IntRange(0, len(own)-1).Draw(t, "connection")
			if own[c] > 0 && rapid.IntRange(0, 4).Draw(t, "ends") == 0 {
				total -= own[c]
				own[c] = 0
				continue
			}
			admitted := AdmitsHeld(Held{Own: own[c], Total: total, Limit: limit, Connections: len(own)})
			if !admitted && own[c] == 0 && total < limit {
				t.Fatalf("a connection that holds nothing is refused with %d of %d bytes held", total, limit)
			}
			if admitted {
				bytes := HeldRequestBytes(rapid.IntRange(1, 1<<20).Draw(t, "first line"))
				own[c] += bytes
				total += bytes
				if total > limit+bytes {
					t.Fatalf("%d bytes held, want at most %d and one request", total, limit)
				}
			}
		}
	})
}
