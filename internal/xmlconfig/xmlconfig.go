// Package xmlconfig reads XML configuration files strictly into Go structs and writes the schema (XSD 1.0) of the same
// structs, so that reader and schema can't drift apart. It knows the syntax of a file, and nothing of what any file
// means.
//
// A struct is an element. Its fields are attributes or child elements, told apart by the tag xml:
//
//	Life  xmlconfig.Duration `xml:"life,attr" default:"60s" min:"1s" max:"10m" doc:"how long a token lasts"`
//	Use   string        `xml:"use,attr" enum:"mint,accept" use:"required"`
//	ID    xmlconfig.Name     `xml:"id,attr" use:"required" key:"keys"`   // unique among all keys of the file
//	By    xmlconfig.Name     `xml:"by,attr" ref:"keys"`                  // must name one of them
//	Drain Drain         `xml:"drain"`                               // must be there
//	Trace *Trace        `xml:"trace"`                               // may be there, once
//	Keys  []Key         `xml:"key" most:"8" least:"1"`              // repeated
//
// An element holds either single children, in any order, or repeated ones, never both: XSD 1.0 can say no more.
// An attribute that is absent has its default, or its zero value where it has none.
package xmlconfig

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"
)

// Bounds of a file; one that is larger is refused before it costs memory or time.
const (
	maxBytes       = 8 << 20
	maxDepth       = 16
	maxElements    = 200_000
	maxErrors      = 100
	maxSuggestions = 8 // names that an error about a reference suggests
)

// FieldError is one error in a file.
type FieldError struct {
	File  string
	Line  int
	Where string // the element, and its attribute where it is one's fault: "key@file"
	What  string
	Fix   string
}

// Error returns one line: file, line, place, what is wrong, how to correct it.
func (f FieldError) Error() string {
	where := ""
	if f.Where != "" {
		where = f.Where + ": "
	}
	return fmt.Sprintf("%s:%d: %s%s; %s", f.File, f.Line, where, f.What, f.Fix)
}

// FieldErrors are all errors of a file, by line.
type FieldErrors []FieldError

// Error returns a line for each error.
func (f FieldErrors) Error() string {
	lines := make([]string, len(f))
	for i, one := range f {
		lines[i] = one.Error()
	}
	return strings.Join(lines, "\n")
}

// Checker is a struct with rules of its own, beyond what tags can say. Check is called once the whole file is read,
// for inner elements first, and reports errors with File.AddError.
type Checker interface{ Check(f *File) }

// File is one file that is being read.
type File struct {
	Name   string
	errors FieldErrors
	at     map[any]place // by the address of the field or struct that was filled
	keys   map[string]map[string]int
	refs   []reference
	checks []Checker
}

type place struct {
	line  int
	where string
}

type reference struct {
	set, name string
	at        place
}

// Load reads the file at path.
func Load(path string, d Document, to any) error {
	info, err := os.Stat(path)
	if err == nil && info.Size() > maxBytes {
		what := fmt.Sprintf("the file has %d bytes, over %d", info.Size(), maxBytes)
		return FieldErrors{{File: path, Line: 1, What: what, Fix: "split it"}}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return Read(path, text, d, to)
}

// Document names the root element of a kind of file and its namespace.
type Document struct{ Root, Namespace string }

// Read fills to, a pointer to a struct with zero values, from text. The error is of type FieldErrors and holds all
// that is wrong; to is undefined then.
func Read(name string, text []byte, d Document, to any) error {
	f := &File{Name: name, at: map[any]place{}, keys: map[string]map[string]int{}}
	if root := f.parse(text, d); root != nil {
		f.fill(root, reflect.ValueOf(to).Elem())
		f.resolve()
		if len(f.errors) == 0 { // rules build on values that could be read
			for _, c := range f.checks {
				c.Check(f)
			}
		}
	}
	if len(f.errors) == 0 {
		return nil
	}
	slices.SortStableFunc(f.errors, func(a, b FieldError) int { return cmp.Compare(a.Line, b.Line) })
	return f.errors
}

// AddError notes what is wrong with a field or struct that was filled, given by its address.
func (f *File) AddError(field any, fix, what string, args ...any) {
	f.addError(f.at[field], fix, what, args...)
}

func (f *File) addError(at place, fix, what string, args ...any) {
	if len(f.errors) < maxErrors {
		f.errors = append(f.errors, FieldError{f.Name, max(at.line, 1), at.where, fmt.Sprintf(what, args...), fix})
	}
}

// fill reads one element into v, a struct.
func (f *File) fill(n *node, v reflect.Value) {
	here := place{n.line, n.name}
	f.at[v.Addr().Interface()] = here
	shape := shapeOf(v.Type())
	f.attributes(n, shape, v)
	seen := map[string]int{}
	for _, kid := range n.children {
		m, ok := shape.child(kid.name)
		if !ok {
			f.addError(
				place{kid.line, kid.name},
				oneOf("remove it, or use", shape.childNames()),
				"unknown element inside <%s>",
				n.name,
			)
			continue
		}
		seen[kid.name]++
		if !m.repeated && seen[kid.name] > 1 {
			f.addError(place{kid.line, kid.name}, "keep one of them", "stands twice inside <%s>", n.name)
			continue
		}
		f.fill(kid, m.open(v))
	}
	for _, m := range shape.children {
		switch had := seen[m.name]; {
		case m.required && had == 0, had < m.minCount:
			f.addError(
				here,
				fmt.Sprintf("add <%s>", m.name),
				"has %d of the elements <%s>, at least %d %s needed",
				had,
				m.name,
				max(m.minCount, 1),
				plural(max(m.minCount, 1), "is", "are"),
			)
		case m.maxCount > 0 && had > m.maxCount:
			f.addError(here, "remove some", "has %d elements <%s>, over %d", had, m.name, m.maxCount)
		}
	}
	if c, ok := v.Addr().Interface().(Checker); ok {
		f.checks = append(f.checks, c)
	}
}

func plural(n int, one, many string) string {
	if n == 1 {
		return one
	}
	return many
}

func oneOf(verb string, names []string) string {
	if len(names) == 0 {
		return "remove it"
	}
	return verb + " " + strings.Join(names, ", ")
}

func (f *File) attributes(n *node, shape *shape, v reflect.Value) {
	given := map[string]bool{}
	for _, a := range n.attrs {
		at := place{a.line, n.name + "@" + a.name}
		m, ok := shape.attr(a.name)
		switch {
		case !ok:
			f.addError(at, oneOf("remove it, or use", shape.attrNames()), "unknown attribute")
		case given[a.name]:
			f.addError(at, "keep one of them", "stands twice")
		default:
			f.attribute(at, m, a.value, v.Field(m.index))
		}
		given[a.name] = true
	}
	for _, m := range shape.attrs {
		if given[m.name] {
			continue
		}
		at := place{n.line, n.name + "@" + m.name}
		f.at[v.Field(m.index).Addr().Interface()] = at
		switch {
		case m.required:
			f.addError(at, fmt.Sprintf("add %s=%q", m.name, m.sample()), "missing")
		case m.defaultValue != "":
			if err := m.set(v.Field(m.index), m.defaultValue); err != nil {
				// a fault of the struct, found by any test of it
				panic("xmlconfig: default of " + at.where + ": " + err.Error())
			}
		}
	}
}

func (f *File) attribute(at place, m member, text string, v reflect.Value) {
	f.at[v.Addr().Interface()] = at
	if err := m.set(v, text); err != nil {
		var bad valueError
		if errors.As(err, &bad) {
			f.addError(at, bad.fix, "%s", bad.what)
			return
		}
		f.addError(at, "write it like "+strconv.Quote(m.sample()), "%q is no %s", text, m.kind())
		return
	}
	if m.key != "" {
		set := f.keys[m.key]
		if set == nil {
			set = map[string]int{}
			f.keys[m.key] = set
		}
		if line, had := set[text]; had {
			f.addError(at, "give it another", "%q is used already, in line %d", text, line)
		} else {
			set[text] = at.line
		}
	}
	if m.ref != "" {
		f.refs = append(f.refs, reference{m.ref, text, at})
	}
}

// resolve looks whether what is referred to is there.
func (f *File) resolve() {
	for _, r := range f.refs {
		if _, ok := f.keys[r.set][r.name]; !ok {
			var names []string
			for name := range f.keys[r.set] {
				names = append(names, name)
			}
			slices.Sort(names)
			fix := "define it"
			if len(names) > 0 {
				fix += ", or use one of " + strings.Join(names[:min(len(names), maxSuggestions)], ", ")
			}
			f.addError(r.at, fix, "there is no %q among the %s of this file", r.name, r.set)
		}
	}
}

// Defaults fills a struct as an element without attributes would. Attributes that have no default keep their values.
func Defaults(to any) {
	v := reflect.ValueOf(to).Elem()
	for _, m := range shapeOf(v.Type()).attrs {
		if m.defaultValue == "" {
			continue
		}
		if err := m.set(v.Field(m.index), m.defaultValue); err != nil {
			panic("xmlconfig: default of " + m.name + ": " + err.Error())
		}
	}
}
