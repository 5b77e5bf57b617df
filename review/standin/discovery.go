//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// server is a server in discovery's list.
type server struct {
	ID        string  `json:"instanceId"`
	HostPort  string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"machineType"`
	Cell      int     `json:"cell"`
	State     string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	StartedAt int64   `json:"startedAtMs"`
}

type update struct {
	Generation int      `json:"generation"`
	Reset      bool     `json:"reset"`
	Instances  []server `json:"instances"`
}

// heartbeat is the time after which a watch without changes gets an empty line.
const heartbeat = 2 * time.Second

// discovery is a stand-in for service discovery, as PROTOCOL describes it.
type discovery struct {
	bench *bench
	addr  string

	mu         sync.Mutex
	wait       time.Duration // of a call until its turn
	calls      int
	servers    []server
	changedAt  map[string]int // generation of each server's last change
	generation int
	changed    chan struct{} // closed at each change
}

func startDiscovery(b *bench) (*discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{
		bench: b, addr: listener.Addr().String(),
		changedAt: map[string]int{}, generation: 1, changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/api/targets", d.serve)
	go func() { _ = http.Serve(listener, mux) }()
	return d, nil
}

// set adds a server to the list, or changes it.
func (d *discovery) set(s server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	d.changedAt[s.ID] = d.generation
	d.bench.logf("discovery: %s is %s at %s (generation %d)", s.ID, s.State, s.HostPort, d.generation)
	found := false
	for i := range d.servers {
		if d.servers[i].ID == s.ID {
			d.servers[i], found = s, true
		}
	}
	if !found {
		d.servers = append(d.servers, s)
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// full returns the whole list.
func (d *discovery) full() update {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.since(0)
}

// since returns what has changed after a generation, or the whole list for one that is not known. The caller holds mu.
func (d *discovery) since(generation int) update {
	u := update{Generation: d.generation, Reset: generation <= 0 || generation > d.generation, Instances: []server{}}
	for _, s := range d.servers {
		if u.Reset && s.State != "Gone" || !u.Reset && d.changedAt[s.ID] > generation {
			u.Instances = append(u.Instances, s)
		}
	}
	return u
}

// crowd makes calls wait so long for their turn.
func (d *discovery) crowd(wait time.Duration) {
	d.bench.logf("discovery: a call waits %v for its turn", wait)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.wait = wait
}

// await waits for the turn of a call. It returns false if the caller has gone by then.
func (d *discovery) await(r *http.Request) bool {
	d.mu.Lock()
	d.calls++
	call, wait := d.calls, d.wait
	d.mu.Unlock()
	d.bench.logf("discovery: call %d from %s: %s", call, r.RemoteAddr, r.URL)
	select {
	case <-time.After(wait):
		d.bench.logf("discovery: call %d is answered", call)
		return true
	case <-r.Context().Done():
		d.bench.logf("discovery: call %d was given up by its caller", call)
		return false
	}
}

func (d *discovery) serve(w http.ResponseWriter, r *http.Request) {
	if !d.await(r) {
		return
	}
	if r.URL.Query().Get("stream") != "1" {
		_ = json.NewEncoder(w).Encode(d.full())
		return
	}
	generation, _ := strconv.Atoi(r.URL.Query().Get("index"))
	for first := true; ; first = false {
		d.mu.Lock()
		u, changed := d.since(generation), d.changed
		d.mu.Unlock()
		if first || len(u.Instances) > 0 {
			text, _ := json.Marshal(u)
			_, _ = fmt.Fprintf(w, "%s\n", text)
		} else {
			_, _ = fmt.Fprint(w, "\n")
		}
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		generation = u.Generation
		select {
		case <-changed:
		case <-time.After(heartbeat):
		case <-r.Context().Done():
			return
		}
	}
}
