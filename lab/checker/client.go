package checker

import (
	"bytes"
	"time"

	"spurspread/lab/proto"
	"spurspread/lab/recorder"
)

// moveWord begins the line by which a client is moved. A token may follow it.
const moveWord = "MOVE"

// AfterToken is the prefix of reasons for opens without a token by clients that had presented a token before.
const AfterToken = "token, then "

// clientConn is the checker's state of a connection on the client's side.
type clientConn struct {
	key         uint64
	hasToken    bool   // the open presented a token
	established bool   // set once, and kept when the connection ends
	lost        bool   // it was established, and has ended or was moved
	lastLine    string // the final answer, or MOVE; "": none yet
}

// endReason returns how the connection ended, as the reason for the client's next open. what describes the end; it is
// preceded by AfterToken if the client had presented a token.
func (k *clientConn) endReason(what string) string {
	if k.hasToken {
		return AfterToken + what
	}
	return what
}

// observeClient handles an event on the client's side of a connection.
func (c *Checker) observeClient(e recorder.Event) {
	k := c.clients[e.Conn]
	switch {
	case e.Sent && k == nil && !e.End:
		c.clientOpened(e)
	case k == nil || e.Sent:
	case e.End:
		c.clientEnded(e, k)
		delete(c.clients, e.Conn)
	case !k.established:
		c.clientAnswered(e, k)
	default:
		c.clientReceived(e, k)
	}
}

// clientOpened records an open and the reason why the client sent it.
func (c *Checker) clientOpened(e recorder.Event) {
	o, err := proto.ParseOpen(string(e.Line))
	if err != nil {
		return
	}
	s := c.streamOf(o.Key)
	c.clients[e.Conn] = &clientConn{key: o.Key, hasToken: o.Token != ""}
	reason := s.lastEnd
	switch {
	case o.Token != "":
		reason = "token"
	case !s.started && reason == "":
		reason = "first"
	}
	c.openReasons[o.ID] = reason
	if o.Token == "" {
		c.current.StartOvers[reason]++
	}
}

// clientAnswered records the answer to a client's open.
func (c *Checker) clientAnswered(e recorder.Event, k *clientConn) {
	text := string(e.Line)
	answer := proto.ParseAnswer(text)
	if k.hasToken {
		words := answer.Word
		if answer.Word == "STALE" {
			words = text
		}
		c.current.Answers[words]++
	}
	if answer.Word != "UP" {
		k.lastLine = text
		if answer.Word != "BUSY" {
			c.streamOf(k.key).lastEnd = k.endReason(text)
		}
		return
	}
	c.clientEstablished(e, k, answer)
}

// clientEstablished records that a client's connection is established, and the message after which the stream
// continues.
func (c *Checker) clientEstablished(e recorder.Event, k *clientConn, answer proto.Answer) {
	k.established = true
	s := c.streamOf(k.key)
	if !s.started {
		s.cursor = answer.From
		s.cursorUnknown = !answer.Numbered
	} else if answer.Numbered && answer.From > s.cursor {
		c.current.AnnouncedGaps += int(answer.From - s.cursor)
		s.cursor = answer.From
	}
	if !s.interruptedAt.IsZero() {
		c.current.Gaps = append(c.current.Gaps, e.At.Sub(s.interruptedAt))
		c.current.Reestablished = append(c.current.Reestablished, e.At)
		s.interruptedAt = time.Time{}
	}
	s.started = true
	s.established++
}

// clientReceived records a line that follows UP: a move, or a message. Other lines, which answer the client's own
// lines, are ignored.
func (c *Checker) clientReceived(e recorder.Event, k *clientConn) {
	if bytes.HasPrefix(e.Line, []byte(moveWord)) {
		c.clientMoved(e, k)
		return
	}
	if len(e.Line) == 0 || e.Line[0] != '#' {
		return
	}
	n, ok := proto.MessageNumber(e.Line)
	if !ok {
		c.current.Corrupt++
		return
	}
	if !c.isMessage(e, k.key, n) {
		c.current.Corrupt++
	}
	c.current.Messages++
	s := c.streamOf(k.key)
	if s.cursorUnknown {
		s.cursor = n - 1
		s.cursorUnknown = false
	}
	if n <= s.cursor {
		c.current.Repeated++
		return
	}
	c.current.Lost += int(n - s.cursor - 1)
	s.cursor = n
	c.recordDelay(s, e.At, e.At.Sub(c.index.Due(k.key, n)))
}

// isMessage reports whether the line of e is message n of the stream, and was due when it arrived.
func (c *Checker) isMessage(e recorder.Event, key, n uint64) bool {
	c.expectedLine = c.index.AppendMessage(c.expectedLine[:0], key, n)
	expected := bytes.TrimSuffix(c.expectedLine, []byte("\r\n"))
	return bytes.Equal(expected, e.Line) && !c.index.Due(key, n).After(e.At)
}

// clientMoved records that a client was moved, with or without a token.
func (c *Checker) clientMoved(e recorder.Event, k *clientConn) {
	c.current.Moves++
	if len(e.Line) > len(moveWord)+len(" ") {
		c.current.TokensIssued++
	}
	k.lastLine = moveWord
	if len(e.Line) == len(moveWord) {
		c.streamOf(k.key).lastEnd = "MOVE without a token"
	}
	c.connectionLost(e, k)
}

// recordDelay records the delay of a stream's message since it was due, and the gap since the previous message if the
// stream is watched.
func (c *Checker) recordDelay(s *stream, at time.Time, delay time.Duration) {
	c.current.Delays = append(c.current.Delays, delay)
	if !s.watched {
		return
	}
	watched := &c.current.Watched
	watched.Delays = append(watched.Delays, delay)
	if !s.lastMessageAt.IsZero() {
		watched.Gap = max(watched.Gap, at.Sub(s.lastMessageAt))
	}
	s.lastMessageAt = at
}

// connectionLost records, once for each connection, that it is no longer established.
func (c *Checker) connectionLost(e recorder.Event, k *clientConn) {
	if !k.established || k.lost {
		return
	}
	k.lost = true
	s := c.streamOf(k.key)
	s.established--
	if s.established == 0 {
		s.interruptedAt = e.At
	}
	if s.watched {
		c.current.Watched.Ends++
	}
}

// clientEnded records the end of a client's connection.
func (c *Checker) clientEnded(e recorder.Event, k *clientConn) {
	if k.lastLine == "" {
		s := c.streamOf(k.key)
		s.lastEnd = k.endReason("end without an answer")
		if k.established {
			s.lastEnd = "end without MOVE"
		}
		if k.hasToken {
			c.current.Answers["end"]++
		}
	}
	c.connectionLost(e, k)
}
