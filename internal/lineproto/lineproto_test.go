package lineproto

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"testing"
)

func TestSplitLine(t *testing.T) {
	for name, c := range map[string]struct {
		in, text string
		n        int
		err      error
	}{
		"complete":         {"PING\r\nmore", "PING", 6, nil},
		"empty":            {"\r\n", "", 2, nil},
		"partial":          {"OPEN ab", "", 0, nil},
		"partial end":      {"PING\r", "", 0, nil},
		"no CR":            {"PING\n", "", 5, ErrMalformed},
		"lone LF":          {"\n", "", 1, ErrMalformed},
		"longest":          {strings.Repeat("x", MaxLine-2) + "\r\n", strings.Repeat("x", MaxLine-2), MaxLine, nil},
		"too long":         {strings.Repeat("x", MaxLine-1) + "\r\n", "", 0, ErrLineTooLong},
		"too long, no end": {strings.Repeat("x", MaxLine), "", 0, ErrLineTooLong},
		"longest, no end":  {strings.Repeat("x", MaxLine-1), "", 0, nil},
	} {
		text, n, err := SplitLine([]byte(c.in))
		if string(text) != c.text || n != c.n || !errors.Is(err, c.err) {
			t.Errorf("%s: line %q, size %d, %v, want %q, %d, %v", name, text, n, err, c.text, c.n, c.err)
		}
	}
}

func TestParseVerb(t *testing.T) {
	for in, want := range map[string]ClientVerb{
		"PING": VerbPing, "OPEN a b c=d": VerbOpen, "OPEN": VerbUnknown, "PING x": VerbUnknown, "open a": VerbUnknown,
		"":               VerbUnknown,
		"GET / HTTP/1.1": VerbUnknown, "\x00\xff": VerbUnknown,
	} {
		if got := ParseVerb([]byte(in)); got != want {
			t.Errorf("%q: %d, want %d", in, got, want)
		}
	}
}

func TestParseOpen(t *testing.T) {
	const text = "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=chat,d=2000,g=5c0f6e1a2b3d4c59,again=1,r=1,at=s-1,h=2.5,x=y"
	o, err := ParseOpen([]byte(text))
	if err != nil || o.ID != 0x9b1f03aa5c7e2d41 || o.Key != 0x7f3a9c21e0b4d655 || o.Group != 0x5c0f6e1a2b3d4c59 ||
		string(o.Class) != "chat" ||
		o.DeadlineMillis != 2000 || text[o.DeadlineStart:o.DeadlineEnd] != "2000" || !o.Retry || !o.Reconnected ||
		string(o.CurrentServer) != "s-1" ||
		o.LoadHint != 2.5 ||
		!o.HasLoadHint {
		t.Errorf("%+v, %v", o, err)
	}
	if o, err = ParseOpen([]byte("OPEN a user-7 c=chat,d=0")); err != nil || o.Key == 0 || o.DeadlineMillis != 0 {
		t.Errorf("a key that is a word: %+v, %v, want a key other than 0 and deadline 0", o, err)
	}
	for _, bad := range []string{
		"OPEN", "OPEN a", "OPEN a b", "OPEN a b ", "OPEN  b c=x", "OPEN a b c", "OPEN a b c=x,", "OPEN a b =x",
		"OPEN a b d=5",
		"OPEN a b c=x,d=", "OPEN a b c=x,d=-1", "OPEN a b c=x,d=1.5", "OPEN a b c=x,d=99999999999",
		"OPEN a b c=x,d=1,d=2",
		"OPEN a b c=x d=1", "OPEN a b c=\x01", "OPEN a b c=x", "OPEN a b c=x,c=y,d=1", "OPEN a b c=x,d=+1",
		"OPEN a\x01 b c=x,d=1",
		"OPEN " + strings.Repeat("a", 65) + " b c=x,d=1", "OPEN a b c=x,d=1,h=NaN", "OPEN a b c=x,h=z", "OPEN a b c=",
	} {
		if _, err := ParseOpen([]byte(bad)); !errors.Is(err, ErrMalformed) {
			t.Errorf("%q was not rejected as malformed: %v", bad, err)
		}
	}
}

func TestParseServerLine(t *testing.T) {
	for in, want := range map[string]ServerVerb{
		"UP abc": Up, "UP": Other, "UP ": Other, "BYE": Bye, "MOVE": Move, "ERR": Err, "BUSY 20": Busy,
		"BUSY": Busy, "PONG": Pong,
		"LOAD 12.5": Load, "LOAD": Other, "LOAD x": Other, "LOAD NaN": Other, "LOAD +Inf": Other, "SYNTAX": Other,
		"": Other,
	} {
		if got, v := ParseServerLine([]byte(in)); got != want || (got == Load) != (v == 12.5) {
			t.Errorf("%q: kind %d, value %v, want kind %d, and 12.5 only for LOAD", in, got, v, want)
		}
	}
}

func TestAppendBusy(t *testing.T) {
	if got := string(AppendBusy(AppendBusy(nil, 0), 340)); got != "BUSY\r\nBUSY 340\r\n" {
		t.Errorf("got %q, want BUSY without a delay, then BUSY 340", got)
	}
}

// The scanner finds the same lines however the stream is split into reads.
func TestScannerSplits(t *testing.T) {
	long := strings.Repeat("y", 3*MaxLine)
	stream := "one\r\n\r\nLOAD 3\r\n" + long + "\r\nBYE\r\nhal"
	for step := 1; step <= len(stream); step++ {
		var s Scanner
		var got []string
		for at := 0; at < len(stream); at += step {
			s.Feed([]byte(stream[at:min(at+step, len(stream))]), func(l []byte) { got = append(got, string(l)) })
		}
		if want := "one||LOAD 3|" + long[:48] + "|BYE"; strings.Join(got, "|") != want || s.AtLineStart() {
			t.Fatalf("reads of %d bytes: lines %q, at line start %v, want %q and false",
				step, got, s.AtLineStart(), want)
		}
	}
}

// For any line that ParseOpen accepts, the offsets of the deadline and the cursor match the text of the line.
func FuzzParseOpen(f *testing.F) {
	for _, s := range []string{
		"OPEN 9b1f 7f3a c=sync,d=2000,g=5c", "OPEN 9b1f 7f3a c=sync,d=2000,tok=ask",
		"OPEN 1 2 c=x,d=1,cur=18446744073709551615,tok=AQ__",
		"OPEN 1 2 c=x,d=1,d=2", "OPEN 1 2 c=x,d=99999999999", "OPEN 1 2 d=1,c=x,at=s-1,owner=o,h=1e400,again=1,r=1",
		"OPEN  2 c=x,d=1", "OPEN 1 2 c=x,,d=1",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		o, err := ParseOpen(text)
		if err != nil {
			return
		}
		if o.DeadlineStart < 0 || o.DeadlineEnd > len(text) || o.DeadlineStart > o.DeadlineEnd ||
			strconv.FormatInt(o.DeadlineMillis, 10) != strings.TrimLeft(string(text[o.DeadlineStart:o.DeadlineEnd]),
				"0") && o.DeadlineMillis != 0 {
			t.Errorf("%q: deadline %d does not match offsets %d to %d",
				text, o.DeadlineMillis, o.DeadlineStart, o.DeadlineEnd)
		}
		if n, ok := ParseCursor(o.Cursor); ok && strconv.FormatUint(n, 10) != string(o.Cursor) {
			t.Errorf("%q: cursor %d, want %q", text, n, o.Cursor)
		}
	})
}

// Any line from a server has one kind: only LOAD has a value, a message has no verb, and message numbers and cursors
// match the text of the line.
func FuzzParseServerLine(f *testing.F) {
	for _, s := range []string{
		"UP r1 from=41", "UP", "UP from=1", "STALE gone", "LOAD 1e9", "LOAD -1", "#17 x",
		"#017 x", "#", "MOVE", "BUSY 300",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		kind, value := ParseServerLine(text)
		if kind != Load && value != 0 || value < 0 {
			t.Errorf("%q: kind %v, value %v, want a value only for LOAD, and not below 0", text, kind, value)
		}
		if n, ok := MessageNumber(text); ok && (kind != Other || !bytes.HasPrefix(text, fmt.Appendf(nil, "#%d ", n))) {
			t.Errorf("%q: message number %d, want a line of kind Other that begins with it", text, n)
		}
		if n, ok := ResumeCursor(text); ok && !bytes.HasSuffix(text, fmt.Appendf(nil, "from=%d", n)) {
			t.Errorf("%q: cursor %d, want a line that ends with it", text, n)
		}
	})
}
