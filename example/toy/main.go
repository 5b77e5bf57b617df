// Command toy is two index nodes and discovery for them, enough to try the balancer by hand. Typing a node's number
// (1 or 2) makes it drain. With --pushed the nodes report the loads of connections, answer STATS with a load report,
// and are listed with weights that fall with use, by an agent that pushes the list.
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
	pushed := flag.Bool("pushed", false, "nodes that tell their load, with a list that is pushed")
	nodes := flag.String("nodes", "127.0.0.1:9001,127.0.0.1:9002", "where the nodes listen")
	list := flag.String("discovery", "127.0.0.1:8500", "where discovery, or its agent, listens")
	flag.Parse()
	var listeners []net.Listener
	for _, addr := range strings.Split(*nodes, ",") {
		listeners = append(listeners, listen(addr))
	}
	d := startNodes(listeners, *pushed)
	go d.drainOnInput(os.Stdin)
	log.Fatal(http.Serve(listen(*list), d))
}

// listen listens at an address, and ends the program if it can't.
func listen(addr string) net.Listener {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		log.Fatal(err)
	}
	return ln
}

// startNodes starts a node at each listener, and returns their discovery.
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

// drainOnInput drains the node of each number that is read, until the input ends.
func (d *discovery) drainOnInput(in io.Reader) {
	for lines := bufio.NewScanner(in); lines.Scan(); {
		number, err := strconv.Atoi(strings.TrimSpace(lines.Text()))
		if err == nil && number > 0 && number <= len(d.nodes) {
			d.nodes[number-1].drain()
			d.notifyWatches()
		}
	}
}
