package members

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// node is a stand-in server. It records the times at which connections are set up, and at which it is probed, whether
// or not the probe asks for a load report.
type node struct {
	listener net.Listener

	mu          sync.Mutex
	setUps      []time.Time
	probes      []time.Time
	connections int
}

// startNode starts a node on a free loopback port.
func startNode() (*node, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &node{listener: ln}
	go n.accept()
	return n, nil
}

// accept serves connections until the listener is closed.
func (n *node) accept() {
	for {
		conn, err := n.listener.Accept()
		if err != nil {
			return
		}
		go n.serve(conn)
	}
}

// instance returns a server's entry in the format of discovery. The zero time for started means long ago.
func instance(i int, addr net.Addr, started time.Time) any {
	startedMillis := int64(0)
	if !started.IsZero() {
		startedMillis = started.UnixMilli()
	}
	return map[string]any{
		"instanceId":  fmt.Sprintf("s-%08x", i+1),
		"hostPort":    addr.String(),
		"zone":        "a",
		"machineType": "m",
		"cell":        i,
		"lifecycle":   "Ready",
		"weight":      1,
		"startedAtMs": startedMillis,
	}
}

// serve answers probes until it receives OPEN, and from then on echoes lines until the connection ends.
func (n *node) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	established := false
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		answer := line
		if !established {
			word, _, _ := strings.Cut(strings.TrimSpace(line), " ")
			switch word {
			case "OPEN":
				established = true
				n.recordSetUp()
				defer n.recordEnd()
				answer = "UP 1\r\n"
			case "PING":
				n.recordProbe()
				answer = "PONG\r\n"
			case "STATS":
				answer = fmt.Sprintf("PONG queue=0,qps=0,x0=%.3f\r\n", float64(n.recordProbe())/connectionsPerLoad)
			}
		}
		if _, err := conn.Write([]byte(answer)); err != nil {
			return
		}
	}
}

// connectionsPerLoad is the number of connections at which a node reports a load of 1.
const connectionsPerLoad = 100

func (n *node) recordSetUp() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.setUps = append(n.setUps, time.Now())
	n.connections++
}

func (n *node) recordEnd() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.connections--
}

// recordProbe records a probe, and returns the number of established connections.
func (n *node) recordProbe() (connections int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.probes = append(n.probes, time.Now())
	return n.connections
}

// setUpsBetween returns the number of connections that were set up in the half-open interval [from, to).
func (n *node) setUpsBetween(from, to time.Time) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return countBetween(n.setUps, from, to)
}

// probesBetween returns the number of probes in the half-open interval [from, to).
func (n *node) probesBetween(from, to time.Time) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return countBetween(n.probes, from, to)
}

func countBetween(times []time.Time, from, to time.Time) (count int) {
	for _, t := range times {
		if !t.Before(from) && t.Before(to) {
			count++
		}
	}
	return count
}
