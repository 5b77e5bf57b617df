// Package proto reads and writes the protocol's lines for the laboratory's stand-ins, from the protocol's pages and
// without the balancer's own parsers.
package proto

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Open is a first line.
type Open struct {
	ID         string
	Key        uint64
	Class      string
	Millis     int    // d
	Group      string // g
	Owner      string
	At         string
	Again      bool
	WantsToken bool   // tok=ask
	Token      string // tok= anything else
	Cursor     uint64
	Cur        bool // the line has a cursor
}

// ErrLine says that a line is none that the protocol has.
var ErrLine = errors.New("no first line")

// Parse reads a first line, without its end.
func Parse(text string) (Open, error) {
	fields := strings.SplitN(text, " ", 4)
	if len(fields) != 4 || fields[0] != "OPEN" || fields[1] == "" {
		return Open{}, ErrLine
	}
	o := Open{ID: fields[1]}
	var err error
	if o.Key, err = strconv.ParseUint(fields[2], 16, 64); err != nil {
		return Open{}, ErrLine
	}
	for _, pair := range strings.Split(fields[3], ",") {
		name, value, ok := strings.Cut(pair, "=")
		if !ok {
			return Open{}, ErrLine
		}
		switch name {
		case "c":
			o.Class = value
		case "d":
			if o.Millis, err = strconv.Atoi(value); err != nil {
				return Open{}, ErrLine
			}
		case "g":
			o.Group = value
		case "owner":
			o.Owner = value
		case "at":
			o.At = value
		case "again":
			o.Again = value == "1"
		case "tok":
			if o.WantsToken = value == "ask"; !o.WantsToken {
				o.Token = value
			}
		case "cur":
			if o.Cursor, err = strconv.ParseUint(value, 10, 64); err != nil {
				return Open{}, ErrLine
			}
			o.Cur = true
		}
	}
	return o, nil
}

// String writes the line, with its end.
func (o *Open) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "OPEN %s %016x c=%s,d=%d", o.ID, o.Key, o.Class, o.Millis)
	for _, pair := range []struct {
		name, value string
		on          bool
	}{
		{"g", o.Group, o.Group != ""},
		{"owner", o.Owner, o.Owner != ""},
		{"at", o.At, o.At != ""},
		{"again", "1", o.Again},
		{"cur", strconv.FormatUint(o.Cursor, 10), o.Cur},
		{"tok", "ask", o.WantsToken},
		{"tok", o.Token, o.Token != ""},
	} {
		if pair.on {
			fmt.Fprintf(&b, ",%s=%s", pair.name, pair.value)
		}
	}
	return b.String() + "\r\n"
}

// Answer is what a first line was answered.
type Answer struct {
	Word   string // UP, BUSY, STALE, ERR, ...
	Rest   string
	From   uint64 // of an UP that says from=
	Counts bool   // it does: messages are numbered
	Millis int    // of a BUSY that says how long to stay away
}

// ParseAnswer reads an answer, without its end.
func ParseAnswer(text string) Answer {
	a := Answer{}
	a.Word, a.Rest, _ = strings.Cut(text, " ")
	switch a.Word {
	case "UP":
		if i := strings.LastIndex(text, " from="); i >= 0 {
			n, err := strconv.ParseUint(text[i+6:], 10, 64)
			a.From, a.Counts = n, err == nil
		}
	case "BUSY":
		a.Millis, _ = strconv.Atoi(a.Rest) // none: 0
	}
	return a
}

// Number reads the number of a message; ok tells whether the line is one at all.
func Number(text []byte) (n uint64, ok bool) {
	if len(text) < 3 || text[0] != '#' {
		return 0, false
	}
	digits, _, more := strings.Cut(string(text[1:]), " ")
	n, err := strconv.ParseUint(digits, 10, 64)
	return n, more && err == nil
}
