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
	// ErrClosed is returned for calls after the connection has ended.
	ErrClosed = errors.New("connection to the session store closed")
	// ErrFailed is returned for calls that the store did not serve, and for calls that were pending when the
	// connection ended.
	ErrFailed = errors.New("the session store did not serve the call")
)

// Client calls a store over one connection. Its methods may be called from any goroutine.
type Client struct {
	conn net.Conn

	mu      sync.Mutex
	lastID  int
	pending map[string]chan bool // by call id: receives true if the call was served; nil once the connection has ended
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

// Close closes the connection; pending calls fail.
func (c *Client) Close() error { return c.conn.Close() }

// read passes answers on to the pending calls until the connection ends.
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

// Call makes one call and waits until it is served. If it is not served, the error is ErrFailed, ErrClosed, the
// context's error, or an error of the connection.
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

// send sends a call, and returns the channel that receives true if the call was served, and false if not.
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
