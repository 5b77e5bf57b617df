package discovery

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

const (
	maxHeadBytes   = 4096    // limit for the response head, a chunk's size line and a trailer line
	maxObjectBytes = 4 << 20 // limit for one JSON object; enough for about ten thousand servers

	headEnd = "\r\n\r\n"

	// untilEOF stands for the length of a body that ends with the connection.
	untilEOF = -1
)

// parseState is the part of a response that is parsed next.
type parseState uint8

const (
	stateHead parseState = iota
	stateChunkSize
	stateChunk
	stateChunkEnd
	stateTrailer
	stateBody // a body without chunked encoding
	stateComplete
)

// responseParser parses one HTTP/1.1 response incrementally, in parts of any size, and passes on the bytes of its body.
// The body may be chunked, have a content length, or end with the connection.
type responseParser struct {
	state     parseState
	line      []byte       // received part of the head, or of a chunk size or trailer line
	remaining int          // bytes left of the chunk or body, or untilEOF
	onBody    func([]byte) // called with each part of the body
}

// feed parses the next bytes. Bytes after a complete response are ignored. After an error, which wraps ErrStatus or
// ErrMalformedResponse, the parser must not be used any more.
func (r *responseParser) feed(b []byte) error {
	for len(b) > 0 && r.state != stateComplete {
		var err error
		if b, err = r.step(b); err != nil {
			return err
		}
	}
	return nil
}

// step consumes at least one byte of b and returns the rest.
func (r *responseParser) step(b []byte) ([]byte, error) {
	switch r.state {
	case stateHead:
		return r.feedHead(b)
	case stateChunkSize, stateTrailer:
		return r.feedLine(b)
	case stateChunkEnd:
		return r.feedChunkEnd(b)
	default:
		return r.feedBody(b), nil
	}
}

func (r *responseParser) feedHead(b []byte) ([]byte, error) {
	before := len(r.line)
	r.line = append(r.line, b[:min(len(b), maxHeadBytes-before)]...)
	end := bytes.Index(r.line, []byte(headEnd))
	if end < 0 {
		if len(r.line) >= maxHeadBytes {
			return nil, malformed("head longer than %d bytes", maxHeadBytes)
		}
		return nil, nil
	}
	if err := r.parseHead(string(r.line[:end])); err != nil {
		return nil, err
	}
	r.line = r.line[:0]
	return b[end+len(headEnd)-before:], nil
}

// feedLine parses part of a chunk size line or trailer line.
func (r *responseParser) feedLine(b []byte) ([]byte, error) {
	end := bytes.IndexByte(b, '\n')
	if end < 0 {
		r.line = append(r.line, b...)
	} else {
		r.line = append(r.line, b[:end]...)
	}
	if len(r.line) > maxHeadBytes {
		return nil, malformed("chunk line longer than %d bytes", maxHeadBytes)
	}
	if end < 0 {
		return nil, nil
	}
	if err := r.parseLine(strings.TrimSpace(string(r.line))); err != nil {
		return nil, err
	}
	r.line = r.line[:0]
	return b[end+1:], nil
}

// feedChunkEnd parses one byte of the line end after a chunk.
func (r *responseParser) feedChunkEnd(b []byte) ([]byte, error) {
	switch b[0] {
	case '\n':
		r.state = stateChunkSize
	case '\r':
	default:
		return nil, malformed("unexpected byte %q after a chunk", b[0])
	}
	return b[1:], nil
}

func (r *responseParser) feedBody(b []byte) []byte {
	part := b
	if r.remaining != untilEOF {
		part = b[:min(len(b), r.remaining)]
		r.remaining -= len(part)
	}
	r.onBody(part)
	if r.remaining == 0 {
		r.endBody()
	}
	return b[len(part):]
}

// endBody is called after the last byte of a chunk, or of a body with a content length.
func (r *responseParser) endBody() {
	if r.state == stateChunk {
		r.state = stateChunkEnd
	} else {
		r.state = stateComplete
	}
}

func (r *responseParser) parseHead(text string) error {
	statusLine, fields, _ := strings.Cut(text, "\r\n")
	words := strings.SplitN(statusLine, " ", 3)
	if len(words) < 2 || !strings.HasPrefix(words[0], "HTTP/1.") {
		return malformed("invalid status line %.40q", statusLine)
	}
	if words[1] != "200" {
		return fmt.Errorf("%w: status %.40q", ErrStatus, words[1])
	}
	r.state = stateBody
	r.remaining = untilEOF
	for _, field := range strings.Split(fields, "\r\n") {
		name, value, _ := strings.Cut(field, ":")
		if err := r.parseField(strings.ToLower(name), strings.TrimSpace(value)); err != nil {
			return err
		}
	}
	if r.state == stateBody && r.remaining == 0 {
		r.state = stateComplete
	}
	return nil
}

// parseField parses a header field, if it determines the length of the body.
func (r *responseParser) parseField(name, value string) error {
	switch name {
	case "transfer-encoding":
		if !strings.EqualFold(value, "chunked") {
			return malformed("unsupported transfer encoding %.40q", value)
		}
		r.state = stateChunkSize
	case "content-length":
		length, err := strconv.Atoi(value)
		if err != nil || length < 0 || length > maxObjectBytes {
			return malformed("invalid or too large content length %.40q", value)
		}
		r.remaining = length
	}
	return nil
}

// parseLine parses a chunk size line, or a line of the trailer, which ends with an empty line.
func (r *responseParser) parseLine(text string) error {
	if r.state == stateTrailer {
		if text == "" {
			r.state = stateComplete
		}
		return nil
	}
	size, _, _ := strings.Cut(text, ";")
	length, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
	if err != nil || length > maxObjectBytes {
		return malformed("invalid or too large chunk size %.40q", size)
	}
	r.state = stateChunk
	r.remaining = int(length)
	if length == 0 {
		r.state = stateTrailer
	}
	return nil
}

// completeAtEOF reports whether the response is complete if the connection ends now.
func (r *responseParser) completeAtEOF() bool {
	return r.state == stateComplete || r.state == stateBody && r.remaining == untilEOF
}

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: "+format, append([]any{ErrMalformedResponse}, args...)...)
}
