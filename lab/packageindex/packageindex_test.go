package packageindex

import (
	"bytes"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Head, floor and due times agree, and a message is the same for whoever makes it.
func TestIndex(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := &Index{
			Epoch: time.Unix(
				1_800_000_000,
				0,
			), Interval: time.Duration(rapid.IntRange(1, 5_000_000).Draw(t, "interval")) * 1000,
			Keep: uint64(rapid.IntRange(1, 100).Draw(t, "keep")), Length: 30,
		}
		key := rapid.Uint64().Draw(t, "key")
		now := x.Epoch.Add(time.Duration(rapid.IntRange(-1_000_000, 1_000_000_000).Draw(t, "since")) * 1000)
		head := x.Head(key, now)
		if head > 0 && x.Due(key, head).After(now) || !x.Due(key, head+1).After(now) {
			t.Fatalf("head %d: due %v, next %v, now %v", head, x.Due(key, head), x.Due(key, head+1), now)
		}
		if f := x.Floor(key, now); f > head || head-f > x.Keep {
			t.Fatalf("floor %d, head %d", f, head)
		}
		if a, b := x.Line(nil, key, head), x.Line(nil, key, head); !bytes.Equal(a, b) ||
			bytes.Equal(a, x.Line(nil, key, head+1)) ||
			!bytes.HasSuffix(a, []byte("\r\n")) {
			t.Fatalf("%q", a)
		}
	})
}
