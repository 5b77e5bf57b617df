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
	// cores is the number of cores of a node.
	cores = 2.0
	// coreCapacity is the load that one core can serve, in microseconds of work per second.
	coreCapacity = 1_000_000.0
	// defaultLoad is the load of a connection whose OPEN has no hint, in the same unit.
	defaultLoad = 50_000.0
)

// node is one server, which echoes lines.
type node struct {
	name, addr  string
	reportsLoad bool // sends the load of each connection, and answers STATS

	mu       sync.Mutex
	draining bool
	loads    map[net.Conn]float64 // by established connection, in microseconds of work per second
}

// accept serves connections until the listener is closed. Any other error exits the program.
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

// serve answers PING and, if the node reports load, STATS, until OPEN begins a stream. Any other line is answered
// SYNTAX and ends the connection.
func (n *node) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	lines := bufio.NewScanner(c)
	for lines.Scan() {
		verb, rest, _ := strings.Cut(lines.Text(), " ")
		switch {
		case verb == "PING":
			writeLine(c, "PONG")
		case verb == "STATS" && n.reportsLoad:
			writeLine(c, n.statsReply())
		case verb == "OPEN":
			n.serveStream(c, lines, expectedLoad(rest))
			return
		default:
			writeLine(c, "SYNTAX")
			return
		}
	}
}

// serveStream rejects the stream if the node drains, and else echoes every line. The line "work N" sets the load of the
// connection if the node reports load.
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

// writeLine writes a line. It ignores errors: the next read fails, too.
func writeLine(c net.Conn, text string) { _, _ = fmt.Fprintf(c, "%s\r\n", text) }

// expectedLoad returns the load hint (h=) among the parameters of OPEN, in microseconds of work per second, or
// defaultLoad if there is none.
func expectedLoad(open string) float64 {
	parameters := open[strings.LastIndexByte(open, ' ')+1:]
	for _, pair := range strings.Split(parameters, ",") {
		if value, ok := strings.CutPrefix(pair, "h="); ok {
			return parseLoad(value, defaultLoad)
		}
	}
	return defaultLoad
}

// parseLoad parses a load of 0 or more, and returns fallback for any other text.
func parseLoad(text string, fallback float64) float64 {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || !(v >= 0) {
		return fallback
	}
	return v
}

// reportLoad sets a connection's load and sends it to the balancer, if the node reports load.
func (n *node) reportLoad(c net.Conn, load float64) {
	if !n.reportsLoad {
		return
	}
	n.mu.Lock()
	n.loads[c] = load
	n.mu.Unlock()
	writeLine(c, fmt.Sprintf("LOAD %.0f", load))
}

// statsReply returns the answer to STATS, a load report. Its column x0 is the utilization: the sum of all loads over
// the capacity of the cores.
func (n *node) statsReply() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	sum := 0.0
	for _, load := range n.loads {
		sum += load
	}
	return fmt.Sprintf("PONG queue=0,qps=0,x0=%.3f", sum/(cores*coreCapacity))
}

// admit adds a connection with its load, and returns true; it returns false if the node drains.
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

// drain makes the node reject new streams, and sends MOVE to all established connections and closes them.
func (n *node) drain() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.draining = true
	for c := range n.loads {
		writeLine(c, "MOVE")
		_ = c.Close()
	}
}

// entry returns the node's entry in the list of discovery, in JSON.
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
