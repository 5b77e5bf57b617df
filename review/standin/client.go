//go:build review

package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

// client is a client with one connection to a balancer.
type client struct {
	bench  *bench
	id     string
	addr   string // of the balancer
	class  string
	wait   time.Duration // for UP
	answer string        // first line that came back; empty: none
	conn   net.Conn
	reader *bufio.Reader

	mu    sync.Mutex
	moved bool
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// newClient returns a client of the class index-sync, which gives up after 1.2 s.
func newClient(b *bench, addr string) *client {
	return &client{bench: b, id: newID(), addr: addr, class: "index-sync", wait: 1200 * time.Millisecond}
}

// open sends the first line and waits for the answer. It reports whether the connection is up.
func (c *client) open() bool {
	var err error
	if c.conn, err = net.DialTimeout("tcp", c.addr, time.Second); err != nil {
		c.bench.logf("client %s: not connected: %v", c.id, err)
		return false
	}
	c.reader = bufio.NewReaderSize(c.conn, 64<<10)
	line := fmt.Sprintf("OPEN %s %s c=%s,d=%d,g=%s", c.id, newID(), c.class, c.wait.Milliseconds(), newID())
	c.bench.logf("client %s to %s: %s", c.id, c.addr, line)
	_, _ = fmt.Fprintf(c.conn, "%s\r\n", line)
	_ = c.conn.SetReadDeadline(time.Now().Add(c.wait + 3*time.Second))
	text, err := c.reader.ReadString('\n')
	_ = c.conn.SetReadDeadline(time.Time{})
	c.answer = strings.TrimRight(text, "\r\n")
	c.bench.logf("client %s: answered %q, error %v", c.id, c.answer, err)
	if !strings.HasPrefix(c.answer, "UP ") {
		_ = c.conn.Close()
		return false
	}
	return true
}

// hold sends a line every 2 s and reads what comes back, until the connection ends or stop is closed.
func (c *client) hold(stop <-chan struct{}) (end error) {
	done := make(chan struct{})
	go func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				_ = c.conn.Close()
				return
			case <-done:
				return
			case <-time.After(2 * time.Second):
				_, _ = fmt.Fprintf(c.conn, "line %d\r\n", i)
			}
		}
	}()
	defer close(done)
	for {
		text, err := c.reader.ReadString('\n')
		if err != nil {
			c.bench.logf("client %s: end of the connection: %v", c.id, err)
			_ = c.conn.Close()
			return err
		}
		if strings.TrimRight(text, "\r\n") == "MOVE" {
			c.bench.logf("client %s: MOVE", c.id)
			c.mu.Lock()
			c.moved = true
			c.mu.Unlock()
		}
	}
}
