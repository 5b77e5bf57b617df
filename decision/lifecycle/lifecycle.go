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

// CommandKind is one of the management calls.
type CommandKind uint8

const (
	CommandPing CommandKind = iota
	CommandLameDuck
	CommandRejoin
	// CommandMembers asks for the fleet as this member sees it; it changes no duty.
	CommandMembers
	// CommandRecord publishes a small named value to the whole fleet; it changes no duty. It is the one call with arguments.
	CommandRecord
)

// Command is a call with its arguments, which only Record has.
type Command struct {
	Kind                    CommandKind
	RecordName, RecordValue string
}

// MaxLine bounds a call without its line end, in bytes, MaxRecordLine one of Record: a name of 32 bytes, a value of
// 64, and blanks. A longer line is refused without being read further.
const (
	MaxLine       = 64
	MaxRecordLine = 128
)

// recordPrefix is what a call of Record begins with.
var recordPrefix = []byte("RECORD ")

// LineLimit is how long the line may be that begins so, in bytes, without its end.
func LineLimit(begin []byte) int {
	if bytes.HasPrefix(bytes.TrimLeft(begin, " \t"), recordPrefix) {
		return MaxRecordLine
	}
	return MaxLine
}

// Errors of Parse; their text is what the caller reads after -ERR.
var (
	ErrEmptyCommand   = errors.New("empty call")
	ErrNotText        = errors.New("not text")
	ErrUnknownCommand = errors.New("unknown call")
	ErrLineTooLong    = errors.New("line too long")
)

var commandWords = []struct {
	word []byte
	call CommandKind
}{{[]byte("PING"), CommandPing}, {[]byte("LAMEDUCK"), CommandLameDuck}, {[]byte("REJOIN"), CommandRejoin}, {[]byte("MEMBERS"), CommandMembers}, {[]byte("RECORD"), CommandRecord}}

// Parse reads one call from a line without its end ("\n" or "\r\n" cut off). Words are upper case, as in the
// protocol; a call but Record takes no arguments, and blanks around it are forgiven.
func Parse(line []byte) (Command, error) {
	if len(line) > LineLimit(line) {
		return Command{}, ErrLineTooLong
	}
	for _, c := range line {
		if c < 0x20 && c != '\t' || c >= 0x7f {
			return Command{}, ErrNotText
		}
	}
	word := bytes.TrimSpace(line)
	if len(word) == 0 {
		return Command{}, ErrEmptyCommand
	}
	if rest, ok := bytes.CutPrefix(word, recordPrefix); ok {
		name, value, _ := strings.Cut(string(bytes.TrimSpace(rest)), " ")
		return Command{CommandRecord, name, strings.TrimSpace(value)}, nil
	}
	for _, c := range commandWords {
		if bytes.Equal(word, c.word) {
			return Command{Kind: c.call}, nil
		}
	}
	return Command{}, ErrUnknownCommand
}

// Transition is what a call brings: the state after it, whether that differs, and the line to answer without its end.
type Transition struct {
	Next    State
	Changed bool
	Reply   string
}

// Apply decides a call in a state. PING changes nothing and says yes until the balancer stops; LAMEDUCK twice acts
// once; REJOIN without a drain changes nothing; after SIGTERM neither can be taken back.
func Apply(s State, c CommandKind) Transition {
	switch {
	case c == CommandMembers || c == CommandRecord: // who has a fleet answers these before they get here
		return Transition{s, false, "-ERR " + ErrUnknownCommand.Error()}
	case s == Stopping:
		return Transition{s, false, "-ERR stopping"}
	case c == CommandPing:
		return Transition{s, false, "+OK " + s.String()}
	case c == CommandLameDuck:
		return Transition{LameDuck, s != LameDuck, "+OK lameduck"}
	default:
		return Transition{Serving, s != Serving, "+OK serving"}
	}
}
