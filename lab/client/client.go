// Package client emulates a client of one stream. It opens the stream through a Link, keeps the number of the last
// complete message that it received, and reconnects whenever its connection ends, with a resume token if it was given
// one. It knows only the clients' part of the protocol and does not check what it receives: that is up to the
// recorder's sink, which observes the client's socket.
package client

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"spurspread/lab/barrier"
	"spurspread/lab/proto"
	"spurspread/lab/recorder"
)

// Config describes a client. Key, Class, Link, Deadline and Recorder must be set.
type Config struct {
	Name        string
	Key         uint64 // of the stream
	Class       string
	Group       string
	Owner       string
	Link        Link               // opens the stream at a balancer
	DuplicateAt []string           // addresses of balancers; if two or more, tokens are presented at two at once
	InitialNode string             // node at which its stream is already when the run begins; "": none
	Tokens      bool               // it asks for resume tokens
	Deadline    time.Duration      // for the answer to an open, as sent in the open
	Recorder    *recorder.Recorder // of its connections
	Seed        uint64             // of its random waits and ids, in combination with Key
}

// Bounds of the random waits between two connections.
const (
	reconnectMin      = 110 * time.Millisecond // after an established connection has ended
	reconnectMax      = 820 * time.Millisecond
	retryMin          = 14 * time.Millisecond // after an open that failed
	retryMax          = 110 * time.Millisecond
	slowRetryFailures = 4                      // after so many successive failures it waits longer
	slowRetryWait     = 600 * time.Millisecond // lower bound of the longer wait; the upper bound is twice as long
)

const (
	sendInterval = 2 * time.Second        // between two lines that a client sends on an established connection
	answerSlack  = 200 * time.Millisecond // from an open's deadline until the client gives the open up
	// initialTimeout bounds an open with an InitialNode. It is longer, as the clients send all of these opens at
	// about the same time.
	initialTimeout = time.Minute
	maxLineBytes   = 8192
)

// Words of the protocol's answers.
const (
	wordUp    = "UP"
	wordBusy  = "BUSY"
	wordStale = "STALE"
	wordMove  = "MOVE"
)

// Client is one emulated client. Only Reads may be used from other goroutines than that of Run.
type Client struct {
	Reads               barrier.Barrier // while it is closed, the client does not read from an established connection
	cfg                 Config
	rng                 *rand.Rand
	cursor              uint64 // last message received; valid if hasCursor
	hasCursor           bool
	token               string // to be presented by the next open; "": none
	opens               int
	consecutiveFailures int
}

// New returns a client, which connects once Run is called.
func New(cfg Config) *Client {
	return &Client{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Key))}
}

// Run keeps the stream open, connection after connection, until the context is done.
func (c *Client) Run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := c.runOnce(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// randomWait draws a wait of at least from and less than to.
func (c *Client) randomWait(from, to time.Duration) time.Duration {
	return from + time.Duration(c.rng.Int64N(int64(to-from)))
}

// nextOpen returns the first line of the next connection, with a new id.
func (c *Client) nextOpen() *proto.Open {
	c.opens++
	o := &proto.Open{
		ID:             fmt.Sprintf("%016x", c.rng.Uint64()),
		Key:            c.cfg.Key,
		Class:          c.cfg.Class,
		Group:          c.cfg.Group,
		Owner:          c.cfg.Owner,
		DeadlineMillis: int(c.cfg.Deadline.Milliseconds()),
		Again:          c.opens > 1,
		HasCursor:      c.hasCursor,
		Cursor:         c.cursor,
		Token:          c.token,
		WantsToken:     c.cfg.Tokens && c.token == "",
	}
	if c.opens == 1 {
		o.At = c.cfg.InitialNode
	}
	return o
}

// dial opens a stream through a link, and waits for the answer until answerSlack after the deadline.
func (c *Client) dial(ctx context.Context, link Link, o *proto.Open) *conn {
	timeout := time.Duration(o.DeadlineMillis)*time.Millisecond + answerSlack
	if o.At != "" {
		timeout = initialTimeout
	}
	return link.open(ctx, o, time.Now().Add(timeout), func(s recorder.Stream) *recorder.Conn {
		return c.cfg.Recorder.Wrap(s, recorder.Client, c.cfg.Name)
	})
}

// runOnce makes one connection and, if it is established, reads from it until its end. It returns the wait before the
// next connection.
func (c *Client) runOnce(ctx context.Context) time.Duration {
	k := c.connect(ctx)
	defer k.close()
	stop := context.AfterFunc(ctx, k.close)
	defer stop()
	if k.err != nil {
		// Without an answer it is unknown whether the token was used. It is kept: when it is presented again, the
		// answer of the node that it names shows that.
		return c.retryWait()
	}
	switch k.answer.Word {
	case wordUp:
		c.token = ""
		c.consecutiveFailures = 0
		c.readMessages(k)
		return c.randomWait(reconnectMin, reconnectMax)
	case wordBusy:
		if k.answer.RetryMillis > 0 {
			return time.Duration(k.answer.RetryMillis) * time.Millisecond
		}
	case wordStale:
		c.token = ""
		return 0
	default:
		c.token = ""
	}
	return c.retryWait()
}

// retryWait counts a failed open, and returns the wait before the next one.
func (c *Client) retryWait() time.Duration {
	c.consecutiveFailures++
	if c.consecutiveFailures >= slowRetryFailures {
		return c.randomWait(slowRetryWait, 2*slowRetryWait)
	}
	return c.randomWait(retryMin, retryMax)
}

// connect opens the stream once. With a token and DuplicateAt it opens at two balancers at the same time, and returns
// the connection with the better answer.
func (c *Client) connect(ctx context.Context) *conn {
	const duplicates = 2
	if len(c.cfg.DuplicateAt) < duplicates || c.token == "" {
		return c.dial(ctx, c.cfg.Link, c.nextOpen())
	}
	answered := make(chan *conn, duplicates)
	for _, i := range c.rng.Perm(len(c.cfg.DuplicateAt))[:duplicates] {
		o := c.nextOpen()
		link := DedicatedLink{Addr: c.cfg.DuplicateAt[i]}
		go func() { answered <- c.dial(ctx, link, o) }()
	}
	best := <-answered
	if answerRank(best) == rankEstablished {
		go func() { (<-answered).close() }() // the other answer no longer matters
		return best
	}
	other := <-answered
	if answerRank(other) > answerRank(best) {
		best, other = other, best
	}
	other.close()
	return best
}

// Ranks of answers, in ascending order of their use for the client.
const (
	rankFailed = iota
	rankBusy   // lower than a refusal, because the refusal shows that the token may be used up
	rankRefused
	rankEstablished
)

// answerRank returns the rank of an answer, to choose between two.
func answerRank(k *conn) int {
	switch {
	case k.err != nil:
		return rankFailed
	case k.answer.Word == wordUp:
		return rankEstablished
	case k.answer.Word == wordBusy:
		return rankBusy
	default:
		return rankRefused
	}
}

// readMessages reads until the connection ends or the client is moved. In the meantime it sends a line every
// sendInterval. It keeps the number of the last message, and the token of a move.
func (c *Client) readMessages(k *conn) {
	done := make(chan struct{})
	defer close(done)
	go sendLines(k, done)
	for {
		c.Reads.Wait()
		text, err := k.reader.ReadSlice('\n')
		if err != nil {
			if token, moved := k.moved(); moved {
				c.token = token
			}
			return
		}
		if n, ok := proto.MessageNumber(text); ok {
			c.cursor = n
			c.hasCursor = true
			continue
		}
		line := strings.TrimRight(string(text), "\r\n")
		if token, ok := strings.CutPrefix(line, wordMove); ok {
			c.token = strings.TrimPrefix(token, " ")
			return
		}
	}
}

// sendLines sends numbered lines until done is closed or a write fails.
func sendLines(k *conn, done <-chan struct{}) {
	tick := time.NewTicker(sendInterval)
	defer tick.Stop()
	for n := 1; ; n++ {
		select {
		case <-done:
			return
		case <-tick.C:
			if _, err := fmt.Fprintf(k, "T %d\r\n", n); err != nil {
				return
			}
		}
	}
}
