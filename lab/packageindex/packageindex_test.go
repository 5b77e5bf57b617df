package packageindex

import (
	"bytes"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Head, OldestCursor and Due agree with one another, and a message depends only on its key and number.
func TestIndex(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		interval := time.Duration(rapid.IntRange(1, 5_000_000).Draw(t, "interval")) * time.Microsecond
		retained := uint64(rapid.IntRange(1, 100).Draw(t, "keep"))
		x := &Index{
			Epoch:            time.Unix(1_800_000_000, 0),
			Interval:         interval,
			RetainedMessages: retained,
			MessageBytes:     30,
		}
		key := rapid.Uint64().Draw(t, "key")
		now := x.Epoch.Add(time.Duration(rapid.IntRange(-1_000_000, 1_000_000_000).Draw(t, "since")) * time.Microsecond)
		head := x.Head(key, now)
		if head > 0 && x.Due(key, head).After(now) || !x.Due(key, head+1).After(now) {
			t.Fatalf("head %d due %v, next message %v, now %v; want now between",
				head, x.Due(key, head), x.Due(key, head+1), now)
		}
		if f := x.OldestCursor(key, now); f > head || head-f > x.RetainedMessages {
			t.Fatalf("oldest cursor %d, head %d, want at most %d messages between", f, head, x.RetainedMessages)
		}
		line := x.AppendMessage(nil, key, head)
		if !bytes.Equal(line, x.AppendMessage(nil, key, head)) {
			t.Fatalf("message %d differs between two calls: %q", head, line)
		}
		if bytes.Equal(line, x.AppendMessage(nil, key, head+1)) || !bytes.HasSuffix(line, []byte("\r\n")) {
			t.Fatalf("message %d equals the next one, or has no line end: %q", head, line)
		}
	})
}
