package lifecycle

import (
	"bytes"
	"errors"
	"strings"
)

// CommandKind is one of the admin commands.
type CommandKind uint8

const (
	// CommandPing asks whether the balancer serves.
	CommandPing CommandKind = iota
	// CommandLameDuck has the balancer move its clients away and stay.
	CommandLameDuck
	// CommandRejoin has a lame duck serve again.
	CommandRejoin
	// CommandMembers lists the fleet as this member sees it. It does not change the state.
	CommandMembers
	// CommandRecord publishes a small named value to the whole fleet. It does not change the state.
	CommandRecord
	// CommandUnserved counts the final answers that the balancer itself gave, by class and cause. It does not change
	// the state.
	CommandUnserved
)

// Command is a command with its arguments, which only CommandRecord has.
type Command struct {
	Kind        CommandKind
	RecordName  string
	RecordValue string
}

// Bounds of a line without its end, in bytes. A longer line is rejected before it is read to its end.
const (
	// MaxLine bounds any command but RECORD.
	MaxLine = 64
	// MaxRecordLine bounds RECORD: a name of 32 bytes, a value of 64, and blanks.
	MaxRecordLine = 128
)

const (
	recordPrefix = "RECORD "

	firstPrintable = ' '
	lastPrintable  = '~'
)

// LineLimit returns how long a line with this beginning may be, in bytes, without its end.
func LineLimit(beginning []byte) int {
	if bytes.HasPrefix(bytes.TrimLeft(beginning, " \t"), []byte(recordPrefix)) {
		return MaxRecordLine
	}
	return MaxLine
}

// Errors of Parse. Their texts are answered to the caller after -ERR.
var (
	ErrEmptyCommand   = errors.New("empty call")
	ErrNotText        = errors.New("not text")
	ErrUnknownCommand = errors.New("unknown call")
	ErrLineTooLong    = errors.New("line too long")
)

// Parse reads one command from a line without its end ("\n" or "\r\n"). Commands are upper case; only RECORD takes
// arguments, and blanks around a command are ignored. It returns ErrLineTooLong beyond LineLimit, ErrNotText for bytes
// that are neither printable ASCII nor tabs, ErrEmptyCommand or ErrUnknownCommand.
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

// parseRecord reads a name up to the first blank and a value after it. Whoever publishes them checks them.
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
