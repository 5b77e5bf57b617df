package xmlconfig

import (
	"bytes"
	"encoding/xml"
	"fmt"
	"reflect"
	"strings"
)

// Schema writes the XSD 1.0 schema of the documents that Read fills structs like of from. It refuses no file that Read
// accepts; what it can't say (bounds of values with units, rules of Checkers, files that are named) is left to Read.
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
	w.complex(t)
	w.identities(t)
	w.close("xs:element")
	w.close("xs:schema")
	return w.buf.Bytes()
}

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
	_ = xml.EscapeText(&escaped, []byte(text)) // a buffer takes all
	w.line("<xs:annotation><xs:documentation>%s</xs:documentation></xs:annotation>", escaped.String())
}

func (w *writer) complex(t reflect.Type) {
	s := shapeOf(t)
	w.open("<xs:complexType>")
	if len(s.children) > 0 {
		many := s.children[0].repeated
		for _, m := range s.children {
			if m.repeated != many {
				panic("form: " + t.String() + " mixes single and repeated elements")
			}
		}
		group := "xs:all"
		if many {
			group = "xs:choice"
			least := 0
			if len(s.children) == 1 {
				least = s.children[0].minCount
			}
			w.open(`<xs:choice minOccurs="%d" maxOccurs="unbounded">`, least)
		} else {
			w.open("<xs:all>")
		}
		for _, m := range s.children {
			least := ""
			if !many && !m.required {
				least = ` minOccurs="0"`
			}
			w.open(`<xs:element name=%q%s>`, m.name, least)
			w.doc(m.doc)
			w.complex(m.inner())
			w.close("xs:element")
		}
		w.close(group)
	}
	for _, m := range s.attrs {
		w.attribute(m)
	}
	w.close("xs:complexType")
}

func (w *writer) attribute(m member) {
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
		doc = strings.TrimSpace(doc + " (" + m.span() + ")")
	}
	w.doc(doc)
	w.open("<xs:simpleType>")
	// Whole numbers have their bounds in the schema, too; of values with units it can't know the size.
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

// identities writes what must be unique in the file, and what must name something in it.
func (w *writer) identities(root reflect.Type) {
	keys, refs := map[string][]string{}, map[string][]string{}
	var order []string
	var walk func(t reflect.Type, path string)
	walk = func(t reflect.Type, path string) {
		s := shapeOf(t)
		for _, m := range s.attrs {
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
		for _, m := range s.children {
			at := "f:" + m.name
			if path != "" {
				at = path + "/" + at
			}
			walk(m.inner(), at)
		}
	}
	walk(root, "")
	for _, set := range order {
		w.identity("key", set, "", union(set, keys[set]))
		for i, r := range refs[set] {
			w.identity("keyref", fmt.Sprintf("%s-%d", set, i+1), fmt.Sprintf(` refer="f:%s"`, set), r)
		}
	}
}

// union is one place for several that define names of one set, each by the same attribute.
func union(set string, places []string) string {
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

func (w *writer) identity(kind, name, more, at string) {
	path, field, _ := strings.Cut(at, "\x00")
	w.open("<xs:%s name=%q%s>", kind, name, more)
	w.line("<xs:selector xpath=%q/>", path)
	w.line(`<xs:field xpath="@%s"/>`, field)
	w.close("xs:" + kind)
}
