package settings

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/tidwall/gjson"

	"spurspread/decision"
)

const (
	// maxTextBytes bounds an input.
	maxTextBytes = 1 << 20

	// defaultConnectTimeout applies where the settings give none, or 0, in which nothing could connect.
	defaultConnectTimeout decision.Micros = 1_000_000
)

// Settings is what the decisions need, and what only a balancer with sockets needs beside it: the names that lines
// and server lists use for what the decisions number, and limits of sockets.
type Settings struct {
	Decision decision.Settings

	ClassNames   []string // by class number; empty where a class has no name
	ZoneNames    []string // by zone number
	MachineTypes []string // by machine type number

	ConnectTimeout decision.Micros // of a connection to a server; always over 0, by default 1 s

	ReportsLoad           bool // decisions expect notes of the load of an established connection
	ReportsMessageLatency bool // decisions expect notes of the time that messages take
}

// ParseText reads key=value pairs, one a line. Empty lines are skipped; of a key given twice the last value counts.
// It returns ErrTooLong, ErrNoSeparator or an *InvalidError.
func ParseText(text []byte) (Settings, error) {
	if err := checkLength(text); err != nil {
		return Settings{}, err
	}
	p := newParser()
	for i, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		if line == "" {
			continue
		}
		key, value, ok := strings.Cut(line, "=")
		if !ok {
			return Settings{}, fmt.Errorf("%w: line %d", ErrNoSeparator, i+1)
		}
		p.values[key] = value
	}
	return p.settings()
}

// ParseJSON reads the same settings from a nested JSON object. It returns ErrTooLong, ErrNotObject or an
// *InvalidError.
func ParseJSON(text []byte) (Settings, error) {
	if err := checkLength(text); err != nil {
		return Settings{}, err
	}
	root := gjson.ParseBytes(text)
	if !gjson.ValidBytes(text) || !root.IsObject() {
		return Settings{}, ErrNotObject
	}
	p := newParser()
	p.flatten("", root)
	return p.settings()
}

func checkLength(text []byte) error {
	if len(text) > maxTextBytes {
		return fmt.Errorf("%w: %d bytes, at most %d", ErrTooLong, len(text), maxTextBytes)
	}
	return nil
}

// flatten stores value as the text form has it: a list of plain values is joined with commas, a list of objects
// becomes a count and numbered items.
func (p *parser) flatten(path string, value gjson.Result) {
	switch {
	case value.IsObject():
		p.flattenObject(path, value)
	case value.IsArray():
		p.flattenList(path, value.Array())
	case value.Type != gjson.Null:
		p.values[path] = scalarText(value)
	}
}

func (p *parser) flattenObject(path string, object gjson.Result) {
	if path != "" {
		path += "."
	}
	object.ForEach(func(key, item gjson.Result) bool {
		p.flatten(path+key.String(), item)
		return true
	})
}

func (p *parser) flattenList(path string, items []gjson.Result) {
	if len(items) > 0 && items[0].IsObject() {
		p.values[path+".count"] = strconv.Itoa(len(items))
		for i, item := range items {
			p.flatten(fmt.Sprintf("%s.%d", path, i), item)
		}
		return
	}
	texts := make([]string, len(items))
	for i, item := range items {
		texts[i] = scalarText(item)
	}
	p.values[path] = strings.Join(texts, ",")
}

// scalarText is a plain value as text. Blanks and commas separate in the text form, so strings lose theirs.
func scalarText(value gjson.Result) string {
	if value.Type != gjson.String {
		return value.Raw
	}
	return strings.NewReplacer(" ", "_", ",", "_").Replace(value.Str)
}
