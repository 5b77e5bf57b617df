package xmlconfig

import (
	"encoding"
	"errors"
	"fmt"
	"math"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// value is implemented by the attribute types of this package. Besides these, an attribute may be a string with an enum
// tag, an int or a bool.
type value interface {
	encoding.TextUnmarshaler
	pattern() string     // a regular expression with the same meaning in Go and XSD
	sample() string      // an example of a valid value
	description() string // the kind of value, in errors
	size() float64       // the number to which bounds apply
}

var errInvalidValue = errors.New("invalid value")

// valueError reports a well-formed value that is not allowed.
type valueError struct{ what, fix string }

func (b valueError) Error() string { return b.what }

// Name is a name within a file or a deployment: at most 64 letters, digits, dots, dashes and underscores, the first a
// letter or digit.
type Name string

// Text is one line of text for humans, at most 256 characters.
type Text string

// Path is the path of a file. Unless it begins with a slash, it is relative to the folder of the configuration file.
type Path string

// Address is an IP address with a port; port 0 means any free port. Only the pattern is checked: the user of the value
// must parse it.
type Address string

// HostPort is a host name or IP address with a port. Only the pattern is checked.
type HostPort string

// Duration is a duration, written as a number with a unit: us, ms, s, m or h.
type Duration time.Duration

// Size is a number of bytes, written with a unit: B, KiB, MiB or GiB.
type Size int64

// Rate is a number of events per second, written with a unit: /s, /min or /h.
type Rate float64

// Share is a fraction, written as a percentage: 15% is 0.15.
type Share float64

// Number is a number without a unit, not negative.
type Number float64

const numeral = `[0-9]{1,12}(\.[0-9]{1,9})?`

func (*Name) pattern() string    { return `[A-Za-z0-9]([A-Za-z0-9._\-]{0,63})` }
func (*Text) pattern() string    { return `[^\n\t]{1,256}` }
func (*Path) pattern() string    { return `[^\n\t]{1,512}` }
func (*Address) pattern() string { return `([0-9.]{7,15}|\[[0-9a-fA-F:.]{2,45}\]):[0-9]{1,5}` }
func (*HostPort) pattern() string {
	return `([A-Za-z0-9.\-]{1,253}|\[[0-9a-fA-F:.]{2,45}\]):[0-9]{1,5}`
}
func (*Duration) pattern() string { return numeral + `(us|ms|s|m|h)` }
func (*Size) pattern() string     { return `[0-9]{1,15}(B|KiB|MiB|GiB)` }
func (*Rate) pattern() string     { return numeral + `/(s|min|h)` }
func (*Share) pattern() string    { return numeral + `%` }
func (*Number) pattern() string   { return numeral }

func (*Name) sample() string     { return "a-name" }
func (*Text) sample() string     { return "some words" }
func (*Path) sample() string     { return "folder/file" }
func (*Address) sample() string  { return "127.0.0.1:8081" }
func (*HostPort) sample() string { return "host.example:7946" }
func (*Duration) sample() string { return "250ms" }
func (*Size) sample() string     { return "64MiB" }
func (*Rate) sample() string     { return "20/s" }
func (*Share) sample() string    { return "15%" }
func (*Number) sample() string   { return "1.5" }

func (*Name) description() string     { return "name (letters, digits, '.', '-' and '_')" }
func (*Text) description() string     { return "text of one line" }
func (*Path) description() string     { return "path" }
func (*Address) description() string  { return "address and port" }
func (*HostPort) description() string { return "host and port" }
func (*Duration) description() string { return "span of time with its unit (us, ms, s, m, h)" }
func (*Size) description() string     { return "number of bytes with its unit (B, KiB, MiB, GiB)" }
func (*Rate) description() string     { return "rate with its unit (/s, /min, /h)" }
func (*Share) description() string    { return "share in per cent" }
func (*Number) description() string   { return "number" }

func (*Name) size() float64       { return 0 }
func (*Text) size() float64       { return 0 }
func (*Path) size() float64       { return 0 }
func (*Address) size() float64    { return 0 }
func (*HostPort) size() float64   { return 0 }
func (v *Duration) size() float64 { return float64(*v) }
func (v *Size) size() float64     { return float64(*v) }
func (v *Rate) size() float64     { return float64(*v) }
func (v *Share) size() float64    { return float64(*v) }
func (v *Number) size() float64   { return float64(*v) }

// UnmarshalText sets the name.
func (v *Name) UnmarshalText(b []byte) error { *v = Name(b); return nil }

// UnmarshalText sets the text.
func (v *Text) UnmarshalText(b []byte) error { *v = Text(b); return nil }

// UnmarshalText sets the path.
func (v *Path) UnmarshalText(b []byte) error { *v = Path(b); return nil }

// UnmarshalText sets the address. It does not parse the address.
func (v *Address) UnmarshalText(b []byte) error { *v = Address(b); return nil }

// UnmarshalText sets host and port. It does not look up the host.
func (v *HostPort) UnmarshalText(b []byte) error { *v = HostPort(b); return nil }

// The units by name: nanoseconds, bytes, and events per second.
var (
	timeUnits = map[string]float64{"us": 1e3, "ms": 1e6, "s": 1e9, "m": 60e9, "h": 3600e9}
	sizeUnits = map[string]float64{"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}
	rateUnits = map[string]float64{"/s": 1, "/min": 1.0 / 60, "/h": 1.0 / 3600}
)

// parseWithUnit parses a number with one of the units, and returns their product. A product over maximum is invalid.
func parseWithUnit(b []byte, units map[string]float64, maximum float64) (float64, error) {
	text := string(b)
	end := strings.IndexFunc(text, func(r rune) bool { return r != '.' && (r < '0' || r > '9') })
	if end < 0 {
		return 0, errInvalidValue
	}
	v, err := strconv.ParseFloat(text[:end], 64)
	unit, ok := units[text[end:]]
	if err != nil || !ok || v*unit > maximum {
		return 0, errInvalidValue
	}
	return v * unit, nil
}

// UnmarshalText parses a duration with its unit.
func (v *Duration) UnmarshalText(b []byte) error {
	d, err := parseWithUnit(b, timeUnits, math.MaxInt64/2)
	*v = Duration(d)
	return err
}

// UnmarshalText parses a number of bytes with its unit.
func (v *Size) UnmarshalText(b []byte) error {
	d, err := parseWithUnit(b, sizeUnits, 1<<60)
	*v = Size(d)
	return err
}

// UnmarshalText parses a rate with its unit.
func (v *Rate) UnmarshalText(b []byte) error {
	d, err := parseWithUnit(b, rateUnits, 1e12)
	*v = Rate(d)
	return err
}

// UnmarshalText parses a percentage.
func (v *Share) UnmarshalText(b []byte) error {
	d, err := parseWithUnit(b, map[string]float64{"%": 0.01}, 1e6)
	*v = Share(d)
	return err
}

// UnmarshalText parses a number.
func (v *Number) UnmarshalText(b []byte) error {
	d, err := strconv.ParseFloat(string(b), 64)
	*v = Number(d)
	return err
}

// Std returns the duration as a time.Duration.
func (v Duration) Std() time.Duration { return time.Duration(v) }

// Micros returns the duration in microseconds.
func (v Duration) Micros() int64 { return time.Duration(v).Microseconds() }

// fieldSpec describes an attribute or a child element by the tags of its struct field.
type fieldSpec struct {
	name            string
	index           int
	doc             string
	required        bool
	defaultValue    string
	min, max        string
	enum            []string
	key, ref        string
	repeated        bool
	minCount        int
	maxCount        int
	typ             reflect.Type
	compiledPattern *regexp.Regexp
}

// elementSpec describes the attributes and children of an element.
type elementSpec struct {
	attrs, children []fieldSpec
}

func (s *elementSpec) attr(name string) (fieldSpec, bool)  { return find(s.attrs, name) }
func (s *elementSpec) child(name string) (fieldSpec, bool) { return find(s.children, name) }
func (s *elementSpec) attrNames() []string                 { return names(s.attrs, "%s") }
func (s *elementSpec) childNames() []string                { return names(s.children, "<%s>") }

func find(of []fieldSpec, name string) (fieldSpec, bool) {
	i := slices.IndexFunc(of, func(m fieldSpec) bool { return m.name == name })
	if i < 0 {
		return fieldSpec{}, false
	}
	return of[i], true
}

func names(of []fieldSpec, as string) []string {
	var out []string
	for _, m := range of {
		out = append(out, fmt.Sprintf(as, m.name))
	}
	return out
}

// elementSpecOf reads the tags of a struct. A field of a type that no attribute can have is an error of the program and
// causes a panic. An invalid number in the tags least and most counts as 0.
func elementSpecOf(t reflect.Type) *elementSpec {
	s := &elementSpec{}
	for i := range t.NumField() {
		f := t.Field(i)
		name, attr, _ := strings.Cut(f.Tag.Get("xml"), ",")
		if name == "" || name == "-" {
			continue
		}
		m := fieldSpec{
			name: name, index: i, doc: f.Tag.Get("doc"), required: f.Tag.Get("use") == "required",
			defaultValue: f.Tag.Get("default"), min: f.Tag.Get("min"), max: f.Tag.Get("max"), key: f.Tag.Get("key"),
			ref: f.Tag.Get("ref"), typ: f.Type,
		}
		if e := f.Tag.Get("enum"); e != "" {
			m.enum = strings.Split(e, ",")
		}
		if attr == "attr" {
			m.compiledPattern = regexp.MustCompile(`^(?:` + m.pattern() + `)$`)
			s.attrs = append(s.attrs, m)
			continue
		}
		m.repeated = f.Type.Kind() == reflect.Slice
		m.required = f.Type.Kind() == reflect.Struct
		m.minCount, _ = strconv.Atoi(f.Tag.Get("least"))
		m.maxCount, _ = strconv.Atoi(f.Tag.Get("most"))
		s.children = append(s.children, m)
	}
	return s
}

// childStruct returns the struct for a child element; v is the struct of its parent. For optional and repeated children
// it allocates a new one.
func (m fieldSpec) childStruct(v reflect.Value) reflect.Value {
	field := v.Field(m.index)
	switch field.Kind() {
	case reflect.Pointer:
		field.Set(reflect.New(m.typ.Elem()))
		return field.Elem()
	case reflect.Slice:
		// File.locations refers to structs by their addresses, so a slice must hold pointers: appending to it would
		// move structs.
		child := reflect.New(m.typ.Elem().Elem())
		field.Set(reflect.Append(field, child))
		return child.Elem()
	}
	return field
}

// structType returns the type of the struct for a child element.
func (m fieldSpec) structType() reflect.Type {
	switch m.typ.Kind() {
	case reflect.Pointer:
		return m.typ.Elem()
	case reflect.Slice:
		return m.typ.Elem().Elem()
	}
	return m.typ
}

func (m fieldSpec) value() (value, bool) {
	v, ok := reflect.New(m.typ).Interface().(value)
	return v, ok
}

func (m fieldSpec) pattern() string {
	if v, ok := m.value(); ok {
		return v.pattern()
	}
	switch m.typ.Kind() {
	case reflect.Bool:
		return "true|false"
	case reflect.Int:
		return `[0-9]{1,12}`
	case reflect.String:
		if len(m.enum) > 0 {
			return strings.Join(m.enum, "|")
		}
	}
	panic("form: " + m.name + " has a type that no attribute can have")
}

func (m fieldSpec) sample() string {
	switch v, ok := m.value(); {
	case m.defaultValue != "":
		return m.defaultValue
	case len(m.enum) > 0:
		return m.enum[0]
	case m.min != "":
		return m.min
	case ok:
		return v.sample()
	case m.typ.Kind() == reflect.Bool:
		return "true"
	}
	return "1"
}

func (m fieldSpec) description() string {
	if v, ok := m.value(); ok {
		return v.description()
	}
	switch m.typ.Kind() {
	case reflect.Bool:
		return "'true' or 'false'"
	case reflect.Int:
		return "whole number"
	}
	return "word of " + strings.Join(m.enum, ", ")
}

// parse returns an attribute's value, and its size if the type has bounds, else 0.
func (m fieldSpec) parse(text string) (reflect.Value, float64, error) {
	if !m.compiledPattern.MatchString(text) {
		return reflect.Value{}, 0, errInvalidValue
	}
	to := reflect.New(m.typ)
	if v, ok := to.Interface().(value); ok {
		if err := v.UnmarshalText([]byte(text)); err != nil {
			return to.Elem(), 0, err
		}
		return to.Elem(), v.size(), nil
	}
	switch m.typ.Kind() {
	case reflect.Bool:
		to.Elem().SetBool(text == "true")
	case reflect.Int:
		n, err := strconv.Atoi(text)
		to.Elem().SetInt(int64(n))
		return to.Elem(), float64(n), err
	default:
		to.Elem().SetString(text)
	}
	return to.Elem(), 0, nil
}

// set parses an attribute's value, checks its bounds and stores it in v. A value out of bounds is a valueError.
func (m fieldSpec) set(v reflect.Value, text string) error {
	got, size, err := m.parse(text)
	if err != nil {
		return err
	}
	for _, bound := range []struct {
		text, word string
		sign       float64
	}{{m.min, "under", 1}, {m.max, "over", -1}} {
		if bound.text == "" {
			continue
		}
		_, limit, err := m.parse(bound.text)
		if err != nil {
			panic("form: bound of " + m.name + ": " + err.Error())
		}
		if bound.sign*(size-limit) < 0 {
			return valueError{fmt.Sprintf("%s is %s %s", text, bound.word, bound.text), "write " + m.boundsText()}
		}
	}
	v.Set(got)
	return nil
}

// boundsText describes the range that an attribute's bounds allow.
func (m fieldSpec) boundsText() string {
	switch {
	case m.max == "":
		return m.min + " or more"
	case m.min == "":
		return m.max + " or less"
	}
	return m.min + " to " + m.max
}
