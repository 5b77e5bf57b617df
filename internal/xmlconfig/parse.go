package xmlconfig

import (
	"bytes"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"strings"
	"unicode"
)

// node is one element as it stands in the file.
type node struct {
	name     string
	line     int
	attrs    []attribute
	children []*node
}

type attribute struct {
	name, value string
	line        int
}

// tree is the document as far as it was read.
type tree struct {
	f     *File
	d     Document
	root  *node
	open  []*node // elements whose end has not come, outermost first
	count int     // of elements
}

// parse reads the text into nodes. What is no well-formed XML ends it; all else is noted and read on.
func (f *File) parse(text []byte, d Document) *node {
	if len(text) > maxBytes {
		f.addError(place{line: 1}, "split it", "the file has %d bytes, over %d", len(text), maxBytes)
		return nil
	}
	dec := xml.NewDecoder(bytes.NewReader(text))
	t := &tree{f: f, d: d}
	for {
		from := dec.InputOffset()
		line, _ := dec.InputPos()
		tok, err := dec.Token()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			f.syntax(err, line)
			return nil
		}
		if !t.take(tok, text[from:dec.InputOffset()], line) {
			return nil
		}
	}
	if t.root == nil && len(f.errors) == 0 {
		f.addError(
			place{line: 1},
			fmt.Sprintf("begin with <%s xmlns=%q>", d.Root, d.Namespace),
			"the file holds no element",
		)
	}
	return t.root
}

// take adds a token, which begins on a line and is written as raw. It returns false where nothing more is to be read.
func (t *tree) take(tok xml.Token, raw []byte, line int) bool {
	switch tok := tok.(type) {
	case xml.StartElement:
		return t.begin(tok, raw, line)
	case xml.EndElement:
		t.open = t.open[:len(t.open)-1]
	case xml.CharData:
		t.chars(tok, line)
	case xml.Directive:
		t.f.addError(place{line: line}, "remove it", "a document type is not read")
		return false
	case xml.ProcInst:
		if tok.Target != "xml" {
			t.f.addError(place{line: line}, "remove it", "the instruction <?%s?> is not read", tok.Target)
		}
	}
	return true
}

// begin adds an element to the one that it stands in. It returns false where nothing more is to be read.
func (t *tree) begin(tok xml.StartElement, raw []byte, line int) bool {
	if t.count++; t.count > maxElements || len(t.open) >= maxDepth {
		t.f.addError(
			place{line, tok.Name.Local},
			"make it smaller",
			"over %d elements, or %d inside each other",
			maxElements,
			maxDepth,
		)
		return false
	}
	n := &node{name: tok.Name.Local, line: line}
	n.attrs = t.f.located(tok, raw, line)
	if tok.Name.Space != t.d.Namespace {
		t.f.addError(place{line, n.name}, fmt.Sprintf("put xmlns=%q on the root element", t.d.Namespace),
			"the element is not of this kind of file")
		if t.root == nil {
			return false
		}
	}
	switch {
	case len(t.open) > 0:
		outer := t.open[len(t.open)-1]
		outer.children = append(outer.children, n)
	case t.root == nil && n.name == t.d.Root:
		t.root = n
	default:
		t.f.addError(
			place{line, n.name},
			fmt.Sprintf("the root element is <%s>, once", t.d.Root),
			"not the root element of this kind of file",
		)
		return false
	}
	t.open = append(t.open, n)
	return true
}

// chars notes text between elements, which no file has, at the line of its first character that is not white space.
func (t *tree) chars(text xml.CharData, line int) {
	rest := bytes.TrimSpace(text)
	if len(rest) == 0 {
		return
	}
	leading := len(text) - len(bytes.TrimLeftFunc(text, unicode.IsSpace))
	skipped := bytes.Count(text[:leading], []byte("\n"))
	where := ""
	if len(t.open) > 0 {
		where = t.open[len(t.open)-1].name
	}
	t.f.addError(place{line + skipped, where}, "put values into attributes", "text %q between elements", short(rest))
}

func (f *File) syntax(err error, line int) {
	var bad *xml.SyntaxError
	if errors.As(err, &bad) {
		f.addError(place{line: bad.Line}, "correct the markup", "not well-formed XML: %s", bad.Msg)
		return
	}
	f.addError(place{line: line}, "save it as UTF-8", "not readable: %v", err)
}

func short(b []byte) string {
	if len(b) > 24 {
		return string(b[:24]) + "..."
	}
	return string(b)
}

// located gives the attributes of an element with their lines, from the raw text of its tag, which is well-formed.
// The decoder resolves what their values hold, but does not say where they stand.
func (f *File) located(tok xml.StartElement, tag []byte, line int) []attribute {
	var out []attribute
	lines := attributeLines(tag, line)
	for i, a := range tok.Attr {
		if a.Name.Local == "xmlns" || a.Name.Space == "xmlns" {
			continue // what it declares shows in the names of elements
		}
		at := line
		if i < len(lines) {
			at = lines[i]
		}
		if a.Name.Space != "" {
			f.addError(
				place{at, tok.Name.Local + "@" + a.Name.Local},
				"remove it",
				"attributes of other namespaces are not read",
			)
			continue
		}
		out = append(out, attribute{a.Name.Local, a.Value, at})
	}
	return out
}

// attributeLines tells on which line each attribute of a tag begins.
func attributeLines(tag []byte, line int) []int {
	var lines []int
	for i := 0; i < len(tag); i++ {
		switch c := tag[i]; c {
		case '\n':
			line++
		case '=':
			lines = append(lines, line)
			open := i + 1 + bytes.IndexAny(tag[i+1:], `"'`)
			if open <= i {
				return lines
			}
			line += bytes.Count(tag[i:open], []byte("\n"))
			size := bytes.IndexByte(tag[open+1:], tag[open])
			if size < 0 {
				return lines
			}
			line += strings.Count(string(tag[open:open+1+size]), "\n")
			i = open + 1 + size
		}
	}
	return lines
}
