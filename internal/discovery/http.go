package discovery

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
)

const (
	maxHead = 4096
	maxBody = 4 << 20 // of one object of discovery's
)

var (
	errHTTP   = errors.New("discovery's answer is malformed")
	errStatus = errors.New("discovery refused the call")
)

type stage uint8

const (
	inHead stage = iota
	inSize
	inChunk
	inChunkEnd
	inTrailer
	inRest // a body of known length, or one that lasts until the connection ends
	atEnd
)

// response reads one HTTP/1.1 answer, however its bytes are split, and hands on what the body brings.
type response struct {
	stage stage
	line  []byte // the head, or the line of a chunk's size or trailer, so far
	left  int    // bytes of the chunk or the body still to come; below 0 where only the end tells
	body  func([]byte)
}

func (r *response) feed(b []byte) error {
	for len(b) > 0 {
		switch r.stage {
		case inHead:
			had := len(r.line)
			r.line = append(r.line, b[:min(len(b), maxHead-had)]...)
			end := bytes.Index(r.line, []byte("\r\n\r\n"))
			if end < 0 {
				if len(r.line) >= maxHead {
					return errHTTP
				}
				return nil
			}
			b = b[end+4-had:]
			if err := r.head(string(r.line[:end])); err != nil {
				return err
			}
			r.line = r.line[:0]
		case inSize, inTrailer:
			i := bytes.IndexByte(b, '\n')
			r.line = append(r.line, b[:max(i, 0)]...)
			if i < 0 {
				r.line = append(r.line, b...)
			}
			if len(r.line) > maxHead {
				return errHTTP
			}
			if i < 0 {
				return nil
			}
			b = b[i+1:]
			if err := r.sizeLine(strings.TrimSpace(string(r.line))); err != nil {
				return err
			}
			r.line = r.line[:0]
		case inChunkEnd:
			if b[0] == '\n' {
				r.stage = inSize
			} else if b[0] != '\r' {
				return errHTTP
			}
			b = b[1:]
		case inChunk, inRest:
			part := b
			if r.left >= 0 {
				part = b[:min(len(b), r.left)]
				r.left -= len(part)
			}
			b = b[len(part):]
			r.body(part)
			if r.left == 0 && r.stage == inChunk {
				r.stage = inChunkEnd
			} else if r.left == 0 {
				r.stage = atEnd
			}
		case atEnd:
			return nil
		}
	}
	return nil
}

func (r *response) head(text string) error {
	status, fields, _ := strings.Cut(text, "\r\n")
	words := strings.SplitN(status, " ", 3)
	if len(words) < 2 || !strings.HasPrefix(words[0], "HTTP/1.") {
		return errHTTP
	}
	if words[1] != "200" {
		return errStatus
	}
	r.stage, r.left = inRest, -1
	for _, field := range strings.Split(fields, "\r\n") {
		name, value, _ := strings.Cut(field, ":")
		value = strings.TrimSpace(value)
		switch strings.ToLower(name) {
		case "transfer-encoding":
			if !strings.EqualFold(value, "chunked") {
				return errHTTP
			}
			r.stage = inSize
		case "content-length":
			n, err := strconv.Atoi(value)
			if err != nil || n < 0 || n > maxBody {
				return errHTTP
			}
			r.left = n
		}
	}
	if r.stage == inRest && r.left == 0 {
		r.stage = atEnd
	}
	return nil
}

// sizeLine reads the line before a chunk, or one after the last chunk.
func (r *response) sizeLine(text string) error {
	if r.stage == inTrailer {
		if text == "" {
			r.stage = atEnd
		}
		return nil
	}
	size, _, _ := strings.Cut(text, ";")
	n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
	if err != nil || n > maxBody {
		return errHTTP
	}
	r.stage, r.left = inChunk, int(n)
	if n == 0 {
		r.stage = inTrailer
	}
	return nil
}

// complete tells whether the answer is whole if the connection ends here.
func (r *response) complete() bool { return r.stage == atEnd || r.stage == inRest && r.left < 0 }

// nesting follows how deep in braces and brackets a JSON text is, to tell where an object ends that spans lines.
type nesting struct {
	depth          int
	inText, escape bool
}

// feed takes further bytes and tells whether the object is still open behind them.
func (n *nesting) feed(b []byte) bool {
	for _, c := range b {
		switch {
		case n.escape:
			n.escape = false
		case n.inText:
			n.inText, n.escape = c != '"', c == '\\'
		case c == '"':
			n.inText = true
		case c == '{' || c == '[':
			n.depth++
		case c == '}' || c == ']':
			n.depth--
		}
	}
	return n.depth > 0
}
