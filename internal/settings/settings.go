package settings

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/tidwall/gjson"

	"spurspread/decision"
)

const (
	// maxTextBytes bounds the size of an input.
	maxTextBytes = 1 << 20

	// defaultConnectTimeout applies if the settings give no timeout, or 0, with which no connection could succeed.
	defaultConnectTimeout decision.Micros = 1_000_000
)

// Settings holds the settings of the decisions, and those that only a balancer with sockets needs: the timeout of
// connections, and the names that clients and server lists use where the decisions use numbers.
type Settings struct {
	Decision decision.Settings

	ClassNames   []string // by class number; "" for a class without a name
	ZoneNames    []string // by zone number
	MachineTypes []string // by machine type number

	ConnectTimeout decision.Micros // for connecting to a server; always greater than 0, by default 1 s

	ReportsLoad           bool // the decisions expect reports of the load of established connections
	ReportsMessageLatency bool // the decisions expect reports of message latency
}

// ParseText reads key=value pairs, one per line. Empty lines are skipped; if a key is repeated, its last value counts.
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

// flatten stores value under the keys of the text form: a list of plain values becomes one value, joined with commas; a
// list of objects becomes a count and numbered items.
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

// scalarText returns a plain value in the text form. Spaces and commas in strings become underscores, because they are
// separators there.
func scalarText(value gjson.Result) string {
	if value.Type != gjson.String {
		return value.Raw
	}
	return strings.NewReplacer(" ", "_", ",", "_").Replace(value.Str)
}
