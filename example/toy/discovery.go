package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// heartbeatInterval is how often a watch without changes gets a line: an empty one, or the list if weights fall with
// use.
const heartbeatInterval = time.Second

// discovery is an HTTP service that lists the nodes; watches get the whole list whenever one of them has changed.
type discovery struct {
	nodes  []*node
	pushed bool // nodes are listed with weights that fall with use

	mu         sync.Mutex
	generation int
	changed    chan struct{} // closed by the next change
}

// notifyWatches sends the list to all watches.
func (d *discovery) notifyWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	close(d.changed)
	d.changed = make(chan struct{})
}

// render is the list as text, and a channel that its next change closes.
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

// ServeHTTP answers GET /api/targets with the list, or with stream set watches it until the caller has gone.
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
