package node

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"spurspread/decision/resume"
	"spurspread/internal/token"
	"spurspread/lab/proto"
	"spurspread/lab/recorder"
	"spurspread/lab/sshchan"
	"strings"
	"time"
)

// conn is one connection, or one channel.
type conn struct {
	node        *Node
	channel       *sshchan.Channel // nil for a connection of its own
	recorded *recorder.Conn
	received    chan string   // what the other side sends
	peerClosed    chan struct{} // closed once it has ended its side
	moveAfter     chan time.Duration
	request     proto.Open
	client      string // whom it is for
	claim    resume.ID
	established       bool   // under the node's mutex
	sendBuffer      []byte // of messages that are sent; flow's only
}

func (c *conn) read() {
	defer close(c.peerClosed)
	rd := bufio.NewReaderSize(c.recorded, maxLineBytes)
	for {
		text, err := rd.ReadSlice('\n')
		if err != nil {
			return
		}
		select {
		case c.received <- string(text[:max(len(text)-2, 0)]):
		case <-time.After(firstLineTimeout): // it is not read any more
			return
		}
	}
}

func (c *conn) write(text string) {
	c.node.running.Pass()
	_, _ = c.recorded.Write([]byte(text)) // an error shows as the end
}

// answer answers the first line, in the form that the connection has.
func (c *conn) answer(text string) {
	if c.channel == nil {
		c.write(text + "\r\n")
		return
	}
	c.node.running.Pass()
	c.recorded.Note(text, true)
	word, _, _ := strings.Cut(text, " ")
	switch word {
	case "UP":
		_ = c.channel.Confirm(text)
	case "BUSY":
		_ = c.channel.Refuse(sshchan.Shortage, text)
	default:
		_ = c.channel.Refuse(sshchan.Failed, text)
	}
}

// move sends the client away.
func (c *conn) move() {
	if c.channel == nil {
		c.write("MOVE\r\n")
		return
	}
	c.node.running.Pass()
	c.recorded.Note("MOVE", true)
	_ = c.channel.Move("")
}

// serve lives with a connection until its end. A channel brings its first line with it.
func (n *Node) serve(c *conn, first string) {
	c.received, c.peerClosed, c.moveAfter = make(chan string, 16), make(chan struct{}), make(chan time.Duration, 1)
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		_ = c.recorded.Reset()
		return
	}
	n.conns[c] = true
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		delete(n.conns, c)
		if n.streams[c.client] == c {
			delete(n.streams, c.client)
		}
		n.mu.Unlock()
		_ = c.recorded.Close()
	}()
	if c.channel != nil {
		c.recorded.Note(first, false)
		c.answerOpen(first)
		return
	}
	go c.read()
	for {
		select {
		case text := <-c.received:
			if text == "PING" {
				c.write("PONG\r\n")
				continue
			}
			c.answerOpen(text)
			return
		case <-c.peerClosed:
			return
		case <-time.After(firstLineTimeout):
			return
		}
	}
}

// answerOpen answers a first line, and lets the stream flow.
func (c *conn) answerOpen(text string) {
	var err error
	if c.request, err = proto.Parse(text); err != nil {
		c.answer("ERR")
		return
	}
	if c.admit() {
		c.stream()
	}
}

// admit answers the first line, unless the connection stands.
func (c *conn) admit() bool {
	n, o := c.node, &c.request
	n.running.Pass()
	if why := c.claimToken(); why != resume.Accepted {
		c.answer("STALE " + why.String())
		return false
	}
	n.mu.Lock()
	refuse := n.draining && o.At == "" || n.cfg.MaxConnections > 0 && len(n.conns) > n.cfg.MaxConnections
	n.mu.Unlock()
	if !refuse && o.Token == "" && o.At == "" {
		ctx, stop := context.WithTimeout(
			context.Background(),
			min(storeTimeout, time.Duration(o.Millis)*time.Millisecond),
		)
		err := n.session.Call(ctx)
		stop()
		if err != nil {
			c.answer("ERR")
			return false
		}
	}
	time.Sleep(n.cfg.SetUp)
	n.running.Pass()
	select {
	case <-c.peerClosed: // it is not wanted any more, and its token is as good as before
		refuse = true
	default:
	}
	if refuse {
		c.releaseClaim()
		c.answer("BUSY")
		return false
	}
	c.establish()
	return true
}

// claimToken looks at the token, if there is one.
func (c *conn) claimToken() resume.Reason {
	n, o := c.node, &c.request
	if o.Token == "" || n.ring == nil {
		return resume.Accepted
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	var t token.Token
	switch err := n.ring.Open([]byte(o.Token), &t); {
	case err == nil:
	case errors.Is(err, token.ErrUnknownKey):
		return resume.UnknownKey
	case errors.Is(err, token.ErrForged):
		return resume.Forged
	default:
		return resume.Malformed
	}
	now := time.Now()
	r := resume.Grant{
		ID: resume.ID(t.ID), IssuedAt: resume.UnixMillis(t.IssuedAt), ExpiresAt: resume.UnixMillis(t.ExpiresAt),
		Class: string(t.Class), Key: t.Key, Group: t.Group, Tenant: t.Tenant, LastDelivered: t.LastSequence,
		Server:          string(t.Server),
		ServerStartedAt: resume.UnixMillis(t.ServerStarted),
	}
	// Group and owner are words of whatever form to this node; the balancer has compared them with the token.
	l := resume.StreamRequest{Class: o.Class, Key: o.Key, Group: t.Group, Tenant: t.Tenant, Cursor: o.Cursor}
	log := resume.StreamLog{OldestCursor: n.cfg.Index.Floor(o.Key, now.Add(-n.cfg.Lag))}
	if n.cfg.Fault == ForgetClaims {
		n.registry = resume.NewRegistry(n.cfg.ID, n.started, clockSkew, maxClaims)
	}
	why := n.registry.Claim(unixMillis(now), &r, &l, log, n.draining)
	if why == resume.Accepted {
		c.claim = r.ID
	}
	return why
}

func (c *conn) releaseClaim() {
	c.node.mu.Lock()
	defer c.node.mu.Unlock()
	if c.claim != (resume.ID{}) {
		c.node.registry.Release(c.claim)
	}
}

// establish lets the connection stand, and ends an older one that is for the same client.
func (c *conn) establish() {
	n := c.node
	c.client = fmt.Sprintf("%x %s %s %s", c.request.Key, c.request.Class, c.request.Group, c.request.Owner)
	n.mu.Lock()
	older := n.streams[c.client]
	n.streams[c.client] = c
	c.established = true
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

// scheduleMove has a connection moved, now or after the node's patience; under the node's mutex.
func (c *conn) scheduleMove() {
	wait := time.Duration(0)
	if c.request.WantsToken || c.request.Token != "" {
		wait = c.node.cfg.Patience
	}
	select {
	case c.moveAfter <- wait:
	default:
	}
}

// stream sends messages as they fall due, answers what comes, and ends when either side wants it.
func (c *conn) stream() {
	cursor := c.resumeCursor()
	if c.request.WantsToken || c.request.Token != "" {
		c.answer(fmt.Sprintf("UP %x from=%d", c.request.Key, cursor))
	} else {
		c.answer(fmt.Sprintf("UP %x", c.request.Key))
	}
	if c.channel != nil {
		go c.read()
	}
	defer c.endClaim()
	cursor = c.injectFault(cursor)
	var goes <-chan time.Time
	due := time.NewTimer(0)
	defer due.Stop()
	for {
		select {
		case <-c.peerClosed:
			return
		case wait := <-c.moveAfter:
			goes = time.After(wait)
		case <-goes:
			c.move()
			return
		case text := <-c.received:
			c.write("OK " + text + "\r\n")
		case <-due.C:
			var err error
			if cursor, err = c.sendDue(cursor); err != nil {
				return
			}
			next := c.node.cfg.Index.Due(c.request.Key, cursor+1).Add(c.node.cfg.Lag)
			due.Reset(max(time.Until(next), 0))
		}
	}
}

// resumeCursor is the message after which the stream goes on: the client's cursor, or the head of the node's copy of the
// index where it has none. A client whose cursor is no more kept sees where it goes on by the answer's from=.
func (c *conn) resumeCursor() uint64 {
	x, key, now := c.node.cfg.Index, c.request.Key, time.Now().Add(-c.node.cfg.Lag)
	floor, head := x.Floor(key, now), x.Head(key, now)
	if !c.request.Cur || c.request.Cursor == 0 && c.request.WantsToken {
		return head
	}
	return max(c.request.Cursor, floor)
}

// injectFault moves the cursor of a continued stream where the node has a fault on purpose.
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

// sendDue sends the messages after the cursor that are due, backlogMax at most, in one go. It returns the last one's
// number.
func (c *conn) sendDue(cursor uint64) (uint64, error) {
	x, key := c.node.cfg.Index, c.request.Key
	c.node.running.Pass()
	now := time.Now().Add(-c.node.cfg.Lag)
	buf := c.sendBuffer[:0]
	for range maxBatch {
		if x.Due(key, cursor+1).After(now) {
			break
		}
		cursor++
		buf = x.Line(buf, key, cursor)
	}
	c.sendBuffer = buf
	if len(buf) == 0 {
		return cursor, nil
	}
	_, err := c.recorded.Write(buf)
	return cursor, err
}

// endClaim notes that the connection which a token was claimed for has ended.
func (c *conn) endClaim() {
	c.node.mu.Lock()
	defer c.node.mu.Unlock()
	if c.claim != (resume.ID{}) {
		c.node.registry.Closed(c.claim)
	}
}
