// Package xmlconfig reads XML configuration files strictly into Go structs, and writes the schema (XSD 1.0) of the same
// structs, so that reader and schema can't drift apart. It does not depend on the meaning of any file.
//
// A struct describes an element. The xml tag of a field says whether it is an attribute or a child element:
//
//	Life  xmlconfig.Duration `xml:"life,attr" default:"60s" min:"1s" max:"10m" doc:"how long a token lasts"`
//	Use   string             `xml:"use,attr" enum:"mint,accept" use:"required"`
//	ID    xmlconfig.Name     `xml:"id,attr" use:"required" key:"keys"` // unique in the set "keys" of the file
//	By    xmlconfig.Name     `xml:"by,attr" ref:"keys"`                // must be in that set
//	Drain Drain              `xml:"drain"`                             // must be present
//	Trace *Trace             `xml:"trace"`                             // may be present once
//	Keys  []*Key             `xml:"key" most:"8" least:"1"`            // repeated, 1 to 8 times
//
// The children of an element are either all single, in any order, or all repeated, because XSD 1.0 can't express a
// mixture in any order. An absent attribute has its default, or the zero value if it has no default.
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

// Limits of a file. A file over a limit is rejected early, so that it takes little memory and time.
const (
	maxBytes       = 8 << 20
	maxDepth       = 16
	maxElements    = 200_000
	maxErrors      = 100
	maxSuggestions = 8 // names that the error about a reference suggests
)

// FieldError is one error in a file.
type FieldError struct {
	File  string
	Line  int
	Where string // the element, and the attribute if the error concerns one: "key@file"
	What  string // the problem
	Fix   string // how to correct it
}

// Error returns one line with file, line number, element, problem and correction.
func (f FieldError) Error() string {
	where := ""
	if f.Where != "" {
		where = f.Where + ": "
	}
	return fmt.Sprintf("%s:%d: %s%s; %s", f.File, f.Line, where, f.What, f.Fix)
}

// FieldErrors holds all errors of a file, ordered by line.
type FieldErrors []FieldError

// Error returns one line for each error.
func (f FieldErrors) Error() string {
	lines := make([]string, len(f))
	for i, one := range f {
		lines[i] = one.Error()
	}
	return strings.Join(lines, "\n")
}

// Checker is implemented by structs with rules that tags can't express. Check is called after the whole file was read
// without errors, for inner elements first. It reports errors with File.AddError.
type Checker interface{ Check(f *File) }

// File is a file while it is being read.
type File struct {
	Name      string
	errors    FieldErrors
	locations map[any]location          // by the address of the filled field or struct
	keys      map[string]map[string]int // line of each name, by set
	refs      []reference
	checks    []Checker
}

// location is a position in the file.
type location struct {
	line  int
	where string // as FieldError.Where
}

// reference is the value of an attribute that must be a name in a set.
type reference struct {
	set, name string
	at        location
}

// Load reads the file at path into to, like Read. Errors of the file system are returned unchanged.
func Load(path string, d Document, to any) error {
	info, err := os.Stat(path)
	if err == nil && info.Size() > maxBytes {
		what := fmt.Sprintf("the file has %d bytes, over %d", info.Size(), maxBytes)
		return FieldErrors{{File: path, Line: 1, What: what, Fix: "split the file"}}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return Read(path, text, d, to)
}

// Document describes a kind of file by the name of its root element and the namespace.
type Document struct{ Root, Namespace string }

// Read parses text into to, a pointer to a struct with zero values; name is the file's name in errors. The error, of
// type FieldErrors, holds all problems found, up to a limit. After an error the struct is undefined.
func Read(name string, text []byte, d Document, to any) error {
	f := &File{Name: name, locations: map[any]location{}, keys: map[string]map[string]int{}}
	if root := f.parse(text, d); root != nil {
		f.fill(root, reflect.ValueOf(to).Elem())
		f.checkReferences()
		if len(f.errors) == 0 { // rules rely on valid values
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

// AddError adds an error about a field or struct that was filled, given by its address. what, formatted with args, is
// the problem, and fix the correction.
func (f *File) AddError(field any, fix, what string, args ...any) {
	f.addError(f.locations[field], fix, what, args...)
}

func (f *File) addError(at location, fix, what string, args ...any) {
	if len(f.errors) < maxErrors {
		f.errors = append(f.errors, FieldError{f.Name, max(at.line, 1), at.where, fmt.Sprintf(what, args...), fix})
	}
}

// fill reads an element into the struct v.
func (f *File) fill(n *node, v reflect.Value) {
	here := location{n.line, n.name}
	f.locations[v.Addr().Interface()] = here
	spec := elementSpecOf(v.Type())
	f.fillAttributes(n, spec, v)
	seen := map[string]int{}
	for _, child := range n.children {
		m, ok := spec.child(child.name)
		if !ok {
			f.addError(
				location{child.line, child.name},
				suggest("remove it, or use", spec.childNames()),
				"unknown element inside <%s>",
				n.name,
			)
			continue
		}
		seen[child.name]++
		if !m.repeated && seen[child.name] > 1 {
			f.addError(location{child.line, child.name}, "remove all but one", "stands twice inside <%s>", n.name)
			continue
		}
		f.fill(child, m.childStruct(v))
	}
	for _, m := range spec.children {
		switch count := seen[m.name]; {
		case m.required && count == 0, count < m.minCount:
			f.addError(
				here,
				fmt.Sprintf("add <%s>", m.name),
				"has %d of the elements <%s>, at least %d %s needed",
				count,
				m.name,
				max(m.minCount, 1),
				plural(max(m.minCount, 1), "is", "are"),
			)
		case m.maxCount > 0 && count > m.maxCount:
			f.addError(here, "remove some", "has %d elements <%s>, over %d", count, m.name, m.maxCount)
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

// suggest returns the fix for an unknown name: verb with the valid names, or removal if there are none.
func suggest(verb string, names []string) string {
	if len(names) == 0 {
		return "remove it"
	}
	return verb + " " + strings.Join(names, ", ")
}

// fillAttributes reads the attributes of an element into v, and sets the defaults of absent ones.
func (f *File) fillAttributes(n *node, spec *elementSpec, v reflect.Value) {
	given := map[string]bool{}
	for _, a := range n.attrs {
		at := location{a.line, n.name + "@" + a.name}
		m, ok := spec.attr(a.name)
		switch {
		case !ok:
			f.addError(at, suggest("remove it, or use", spec.attrNames()), "unknown attribute")
		case given[a.name]:
			f.addError(at, "remove all but one", "stands twice")
		default:
			f.fillAttribute(at, m, a.value, v.Field(m.index))
		}
		given[a.name] = true
	}
	for _, m := range spec.attrs {
		if given[m.name] {
			continue
		}
		at := location{n.line, n.name + "@" + m.name}
		f.locations[v.Field(m.index).Addr().Interface()] = at
		switch {
		case m.required:
			f.addError(at, fmt.Sprintf("add %s=%q", m.name, m.sample()), "missing")
		case m.defaultValue != "":
			if err := m.set(v.Field(m.index), m.defaultValue); err != nil {
				// an error in the tags of the struct, which any test that reads it finds
				panic("xmlconfig: default of " + at.where + ": " + err.Error())
			}
		}
	}
}

// fillAttribute reads the value of one attribute into its field v.
func (f *File) fillAttribute(at location, m fieldSpec, text string, v reflect.Value) {
	f.locations[v.Addr().Interface()] = at
	if err := m.set(v, text); err != nil {
		var bad valueError
		if errors.As(err, &bad) {
			f.addError(at, bad.fix, "%s", bad.what)
			return
		}
		f.addError(at, "write it like "+strconv.Quote(m.sample()), "%q is no %s", text, m.description())
		return
	}
	if m.key != "" {
		set := f.keys[m.key]
		if set == nil {
			set = map[string]int{}
			f.keys[m.key] = set
		}
		if line, duplicate := set[text]; duplicate {
			f.addError(at, "use another value", "%q is used already, in line %d", text, line)
		} else {
			set[text] = at.line
		}
	}
	if m.ref != "" {
		f.refs = append(f.refs, reference{m.ref, text, at})
	}
}

// checkReferences reports references to names that the file does not define.
func (f *File) checkReferences() {
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

// Defaults sets the attributes of a struct that have defaults, and leaves all others unchanged. to is a pointer to the
// struct.
func Defaults(to any) {
	v := reflect.ValueOf(to).Elem()
	for _, m := range elementSpecOf(v.Type()).attrs {
		if m.defaultValue == "" {
			continue
		}
		if err := m.set(v.Field(m.index), m.defaultValue); err != nil {
			panic("xmlconfig: default of " + m.name + ": " + err.Error())
		}
	}
}
