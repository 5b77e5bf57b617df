// Package lineproto is the codec of the line protocol between clients, balancer and servers. It parses in place: what
// it returns points into the caller's buffer. It knows no sockets, keeps no state but Scanner's, and decides nothing.
package lineproto

import (
	"bytes"
	"errors"
	"hash/fnv"
	"math"
	"strconv"
)

// MaxLine is how long a line may be, with its end.
const MaxLine = 4096

// What may be wrong with a line.
var (
	ErrLineTooLong = errors.New("line is over 4 KiB")
	ErrMalformed   = errors.New("line is malformed")
)

// SplitLine finds the first line of buf. n is its length with its end, 0 while the end was not received. The error is
// ErrLineTooLong or ErrMalformed.
func SplitLine(buf []byte) (text []byte, n int, err error) {
	end := bytes.IndexByte(buf[:min(len(buf), MaxLine)], '\n')
	if end < 0 {
		if len(buf) >= MaxLine {
			return nil, 0, ErrLineTooLong
		}
		return nil, 0, nil
	}
	if end == 0 || buf[end-1] != '\r' {
		return nil, end + 1, ErrMalformed
	}
	return buf[:end-1], end + 1, nil
}

// ClientVerb is what a client's first line requests.
type ClientVerb uint8

// The verbs of a first line.
const (
	VerbUnknown ClientVerb = iota
	VerbOpen
	VerbPing
)

// ParseVerb returns what a client's first line requests; Unknown where it is neither OPEN nor PING.
func ParseVerb(text []byte) ClientVerb {
	verb, _, more := bytes.Cut(text, []byte(" "))
	switch {
	case string(verb) == "OPEN" && more:
		return VerbOpen
	case string(verb) == "PING" && !more:
		return VerbPing
	}
	return VerbUnknown
}

// Open is a client's first line. Its slices, and the offsets of d's value, are of the line that was parsed. The
// names in the comments are those of the line.
type Open struct {
	ID                         uint64 // new for every connection
	Key                        uint64
	Group                      uint64  // g
	Class                      []byte  // c
	CurrentServer              []byte  // at: the server that holds the connection already
	DeadlineMillis             int64   // d: the client's deadline, milliseconds from now
	DeadlineStart, DeadlineEnd int     // offsets of d's value in the line
	Retry                      bool    // r=1
	Reconnected                bool    // again=1: the client came back after a break or a move
	LoadHint                   float64 // h: the connection's usual load
	HasLoadHint                bool
	Tenant                     uint64 // owner; 0 where none is named
	Token                      []byte // tok: "ask" or a resume token, of a client that takes tokens
	Cursor                     []byte // cur: the number of the last message that the client has
}

// maxWord is how long an id or a key may be.
const maxWord = 64

// ParseOpen parses "OPEN ID KEY name=value,...". It ignores names that it does not know and is strict with all others:
// what a server could not use would come back as the server's error. The error is ErrMalformed.
func ParseOpen(text []byte) (Open, error) {
	o := Open{DeadlineMillis: -1}
	fields := bytes.SplitN(text, []byte(" "), 4)
	if len(fields) != 4 || string(fields[0]) != "OPEN" || !word(fields[1]) || !word(fields[2]) {
		return o, ErrMalformed
	}
	o.ID, o.Key = number(fields[1]), number(fields[2])
	at := len(text) - len(fields[3])
	for at <= len(text) {
		end := len(text)
		if i := bytes.IndexByte(text[at:], ','); i >= 0 {
			end = at + i
		}
		name, value, ok := bytes.Cut(text[at:end], []byte("="))
		if !ok || len(name) == 0 || !printable(text[at:end]) {
			return o, ErrMalformed
		}
		if err := o.set(string(name), value, end); err != nil {
			return o, err
		}
		at = end + 1
	}
	if len(o.Class) == 0 || o.DeadlineMillis < 0 {
		return o, ErrMalformed
	}
	return o, nil
}

func (o *Open) set(name string, value []byte, end int) error {
	switch name {
	case "c":
		if o.Class != nil {
			return ErrMalformed
		}
		o.Class = value
	case "d":
		v, err := strconv.ParseUint(string(value), 10, 31)
		if err != nil || o.DeadlineMillis >= 0 {
			return ErrMalformed
		}
		o.DeadlineMillis, o.DeadlineStart, o.DeadlineEnd = int64(v), end-len(value), end
	case "g":
		o.Group = number(value)
	case "r":
		o.Retry = string(value) == "1"
	case "again":
		o.Reconnected = string(value) == "1"
	case "at":
		o.CurrentServer = value
	case "owner":
		o.Tenant = number(value)
	case "tok":
		o.Token = value
	case "cur":
		o.Cursor = value
	case "h":
		v, err := strconv.ParseFloat(string(value), 64)
		if err != nil || math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
			return ErrMalformed
		}
		o.LoadHint, o.HasLoadHint = v, true
	}
	return nil
}

func word(b []byte) bool { return len(b) > 0 && len(b) <= maxWord && printable(b) }

func printable(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c >= 0x7f {
			return false
		}
	}
	return true
}

// number reads a key: hexadecimal as clients send it, else any word by its hash, since keys are only compared.
func number(word []byte) uint64 {
	if v, err := strconv.ParseUint(string(word), 16, 64); err == nil {
		return v
	}
	h := fnv.New64a()
	_, _ = h.Write(word) // never fails
	return h.Sum64()
}

// ServerVerb is the kind of a server's line.
type ServerVerb uint8

// The kinds of a server's lines.
const (
	Other ServerVerb = iota
	Up
	Bye // BYE
	Move
	Err
	Busy
	Pong
	Load
	Stale // a token is not honoured
)

// ParseServerLine returns the kind of a server's line, and the value of a LOAD line (0 for others).
func ParseServerLine(text []byte) (ServerVerb, float64) {
	verb, rest, more := bytes.Cut(text, []byte(" "))
	switch string(verb) {
	case "UP":
		if more && len(rest) > 0 {
			return Up, 0
		}
	case "BYE":
		return Bye, 0
	case "MOVE":
		return Move, 0
	case "ERR":
		return Err, 0
	case "BUSY":
		return Busy, 0
	case "PONG":
		return Pong, 0
	case "STALE":
		return Stale, 0
	case "LOAD":
		if v, err := strconv.ParseFloat(string(rest), 64); err == nil && v >= 0 && !math.IsInf(v, 0) {
			return Load, v
		}
	}
	return Other, 0
}

// NumberField returns the number under a name in a line's last word, as in "PONG queue=2,x0=0.61". It returns false
// where the name is missing, or its value negative or not a finite number.
func NumberField(text []byte, name string) (float64, bool) {
	_, rest, _ := bytes.Cut(text, []byte(" "))
	for len(rest) > 0 {
		var pair []byte
		pair, rest, _ = bytes.Cut(rest, []byte(","))
		if key, value, ok := bytes.Cut(pair, []byte("=")); ok && string(key) == name {
			v, err := strconv.ParseFloat(string(value), 64)
			return v, err == nil && v >= 0 && !math.IsInf(v, 0)
		}
	}
	return 0, false
}

// Argument is the last word of a line, as STALE's reason is.
func Argument(text []byte) []byte {
	_, word, _ := bytes.Cut(text, []byte(" "))
	return word
}

// ResumeCursor reads the cursor after which a server continues, from an UP line that ends in "from=N".
func ResumeCursor(up []byte) (uint64, bool) {
	i := bytes.LastIndexByte(up, ' ')
	digits, ok := bytes.CutPrefix(up[i+1:], []byte("from="))
	if !ok {
		return 0, false
	}
	return ParseCursor(digits)
}

// ParseCursor reads the number of a message.
func ParseCursor(digits []byte) (uint64, bool) {
	if len(digits) == 0 || len(digits) > 19 || digits[0] == '0' && len(digits) > 1 {
		return 0, false
	}
	n := uint64(0)
	for _, c := range digits {
		if c < '0' || c > '9' {
			return 0, false
		}
		n = n*10 + uint64(c-'0')
	}
	return n, true
}

// MessageNumber reads the number of a message, which begins with "#N ".
func MessageNumber(text []byte) (uint64, bool) {
	if len(text) == 0 || text[0] != '#' {
		return 0, false
	}
	digits, _, ok := bytes.Cut(text[1:], []byte(" "))
	if !ok {
		return 0, false
	}
	return ParseCursor(digits)
}

// AppendBusy appends the refusal, with how long the client should stay away where that is not 0.
func AppendBusy(to []byte, millis int64) []byte {
	to = append(to, "BUSY"...)
	if millis > 0 {
		to = strconv.AppendInt(append(to, ' '), millis, 10)
	}
	return append(to, '\r', '\n')
}

// Scanner follows the lines of a stream that is forwarded as it is received. It buffers only the start of a line,
// enough to recognise its verb.
type Scanner struct {
	head [48]byte
	n    int // length of the line so far
}

// AtLineStart reports whether the stream is at the start of a line.
func (s *Scanner) AtLineStart() bool { return s.n == 0 }

// Feed handles the next bytes and calls each with the start of every line that they complete.
func (s *Scanner) Feed(b []byte, each func(start []byte)) {
	for len(b) > 0 {
		part, ended := b, false
		if i := bytes.IndexByte(b, '\n'); i >= 0 {
			part, ended = b[:i+1], true
		}
		b = b[len(part):]
		if s.n < len(s.head) {
			copy(s.head[s.n:], part)
		}
		s.n += len(part)
		if ended {
			each(bytes.TrimRight(s.head[:min(s.n, len(s.head))], "\r\n"))
			s.n = 0
		}
	}
}
