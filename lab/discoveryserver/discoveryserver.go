// Package discoveryserver emulates the discovery service. A Server publishes the list of nodes over HTTP, complete or
// as a watch of changes, with a configurable delay, and records when each change was first sent. All balancers get the
// same list. The package must not know how a balancer uses it.
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

// List is the complete list, or the changes since a generation.
type List struct {
	Generation uint64  `json:"generation"` // after the changes
	Reset      bool    `json:"reset"`      // the list is complete and replaces an earlier one
	Instances  []Entry `json:"instances"`
}

// Server is a discovery service. Its methods may be called from any goroutine.
type Server struct {
	delay time.Duration
	http  *http.Server
	addr  string

	mu          sync.Mutex
	changes     []Entry              // the change of generation g at index g-1
	changed     chan struct{}        // closed by the next change
	announcedAt map[uint64]time.Time // when a generation was first sent on a watch
}

// headerTimeout bounds the time to read a request's header.
const headerTimeout = 5 * time.Second

// Start starts a server on loopback. Changes are published after the delay.
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

// Addr returns the address at which the server listens.
func (s *Server) Addr() string { return s.addr }

// Close stops the server and ends all watches.
func (s *Server) Close() error { return s.http.Close() }

// Publish waits for the delay, publishes a node's entry, and returns the generation of this change.
func (s *Server) Publish(e Entry) uint64 {
	time.Sleep(s.delay)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes = append(s.changes, e)
	close(s.changed)
	s.changed = make(chan struct{})
	return uint64(len(s.changes))
}

// AnnouncedAt returns the time at which a change was first sent on a watch; zero if it has not been sent.
func (s *Server) AnnouncedAt(generation uint64) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.announcedAt[generation]
}

// FullList returns the current list, which may also be part of a balancer's configuration.
func (s *Server) FullList() List {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changesSince(0)
}

// changesSince returns the last entry of each node that has changed after a generation. For generation 0, and for one
// greater than the current generation, which must come from another server, it returns the complete list without nodes
// that are gone. The caller holds the mutex.
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

// markAnnounced records that all changes later than the generation after, up to the generation to, have been sent.
func (s *Server) markAnnounced(after, to uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for generation := after + 1; generation <= to; generation++ {
		if _, ok := s.announcedAt[generation]; !ok {
			s.announcedAt[generation] = time.Now()
		}
	}
}
