package main

import (
	"bufio"
	"errors"
	"fmt"
	"log"
	"net"
	"strconv"
	"strings"
	"sync"
)

const (
	cores = 2.0
	// defaultLoad is the load of a connection that brings no hint, in microseconds of work a second.
	defaultLoad = 50_000.0
	coreLoad    = 1_000_000.0 // what one core does, the same
)

// node is one toy server.
type node struct {
	name, addr  string
	reportsLoad bool // its load

	mu       sync.Mutex
	draining bool
	loads    map[net.Conn]float64 // of the connections that it holds
}

func (n *node) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			log.Fatal(err)
		}
		go n.serve(c)
	}
}

// serve answers PING and STATS, takes OPEN unless it drains, and then sends every line back. A client's "work N"
// sets the load of its connection, where loads are told.
func (n *node) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewScanner(c)
	for in.Scan() {
		verb, rest, _ := strings.Cut(in.Text(), " ")
		switch {
		case verb == "PING":
			writeLine(c, "PONG")
			continue
		case verb == "STATS" && n.reportsLoad:
			writeLine(c, n.report())
			continue
		case verb != "OPEN":
			writeLine(c, "SYNTAX")
			return
		}
		load := expectedLoad(rest)
		if !n.admit(c, load) {
			writeLine(c, "BUSY")
			return
		}
		defer n.remove(c)
		writeLine(c, "UP "+n.name)
		n.reportLoad(c, load)
		for in.Scan() {
			writeLine(c, in.Text())
			if load, ok := strings.CutPrefix(in.Text(), "work "); ok {
				n.reportLoad(c, parseLoad(load, defaultLoad))
			}
		}
		return
	}
}

// writeLine writes a line; a client that has gone shows at the next read.
func writeLine(c net.Conn, text string) { _, _ = fmt.Fprintf(c, "%s\r\n", text) }

// expectedLoad is the load that an OPEN line leads to expect.
func expectedLoad(first string) float64 {
	for _, pair := range strings.Split(first[strings.LastIndexByte(first, ' ')+1:], ",") {
		if value, ok := strings.CutPrefix(pair, "h="); ok {
			return parseLoad(value, defaultLoad)
		}
	}
	return defaultLoad
}

func parseLoad(text string, otherwise float64) float64 {
	if v, err := strconv.ParseFloat(text, 64); err == nil && v >= 0 {
		return v
	}
	return otherwise
}

// reportLoad notes a connection's load, and says it on the connection.
func (n *node) reportLoad(c net.Conn, load float64) {
	if !n.reportsLoad {
		return
	}
	n.mu.Lock()
	n.loads[c] = load
	n.mu.Unlock()
	writeLine(c, fmt.Sprintf("LOAD %.0f", load))
}

// report is the answer to STATS: nothing waits at a toy, and x0 is what is asked of it over what it can do.
func (n *node) report() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	sum := 0.0
	for _, load := range n.loads {
		sum += load
	}
	return fmt.Sprintf("PONG queue=0,qps=0,x0=%.3f", sum/(cores*coreLoad))
}

func (n *node) admit(c net.Conn, load float64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.draining {
		n.loads[c] = load
	}
	return !n.draining
}

func (n *node) remove(c net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.loads, c)
}

func (n *node) drain() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.draining = true
	for c := range n.loads {
		writeLine(c, "MOVE")
		_ = c.Close()
	}
}

// entry is the node as discovery lists it.
func (n *node) entry() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	state, weight := "Ready", 1.0
	if n.draining {
		state = "Terminating"
	}
	if n.reportsLoad {
		weight = cores / (1 + float64(len(n.loads))/cores)
	}
	return fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":"here","machineType":"toy","cell":0,"lifecycle":%q,`+
		`"weight":%.3f,"startedAtMs":0}`, n.name, n.addr, state, weight)
}
