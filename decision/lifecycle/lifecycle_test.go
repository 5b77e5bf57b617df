package lifecycle

import (
	"strings"
	"testing"
)

func TestParse(t *testing.T) {
	for _, c := range []struct {
		line string
		call CommandKind
		err  error
	}{
		{"PING", CommandPing, nil},
		{" LAMEDUCK\t", CommandLameDuck, nil},
		{"REJOIN", CommandRejoin, nil},
		{"", 0, ErrEmptyCommand},
		{"   ", 0, ErrEmptyCommand},
		{"ping", 0, ErrUnknownCommand},
		{"PING now", 0, ErrUnknownCommand},
		{"INFO", 0, ErrUnknownCommand},
		{"PI\x00NG", 0, ErrNotText},
		{"PING\xff", 0, ErrNotText},
		{"PING\r", 0, ErrNotText},
		{strings.Repeat("P", MaxLine), 0, ErrUnknownCommand},
		{strings.Repeat("P", MaxLine+1), 0, ErrLineTooLong},
	} {
		call, err := Parse([]byte(c.line))
		if err != c.err || err == nil && call != (Command{Kind: c.call}) {
			t.Errorf("Parse(%q) = %v, %v; want %v, %v", c.line, call, err, c.call, c.err)
		}
	}
}

// RECORD alone has arguments, and a longer line.
func TestParseRecord(t *testing.T) {
	long := "RECORD " + strings.Repeat("n", 32) + " " + strings.Repeat("v", 64)
	for _, c := range []struct {
		line        string
		name, value string
		err         error
	}{
		{"RECORD limits 7", "limits", "7", nil},
		{"  RECORD  limits   of two words ", "limits", "of two words", nil},
		{"RECORD limits", "limits", "", nil},
		{"RECORD", "", "", nil},
		{"RECORDlimits 7", "", "", ErrUnknownCommand},
		{"RECORD a\x00 b", "", "", ErrNotText},
		{long, strings.Repeat("n", 32), strings.Repeat("v", 64), nil},
		{long + strings.Repeat("v", MaxRecordLine+1-len(long)), "", "", ErrLineTooLong},
	} {
		got, err := Parse([]byte(c.line))
		if err != c.err || err == nil && got != (Command{CommandRecord, c.name, c.value}) {
			t.Errorf("Parse(%q) = %+v, %v", c.line, got, err)
		}
	}
}

func TestApply(t *testing.T) {
	for _, c := range []struct {
		in      State
		call    CommandKind
		next    State
		changed bool
		line    string
	}{
		{Serving, CommandPing, Serving, false, "+OK serving"},
		{LameDuck, CommandPing, LameDuck, false, "+OK lameduck"},
		{Stopping, CommandPing, Stopping, false, "-ERR stopping"},
		{Serving, CommandLameDuck, LameDuck, true, "+OK lameduck"},
		{LameDuck, CommandLameDuck, LameDuck, false, "+OK lameduck"}, // twice acts once
		{Serving, CommandRejoin, Serving, false, "+OK serving"},      // without a drain nothing changes
		{LameDuck, CommandRejoin, Serving, true, "+OK serving"},
		{Stopping, CommandRejoin, Stopping, false, "-ERR stopping"},
		{Serving, CommandRecord, Serving, false, "-ERR unknown call"}, // without a fleet there is none
		{Stopping, CommandLameDuck, Stopping, false, "-ERR stopping"},
	} {
		a := Apply(c.in, c.call)
		if a != (Transition{c.next, c.changed, c.line}) {
			t.Errorf("Apply(%v, %v) = %+v; want %v %v %q", c.in, c.call, a, c.next, c.changed, c.line)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("PING"))
	f.Add([]byte("LAMEDUCK "))
	f.Add([]byte("RECORD limits 7"))
	f.Fuzz(func(t *testing.T, b []byte) {
		call, err := Parse(b)
		if err == nil &&
			(len(b) > LineLimit(b) || call.Kind > CommandRecord || call.Kind != CommandRecord && call != (Command{Kind: call.Kind})) {
			t.Fatalf("Parse(%q) = %v", b, call)
		}
	})
}
