// Command toy runs two index nodes, and discovery for them, to try the balancer by hand. Entering a node's number (1 or
// 2) makes that node drain. With --pushed the nodes send the load of each connection and answer STATS with a load
// report, and discovery acts as an agent that pushes lists in which weights fall with use.
package main

import (
	"bufio"
	"flag"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
)

func main() {
	pushed := flag.Bool("pushed", false, "nodes report load, and a pushed list has weights that fall with use")
	nodes := flag.String("nodes", "127.0.0.1:9001,127.0.0.1:9002", "comma-separated listen addresses of the nodes")
	list := flag.String("discovery", "127.0.0.1:8500", "listen address of discovery, or of its agent")
	flag.Parse()
	var listeners []net.Listener
	for _, addr := range strings.Split(*nodes, ",") {
		listeners = append(listeners, listen(addr))
	}
	d := startNodes(listeners, *pushed)
	go d.drainOnInput(os.Stdin)
	log.Fatal(http.Serve(listen(*list), d))
}

// listen listens on an address, and exits the program on an error.
func listen(addr string) net.Listener {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		log.Fatal(err)
	}
	return ln
}

// startNodes starts a node on each listener, and returns the discovery that lists them.
func startNodes(listeners []net.Listener, pushed bool) *discovery {
	d := &discovery{pushed: pushed, generation: 1, changed: make(chan struct{})}
	for i, ln := range listeners {
		n := &node{
			name:        "toy-" + strconv.Itoa(i+1),
			addr:        ln.Addr().String(),
			reportsLoad: pushed,
			loads:       map[net.Conn]float64{},
		}
		d.nodes = append(d.nodes, n)
		go n.accept(ln)
	}
	return d
}

// drainOnInput reads lines until the input ends, and drains the node whose number a line has. It ignores other lines.
func (d *discovery) drainOnInput(in io.Reader) {
	for lines := bufio.NewScanner(in); lines.Scan(); {
		number, err := strconv.Atoi(strings.TrimSpace(lines.Text()))
		if err == nil && number > 0 && number <= len(d.nodes) {
			d.nodes[number-1].drain()
			d.notifyWatches()
		}
	}
}
