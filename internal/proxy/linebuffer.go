package proxy

import (
	"bytes"

	"spurspread/internal/lineproto"
)

// lineBuffer holds the start of a line back until its end has arrived: a client whose server dies in the middle of a
// line can then still be sent elsewhere.
type lineBuffer struct {
	incomplete  []byte // the start of a line, not forwarded
	passThrough bool   // a line was too long to be held back
}

// completeLines takes bytes from the server and returns the whole lines among them, with what was held back. sentAway
// reports that the server sends the client away; its MOVE is not among the lines, for the client is sent away in a
// form of its own. A line that is longer than a line may be is forwarded as it arrives, with all that follows.
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

// moveLine is where the first MOVE begins among whole lines, -1 where there is none.
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
