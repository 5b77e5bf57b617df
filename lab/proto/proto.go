// Package proto parses and formats the lines of the stream protocol for the laboratory's emulated clients and nodes. It
// implements docs/protocol independently and must not share code with the balancer, whose parsers it tests.
package proto

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// openFields is the number of fields of a first line: the word, the id, the key and the parameters.
const openFields = 4

// wantsTokenValue is the value of tok by which a client wants a resume token.
const wantsTokenValue = "ask"

// Open is the first line of a stream, "OPEN ID KEY NAME=VALUE,...".
type Open struct {
	ID             string
	Key            uint64
	Class          string
	DeadlineMillis int    // d=
	Group          string // g=
	Owner          string // owner=
	At             string // at=, the node at which the stream is already
	Again          bool   // again=1, the client has opened the stream before
	WantsToken     bool   // tok=ask
	Token          string // tok= with any other value
	Cursor         uint64 // cur=, the number of the last message that the client has received
	HasCursor      bool
}

// ErrNotOpen is returned for a line that is not a valid first line.
var ErrNotOpen = errors.New("not a valid OPEN line")

// ParseOpen parses a first line, given without its end. It ignores parameters with unknown names. The error is
// ErrNotOpen.
func ParseOpen(text string) (Open, error) {
	fields := strings.SplitN(text, " ", openFields)
	if len(fields) != openFields || fields[0] != "OPEN" || fields[1] == "" {
		return Open{}, ErrNotOpen
	}
	key, err := strconv.ParseUint(fields[2], 16, 64)
	if err != nil {
		return Open{}, ErrNotOpen
	}
	o := Open{ID: fields[1], Key: key}
	for _, pair := range strings.Split(fields[3], ",") {
		name, value, ok := strings.Cut(pair, "=")
		if !ok || o.set(name, value) != nil {
			return Open{}, ErrNotOpen
		}
	}
	return o, nil
}

// set sets the field for one parameter.
func (o *Open) set(name, value string) (err error) {
	switch name {
	case "c":
		o.Class = value
	case "d":
		o.DeadlineMillis, err = strconv.Atoi(value)
	case "g":
		o.Group = value
	case "owner":
		o.Owner = value
	case "at":
		o.At = value
	case "again":
		o.Again = value == "1"
	case "tok":
		o.WantsToken = value == wantsTokenValue
		if !o.WantsToken {
			o.Token = value
		}
	case "cur":
		o.Cursor, err = strconv.ParseUint(value, 10, 64)
		o.HasCursor = true
	}
	return err
}

// String returns the line, with its end.
func (o *Open) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "OPEN %s %016x c=%s,d=%d", o.ID, o.Key, o.Class, o.DeadlineMillis)
	for _, parameter := range []struct {
		name, value string
		present     bool
	}{
		{"g", o.Group, o.Group != ""},
		{"owner", o.Owner, o.Owner != ""},
		{"at", o.At, o.At != ""},
		{"again", "1", o.Again},
		{"cur", strconv.FormatUint(o.Cursor, 10), o.HasCursor},
		{"tok", wantsTokenValue, o.WantsToken},
		{"tok", o.Token, o.Token != ""},
	} {
		if parameter.present {
			fmt.Fprintf(&b, ",%s=%s", parameter.name, parameter.value)
		}
	}
	return b.String() + "\r\n"
}

// Answer is the answer to a first line.
type Answer struct {
	Word        string // UP, BUSY, STALE, ERR, ...
	Rest        string // the text after the word
	From        uint64 // of UP with from=: the number of the message after which the stream continues
	Numbered    bool   // UP has from=, which means that the messages are numbered
	RetryMillis int    // of BUSY: the wait before the next attempt; 0: not given
}

// ParseAnswer parses an answer, given without its end.
func ParseAnswer(text string) Answer {
	const fromParameter = " from="
	a := Answer{}
	a.Word, a.Rest, _ = strings.Cut(text, " ")
	switch a.Word {
	case "UP":
		if i := strings.LastIndex(text, fromParameter); i >= 0 {
			from, err := strconv.ParseUint(text[i+len(fromParameter):], 10, 64)
			a.From = from
			a.Numbered = err == nil
		}
	case "BUSY":
		a.RetryMillis, _ = strconv.Atoi(a.Rest) // not a number: 0
	}
	return a
}

// MessageNumber returns the number of a message, "#NUMBER TEXT". ok is false for any other line.
func MessageNumber(line []byte) (n uint64, ok bool) {
	const shortest = len("#1 ")
	if len(line) < shortest || line[0] != '#' {
		return 0, false
	}
	digits, _, hasText := bytes.Cut(line[1:], []byte(" "))
	n, err := strconv.ParseUint(string(digits), 10, 64)
	return n, hasText && err == nil
}
