package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// heartbeat is how often a watch says something: an empty line, or, where weights fall with use, the list with those of now.
const heartbeat = time.Second

// discovery lists the nodes, whole, whenever one of them has changed.
type discovery struct {
	nodes  []*node
	pushed bool

	mu         sync.Mutex
	generation int
	changed    chan struct{}
}

// notifyWatches has all watches say the list.
func (d *discovery) notifyWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *discovery) render() (string, chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var items []string
	for _, n := range d.nodes {
		items = append(items, n.entry())
	}
	return fmt.Sprintf(
		`{"generation":%d,"reset":true,"instances":[%s]}`,
		d.generation,
		strings.Join(items, ","),
	), d.changed
}

// ServeHTTP answers with the list, or watches it.
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
	out := http.NewResponseController(w)
	for {
		if _, err := fmt.Fprintln(w, text); err != nil || out.Flush() != nil {
			return
		}
		select {
		case <-changed:
			text, changed = d.render()
		case <-time.After(heartbeat):
			if text = ""; d.pushed {
				text, changed = d.render()
			}
		case <-r.Context().Done():
			return
		}
	}
}
