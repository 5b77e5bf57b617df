// Package store is the emulated session store: one service that every index node calls for a connection that is new
// to it. It serves calls one after another at a given rate, and fails those that have waited too long. It speaks
// lines over TCP: "CALL ID" is answered "OK ID" or "NO ID".
package store

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Store is the service.
type Store struct {
	ln      net.Listener
	each    time.Duration
	maxWait time.Duration
	mu      sync.Mutex
	free    time.Time // when the call after all that wait can begin
	calls   atomic.Int64
	failed  atomic.Int64
	conns   map[net.Conn]bool
}

// Start listens on loopback. perSecond calls are served a second; one that would wait for more than most fails.
func Start(perSecond float64, most time.Duration) (*Store, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{
		ln:      ln,
		each:    time.Duration(float64(time.Second) / perSecond),
		maxWait: most,
		conns:   map[net.Conn]bool{},
	}
	go s.accept()
	return s, nil
}

// Addr is where it listens.
func (s *Store) Addr() string { return s.ln.Addr().String() }

// Calls tells how many calls came in, and how many of them failed.
func (s *Store) Calls() (all, failed int) { return int(s.calls.Load()), int(s.failed.Load()) }

// Close ends the service with all its connections.
func (s *Store) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
	return s.ln.Close()
}

func (s *Store) accept() {
	for {
		c, err := s.ln.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *Store) serve(c net.Conn) {
	var out sync.Mutex
	say := func(word, id string) {
		out.Lock()
		defer out.Unlock()
		_, _ = fmt.Fprintf(c, "%s %s\n", word, id) // a caller that has gone misses nothing
	}
	for lines := bufio.NewScanner(c); lines.Scan(); {
		id, ok := strings.CutPrefix(lines.Text(), "CALL ")
		if !ok {
			break
		}
		s.calls.Add(1)
		if wait, ok := s.queue(time.Now()); ok {
			time.AfterFunc(wait, func() { say("OK", id) })
		} else {
			s.failed.Add(1)
			time.AfterFunc(s.maxWait, func() { say("NO", id) })
		}
	}
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	_ = c.Close()
}

// queue books the next free moment, and tells how long until the call is done.
func (s *Store) queue(now time.Time) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.free.Before(now) {
		s.free = now
	}
	if s.free.Sub(now) > s.maxWait {
		return 0, false
	}
	s.free = s.free.Add(s.each)
	return s.free.Sub(now), true
}

// Client calls a store over one connection, for many callers at once.
type Client struct {
	conn net.Conn
	mu   sync.Mutex
	next int
	wait map[string]chan bool
}

// Dial connects to a store.
func Dial(addr string) (*Client, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	c := &Client{conn: conn, wait: map[string]chan bool{}}
	go c.read()
	return c, nil
}

// Close ends the connection; calls that wait fail.
func (c *Client) Close() error { return c.conn.Close() }

func (c *Client) read() {
	for lines := bufio.NewScanner(c.conn); lines.Scan(); {
		word, id, _ := strings.Cut(lines.Text(), " ")
		c.mu.Lock()
		if done := c.wait[id]; done != nil {
			done <- word == "OK"
			delete(c.wait, id)
		}
		c.mu.Unlock()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, done := range c.wait {
		done <- false
		delete(c.wait, id)
	}
	c.wait = nil
}

var (
	errClosed = errors.New("the session store is gone")
	errFailed = errors.New("the session store failed the call")
)

// Call makes one call and waits for it to be done.
func (c *Client) Call(ctx context.Context) error {
	done := make(chan bool, 1)
	c.mu.Lock()
	if c.wait == nil {
		c.mu.Unlock()
		return errClosed
	}
	c.next++
	id := fmt.Sprint(c.next)
	c.wait[id] = done
	_, err := fmt.Fprintf(c.conn, "CALL %s\n", id)
	c.mu.Unlock()
	if err != nil {
		return err
	}
	select {
	case ok := <-done:
		if !ok {
			return errFailed
		}
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
