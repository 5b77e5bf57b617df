package discovery

// nestingScanner counts how deep in braces and brackets a JSON text is, to find the end of an object that spans lines.
type nestingScanner struct {
	depth             int
	inString, escaped bool
}

// feed scans further bytes and reports whether the object is still open behind them.
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
