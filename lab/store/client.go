package store

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
)

var (
	// ErrClosed is the error of a call after the connection has ended.
	ErrClosed = errors.New("the session store is gone")
	// ErrFailed is the error of a call that the store did not serve.
	ErrFailed = errors.New("the session store failed the call")
)

// Client calls a store over one connection, for any number of goroutines.
type Client struct {
	conn net.Conn

	mu      sync.Mutex
	lastID  int
	pending map[string]chan bool // by id: receives whether the call was served; nil once the connection has ended
}

// Dial connects to a store.
func Dial(addr string) (*Client, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	c := &Client{conn: conn, pending: map[string]chan bool{}}
	go c.read()
	return c, nil
}

// Close ends the connection; pending calls fail.
func (c *Client) Close() error { return c.conn.Close() }

// read passes answers to the calls until the connection ends.
func (c *Client) read() {
	for lines := bufio.NewScanner(c.conn); lines.Scan(); {
		word, id, _ := strings.Cut(lines.Text(), " ")
		c.mu.Lock()
		if done := c.pending[id]; done != nil {
			done <- word == wordOK
			delete(c.pending, id)
		}
		c.mu.Unlock()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, done := range c.pending {
		done <- false
	}
	c.pending = nil
}

// Call makes one call and waits until it is served. Otherwise the error is ErrFailed, ErrClosed, the context's, or
// that of the connection.
func (c *Client) Call(ctx context.Context) error {
	done, err := c.send()
	if err != nil {
		return err
	}
	select {
	case served := <-done:
		if !served {
			return ErrFailed
		}
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// send sends a call, and returns where its result comes.
func (c *Client) send() (done chan bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == nil {
		return nil, ErrClosed
	}
	c.lastID++
	id := fmt.Sprint(c.lastID)
	done = make(chan bool, 1)
	c.pending[id] = done
	_, err = fmt.Fprintf(c.conn, "%s%s\n", callPrefix, id)
	return done, err
}
