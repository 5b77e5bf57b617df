package lifecycle

import (
	"errors"
	"strings"
	"testing"
)

func TestParse(t *testing.T) {
	for _, c := range []struct {
		line string
		kind CommandKind
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
		command, err := Parse([]byte(c.line))
		if !errors.Is(err, c.err) || err == nil && command != (Command{Kind: c.kind}) {
			t.Errorf("Parse(%q) = %v, %v; want %v, %v", c.line, command, err, c.kind, c.err)
		}
	}
}

// Only RECORD takes arguments and allows a longer line.
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
		if !errors.Is(err, c.err) || err == nil && got != (Command{CommandRecord, c.name, c.value}) {
			t.Errorf("Parse(%q) = %+v, %v, want name %q, value %q, %v", c.line, got, err, c.name, c.value, c.err)
		}
	}
}

func TestApply(t *testing.T) {
	for _, c := range []struct {
		before  State
		kind    CommandKind
		next    State
		changed bool
		reply   string
	}{
		{Serving, CommandPing, Serving, false, "+OK serving"},
		{LameDuck, CommandPing, LameDuck, false, "+OK lameduck"},
		{Stopping, CommandPing, Stopping, false, "-ERR stopping"},
		{Serving, CommandLameDuck, LameDuck, true, "+OK lameduck"},
		{LameDuck, CommandLameDuck, LameDuck, false, "+OK lameduck"}, // already a lame duck
		{Serving, CommandRejoin, Serving, false, "+OK serving"},      // already serving
		{LameDuck, CommandRejoin, Serving, true, "+OK serving"},
		{Stopping, CommandRejoin, Stopping, false, "-ERR stopping"},
		{Serving, CommandRecord, Serving, false, "-ERR unknown call"}, // not a member of a fleet
		{Stopping, CommandLameDuck, Stopping, false, "-ERR stopping"},
	} {
		got := Apply(c.before, c.kind)
		if got != (Transition{c.next, c.changed, c.reply}) {
			t.Errorf("Apply(%v, %v) = %+v; want %v %v %q", c.before, c.kind, got, c.next, c.changed, c.reply)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("PING"))
	f.Add([]byte("LAMEDUCK "))
	f.Add([]byte("RECORD limits 7"))
	f.Fuzz(func(t *testing.T, b []byte) {
		command, err := Parse(b)
		if err != nil {
			return
		}
		withoutArguments := command == Command{Kind: command.Kind}
		if len(b) > LineLimit(b) || command.Kind > CommandRecord ||
			command.Kind != CommandRecord && !withoutArguments {
			t.Fatalf("Parse(%q) = %+v, want a known command within its line limit, arguments only for RECORD",
				b, command)
		}
	})
}
