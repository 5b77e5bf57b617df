package node

import (
	"bufio"
	"context"
	"fmt"
	"strings"
	"time"

	"spurspread/decision/resume"
	"spurspread/lab/proto"
	"spurspread/lab/recorder"
	"spurspread/lab/sshchan"
)

// Words of the protocol's answers.
const (
	wordUp   = "UP"
	wordBusy = "BUSY"
	wordMove = "MOVE"
	wordErr  = "ERR"
)

// receivedLines is how many lines of the peer wait until the stream answers them.
const receivedLines = 16

// conn is one connection with plain lines, or one channel. A goroutine serves it, and another reads its lines.
type conn struct {
	node       *Node
	channel    *sshchan.Channel // nil for a connection of its own
	recorded   *recorder.Conn
	received   chan string        // lines of the peer
	peerClosed chan struct{}      // closed once the peer has ended its side
	moveAfter  chan time.Duration // at most one wait after which the client is moved
	request    proto.Open
	client     string    // identifies the client whose stream it is
	claim      resume.ID // of its token; zero: none
	sendBuffer []byte    // of the stream's goroutine only
}

// read passes the peer's lines on until its end, or until one has not been taken for firstLineTimeout.
func (c *conn) read() {
	defer close(c.peerClosed)
	reader := bufio.NewReaderSize(c.recorded, maxLineBytes)
	for {
		text, err := reader.ReadSlice('\n')
		if err != nil {
			return
		}
		select {
		case c.received <- string(text[:max(len(text)-len("\r\n"), 0)]):
		case <-time.After(firstLineTimeout):
			return
		}
	}
}

// write writes lines, unless the node hangs: then it waits.
func (c *conn) write(text string) {
	c.node.running.Wait()
	_, _ = c.recorded.Write([]byte(text)) // the reader sees an error as the connection's end
}

// answer answers the first line: with a line, or by confirming or refusing the channel.
func (c *conn) answer(text string) {
	if c.channel == nil {
		c.write(text + "\r\n")
		return
	}
	c.node.running.Wait()
	c.recorded.Note(text, true)
	word, _, _ := strings.Cut(text, " ")
	switch word {
	case wordUp:
		_ = c.channel.Confirm(text)
	case wordBusy:
		_ = c.channel.Refuse(sshchan.Shortage, text)
	default:
		_ = c.channel.Refuse(sshchan.Failed, text)
	}
}

// move makes the client reconnect elsewhere.
func (c *conn) move() {
	if c.channel == nil {
		c.write(wordMove + "\r\n")
		return
	}
	c.node.running.Wait()
	c.recorded.Note(wordMove, true)
	_ = c.channel.Move("")
}

// serve serves a connection until its end. firstLine is a channel's; a connection with plain lines sends its own.
func (n *Node) serve(c *conn, firstLine string) {
	c.received = make(chan string, receivedLines)
	c.peerClosed = make(chan struct{})
	c.moveAfter = make(chan time.Duration, 1)
	if !n.add(c) {
		_ = c.recorded.Reset()
		return
	}
	defer n.remove(c)
	if c.channel != nil {
		c.recorded.Note(firstLine, false)
		c.answerOpen(firstLine)
		return
	}
	go c.read()
	if line, ok := c.awaitFirstLine(); ok {
		c.answerOpen(line)
	}
}

// add notes a connection; a killed node has none.
func (n *Node) add(c *conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.conns[c] = true
	return true
}

func (n *Node) remove(c *conn) {
	n.mu.Lock()
	delete(n.conns, c)
	if n.streams[c.client] == c {
		delete(n.streams, c.client)
	}
	n.mu.Unlock()
	_ = c.recorded.Close()
}

// awaitFirstLine answers pings until the first other line. It gives up at the connection's end, or if nothing comes
// within firstLineTimeout.
func (c *conn) awaitFirstLine() (line string, ok bool) {
	for {
		select {
		case text := <-c.received:
			if text != "PING" {
				return text, true
			}
			c.write("PONG\r\n")
		case <-c.peerClosed:
			return "", false
		case <-time.After(firstLineTimeout):
			return "", false
		}
	}
}

// answerOpen answers a first line, and runs the stream if it is admitted.
func (c *conn) answerOpen(text string) {
	var err error
	if c.request, err = proto.Parse(text); err != nil {
		c.answer(wordErr)
		return
	}
	if c.admit() {
		c.stream()
	}
}

// takesTokens reports whether the client has a resume token or wants one.
func (c *conn) takesTokens() bool { return c.request.WantsToken || c.request.Token != "" }

// admit decides whether the stream is established. If it is not, the first line has been answered.
func (c *conn) admit() bool {
	n := c.node
	n.running.Wait()
	if reason := c.claimToken(); reason != resume.Accepted {
		c.answer("STALE " + reason.String())
		return false
	}
	refused := c.mustRefuse()
	if !refused && c.request.Token == "" && c.request.At == "" {
		if err := c.callSessionStore(); err != nil {
			c.answer(wordErr)
			return false
		}
	}
	time.Sleep(n.cfg.SetUp)
	n.running.Wait()
	select {
	case <-c.peerClosed: // the client gave up, and its token can be used again
		refused = true
	default:
	}
	if refused {
		c.releaseClaim()
		c.answer(wordBusy)
		return false
	}
	c.establish()
	return true
}

// mustRefuse reports whether the node takes no new stream: it drains, and the client was not at this node before the
// run.
func (c *conn) mustRefuse() bool {
	c.node.mu.Lock()
	defer c.node.mu.Unlock()
	return c.node.draining && c.request.At == ""
}

// callSessionStore makes the session call that a client without a token costs.
func (c *conn) callSessionStore() error {
	timeout := min(storeTimeout, time.Duration(c.request.DeadlineMillis)*time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return c.node.session.Call(ctx)
}

// establish makes this the client's connection. With a token, an older connection of the same client is closed.
func (c *conn) establish() {
	n := c.node
	c.client = fmt.Sprintf("%x %s %s %s", c.request.Key, c.request.Class, c.request.Group, c.request.Owner)
	n.mu.Lock()
	older := n.streams[c.client]
	n.streams[c.client] = c
	if c.claim != (resume.ID{}) {
		n.registry.Established(c.claim)
	}
	if n.draining {
		c.scheduleMove()
	}
	n.mu.Unlock()
	if older != nil && c.request.Token != "" && n.cfg.Fault != ForgetClaims {
		_ = older.recorded.Close()
	}
}

// scheduleMove has the client moved: now, or after the node's patience if it takes tokens. The caller holds the
// node's mutex.
func (c *conn) scheduleMove() {
	wait := time.Duration(0)
	if c.takesTokens() {
		wait = c.node.cfg.Patience
	}
	select {
	case c.moveAfter <- wait:
	default:
	}
}

// stream answers that the stream is established, sends messages when they are due, answers the peer's lines, and ends
// when the peer ends it or the client is moved.
func (c *conn) stream() {
	cursor := c.resumeCursor()
	c.answer(c.upLine(cursor))
	if c.channel != nil {
		go c.read()
	}
	defer c.closeClaim()
	cursor = c.injectFault(cursor)
	var move <-chan time.Time
	due := time.NewTimer(0)
	defer due.Stop()
	for {
		select {
		case <-c.peerClosed:
			return
		case wait := <-c.moveAfter:
			move = time.After(wait)
		case <-move:
			c.move()
			return
		case text := <-c.received:
			c.write("OK " + text + "\r\n")
		case <-due.C:
			var err error
			if cursor, err = c.sendDue(cursor); err != nil {
				return
			}
			next := c.node.cfg.Index.Due(c.request.Key, cursor+1)
			due.Reset(max(time.Until(next), 0))
		}
	}
}

// upLine is the answer to an admitted client; one that takes tokens is given the message after which the stream
// continues.
func (c *conn) upLine(cursor uint64) string {
	line := fmt.Sprintf("%s %x", wordUp, c.request.Key)
	if c.takesTokens() {
		line += fmt.Sprintf(" from=%d", cursor)
	}
	return line
}

// resumeCursor is the message after which the stream continues: the client's cursor, or the head of the node's copy
// of the index if it has none. A client whose cursor is no longer retained sees it by the answer's from=.
func (c *conn) resumeCursor() uint64 {
	index := c.node.cfg.Index
	key := c.request.Key
	now := time.Now()
	floor := index.Floor(key, now)
	head := index.Head(key, now)
	if !c.request.HasCursor || c.request.Cursor == 0 && c.request.WantsToken {
		return head
	}
	return max(c.request.Cursor, floor)
}

// injectFault changes the cursor of a continued stream where the node has an injected fault.
func (c *conn) injectFault(cursor uint64) uint64 {
	if c.request.Token == "" {
		return cursor
	}
	switch c.node.cfg.Fault {
	case SkipMessage:
		cursor++
	case RepeatMessage:
		cursor = max(cursor, 1) - 1
	}
	return cursor
}

// sendDue sends the messages after the cursor that are due, maxBatch at most, in one write. It returns the last one's
// number.
func (c *conn) sendDue(cursor uint64) (uint64, error) {
	index := c.node.cfg.Index
	key := c.request.Key
	c.node.running.Wait()
	now := time.Now()
	lines := c.sendBuffer[:0]
	for range maxBatch {
		if index.Due(key, cursor+1).After(now) {
			break
		}
		cursor++
		lines = index.Line(lines, key, cursor)
	}
	c.sendBuffer = lines
	if len(lines) == 0 {
		return cursor, nil
	}
	_, err := c.recorded.Write(lines)
	return cursor, err
}
