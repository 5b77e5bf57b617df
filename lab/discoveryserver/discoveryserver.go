// Package discoveryserver is the emulated discovery service. It publishes the list of nodes over HTTP, whole or as a
// watch of changes, with a configurable delay, and notes when a change was first sent. Every balancer gets the same
// list. It must not know what a balancer does with it.
package discoveryserver

import (
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// The lifecycle states of a node.
const (
	Ready       = "Ready"
	Terminating = "Terminating"
	Gone        = "Gone"
)

// Entry is one node of the list.
type Entry struct {
	ID              string  `json:"instanceId"`
	Addr            string  `json:"hostPort"`
	Zone            string  `json:"zone"`
	MachineType     string  `json:"machineType"`
	Cell            int     `json:"cell"`
	Lifecycle       string  `json:"lifecycle"`
	Weight          float64 `json:"weight"`
	StartedAtMillis int64   `json:"startedAtMs"` // milliseconds since 1970; 0: long ago
}

// List is the whole list, or the changes since a generation.
type List struct {
	Generation uint64  `json:"generation"` // after the changes
	Reset      bool    `json:"reset"`      // it is the whole list
	Instances  []Entry `json:"instances"`
}

// Server is the service. Its methods may be called from any goroutine.
type Server struct {
	delay time.Duration
	http  *http.Server
	addr  string

	mu          sync.Mutex
	changes     []Entry              // the change of generation g at index g-1
	changed     chan struct{}        // closed by the next change
	announcedAt map[uint64]time.Time // when a generation was first sent on a watch
}

// headerTimeout bounds how long a request's header may take.
const headerTimeout = 5 * time.Second

// Start starts a service on loopback. A change is published after the delay.
func Start(delay time.Duration) (*Server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{
		delay:       delay,
		addr:        ln.Addr().String(),
		changed:     make(chan struct{}),
		announcedAt: map[uint64]time.Time{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/targets", s.serve)
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	go func() { _ = s.http.Serve(ln) }() // ends with Close
	return s, nil
}

// Addr is the address at which it listens.
func (s *Server) Addr() string { return s.addr }

// Close ends the service, with all watches.
func (s *Server) Close() error { return s.http.Close() }

// Publish publishes a node's entry after the delay, and then returns the change's generation.
func (s *Server) Publish(e Entry) uint64 {
	time.Sleep(s.delay)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes = append(s.changes, e)
	close(s.changed)
	s.changed = make(chan struct{})
	return uint64(len(s.changes))
}

// AnnouncedAt is when a change was first sent on a watch; zero if it was not yet.
func (s *Server) AnnouncedAt(generation uint64) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.announcedAt[generation]
}

// FullList is the present list, as a balancer's configuration may have it.
func (s *Server) FullList() List {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changesSince(0)
}

// changesSince is what has changed after a generation, the last entry of each node only. It is the whole list,
// without nodes that are gone, for generation 0 and for one of another service. The caller holds the mutex.
func (s *Server) changesSince(generation uint64) List {
	current := uint64(len(s.changes))
	if generation > current {
		generation = 0
	}
	l := List{Generation: current, Reset: generation == 0, Instances: []Entry{}}
	indexes := map[string]int{}
	for _, e := range s.changes[generation:] {
		if i, ok := indexes[e.ID]; ok {
			l.Instances[i] = e
			continue
		}
		indexes[e.ID] = len(l.Instances)
		l.Instances = append(l.Instances, e)
	}
	if l.Reset {
		l.Instances = slices.DeleteFunc(l.Instances, func(e Entry) bool { return e.Lifecycle == Gone })
	}
	return l
}

// markAnnounced notes that the generations after the first one, up to the second, are sent.
func (s *Server) markAnnounced(after, to uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for generation := after + 1; generation <= to; generation++ {
		if _, ok := s.announcedAt[generation]; !ok {
			s.announcedAt[generation] = time.Now()
		}
	}
}
