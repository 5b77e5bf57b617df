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
	n        *Node
	ch       *sshchan.Channel // nil for a connection of its own
	recorded *recorder.Conn
	lines    chan string   // what the other side sends
	ended    chan struct{} // closed once it has ended its side
	away     chan time.Duration
	open     proto.Open
	who      string // whom it is for
	claim    resume.ID
	up       bool   // under the node's mutex
	buf      []byte // of messages that are sent; flow's only
}

func (c *conn) read() {
	defer close(c.ended)
	rd := bufio.NewReaderSize(c.recorded, maxLine)
	for {
		text, err := rd.ReadSlice('\n')
		if err != nil {
			return
		}
		select {
		case c.lines <- string(text[:max(len(text)-2, 0)]):
		case <-time.After(headTime): // it is not read any more
			return
		}
	}
}

func (c *conn) say(text string) {
	c.n.awake.Pass()
	_, _ = c.recorded.Write([]byte(text)) // an error shows as the end
}

// answer answers the first line, in the form that the connection has.
func (c *conn) answer(text string) {
	if c.ch == nil {
		c.say(text + "\r\n")
		return
	}
	c.n.awake.Pass()
	c.recorded.Note(text, true)
	word, _, _ := strings.Cut(text, " ")
	switch word {
	case "UP":
		_ = c.ch.Confirm(text)
	case "BUSY":
		_ = c.ch.Refuse(sshchan.Shortage, text)
	default:
		_ = c.ch.Refuse(sshchan.Failed, text)
	}
}

// move sends the client away.
func (c *conn) move() {
	if c.ch == nil {
		c.say("MOVE\r\n")
		return
	}
	c.n.awake.Pass()
	c.recorded.Note("MOVE", true)
	_ = c.ch.Move("")
}

// serve lives with a connection until its end. A channel brings its first line with it.
func (n *Node) serve(c *conn, first string) {
	c.lines, c.ended, c.away = make(chan string, 16), make(chan struct{}), make(chan time.Duration, 1)
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
		if n.streams[c.who] == c {
			delete(n.streams, c.who)
		}
		n.mu.Unlock()
		_ = c.recorded.Close()
	}()
	if c.ch != nil {
		c.recorded.Note(first, false)
		c.begin(first)
		return
	}
	go c.read()
	for {
		select {
		case text := <-c.lines:
			if text == "PING" {
				c.say("PONG\r\n")
				continue
			}
			c.begin(text)
			return
		case <-c.ended:
			return
		case <-time.After(headTime):
			return
		}
	}
}

// begin answers a first line, and lets the stream flow.
func (c *conn) begin(text string) {
	var err error
	if c.open, err = proto.Parse(text); err != nil {
		c.answer("ERR")
		return
	}
	if c.admit() {
		c.flow()
	}
}

// admit answers the first line, unless the connection stands.
func (c *conn) admit() bool {
	n, o := c.n, &c.open
	n.awake.Pass()
	if why := c.present(); why != resume.Accepted {
		c.answer("STALE " + why.String())
		return false
	}
	n.mu.Lock()
	refuse := n.draining && o.At == "" || n.cfg.MaxConnections > 0 && len(n.conns) > n.cfg.MaxConnections
	n.mu.Unlock()
	if !refuse && o.Token == "" && o.At == "" {
		ctx, stop := context.WithTimeout(
			context.Background(),
			min(storeTime, time.Duration(o.Millis)*time.Millisecond),
		)
		err := n.session.Call(ctx)
		stop()
		if err != nil {
			c.answer("ERR")
			return false
		}
	}
	time.Sleep(n.cfg.SetUp)
	n.awake.Pass()
	select {
	case <-c.ended: // it is not wanted any more, and its token is as good as before
		refuse = true
	default:
	}
	if refuse {
		c.release()
		c.answer("BUSY")
		return false
	}
	c.stand()
	return true
}

// present looks at the token, if there is one.
func (c *conn) present() resume.Reason {
	n, o := c.n, &c.open
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
	if n.cfg.Fault == ForgetAll {
		n.keeper = resume.NewRegistry(n.cfg.ID, n.started, skew, claims)
	}
	why := n.keeper.Claim(millis(now), &r, &l, log, n.draining)
	if why == resume.Accepted {
		c.claim = r.ID
	}
	return why
}

func (c *conn) release() {
	c.n.mu.Lock()
	defer c.n.mu.Unlock()
	if c.claim != (resume.ID{}) {
		c.n.keeper.Release(c.claim)
	}
}

// stand lets the connection stand, and ends an older one that is for the same client.
func (c *conn) stand() {
	n := c.n
	c.who = fmt.Sprintf("%x %s %s %s", c.open.Key, c.open.Class, c.open.Group, c.open.Owner)
	n.mu.Lock()
	older := n.streams[c.who]
	n.streams[c.who] = c
	c.up = true
	if c.claim != (resume.ID{}) {
		n.keeper.Established(c.claim)
	}
	if n.draining {
		c.sendAway()
	}
	n.mu.Unlock()
	if older != nil && c.open.Token != "" && n.cfg.Fault != ForgetAll {
		_ = older.recorded.Close()
	}
}

// sendAway has a connection moved, now or after the node's patience; under the node's mutex.
func (c *conn) sendAway() {
	wait := time.Duration(0)
	if c.open.WantsToken || c.open.Token != "" {
		wait = c.n.cfg.Patience
	}
	select {
	case c.away <- wait:
	default:
	}
}

// flow sends messages as they fall due, answers what comes, and ends when either side wants it.
func (c *conn) flow() {
	cursor := c.startAt()
	if c.open.WantsToken || c.open.Token != "" {
		c.answer(fmt.Sprintf("UP %x from=%d", c.open.Key, cursor))
	} else {
		c.answer(fmt.Sprintf("UP %x", c.open.Key))
	}
	if c.ch != nil {
		go c.read()
	}
	defer c.endClaim()
	cursor = c.plant(cursor)
	var goes <-chan time.Time
	due := time.NewTimer(0)
	defer due.Stop()
	for {
		select {
		case <-c.ended:
			return
		case wait := <-c.away:
			goes = time.After(wait)
		case <-goes:
			c.move()
			return
		case text := <-c.lines:
			c.say("OK " + text + "\r\n")
		case <-due.C:
			var err error
			if cursor, err = c.send(cursor); err != nil {
				return
			}
			next := c.n.cfg.Index.Due(c.open.Key, cursor+1).Add(c.n.cfg.Lag)
			due.Reset(max(time.Until(next), 0))
		}
	}
}

// startAt is the message after which the stream goes on: the client's cursor, or the head of the node's copy of the
// index where it has none. A client whose cursor is no more kept sees where it goes on by the answer's from=.
func (c *conn) startAt() uint64 {
	x, key, now := c.n.cfg.Index, c.open.Key, time.Now().Add(-c.n.cfg.Lag)
	floor, head := x.Floor(key, now), x.Head(key, now)
	if !c.open.Cur || c.open.Cursor == 0 && c.open.WantsToken {
		return head
	}
	return max(c.open.Cursor, floor)
}

// plant moves the cursor of a continued stream where the node has a fault on purpose.
func (c *conn) plant(cursor uint64) uint64 {
	if c.open.Token == "" {
		return cursor
	}
	switch c.n.cfg.Fault {
	case SkipOne:
		cursor++
	case SendAgain:
		cursor = max(cursor, 1) - 1
	}
	return cursor
}

// send sends the messages after the cursor that are due, backlogMax at most, in one go. It returns the last one's
// number.
func (c *conn) send(cursor uint64) (uint64, error) {
	x, key := c.n.cfg.Index, c.open.Key
	c.n.awake.Pass()
	now := time.Now().Add(-c.n.cfg.Lag)
	buf := c.buf[:0]
	for range backlogMax {
		if x.Due(key, cursor+1).After(now) {
			break
		}
		cursor++
		buf = x.Line(buf, key, cursor)
	}
	c.buf = buf
	if len(buf) == 0 {
		return cursor, nil
	}
	_, err := c.recorded.Write(buf)
	return cursor, err
}

// endClaim notes that the connection which a token was claimed for has ended.
func (c *conn) endClaim() {
	c.n.mu.Lock()
	defer c.n.mu.Unlock()
	if c.claim != (resume.ID{}) {
		c.n.keeper.Closed(c.claim)
	}
}
