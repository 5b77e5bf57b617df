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

// node is an element of the file.
type node struct {
	name     string
	line     int
	attrs    []attribute
	children []*node
}

// attribute is an attribute of an element in the file.
type attribute struct {
	name, value string
	line        int
}

// treeBuilder builds the tree of elements from the tokens of a file.
type treeBuilder struct {
	f     *File
	d     Document
	root  *node
	open  []*node // elements that are not closed yet, outermost first
	count int     // number of elements
}

// parse parses the text into nodes and returns the root, or nil if there is none or parsing had to stop. It stops if
// the text is not well-formed XML, is over a limit, or has content that can't belong to this kind of file. After other
// errors it continues, in order to report all of them.
func (f *File) parse(text []byte, d Document) *node {
	if len(text) > maxBytes {
		f.addError(location{line: 1}, "split the file", "the file has %d bytes, over %d", len(text), maxBytes)
		return nil
	}
	dec := xml.NewDecoder(bytes.NewReader(text))
	t := &treeBuilder{f: f, d: d}
	for {
		from := dec.InputOffset()
		line, _ := dec.InputPos()
		tok, err := dec.Token()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			f.addSyntaxError(err, line)
			return nil
		}
		if !t.addToken(tok, text[from:dec.InputOffset()], line) {
			return nil
		}
	}
	if t.root == nil && len(f.errors) == 0 {
		f.addError(
			location{line: 1},
			fmt.Sprintf("begin with <%s xmlns=%q>", d.Root, d.Namespace),
			"the file holds no element",
		)
	}
	return t.root
}

// addToken adds a token, which starts on the given line; raw is its text in the file. It returns false if parsing must
// stop.
func (t *treeBuilder) addToken(tok xml.Token, raw []byte, line int) bool {
	switch tok := tok.(type) {
	case xml.StartElement:
		return t.startElement(tok, raw, line)
	case xml.EndElement:
		t.open = t.open[:len(t.open)-1]
	case xml.CharData:
		t.charData(tok, line)
	case xml.Directive:
		t.f.addError(location{line: line}, "remove it", "a document type is not read")
		return false
	case xml.ProcInst:
		if tok.Target != "xml" {
			t.f.addError(location{line: line}, "remove it", "the instruction <?%s?> is not read", tok.Target)
		}
	}
	return true
}

// startElement adds an element to its parent. It returns false if parsing must stop.
func (t *treeBuilder) startElement(tok xml.StartElement, raw []byte, line int) bool {
	if t.count++; t.count > maxElements || len(t.open) >= maxDepth {
		t.f.addError(
			location{line, tok.Name.Local},
			"reduce the number of elements, or their depth",
			"over %d elements, or %d inside each other",
			maxElements,
			maxDepth,
		)
		return false
	}
	n := &node{name: tok.Name.Local, line: line}
	n.attrs = t.f.locateAttributes(tok, raw, line)
	if tok.Name.Space != t.d.Namespace {
		t.f.addError(location{line, n.name}, fmt.Sprintf("put xmlns=%q on the root element", t.d.Namespace),
			"the element is not of this kind of file")
		if t.root == nil {
			return false
		}
	}
	switch {
	case len(t.open) > 0:
		parent := t.open[len(t.open)-1]
		parent.children = append(parent.children, n)
	case t.root == nil && n.name == t.d.Root:
		t.root = n
	default:
		t.f.addError(
			location{line, n.name},
			fmt.Sprintf("the root element is <%s>, once", t.d.Root),
			"not the root element of this kind of file",
		)
		return false
	}
	t.open = append(t.open, n)
	return true
}

// charData reports text between elements, which is never valid, at the line of its first character that is not white
// space.
func (t *treeBuilder) charData(text xml.CharData, line int) {
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
	t.f.addError(location{line + skipped, where}, "put values into attributes",
		"text %q between elements", truncate(rest))
}

func (f *File) addSyntaxError(err error, line int) {
	var bad *xml.SyntaxError
	if errors.As(err, &bad) {
		f.addError(location{line: bad.Line}, "correct the markup", "not well-formed XML: %s", bad.Msg)
		return
	}
	f.addError(location{line: line}, "save it as UTF-8", "not readable: %v", err)
}

// truncate shortens text that is quoted in an error.
func truncate(b []byte) string {
	if len(b) > 24 {
		return string(b[:24]) + "..."
	}
	return string(b)
}

// locateAttributes returns the attributes of an element with their line numbers. The decoder provides the values but
// not the lines, which are found in the text of the tag. The tag must be well-formed.
func (f *File) locateAttributes(tok xml.StartElement, tag []byte, line int) []attribute {
	var out []attribute
	lines := attributeLines(tag, line)
	for i, a := range tok.Attr {
		if a.Name.Local == "xmlns" || a.Name.Space == "xmlns" {
			continue // a namespace declaration; its effect is in Name.Space of the elements
		}
		at := line
		if i < len(lines) {
			at = lines[i]
		}
		if a.Name.Space != "" {
			f.addError(
				location{at, tok.Name.Local + "@" + a.Name.Local},
				"remove it",
				"attributes of other namespaces are not read",
			)
			continue
		}
		out = append(out, attribute{a.Name.Local, a.Value, at})
	}
	return out
}

// attributeLines returns the line on which each attribute of a tag begins; line is that of the tag.
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
