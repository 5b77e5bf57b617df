// Package lineproto is the codec of the line protocol between clients, balancers and servers. It parses in place: the
// slices that it returns point into the caller's buffer. It uses no sockets, makes no decisions, and keeps no state
// except in a Scanner.
package lineproto

import (
	"bytes"
	"errors"
	"hash/fnv"
	"math"
	"strconv"
)

// MaxLine is the maximum length of a line in bytes, with its CR LF.
const MaxLine = 4096

// Errors of a line.
var (
	ErrLineTooLong = errors.New("line is over 4 KiB")
	ErrMalformed   = errors.New("line is malformed")
)

// SplitLine returns the first line of buf without its CR LF. n is the line's length with CR LF; 0 means that buf does
// not hold the whole line yet. The error is ErrLineTooLong, or ErrMalformed for a line that ends in LF without CR.
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

// ClientVerb is the verb of a client's first line.
type ClientVerb uint8

// The verbs of a first line.
const (
	VerbUnknown ClientVerb = iota
	VerbOpen
	VerbPing
)

// ParseVerb returns the verb of a client's first line: VerbUnknown unless it is OPEN with arguments or PING without.
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

// Open holds the arguments of a client's OPEN line. Its slices point into the parsed line, and its offsets refer to it.
// The comments begin with the argument's name in the line.
type Open struct {
	ID                         uint64  // unique for every connection
	Key                        uint64  // the idempotency key
	Group                      uint64  // g: connections of one group are placed on the same servers
	Class                      []byte  // c
	CurrentServer              []byte  // at: id of the server that has the connection already
	DeadlineMillis             int64   // d: the client's deadline, in milliseconds from now
	DeadlineStart, DeadlineEnd int     // d: offsets of the value in the line
	Retry                      bool    // r=1: a retry by the client
	Reconnected                bool    // again=1: the client reconnects after a break or a move
	LoadHint                   float64 // h: the connection's usual load, in microseconds of work per second
	HasLoadHint                bool
	Tenant                     uint64 // owner: 0 if the line names none
	Token                      []byte // tok: "ask" or a resume token; only from clients that support tokens
	Cursor                     []byte // cur: the number of the last message that the client received
}

// maxWordLength is the maximum length of an id or a key in bytes.
const maxWordLength = 64

// ParseOpen parses "OPEN ID KEY name=value,...". It ignores unknown names and checks the values of known ones strictly:
// a server would answer an invalid value with an error, which would look like a failure of the server. The error is
// ErrMalformed.
func ParseOpen(text []byte) (Open, error) {
	o := Open{DeadlineMillis: -1}
	fields := bytes.SplitN(text, []byte(" "), 4)
	if len(fields) != 4 || string(fields[0]) != "OPEN" || !isWord(fields[1]) || !isWord(fields[2]) {
		return o, ErrMalformed
	}
	o.ID, o.Key = parseID(fields[1]), parseID(fields[2])
	at := len(text) - len(fields[3])
	for at <= len(text) {
		end := len(text)
		if i := bytes.IndexByte(text[at:], ','); i >= 0 {
			end = at + i
		}
		name, value, ok := bytes.Cut(text[at:end], []byte("="))
		if !ok || len(name) == 0 || !isPrintable(text[at:end]) {
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
		o.Group = parseID(value)
	case "r":
		o.Retry = string(value) == "1"
	case "again":
		o.Reconnected = string(value) == "1"
	case "at":
		o.CurrentServer = value
	case "owner":
		o.Tenant = parseID(value)
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

func isWord(b []byte) bool { return len(b) > 0 && len(b) <= maxWordLength && isPrintable(b) }

func isPrintable(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c >= 0x7f {
			return false
		}
	}
	return true
}

// parseID returns the number for an id or a key: the value of a hexadecimal number, which is the usual form, or the
// hash of any other word. Ids and keys are only compared for equality, for which a hash is as good.
func parseID(word []byte) uint64 {
	if v, err := strconv.ParseUint(string(word), 16, 64); err == nil {
		return v
	}
	h := fnv.New64a()
	_, _ = h.Write(word) // never fails
	return h.Sum64()
}

// ServerVerb is the kind of a line from a server.
type ServerVerb uint8

// The kinds of lines from a server.
const (
	Other ServerVerb = iota
	Up
	Bye
	Move
	Err
	Busy
	Pong
	Load
	Stale // the server rejects the resume token
)

// ParseServerLine returns the kind of a line from a server, and the value of a LOAD line (0 for all others). UP without
// an argument and LOAD without a valid value are Other.
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

// NumberField returns the value of a name in the argument of a line, such as x0 in "PONG queue=2,x0=0.61". It returns
// false if the name is missing, or its value is negative or not a finite number.
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

// Argument returns the text after the verb of a line, such as the reason in a STALE line; nil if there is none.
func Argument(text []byte) []byte {
	_, word, _ := bytes.Cut(text, []byte(" "))
	return word
}

// ResumeCursor returns N of an UP line that ends in "from=N": the cursor after which the server continues the stream.
// It returns false for any other line.
func ResumeCursor(up []byte) (uint64, bool) {
	i := bytes.LastIndexByte(up, ' ')
	digits, ok := bytes.CutPrefix(up[i+1:], []byte("from="))
	if !ok {
		return 0, false
	}
	return ParseCursor(digits)
}

// ParseCursor parses the number of a message: at most 19 decimal digits, which always fit into 64 bits, without leading
// zeros.
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

// MessageNumber returns N of a message, a line that begins with "#N ". It returns false for any other line.
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

// AppendBusy appends a BUSY line, with the time in milliseconds after which the client may retry unless that is 0.
func AppendBusy(to []byte, millis int64) []byte {
	to = append(to, "BUSY"...)
	if millis > 0 {
		to = strconv.AppendInt(append(to, ' '), millis, 10)
	}
	return append(to, '\r', '\n')
}

// Scanner finds the lines of a stream that is forwarded as it is received. It buffers only the start of the current
// line, enough to recognise the verb.
type Scanner struct {
	head [48]byte
	n    int // length of the line so far
}

// AtLineStart reports whether the stream is at the start of a line.
func (s *Scanner) AtLineStart() bool { return s.n == 0 }

// Feed processes the next bytes of the stream. It calls each for every line that ends in them, with the start of the
// line without CR LF, which is valid only during the call.
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
