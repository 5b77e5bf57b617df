package discovery

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
)

const (
	maxHeadBytes   = 4096
	maxObjectBytes = 4 << 20 // of one object of discovery's
)

var (
	ErrMalformedResponse = errors.New("discovery's answer is malformed")
	ErrStatus            = errors.New("discovery refused the call")
)

type parseState uint8

const (
	stateHead parseState = iota
	stateChunkSize
	stateChunk
	stateChunkEnd
	stateTrailer
	stateBody // a body of known length, or one that lasts until the connection ends
	stateComplete
)

// responseParser reads one HTTP/1.1 answer, however its bytes are split, and hands on what the body brings.
type responseParser struct {
	state     parseState
	line      []byte // the head, or the line of a chunk's size or trailer, so far
	remaining int    // bytes of the chunk or the body still to come; below 0 where only the end tells
	onBody    func([]byte)
}

func (r *responseParser) feed(b []byte) error {
	for len(b) > 0 {
		switch r.state {
		case stateHead:
			had := len(r.line)
			r.line = append(r.line, b[:min(len(b), maxHeadBytes-had)]...)
			end := bytes.Index(r.line, []byte("\r\n\r\n"))
			if end < 0 {
				if len(r.line) >= maxHeadBytes {
					return ErrMalformedResponse
				}
				return nil
			}
			b = b[end+4-had:]
			if err := r.parseHead(string(r.line[:end])); err != nil {
				return err
			}
			r.line = r.line[:0]
		case stateChunkSize, stateTrailer:
			i := bytes.IndexByte(b, '\n')
			r.line = append(r.line, b[:max(i, 0)]...)
			if i < 0 {
				r.line = append(r.line, b...)
			}
			if len(r.line) > maxHeadBytes {
				return ErrMalformedResponse
			}
			if i < 0 {
				return nil
			}
			b = b[i+1:]
			if err := r.parseChunkLine(strings.TrimSpace(string(r.line))); err != nil {
				return err
			}
			r.line = r.line[:0]
		case stateChunkEnd:
			if b[0] == '\n' {
				r.state = stateChunkSize
			} else if b[0] != '\r' {
				return ErrMalformedResponse
			}
			b = b[1:]
		case stateChunk, stateBody:
			part := b
			if r.remaining >= 0 {
				part = b[:min(len(b), r.remaining)]
				r.remaining -= len(part)
			}
			b = b[len(part):]
			r.onBody(part)
			if r.remaining == 0 && r.state == stateChunk {
				r.state = stateChunkEnd
			} else if r.remaining == 0 {
				r.state = stateComplete
			}
		case stateComplete:
			return nil
		}
	}
	return nil
}

func (r *responseParser) parseHead(text string) error {
	status, fields, _ := strings.Cut(text, "\r\n")
	words := strings.SplitN(status, " ", 3)
	if len(words) < 2 || !strings.HasPrefix(words[0], "HTTP/1.") {
		return ErrMalformedResponse
	}
	if words[1] != "200" {
		return ErrStatus
	}
	r.state, r.remaining = stateBody, -1
	for _, field := range strings.Split(fields, "\r\n") {
		name, value, _ := strings.Cut(field, ":")
		value = strings.TrimSpace(value)
		switch strings.ToLower(name) {
		case "transfer-encoding":
			if !strings.EqualFold(value, "chunked") {
				return ErrMalformedResponse
			}
			r.state = stateChunkSize
		case "content-length":
			n, err := strconv.Atoi(value)
			if err != nil || n < 0 || n > maxObjectBytes {
				return ErrMalformedResponse
			}
			r.remaining = n
		}
	}
	if r.state == stateBody && r.remaining == 0 {
		r.state = stateComplete
	}
	return nil
}

// parseChunkLine reads the line before a chunk, or one after the last chunk.
func (r *responseParser) parseChunkLine(text string) error {
	if r.state == stateTrailer {
		if text == "" {
			r.state = stateComplete
		}
		return nil
	}
	size, _, _ := strings.Cut(text, ";")
	n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
	if err != nil || n > maxObjectBytes {
		return ErrMalformedResponse
	}
	r.state, r.remaining = stateChunk, int(n)
	if n == 0 {
		r.state = stateTrailer
	}
	return nil
}

// completeAtEOF tells whether the answer is whole if the connection ends here.
func (r *responseParser) completeAtEOF() bool {
	return r.state == stateComplete || r.state == stateBody && r.remaining < 0
}

// nestingScanner follows how deep in braces and brackets a JSON text is, to tell where an object ends that spans lines.
type nestingScanner struct {
	depth             int
	inString, escaped bool
}

// feed takes further bytes and tells whether the object is still open behind them.
func (n *nestingScanner) feed(b []byte) bool {
	for _, c := range b {
		switch {
		case n.escaped:
			n.escaped = false
		case n.inString:
			n.inString, n.escaped = c != '"', c == '\\'
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
