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

// maxPendingLines is the number of lines of the peer that may wait until the stream answers them.
const maxPendingLines = 16

// conn is one connection with plain lines, or one channel. One goroutine serves it, and another reads its lines.
type conn struct {
	node       *Node
	channel    *sshchan.Channel // nil: a connection with plain lines
	recorded   *recorder.Conn
	received   chan string        // lines of the peer
	peerClosed chan struct{}      // closed once the peer has ended its side or read has given up
	moveAfter  chan time.Duration // receives the wait after which the client is moved
	request    proto.Open
	clientID   string    // identifies the client and its stream
	claim      resume.ID // the claimed token; zero: none
	sendBuffer []byte    // used by the serving goroutine only
}

// read sends the peer's lines to received until the peer's end, or until a line has waited for firstLineTimeout.
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

// write writes lines. While the node hangs it waits.
func (c *conn) write(text string) {
	c.node.running.Wait()
	_, _ = c.recorded.Write([]byte(text)) // after an error the reader sees the connection's end
}

// answer sends the answer to the first line: as a line, or by confirming or refusing the channel.
func (c *conn) answer(text string) {
	if c.channel == nil {
		c.write(text + "\r\n")
		return
	}
	c.node.running.Wait()
	c.recorded.RecordLine(text, true)
	word, _, _ := strings.Cut(text, " ")
	switch word {
	case wordUp:
		_ = c.channel.Confirm(text)
	case wordBusy:
		_ = c.channel.Refuse(sshchan.ResourceShortage, text)
	default:
		_ = c.channel.Refuse(sshchan.ConnectFailed, text)
	}
}

// move asks the client to reconnect elsewhere.
func (c *conn) move() {
	if c.channel == nil {
		c.write(wordMove + "\r\n")
		return
	}
	c.node.running.Wait()
	c.recorded.RecordLine(wordMove, true)
	_ = c.channel.Move("")
}

// serve serves a connection or channel until its end. firstLine is the first line of a channel; a connection with plain
// lines sends it as its first line other than PING.
func (n *Node) serve(c *conn, firstLine string) {
	c.received = make(chan string, maxPendingLines)
	c.peerClosed = make(chan struct{})
	c.moveAfter = make(chan time.Duration, 1)
	if !n.add(c) {
		_ = c.recorded.Reset()
		return
	}
	defer n.remove(c)
	if c.channel != nil {
		c.recorded.RecordLine(firstLine, false)
		c.answerOpen(firstLine)
		return
	}
	go c.read()
	if line, ok := c.awaitFirstLine(); ok {
		c.answerOpen(line)
	}
}

// add registers a connection. It reports false if the node was killed.
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
	if n.streams[c.clientID] == c {
		delete(n.streams, c.clientID)
	}
	n.mu.Unlock()
	_ = c.recorded.Close()
}

// awaitFirstLine answers pings and returns the first other line. ok is false if the connection ended, or if no line
// arrived within firstLineTimeout.
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

// answerOpen answers a first line, and serves the stream if it is admitted.
func (c *conn) answerOpen(text string) {
	var err error
	if c.request, err = proto.ParseOpen(text); err != nil {
		c.answer(wordErr)
		return
	}
	if c.admit() {
		c.stream()
	}
}

// takesTokens reports whether the client presented a resume token or asked for one.
func (c *conn) takesTokens() bool { return c.request.WantsToken || c.request.Token != "" }

// admit establishes the stream, or answers the first line with a refusal. It reports whether the stream is established.
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
	time.Sleep(n.cfg.SetUpTime)
	n.running.Wait()
	select {
	case <-c.peerClosed: // the client has given up; its claim is released below
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

// mustRefuse reports whether the node refuses the stream: it is draining, and the client does not say by at= that its
// stream is at this node already.
func (c *conn) mustRefuse() bool {
	c.node.mu.Lock()
	defer c.node.mu.Unlock()
	return c.node.draining && c.request.At == ""
}

// callSessionStore makes the session call that an open without a token requires.
func (c *conn) callSessionStore() error {
	timeout := min(storeTimeout, time.Duration(c.request.DeadlineMillis)*time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return c.node.session.Call(ctx)
}

// establish makes this the client's established connection. If the open has a token, an older connection of the same
// client is closed.
func (c *conn) establish() {
	n := c.node
	c.clientID = fmt.Sprintf("%x %s %s %s", c.request.Key, c.request.Class, c.request.Group, c.request.Owner)
	n.mu.Lock()
	older := n.streams[c.clientID]
	n.streams[c.clientID] = c
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

// scheduleMove schedules the client's move: at once, or after DrainPatience if the client takes tokens. The caller
// holds the node's mutex.
func (c *conn) scheduleMove() {
	wait := time.Duration(0)
	if c.takesTokens() {
		wait = c.node.cfg.DrainPatience
	}
	select {
	case c.moveAfter <- wait:
	default:
	}
}

// stream answers that the stream is established, sends messages when they are due, and answers the peer's lines. It
// returns when the peer ends the stream, the client is moved, or a write fails.
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

// upLine returns the answer to an admitted client. For a client that takes tokens, it includes the number of the
// message after which the stream continues.
func (c *conn) upLine(cursor uint64) string {
	line := fmt.Sprintf("%s %x", wordUp, c.request.Key)
	if c.takesTokens() {
		line += fmt.Sprintf(" from=%d", cursor)
	}
	return line
}

// resumeCursor returns the number of the message after which the stream continues: the client's cursor, or the last
// message of the index if the client has none. A cursor of 0 counts as none if the client asks for a token. If messages
// after the client's cursor are no longer retained, the stream continues later, and the client learns that from the
// answer's from=.
func (c *conn) resumeCursor() uint64 {
	index := c.node.cfg.Index
	key := c.request.Key
	now := time.Now()
	oldest := index.OldestCursor(key, now)
	head := index.Head(key, now)
	if !c.request.HasCursor || c.request.Cursor == 0 && c.request.WantsToken {
		return head
	}
	return max(c.request.Cursor, oldest)
}

// injectFault changes the cursor of a resumed stream if the node has the fault SkipMessage or RepeatMessage.
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

// sendDue sends the messages after the cursor that are due, at most maxBatch, in one write. It returns the new cursor.
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
		lines = index.AppendMessage(lines, key, cursor)
	}
	c.sendBuffer = lines
	if len(lines) == 0 {
		return cursor, nil
	}
	_, err := c.recorded.Write(lines)
	return cursor, err
}
