package proxy

import (
	"bytes"

	"spurspread/internal/lineproto"
)

// lineBuffer buffers an incomplete line until its end has arrived, so that a client whose server fails in the middle of
// a line has received complete lines only and can still be moved.
type lineBuffer struct {
	incomplete  []byte // received part of a line, not forwarded yet
	passThrough bool   // a line exceeded lineproto.MaxLine: everything is forwarded as it arrives
}

// completeLines takes bytes from the server and returns the complete lines among the buffered and the new bytes.
// movedByServer reports that the server sent MOVE; that line and those after it are not returned, since the proxy sends
// the client its own form of MOVE. Once a line exceeds lineproto.MaxLine, all bytes are returned as they arrive.
func (l *lineBuffer) completeLines(b []byte) (lines []byte, movedByServer bool) {
	if l.passThrough {
		return b, false
	}
	if len(l.incomplete) > 0 {
		b = append(l.incomplete, b...)
		l.incomplete = nil
	}
	end := bytes.LastIndexByte(b, '\n') + 1
	rest := b[end:]
	if len(rest) > lineproto.MaxLine {
		l.passThrough = true
		return b, false
	}
	if len(rest) > 0 {
		l.incomplete = bytes.Clone(rest)
	}
	if at := moveLine(b[:end]); at >= 0 {
		return b[:at], true
	}
	return b[:end], false
}

// moveLine returns the offset, in bytes, of the first MOVE line in a sequence of complete lines; -1 if there is none.
func moveLine(lines []byte) int {
	for at := 0; at < len(lines); {
		n := bytes.IndexByte(lines[at:], '\n') + 1
		line := bytes.TrimRight(lines[at:at+n], lineEnd)
		if verb, _ := lineproto.ParseServerLine(line); verb == lineproto.Move {
			return at
		}
		at += n
	}
	return -1
}
