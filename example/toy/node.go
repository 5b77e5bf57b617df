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
	cores = 2.0 // of a node
	// coreLoad is the load that one core serves, in microseconds of work in a second.
	coreLoad = 1_000_000.0
	// defaultLoad is the load of a connection whose OPEN has no hint, in the same unit.
	defaultLoad = 50_000.0
)

// node is one toy server.
type node struct {
	name, addr  string
	reportsLoad bool // it sends the loads of connections, and answers STATS

	mu       sync.Mutex
	draining bool
	loads    map[net.Conn]float64 // of the established connections
}

// accept serves connections until the listener is closed.
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

// serve answers PING and STATS until the first other line, and then serves the stream that an OPEN begins. Any other
// line ends the connection.
func (n *node) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	lines := bufio.NewScanner(c)
	for lines.Scan() {
		verb, rest, _ := strings.Cut(lines.Text(), " ")
		switch {
		case verb == "PING":
			writeLine(c, "PONG")
		case verb == "STATS" && n.reportsLoad:
			writeLine(c, n.report())
		case verb == "OPEN":
			n.serveStream(c, lines, expectedLoad(rest))
			return
		default:
			writeLine(c, "SYNTAX")
			return
		}
	}
}

// serveStream refuses the stream while the node drains, and else sends every line back. A client's "work N" sets the
// load of its connection, if loads are reported.
func (n *node) serveStream(c net.Conn, lines *bufio.Scanner, load float64) {
	if !n.admit(c, load) {
		writeLine(c, "BUSY")
		return
	}
	defer n.remove(c)
	writeLine(c, "UP "+n.name)
	n.reportLoad(c, load)
	for lines.Scan() {
		writeLine(c, lines.Text())
		if work, ok := strings.CutPrefix(lines.Text(), "work "); ok {
			n.reportLoad(c, parseLoad(work, defaultLoad))
		}
	}
}

// writeLine writes a line. An error shows at the next read.
func writeLine(c net.Conn, text string) { _, _ = fmt.Fprintf(c, "%s\r\n", text) }

// expectedLoad is the load in the hint of an OPEN line, h=, in microseconds of work in a second.
func expectedLoad(open string) float64 {
	parameters := open[strings.LastIndexByte(open, ' ')+1:]
	for _, pair := range strings.Split(parameters, ",") {
		if value, ok := strings.CutPrefix(pair, "h="); ok {
			return parseLoad(value, defaultLoad)
		}
	}
	return defaultLoad
}

// parseLoad is a load of 0 or more, or the given one for any other text.
func parseLoad(text string, otherwise float64) float64 {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || !(v >= 0) {
		return otherwise
	}
	return v
}

// reportLoad sets a connection's load, and sends it on the connection.
func (n *node) reportLoad(c net.Conn, load float64) {
	if !n.reportsLoad {
		return
	}
	n.mu.Lock()
	n.loads[c] = load
	n.mu.Unlock()
	writeLine(c, fmt.Sprintf("LOAD %.0f", load))
}

// report is the answer to STATS: no queue, and as x0 the load over what the cores serve.
func (n *node) report() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	sum := 0.0
	for _, load := range n.loads {
		sum += load
	}
	return fmt.Sprintf("PONG queue=0,qps=0,x0=%.3f", sum/(cores*coreLoad))
}

// admit adds a connection with its load, unless the node drains.
func (n *node) admit(c net.Conn, load float64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.draining {
		return false
	}
	n.loads[c] = load
	return true
}

func (n *node) remove(c net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.loads, c)
}

// drain moves and closes all connections, and refuses new ones from now on.
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
	lifecycle := "Ready"
	weight := 1.0
	if n.draining {
		lifecycle = "Terminating"
	}
	if n.reportsLoad {
		weight = cores / (1 + float64(len(n.loads))/cores)
	}
	return fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":"here","machineType":"toy","cell":0,"lifecycle":%q,`+
		`"weight":%.3f,"startedAtMs":0}`, n.name, n.addr, lifecycle, weight)
}
