package discovery

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

const (
	maxHeadBytes   = 4096    // of the response's head, and of a chunk's size line
	maxObjectBytes = 4 << 20 // of one JSON object; some ten thousand servers

	headEnd = "\r\n\r\n"

	// untilEOF is the length of a body that lasts until the connection ends.
	untilEOF = -1
)

// parseState is which part of a response comes next.
type parseState uint8

const (
	stateHead parseState = iota
	stateChunkSize
	stateChunk
	stateChunkEnd
	stateTrailer
	stateBody // a body that is not in chunks
	stateComplete
)

// responseParser parses one HTTP/1.1 response, however its bytes are split, and hands on the bytes of its body. It
// understands what discovery sends: a body in chunks, of a known length, or until the connection ends.
type responseParser struct {
	state     parseState
	line      []byte       // what has come of the head, or of the line of a chunk's size or trailer
	remaining int          // bytes of the chunk or body still to come, or untilEOF
	onBody    func([]byte) // called with each part of the body
}

// feed parses further bytes. What follows a complete response is ignored. It returns ErrStatus or
// ErrMalformedResponse, after which the parser must not be used.
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
			return nil, malformed("head over %d bytes", maxHeadBytes)
		}
		return nil, nil
	}
	if err := r.parseHead(string(r.line[:end])); err != nil {
		return nil, err
	}
	r.line = r.line[:0]
	return b[end+len(headEnd)-before:], nil
}

// feedLine takes the line before a chunk, or one of the trailer.
func (r *responseParser) feedLine(b []byte) ([]byte, error) {
	end := bytes.IndexByte(b, '\n')
	if end < 0 {
		r.line = append(r.line, b...)
	} else {
		r.line = append(r.line, b[:end]...)
	}
	if len(r.line) > maxHeadBytes {
		return nil, malformed("chunk line over %d bytes", maxHeadBytes)
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

// feedChunkEnd takes a byte of the line end behind a chunk.
func (r *responseParser) feedChunkEnd(b []byte) ([]byte, error) {
	switch b[0] {
	case '\n':
		r.state = stateChunkSize
	case '\r':
	default:
		return nil, malformed("byte %q behind a chunk", b[0])
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

// endBody follows the last byte of a chunk, or of a body of known length.
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
		return malformed("status line %.40q", statusLine)
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

// parseField reads the header fields that determine the body's length.
func (r *responseParser) parseField(name, value string) error {
	switch name {
	case "transfer-encoding":
		if !strings.EqualFold(value, "chunked") {
			return malformed("transfer encoding %.40q", value)
		}
		r.state = stateChunkSize
	case "content-length":
		length, err := strconv.Atoi(value)
		if err != nil || length < 0 || length > maxObjectBytes {
			return malformed("content length %.40q", value)
		}
		r.remaining = length
	}
	return nil
}

// parseLine reads the line before a chunk, or one of the trailer, which ends with an empty line.
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
		return malformed("chunk size %.40q", size)
	}
	r.state = stateChunk
	r.remaining = int(length)
	if length == 0 {
		r.state = stateTrailer
	}
	return nil
}

// completeAtEOF reports whether the response is complete where the connection ends now.
func (r *responseParser) completeAtEOF() bool {
	return r.state == stateComplete || r.state == stateBody && r.remaining == untilEOF
}

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: "+format, append([]any{ErrMalformedResponse}, args...)...)
}
