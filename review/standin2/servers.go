//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// instance is a server as discovery lists it.
type instance struct {
	ID          string  `json:"instanceId"`
	Addr        string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"`
}

// update is an object that discovery sends.
type update struct {
	Generation int        `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []instance `json:"instances"`
}

// discovery is the platform's discovery: it answers each call at once with the whole list, and a watch with every
// change.
type discovery struct {
	w    *world
	addr string

	mu         sync.Mutex
	generation int
	instances  []instance
	changed    chan struct{} // closed at the next change
}

func startDiscovery(w *world) (*discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{w: w, addr: l.Addr().String(), generation: 1, changed: make(chan struct{})}
	go func() { _ = http.Serve(l, d) }()
	return d, nil
}

// set changes the list.
func (d *discovery) set(instances []instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.instances = instances
	d.generation++
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *discovery) list() update {
	u, _ := d.next()
	return u
}

// next returns the whole list and a channel that is closed when it changes.
func (d *discovery) next() (update, chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return update{Generation: d.generation, Reset: true, Instances: append([]instance{}, d.instances...)}, d.changed
}

// ServeHTTP answers a call or a watch.
func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	for {
		u, changed := d.next()
		text, _ := json.Marshal(u)
		_, _ = fmt.Fprintf(w, "%s\n", text)
		if r.URL.Query().Get("stream") == "" {
			return
		}
		for told := false; !told; {
			w.(http.Flusher).Flush()
			select {
			case <-changed:
				told = true
			case <-time.After(2 * time.Second):
				_, _ = fmt.Fprint(w, "\n")
			case <-r.Context().Done():
				return
			}
		}
	}
}

// node is a sound server that speaks plain lines: it says UP to each first line and answers every line at once.
type node struct {
	w    *world
	id   string
	addr string

	mu       sync.Mutex
	asked    map[string]int // first lines by id
	standing int

	stream func(c net.Conn, id string) // sends a stream, which then ends; nil to answer lines
}

func startNode(w *world, id string) (*node, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &node{w: w, id: id, addr: l.Addr().String(), asked: map[string]int{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go n.serve(c)
		}
	}()
	return n, nil
}

// nodeCount is the number of servers of a case.
const nodeCount = 4

// startNodes starts the servers and has discovery list them.
func startNodes(w *world) ([]*node, error) {
	var nodes []*node
	var listed []instance
	for i := range nodeCount {
		server, err := startNode(w, fmt.Sprintf("s-%d", i))
		if err != nil {
			return nil, err
		}
		nodes = append(nodes, server)
		listed = append(listed, server.listing("Ready"))
	}
	w.discovery.set(listed)
	return nodes, nil
}

func (n *node) listing(lifecycle string) instance {
	return instance{
		ID: n.id, Addr: n.addr, Zone: "here", MachineType: "standard", Lifecycle: lifecycle, Weight: 1,
	}
}

func (n *node) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for first := true; ; {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		line = strings.TrimRight(line, "\r\n")
		switch {
		case !first:
			_, _ = fmt.Fprintf(c, "OK %s\r\n", line)
		case line == "STATS":
			_, _ = fmt.Fprint(c, "PONG queue=0,qps=1,x0=0.1\r\n")
		case line == "PING":
			_, _ = fmt.Fprint(c, "PONG\r\n")
		case strings.HasPrefix(line, "OPEN "):
			first = false
			id := strings.Fields(line)[1]
			n.open(id)
			defer n.closed()
			n.w.logf("%s ran %s", n.id, line)
			_, _ = fmt.Fprintf(c, "UP %s-%s\r\n", n.id, id)
			if n.stream != nil {
				n.stream(c, id)
				return
			}
		default:
			n.w.logf("%s was sent %q", n.id, line)
			_, _ = fmt.Fprint(c, "SYNTAX\r\n")
			return
		}
	}
}

func (n *node) open(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.asked[id]++
	n.standing++
}

func (n *node) closed() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.standing--
}
