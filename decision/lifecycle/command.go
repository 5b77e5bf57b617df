package lifecycle

import (
	"bytes"
	"errors"
	"strings"
)

// CommandKind identifies an admin command.
type CommandKind uint8

const (
	// CommandPing asks for the state of the balancer.
	CommandPing CommandKind = iota
	// CommandLameDuck makes the balancer move its clients away and stay.
	CommandLameDuck
	// CommandRejoin makes a lame duck serve again.
	CommandRejoin
	// CommandMembers lists the members of the fleet as this member sees them. It does not change the state.
	CommandMembers
	// CommandRecord publishes a short named value to the whole fleet. It does not change the state.
	CommandRecord
	// CommandUnserved counts the final answers that the balancer itself gave, by class and cause. It does not change
	// the state.
	CommandUnserved
)

// Command is an admin command with its arguments, which only CommandRecord has.
type Command struct {
	Kind        CommandKind
	RecordName  string
	RecordValue string
}

// Limits on the length of a line in bytes, without its terminator. A longer line is rejected before it is read to its
// end.
const (
	// MaxLine is the limit for any command but RECORD.
	MaxLine = 64
	// MaxRecordLine is the limit for RECORD: a name of 32 bytes, a value of 64, and blanks.
	MaxRecordLine = 128
)

const (
	recordPrefix = "RECORD "

	firstPrintable = ' '
	lastPrintable  = '~'
)

// LineLimit returns the maximum length of a line with this beginning, in bytes, without its terminator.
func LineLimit(beginning []byte) int {
	if bytes.HasPrefix(bytes.TrimLeft(beginning, " \t"), []byte(recordPrefix)) {
		return MaxRecordLine
	}
	return MaxLine
}

// Errors of Parse. Their texts are sent to the caller after -ERR.
var (
	ErrEmptyCommand   = errors.New("empty call")
	ErrNotText        = errors.New("not text")
	ErrUnknownCommand = errors.New("unknown call")
	ErrLineTooLong    = errors.New("line too long")
)

// Parse parses one command from a line without its terminator ("\n" or "\r\n"). Commands are upper case; only RECORD
// takes arguments, and blanks around a command are ignored. It returns ErrLineTooLong for a line longer than LineLimit,
// ErrNotText for bytes that are neither printable ASCII nor tabs, ErrEmptyCommand or ErrUnknownCommand.
func Parse(line []byte) (Command, error) {
	if len(line) > LineLimit(line) {
		return Command{}, ErrLineTooLong
	}
	if bytes.ContainsFunc(line, notText) {
		return Command{}, ErrNotText
	}
	text := string(bytes.TrimSpace(line))
	if text == "" {
		return Command{}, ErrEmptyCommand
	}
	if arguments, ok := strings.CutPrefix(text, recordPrefix); ok {
		return parseRecord(arguments), nil
	}
	return parseWord(text)
}

func notText(r rune) bool {
	return r != '\t' && (r < firstPrintable || r > lastPrintable)
}

// parseRecord parses a name up to the first blank and the value after it. It does not validate them; the code that
// publishes the record does.
func parseRecord(arguments string) Command {
	name, value, _ := strings.Cut(strings.TrimSpace(arguments), " ")
	return Command{Kind: CommandRecord, RecordName: name, RecordValue: strings.TrimSpace(value)}
}

func parseWord(word string) (Command, error) {
	switch word {
	case "PING":
		return Command{Kind: CommandPing}, nil
	case "LAMEDUCK":
		return Command{Kind: CommandLameDuck}, nil
	case "REJOIN":
		return Command{Kind: CommandRejoin}, nil
	case "MEMBERS":
		return Command{Kind: CommandMembers}, nil
	case "UNSERVED":
		return Command{Kind: CommandUnserved}, nil
	case "RECORD":
		return Command{Kind: CommandRecord}, nil
	}
	return Command{}, ErrUnknownCommand
}
