package xmlconfig

import (
	"bytes"
	"encoding/xml"
	"fmt"
	"reflect"
	"strings"
)

// Schema returns the XSD 1.0 schema of the files that Read parses into a struct of the same type as of; doc is the
// documentation of the schema. The schema accepts every file that Read accepts. It also accepts some that Read rejects,
// because it can't express the bounds of values with units, the rules of Checkers, or that a file named in it exists.
func Schema(d Document, of any, doc string) []byte {
	w := &writer{}
	t := reflect.TypeOf(of)
	w.line(`<?xml version="1.0" encoding="UTF-8"?>`)
	w.open(
		`<xs:schema xmlns:xs="http://www.w3.org/2001/XMLSchema" xmlns:f=%q targetNamespace=%q `+
			`elementFormDefault="qualified">`,
		d.Namespace,
		d.Namespace,
	)
	w.doc(doc)
	w.open(`<xs:element name=%q>`, d.Root)
	w.complexType(t)
	w.identityConstraints(t)
	w.close("xs:element")
	w.close("xs:schema")
	return w.buf.Bytes()
}

// writer writes indented XML.
type writer struct {
	buf   bytes.Buffer
	depth int
}

func (w *writer) line(format string, args ...any) {
	w.buf.WriteString(strings.Repeat("  ", w.depth))
	fmt.Fprintf(&w.buf, format, args...)
	w.buf.WriteByte('\n')
}

func (w *writer) open(format string, args ...any) {
	w.line(format, args...)
	w.depth++
}

func (w *writer) close(name string) {
	w.depth--
	w.line("</%s>", name)
}

func (w *writer) doc(text string) {
	if text == "" {
		return
	}
	var escaped bytes.Buffer
	_ = xml.EscapeText(&escaped, []byte(text)) // a bytes.Buffer never fails
	w.line("<xs:annotation><xs:documentation>%s</xs:documentation></xs:annotation>", escaped.String())
}

func (w *writer) complexType(t reflect.Type) {
	spec := elementSpecOf(t)
	w.open("<xs:complexType>")
	if len(spec.children) > 0 {
		repeated := spec.children[0].repeated
		for _, m := range spec.children {
			if m.repeated != repeated {
				panic("form: " + t.String() + " mixes single and repeated elements")
			}
		}
		group := "xs:all"
		if repeated {
			group = "xs:choice"
			minOccurs := 0
			if len(spec.children) == 1 {
				minOccurs = spec.children[0].minCount
			}
			w.open(`<xs:choice minOccurs="%d" maxOccurs="unbounded">`, minOccurs)
		} else {
			w.open("<xs:all>")
		}
		for _, m := range spec.children {
			minOccurs := ""
			if !repeated && !m.required {
				minOccurs = ` minOccurs="0"`
			}
			w.open(`<xs:element name=%q%s>`, m.name, minOccurs)
			w.doc(m.doc)
			w.complexType(m.structType())
			w.close("xs:element")
		}
		w.close(group)
	}
	for _, m := range spec.attrs {
		w.attribute(m)
	}
	w.close("xs:complexType")
}

func (w *writer) attribute(m fieldSpec) {
	use := ""
	switch {
	case m.required:
		use = ` use="required"`
	case m.defaultValue != "":
		use = fmt.Sprintf(" default=%q", m.defaultValue)
	}
	w.open(`<xs:attribute name=%q%s>`, m.name, use)
	doc := m.doc
	if m.min != "" || m.max != "" {
		doc = strings.TrimSpace(doc + " (" + m.boundsText() + ")")
	}
	w.doc(doc)
	w.open("<xs:simpleType>")
	// The schema can express the bounds of integers, but not those of values with units.
	if m.typ.Kind() == reflect.Int {
		w.open(`<xs:restriction base="xs:integer">`)
		for _, b := range [][2]string{{"xs:minInclusive", m.min}, {"xs:maxInclusive", m.max}} {
			if b[1] != "" {
				w.line("<%s value=%q/>", b[0], b[1])
			}
		}
	} else {
		w.open(`<xs:restriction base="xs:string">`)
	}
	var escaped bytes.Buffer
	_ = xml.EscapeText(&escaped, []byte(m.pattern()))
	w.line(`<xs:pattern value="%s"/>`, escaped.String())
	w.close("xs:restriction")
	w.close("xs:simpleType")
	w.close("xs:attribute")
}

// identityConstraints writes the constraints for the key and ref tags: names that must be unique in the file, and
// references to them.
func (w *writer) identityConstraints(root reflect.Type) {
	keys, refs := map[string][]string{}, map[string][]string{}
	var order []string
	var walk func(t reflect.Type, path string)
	walk = func(t reflect.Type, path string) {
		spec := elementSpecOf(t)
		for _, m := range spec.attrs {
			for _, set := range []struct {
				name string
				to   map[string][]string
			}{{m.key, keys}, {m.ref, refs}} {
				if set.name == "" {
					continue
				}
				if len(keys[set.name])+len(refs[set.name]) == 0 {
					order = append(order, set.name)
				}
				set.to[set.name] = append(set.to[set.name], path+"\x00"+m.name)
			}
		}
		for _, m := range spec.children {
			at := "f:" + m.name
			if path != "" {
				at = path + "/" + at
			}
			walk(m.structType(), at)
		}
	}
	walk(root, "")
	for _, set := range order {
		w.identityConstraint("key", set, "", joinPaths(set, keys[set]))
		for i, r := range refs[set] {
			w.identityConstraint("keyref", fmt.Sprintf("%s-%d", set, i+1), fmt.Sprintf(` refer="f:%s"`, set), r)
		}
	}
}

// joinPaths combines the XPath expressions of all elements that define names of a set. All must define them by the same
// attribute. A place is an XPath, a zero byte and the name of the attribute.
func joinPaths(set string, places []string) string {
	if len(places) == 0 {
		panic("form: nothing defines " + set)
	}
	var paths []string
	var attr string
	for _, p := range places {
		path, name, _ := strings.Cut(p, "\x00")
		if attr != "" && name != attr {
			panic("form: " + set + " must be defined by attributes of one name")
		}
		paths, attr = append(paths, path), name
	}
	return strings.Join(paths, "|") + "\x00" + attr
}

func (w *writer) identityConstraint(kind, name, more, at string) {
	path, field, _ := strings.Cut(at, "\x00")
	w.open("<xs:%s name=%q%s>", kind, name, more)
	w.line("<xs:selector xpath=%q/>", path)
	w.line(`<xs:field xpath="@%s"/>`, field)
	w.close("xs:" + kind)
}
