package discovery

// nestingScanner tracks the nesting depth of braces and brackets in JSON text, to find the end of an object that spans
// several lines.
type nestingScanner struct {
	depth             int
	inString, escaped bool
}

// feed scans the next bytes and reports whether the object is still open after them.
func (n *nestingScanner) feed(b []byte) (open bool) {
	for _, c := range b {
		switch {
		case n.escaped:
			n.escaped = false
		case n.inString:
			n.inString = c != '"'
			n.escaped = c == '\\'
		case c == '"':
			n.inString = true
		case c == '{' || c == '[':
			n.depth++
		case c == '}' || c == ']':
			n.depth--
		}
	}
	return n.depth > 0
}
