// Package client is an emulated client of one stream: it opens, keeps the number of the last whole message that it has,
// and comes again after whatever ends its connection, with a token where it was given one. It speaks the protocol and
// asks nobody else.
package client

import (
	"context"
	"fmt"
	"math/rand/v2"
	"spurspread/lab/barrier"
	"spurspread/lab/proto"
	"spurspread/lab/recorder"
	"strings"
	"time"
)

// Config says what a client is like.
type Config struct {
	Name     string
	Key      uint64
	Class    string
	Group    string
	Owner    string
	Link     Link     // how it reaches a balancer
	DuplicateAt    []string // balancers: it presents every token at two of them at once, past the front
	At       string   // the node that its first connection stands at already
	Tokens   bool     // it takes tokens
	Deadline time.Duration
	Sink     recorder.Sink
	Seed     uint64
}

const (
	reconnectMin   = 110 * time.Millisecond // after a break or a move, to comesBy
	reconnectMax      = 820 * time.Millisecond
	retryMin   = 14 * time.Millisecond // after a failure, to retryBy
	retryMax      = 110 * time.Millisecond
	slowRetryFailures = 4 // failures in a row, from which on it waits longer
	slowRetryWait  = 600 * time.Millisecond
	sendInterval    = 2 * time.Second
	answerSlack  = 200 * time.Millisecond // beyond its deadline, until it gives up
	maxLineBytes      = 8192
)

// Client is one of them.
type Client struct {
	Reads  barrier.Barrier // shut, it reads nothing more from a connection that stands
	cfg    Config
	rng    *rand.Rand
	cursor uint64
	hasCursor    bool // a cursor
	token  string
	opens int
	consecutiveFailures  int
}

// New returns a client that has done nothing yet.
func New(cfg Config) *Client {
	return &Client{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Key))}
}

// Run opens, and opens again, until the context is done.
func (c *Client) Run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := c.runOnce(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

func (c *Client) randomWait(from, to time.Duration) time.Duration {
	return from + time.Duration(c.rng.Int64N(int64(to-from)))
}

// nextOpen is the first line of the next connection; every id is new.
func (c *Client) nextOpen() *proto.Open {
	c.opens++
	o := &proto.Open{
		ID: fmt.Sprintf("%016x", c.rng.Uint64()), Key: c.cfg.Key, Class: c.cfg.Class, Group: c.cfg.Group,
		Owner: c.cfg.Owner, Millis: int(c.cfg.Deadline.Milliseconds()), Again: c.opens > 1, Cur: c.hasCursor,
		Cursor: c.cursor,
		Token:  c.token, WantsToken: c.cfg.Tokens && c.token == "",
	}
	if c.opens == 1 {
		o.At = c.cfg.At
	}
	return o
}

// dial opens by a link and waits for the answer, as long as the client's patience lasts.
func (c *Client) dial(ctx context.Context, by Link, o *proto.Open) *conn {
	deadline := time.Now().Add(time.Duration(o.Millis)*time.Millisecond + answerSlack)
	if o.At != "" {
		deadline = time.Now().Add(time.Minute)
	}
	return by.open(ctx, o, deadline, func(s recorder.Stream) *recorder.Conn {
		return recorder.Wrap(s, c.cfg.Sink, recorder.Client, c.cfg.Name)
	})
}

// runOnce makes one connection and lives with it. It tells how long to stay away before the next.
func (c *Client) runOnce(ctx context.Context) time.Duration {
	k := c.connect(ctx)
	defer k.close()
	stop := context.AfterFunc(ctx, k.close)
	defer stop()
	switch {
	case k.err == nil && k.answer.Word == "UP":
		c.token, c.consecutiveFailures = "", 0
		c.readMessages(k)
		return c.randomWait(reconnectMin, reconnectMax)
	case k.err == nil && k.answer.Word == "BUSY":
		if k.answer.Millis > 0 {
			return time.Duration(k.answer.Millis) * time.Millisecond
		}
	case k.err == nil && k.answer.Word == "STALE":
		c.token = ""
		return 0
	case k.err == nil:
		c.token = ""
	}
	// After an end without an answer the token is as good as it was, or used: the node that it names will say.
	if c.consecutiveFailures++; c.consecutiveFailures >= slowRetryFailures {
		return c.randomWait(slowRetryWait, 2*slowRetryWait)
	}
	return c.randomWait(retryMin, retryMax)
}

// connect opens once, or with a token at two balancers at one instant; the one that stands is kept.
func (c *Client) connect(ctx context.Context) *conn {
	if len(c.cfg.DuplicateAt) < 2 || c.token == "" {
		return c.dial(ctx, c.cfg.Link, c.nextOpen())
	}
	got := make(chan *conn, 2)
	at := c.rng.Perm(len(c.cfg.DuplicateAt))[:2]
	for _, i := range at {
		o := c.nextOpen()
		go func() { got <- c.dial(ctx, DedicatedLink{Addr: c.cfg.DuplicateAt[i]}, o) }()
	}
	one := <-got
	if answerRank(one) == rankEstablished {
		go func() { (<-got).close() }() // whatever it is told: nobody waits for it
		return one
	}
	other := <-got
	if answerRank(other) > answerRank(one) {
		one, other = other, one
	}
	other.close()
	return one
}

// rankEstablished is the rank of an answer that ends the question.
const rankEstablished = 3

// answerRank orders answers by what they are worth to a client that has two.
func answerRank(k *conn) int {
	switch {
	case k.err != nil:
		return 0
	case k.answer.Word == "UP":
		return rankEstablished
	case k.answer.Word == "BUSY":
		return 1 // what another has said counts first: the token may be used up
	}
	return 2
}

// readMessages reads until the connection ends, and says something every now and then.
func (c *Client) readMessages(k *conn) {
	done := make(chan struct{})
	defer close(done)
	go func() {
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
	}()
	for {
		c.Reads.Pass()
		text, err := k.reader.ReadSlice('\n')
		if err != nil {
			if token, moved := k.moved(); moved {
				c.token = token
			}
			return
		}
		if n, ok := proto.Number(text); ok {
			c.cursor, c.hasCursor = n, true
			continue
		}
		if move, ok := strings.CutPrefix(strings.TrimRight(string(text), "\r\n"), "MOVE"); ok {
			c.token = strings.TrimPrefix(move, " ")
			return
		}
	}
}
