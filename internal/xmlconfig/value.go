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

// A value is what an attribute may hold: the types below, string with an enum tag, int and bool.
type value interface {
	encoding.TextUnmarshaler
	pattern() string // a regular expression, alike in Go and XSD
	sample() string
	kind() string
	size() float64 // for bounds
}

var errValue = errors.New("not such a value")

// valueError is a value of the right form that can't be used.
type valueError struct{ what, fix string }

func (b valueError) Error() string { return b.what }

// Name names something within a file or a deployment: letters, digits, dot, dash and underscore, at most 64.
type Name string

// Text is a line of text for people, at most 256 characters.
type Text string

// Path is a file's path, relative to the folder of the file that names it unless it begins with a slash.
type Path string

// Address is an IP address with a port; port 0 takes any.
type Address string

// HostPort is a host, by name or IP address, with a port.
type HostPort string

// Duration is a span of time, written as a number with its unit: us, ms, s, m or h.
type Duration time.Duration

// Size is a number of bytes, written with its unit: B, KiB, MiB or GiB.
type Size int64

// Rate is a number of events a second, written with its unit: /s, /min or /h.
type Rate float64

// Share is a part of a whole, written in per cent.
type Share float64

// Number is a plain number without a unit, not below zero.
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

func (*Name) kind() string     { return "name (letters, digits, '.', '-' and '_')" }
func (*Text) kind() string     { return "text of one line" }
func (*Path) kind() string     { return "path" }
func (*Address) kind() string  { return "address and port" }
func (*HostPort) kind() string { return "host and port" }
func (*Duration) kind() string { return "span of time with its unit (us, ms, s, m, h)" }
func (*Size) kind() string     { return "number of bytes with its unit (B, KiB, MiB, GiB)" }
func (*Rate) kind() string     { return "rate with its unit (/s, /min, /h)" }
func (*Share) kind() string    { return "share in per cent" }
func (*Number) kind() string   { return "number" }

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

// UnmarshalText reads a name.
func (v *Name) UnmarshalText(b []byte) error { *v = Name(b); return nil }

// UnmarshalText reads a line of text.
func (v *Text) UnmarshalText(b []byte) error { *v = Text(b); return nil }

// UnmarshalText reads a path.
func (v *Path) UnmarshalText(b []byte) error { *v = Path(b); return nil }

// UnmarshalText reads an address; whether it can be one of this machine's shows only when it is used.
func (v *Address) UnmarshalText(b []byte) error { *v = Address(b); return nil }

// UnmarshalText reads a place; whether there is such a host shows only when it is looked up.
func (v *HostPort) UnmarshalText(b []byte) error { *v = HostPort(b); return nil }

var (
	spans = map[string]float64{"us": 1e3, "ms": 1e6, "s": 1e9, "m": 60e9, "h": 3600e9}
	sizes = map[string]float64{"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}
	rates = map[string]float64{"/s": 1, "/min": 1.0 / 60, "/h": 1.0 / 3600}
)

// scaled reads a number with a unit.
func scaled(b []byte, units map[string]float64, most float64) (float64, error) {
	text := string(b)
	end := strings.IndexFunc(text, func(r rune) bool { return r != '.' && (r < '0' || r > '9') })
	if end < 0 {
		return 0, errValue
	}
	v, err := strconv.ParseFloat(text[:end], 64)
	unit, ok := units[text[end:]]
	if err != nil || !ok || v*unit > most {
		return 0, errValue
	}
	return v * unit, nil
}

// UnmarshalText reads a span of time.
func (v *Duration) UnmarshalText(b []byte) error {
	d, err := scaled(b, spans, math.MaxInt64/2)
	*v = Duration(d)
	return err
}

// UnmarshalText reads a number of bytes.
func (v *Size) UnmarshalText(b []byte) error {
	d, err := scaled(b, sizes, 1<<60)
	*v = Size(d)
	return err
}

// UnmarshalText reads a rate.
func (v *Rate) UnmarshalText(b []byte) error {
	d, err := scaled(b, rates, 1e12)
	*v = Rate(d)
	return err
}

// UnmarshalText reads a share.
func (v *Share) UnmarshalText(b []byte) error {
	d, err := scaled(b, map[string]float64{"%": 0.01}, 1e6)
	*v = Share(d)
	return err
}

// UnmarshalText reads a number.
func (v *Number) UnmarshalText(b []byte) error {
	d, err := strconv.ParseFloat(string(b), 64)
	*v = Number(d)
	return err
}

// Std is the span as the standard library has it.
func (v Duration) Std() time.Duration { return time.Duration(v) }

// Micros is the span in microseconds.
func (v Duration) Micros() int64 { return time.Duration(v).Microseconds() }

// member is one field of an element.
type member struct {
	name          string
	index         int
	doc           string
	required      bool
	defaultValue  string
	min, max      string
	enum          []string
	key, ref      string
	repeated      bool
	minCount      int
	maxCount      int
	typ           reflect.Type
	nestedPattern *regexp.Regexp
}

// shape is what an element may hold.
type shape struct {
	attrs, children []member
}

func (s *shape) attr(name string) (member, bool)  { return find(s.attrs, name) }
func (s *shape) child(name string) (member, bool) { return find(s.children, name) }
func (s *shape) attrNames() []string              { return names(s.attrs, "%s") }
func (s *shape) childNames() []string             { return names(s.children, "<%s>") }

func find(of []member, name string) (member, bool) {
	i := slices.IndexFunc(of, func(m member) bool { return m.name == name })
	if i < 0 {
		return member{}, false
	}
	return of[i], true
}

func names(of []member, as string) []string {
	var out []string
	for _, m := range of {
		out = append(out, fmt.Sprintf(as, m.name))
	}
	return out
}

// shapeOf reads a struct's tags. What is wrong with them is a fault of the program, found by any use.
func shapeOf(t reflect.Type) *shape {
	s := &shape{}
	for i := range t.NumField() {
		f := t.Field(i)
		name, attr, _ := strings.Cut(f.Tag.Get("xml"), ",")
		if name == "" || name == "-" {
			continue
		}
		m := member{
			name: name, index: i, doc: f.Tag.Get("doc"), required: f.Tag.Get("use") == "required",
			defaultValue: f.Tag.Get("default"), min: f.Tag.Get("min"), max: f.Tag.Get("max"), key: f.Tag.Get("key"),
			ref: f.Tag.Get("ref"), typ: f.Type,
		}
		if e := f.Tag.Get("enum"); e != "" {
			m.enum = strings.Split(e, ",")
		}
		if attr == "attr" {
			m.nestedPattern = regexp.MustCompile(`^(?:` + m.pattern() + `)$`)
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

// open gives the struct that a child element fills.
func (m member) open(v reflect.Value) reflect.Value {
	field := v.Field(m.index)
	switch field.Kind() {
	case reflect.Pointer:
		field.Set(reflect.New(m.typ.Elem()))
		return field.Elem()
	case reflect.Slice:
		// Addresses of what was read must stay, for they name places in the file: so a slice holds pointers.
		one := reflect.New(m.typ.Elem().Elem())
		field.Set(reflect.Append(field, one))
		return one.Elem()
	}
	return field
}

func (m member) inner() reflect.Type {
	switch m.typ.Kind() {
	case reflect.Pointer:
		return m.typ.Elem()
	case reflect.Slice:
		return m.typ.Elem().Elem()
	}
	return m.typ
}

func (m member) value() (value, bool) {
	v, ok := reflect.New(m.typ).Interface().(value)
	return v, ok
}

func (m member) pattern() string {
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

func (m member) sample() string {
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

func (m member) kind() string {
	if v, ok := m.value(); ok {
		return v.kind()
	}
	switch m.typ.Kind() {
	case reflect.Bool:
		return "'true' or 'false'"
	case reflect.Int:
		return "whole number"
	}
	return "word of " + strings.Join(m.enum, ", ")
}

// read gives an attribute's value and, where it has one, its size.
func (m member) read(text string) (reflect.Value, float64, error) {
	if !m.nestedPattern.MatchString(text) {
		return reflect.Value{}, 0, errValue
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

func (m member) set(v reflect.Value, text string) error {
	got, size, err := m.read(text)
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
		_, limit, err := m.read(bound.text)
		if err != nil {
			panic("form: bound of " + m.name + ": " + err.Error())
		}
		if bound.sign*(size-limit) < 0 {
			return valueError{fmt.Sprintf("%s is %s %s", text, bound.word, bound.text), "write " + m.span()}
		}
	}
	v.Set(got)
	return nil
}

// span says in words what an attribute's bounds allow.
func (m member) span() string {
	switch {
	case m.max == "":
		return m.min + " or more"
	case m.min == "":
		return m.max + " or less"
	}
	return m.min + " to " + m.max
}
