// Package duty decides what a call on the management address does to a balancer's duty: whether it takes clients
// (serving), sends them away but stays (lame duck), or is on its way out (stopping), and what the caller is answered.
// It knows the calls and the states, and nothing of sockets, clocks or the data path.
package lifecycle

import (
	"bytes"
	"errors"
	"strings"
)

// State is what a balancer is there for at the moment.
type State uint8

const (
	// Serving takes clients, and the clients' PING says yes.
	Serving State = iota
	// LameDuck moves its clients away and has the clients' PING say no, but stays, to be called back.
	LameDuck
	// Stopping was told to end (SIGTERM); nothing takes it back.
	Stopping
)

func (s State) String() string {
	switch s {
	case Serving:
		return "serving"
	case LameDuck:
		return "lameduck"
	}
	return "stopping"
}

// Call is one of the management calls.
type Call uint8

const (
	Ping Call = iota
	LameDuckCall
	Rejoin
	// Members asks for the fleet as this member sees it; it changes no duty.
	Members
	// Record publishes a small named value to the whole fleet; it changes no duty. It is the one call with arguments.
	Record
)

// Command is a call with its arguments, which only Record has.
type Command struct {
	Call        Call
	Name, Value string
}

// MaxLine bounds a call without its line end, in bytes, MaxRecordLine one of Record: a name of 32 bytes, a value of
// 64, and blanks. A longer line is refused without being read further.
const (
	MaxLine       = 64
	MaxRecordLine = 128
)

// recordWord is what a call of Record begins with.
var recordWord = []byte("RECORD ")

// Limit is how long the line may be that begins so, in bytes, without its end.
func Limit(begin []byte) int {
	if bytes.HasPrefix(bytes.TrimLeft(begin, " \t"), recordWord) {
		return MaxRecordLine
	}
	return MaxLine
}

// Errors of Parse; their text is what the caller reads after -ERR.
var (
	ErrEmpty   = errors.New("empty call")
	ErrText    = errors.New("not text")
	ErrUnknown = errors.New("unknown call")
	ErrLong    = errors.New("line too long")
)

var calls = []struct {
	word []byte
	call Call
}{{[]byte("PING"), Ping}, {[]byte("LAMEDUCK"), LameDuckCall}, {[]byte("REJOIN"), Rejoin}, {[]byte("MEMBERS"), Members}, {[]byte("RECORD"), Record}}

// Parse reads one call from a line without its end ("\n" or "\r\n" cut off). Words are upper case, as in the
// protocol; a call but Record takes no arguments, and blanks around it are forgiven.
func Parse(line []byte) (Command, error) {
	if len(line) > Limit(line) {
		return Command{}, ErrLong
	}
	for _, c := range line {
		if c < 0x20 && c != '\t' || c >= 0x7f {
			return Command{}, ErrText
		}
	}
	word := bytes.TrimSpace(line)
	if len(word) == 0 {
		return Command{}, ErrEmpty
	}
	if rest, ok := bytes.CutPrefix(word, recordWord); ok {
		name, value, _ := strings.Cut(string(bytes.TrimSpace(rest)), " ")
		return Command{Record, name, strings.TrimSpace(value)}, nil
	}
	for _, c := range calls {
		if bytes.Equal(word, c.word) {
			return Command{Call: c.call}, nil
		}
	}
	return Command{}, ErrUnknown
}

// Answer is what a call brings: the state after it, whether that differs, and the line to answer without its end.
type Answer struct {
	Next    State
	Changed bool
	Line    string
}

// Apply decides a call in a state. PING changes nothing and says yes until the balancer stops; LAMEDUCK twice acts
// once; REJOIN without a drain changes nothing; after SIGTERM neither can be taken back.
func Apply(s State, c Call) Answer {
	switch {
	case c == Members || c == Record: // who has a fleet answers these before they get here
		return Answer{s, false, "-ERR " + ErrUnknown.Error()}
	case s == Stopping:
		return Answer{s, false, "-ERR stopping"}
	case c == Ping:
		return Answer{s, false, "+OK " + s.String()}
	case c == LameDuckCall:
		return Answer{LameDuck, s != LameDuck, "+OK lameduck"}
	default:
		return Answer{Serving, s != Serving, "+OK serving"}
	}
}
