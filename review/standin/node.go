//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"spurspread/lab/sshchan"
)

// attempt is one first line that has come to a node to its last byte, from then until it is over.
type attempt struct {
	request  string // the id in the first line
	node     string
	received time.Time
	up       time.Time // when the node said UP; zero: it did not
	over     time.Time // when the node refused it, or saw that it was given up or ended; zero: not yet
}

// at returns how many attempts came to a node.
func (a *attempts) at(node string) (count int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, one := range a.all {
		if one.node == node {
			count++
		}
	}
	return count
}

// attempts are the attempts at all nodes, in the order in which they came.
type attempts struct {
	mu  sync.Mutex
	all []*attempt
}

func (a *attempts) add(request, node string) *attempt {
	a.mu.Lock()
	defer a.mu.Unlock()
	one := &attempt{request: request, node: node, received: time.Now()}
	a.all = append(a.all, one)
	return one
}

// finish notes that an attempt is over; only the first call counts.
func (a *attempts) finish(one *attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if one.over.IsZero() {
		one.over = time.Now()
	}
}

// node is a stand-in for an index node that speaks plain lines and channels.
type node struct {
	bench    *bench
	id       string
	addr     string
	attempts *attempts
	setUp    time.Duration // it takes to set up a connection
	message  time.Duration // it takes to answer a line
	load     int           // of a connection, in microseconds of work a second, told after UP; 0: not told
	channels bool          // it speaks channels
	download bool          // each client on a plain connection gets lines for as long as that lasts
	drained  chan struct{} // closed when the node drains
	updating chan struct{} // closed when the node sends its clients what it has for them
	// update writes what the node still has for a client when it drains; nil: nothing.
	update func(w io.Writer, request string)

	mu     sync.Mutex
	slower float64 // so many times; 0: as ever
	hung   bool
	awake  chan struct{} // closed while it does not hang
	gates  map[*gate]bool
}

func startNode(b *bench, id string, all *attempts) (*node, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &node{
		bench: b, id: id, addr: listener.Addr().String(), attempts: all,
		awake: make(chan struct{}), drained: make(chan struct{}),
		updating: make(chan struct{}), gates: map[*gate]bool{},
	}
	close(n.awake)
	go func() {
		for {
			raw, err := listener.Accept()
			if err != nil {
				return
			}
			go n.serve(raw)
		}
	}()
	return n, nil
}

// hang makes the node take everything and answer nothing, until wake.
func (n *node) hang() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bench.logf("node %s hangs: it takes requests and answers none", n.id)
	n.hung, n.awake = true, make(chan struct{})
}

func (n *node) wake() {
	n.mu.Lock()
	n.bench.logf("node %s answers again", n.id)
	n.hung = false
	close(n.awake)
	gates := n.gates
	n.gates = map[*gate]bool{}
	n.mu.Unlock()
	for g := range gates {
		g.flush()
	}
}

// waitAwake waits while the node hangs.
func (n *node) waitAwake() {
	n.mu.Lock()
	awake := n.awake
	n.mu.Unlock()
	<-awake
}

// gate is a connection of a node that sends nothing while the node hangs.
type gate struct {
	net.Conn
	node *node
	mu   sync.Mutex
	held []byte
}

func (g *gate) Write(b []byte) (int, error) {
	g.node.mu.Lock()
	hung := g.node.hung
	if hung {
		g.node.gates[g] = true
	}
	g.node.mu.Unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	if hung || len(g.held) > 0 {
		g.held = append(g.held, b...)
		return len(b), nil
	}
	return g.Conn.Write(b)
}

func (g *gate) flush() {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, _ = g.Conn.Write(g.held)
	g.held = nil
}

func (n *node) serve(raw net.Conn) {
	g := &gate{Conn: raw, node: n}
	defer func() { _ = raw.Close() }()
	reader := bufio.NewReaderSize(g, 64<<10)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		line = strings.TrimRight(line, "\r\n")
		switch {
		case line == "PING":
			_, _ = fmt.Fprint(g, "PONG\r\n")
		case strings.HasPrefix(line, "SSH-") && n.channels:
			n.serveChannels(g, reader)
			return
		case strings.HasPrefix(line, "OPEN "):
			n.servePlain(g, reader, line)
			return
		default:
			_, _ = fmt.Fprint(g, "SYNTAX\r\n")
			return
		}
	}
}

// requestID returns the id in a first line.
func requestID(line string) string {
	fields := strings.Fields(line)
	if len(fields) < 2 {
		return ""
	}
	return fields[1]
}

// servePlain serves a connection from its first line on.
func (n *node) servePlain(g *gate, reader *bufio.Reader, first string) {
	one := n.attempts.add(requestID(first), n.id)
	n.bench.logf("node %s: %s", n.id, first)
	defer n.over(one)
	lines := make(chan string, 256)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		readLines(reader, lines)
		n.attempts.finish(one)
	}()
	if n.drains() {
		n.bench.logf("node %s: BUSY to %s", n.id, one.request)
		_, _ = fmt.Fprint(g, "BUSY\r\n")
		return
	}
	if !prepare(n, one, ended) {
		return
	}
	n.run(one)
	_, _ = fmt.Fprintf(g, "UP r-%s-%s\r\n", n.id, one.request)
	if n.load > 0 {
		_, _ = fmt.Fprintf(g, "LOAD %d\r\n", n.load)
	}
	if n.download {
		n.sendDownload(g, lines)
		return
	}
	updating := n.updating
	for {
		select {
		case line := <-lines:
			n.answer(g, line)
		case <-updating:
			updating = nil
			n.sendUpdate(g, one)
		case <-n.drained:
			n.sendUpdate(g, one)
			_, _ = fmt.Fprint(g, "MOVE\r\n")
			return
		case <-ended:
			return
		}
	}
}

// prepare does what a node has to do before UP. It returns false if the attempt is given up meanwhile, as the end of
// givenUp tells.
func prepare[T any, C chan T | <-chan T](n *node, one *attempt, givenUp C) bool {
	n.waitAwake()
	time.Sleep(n.scaled(n.setUp))
	n.waitAwake()
	select {
	case <-givenUp:
		n.bench.logf("node %s: %s was given up before UP", n.id, one.request)
		return false
	default:
		return true
	}
}

// scaled returns how long the node needs for what it usually does in span.
func (n *node) scaled(span time.Duration) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.slower > 0 {
		return time.Duration(float64(span) * n.slower)
	}
	return span
}

// slow makes the node so many times slower; 0 makes it as fast as ever.
func (n *node) slow(times float64) {
	n.bench.logf("node %s runs %v times slower (0: as ever)", n.id, times)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.slower = times
}

// run notes that a request runs here.
func (n *node) run(one *attempt) {
	n.attempts.mu.Lock()
	one.up = time.Now()
	n.attempts.mu.Unlock()
	n.bench.logf("node %s: %s runs, UP", n.id, one.request)
}

func (n *node) over(one *attempt) {
	n.attempts.finish(one)
	n.bench.logf("node %s: %s is over", n.id, one.request)
}

// updateAll makes the node send each client what it has for it.
func (n *node) updateAll() {
	n.bench.logf("node %s sends what it has", n.id)
	close(n.updating)
}

// drain makes the node send all its clients away at once.
func (n *node) drain() {
	n.bench.logf("node %s drains", n.id)
	close(n.drained)
}

// drains reports whether the node drains, and so wants nothing new.
func (n *node) drains() bool {
	select {
	case <-n.drained:
		return true
	default:
		return false
	}
}

func (n *node) sendUpdate(w io.Writer, one *attempt) {
	if n.update != nil {
		n.update(w, one.request)
	}
	n.bench.logf("node %s: %s has all that was for it", n.id, one.request)
}

func (n *node) answer(w io.Writer, line string) {
	time.Sleep(n.scaled(n.message))
	_, _ = fmt.Fprintf(w, "OK %s\r\n", line)
}

// serveChannels serves a connection with channels, whose identification line has been read.
func (n *node) serveChannels(g *gate, reader *bufio.Reader) {
	conn, err := sshchan.Server(g, reader, 64<<10)
	if err != nil {
		return
	}
	for {
		ch := conn.Accept()
		if ch == nil {
			return
		}
		go n.serveChannel(conn, ch)
	}
}

func (n *node) serveChannel(conn *sshchan.Conn, ch *sshchan.Channel) {
	one := n.attempts.add(requestID(ch.Line), n.id)
	n.bench.logf("node %s, channel: %s", n.id, ch.Line)
	defer n.over(one)
	if n.drains() {
		n.bench.logf("node %s: BUSY to %s", n.id, one.request)
		_ = ch.Refuse(sshchan.ResourceShortage, "BUSY")
		return
	}
	if !prepare(n, one, ch.Answered()) { // ends with the connection
		return
	}
	n.run(one)
	if ch.Confirm(fmt.Sprintf("UP r-%s-%s", n.id, one.request)) != nil || conn.Err() != nil {
		return
	}
	lines := make(chan string, 256)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		readLines(ch, lines)
		n.attempts.finish(one)
	}()
	updating := n.updating
	for {
		select {
		case line := <-lines:
			n.answer(ch, line)
		case <-updating:
			updating = nil
			n.sendUpdate(ch, one)
		case <-n.drained:
			n.sendUpdate(ch, one)
			_ = ch.Move("")
			<-ended
			return
		case <-ended:
			_ = ch.Close()
			return
		}
	}
}

// readLines passes on the lines that come from r, until its end.
func readLines(r io.Reader, lines chan<- string) {
	reader := bufio.NewReader(r)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		lines <- strings.TrimRight(line, "\r\n")
	}
}
