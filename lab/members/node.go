package members

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// node is a stand-in for a server that notes what comes: set-ups, and probes with and without a report.
type node struct {
	ln net.Listener

	mu     sync.Mutex
	setUps []time.Time
	probes []time.Time
	load   int
}

func startNode() (*node, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &node{ln: ln}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return // closed
			}
			go n.serve(c)
		}
	}()
	return n, nil
}

// instance is what discovery would write of a server at an address; started is the zero time for long ago.
func instance(i int, addr net.Addr, started time.Time) any {
	at := int64(0)
	if !started.IsZero() {
		at = started.UnixMilli()
	}
	return map[string]any{
		"instanceId": fmt.Sprintf("s-%08x", i+1), "hostPort": addr.String(), "zone": "a", "machineType": "m",
		"cell": i, "lifecycle": "Ready", "weight": 1, "startedAtMs": at,
	}
}

func (n *node) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	rd := bufio.NewReader(c)
	for first := true; ; {
		line, err := rd.ReadString('\n')
		if err != nil {
			return
		}
		switch word, _, _ := strings.Cut(strings.TrimSpace(line), " "); {
		case first && word == "OPEN":
			n.note(&n.setUps, 1)
			defer n.note(nil, -1)
			first, line = false, "UP 1\r\n"
		case first && (word == "PING" || word == "STATS"):
			load := n.note(&n.probes, 0)
			line = "PONG\r\n"
			if word == "STATS" {
				line = fmt.Sprintf("PONG queue=0,qps=0,x0=%.3f\r\n", float64(load)/100)
			}
		}
		if _, err := c.Write([]byte(line)); err != nil {
			return
		}
	}
}

// note notes a moment, and that so many more stand.
func (n *node) note(at *[]time.Time, more int) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if at != nil {
		*at = append(*at, time.Now())
	}
	n.load += more
	return n.load
}

// came is how many moments lie between two.
func (n *node) came(at *[]time.Time, from, to time.Time) (count int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, t := range *at {
		if !t.Before(from) && t.Before(to) {
			count++
		}
	}
	return count
}
