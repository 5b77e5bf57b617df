package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// heartbeatInterval is the time without changes after which a watch gets a line: an empty one, or the list if weights
// fall with use and so may have changed.
const heartbeatInterval = time.Second

// discovery is an HTTP service that lists the nodes. When a node starts to drain, all watches get the whole list.
type discovery struct {
	nodes  []*node
	pushed bool // the weights in the list fall with the number of connections

	mu         sync.Mutex
	generation int
	changed    chan struct{} // closed by the next change
}

// notifyWatches starts a new generation of the list, which all watches then send.
func (d *discovery) notifyWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	close(d.changed)
	d.changed = make(chan struct{})
}

// render returns the list as JSON, and a channel that is closed when the next generation starts.
func (d *discovery) render() (text string, changed <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var entries []string
	for _, n := range d.nodes {
		entries = append(entries, n.entry())
	}
	instances := strings.Join(entries, ",")
	text = fmt.Sprintf(`{"generation":%d,"reset":true,"instances":[%s]}`, d.generation, instances)
	return text, d.changed
}

// ServeHTTP answers GET /api/targets with the list. With the parameter stream it is a watch, which sends the list and
// its changes until the client disconnects.
func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/api/targets" {
		http.NotFound(w, r)
		return
	}
	text, changed := d.render()
	if r.URL.Query().Get("stream") == "" {
		_, _ = fmt.Fprintln(w, text)
		return
	}
	controller := http.NewResponseController(w)
	for {
		if _, err := fmt.Fprintln(w, text); err != nil {
			return
		}
		if err := controller.Flush(); err != nil {
			return
		}
		select {
		case <-changed:
			text, changed = d.render()
		case <-time.After(heartbeatInterval):
			text = ""
			if d.pushed {
				text, changed = d.render()
			}
		case <-r.Context().Done():
			return
		}
	}
}
