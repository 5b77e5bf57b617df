// Package discoveryserver is the emulated discovery service: the list of nodes over HTTP, whole or as a watch on
// changes, with a configurable delay. Every balancer is sent the same.
package discoveryserver

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// The states in which a node is listed.
const (
	Ready       = "Ready"
	Terminating = "Terminating"
	Gone        = "Gone"
)

// Entry is one node as it is listed.
type Entry struct {
	ID        string  `json:"instanceId"`
	Addr      string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Machine   string  `json:"machineType"`
	Cell      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	Started   int64   `json:"startedAtMs"`
}

// List is one object of discovery's.
type List struct {
	Generation uint64  `json:"generation"`
	Reset      bool    `json:"reset"`
	Instances  []Entry `json:"instances"`
}

// Server is discovery.
type Server struct {
	late        time.Duration
	http        *http.Server
	addr        string
	mu          sync.Mutex
	log         []change // by generation
	wakeup      chan struct{}
	announcedAt map[uint64]time.Time // when a generation was first written to a watch
}

type change struct {
	generation uint64
	entry      Entry
}

// heartbeat is how often an empty line comes on a watch on which nothing changes.
const heartbeat = 2 * time.Second

// Start listens on loopback. What is set is told as late as late.
func Start(late time.Duration) (*Server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{
		late:        late,
		addr:        ln.Addr().String(),
		wakeup:      make(chan struct{}),
		announcedAt: map[uint64]time.Time{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/targets", s.serve)
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.http.Serve(ln) }() // ends with Close
	return s, nil
}

// Addr is where it listens.
func (s *Server) Addr() string { return s.addr }

// Close ends it, with all its watches.
func (s *Server) Close() error { return s.http.Close() }

// Set lists a node, from the lateness on. It returns the change's generation once it is listed.
func (s *Server) Set(e Entry) uint64 {
	time.Sleep(s.late)
	s.mu.Lock()
	defer s.mu.Unlock()
	g := uint64(len(s.log) + 1)
	s.log = append(s.log, change{g, e})
	close(s.wakeup)
	s.wakeup = make(chan struct{})
	return g
}

// AnnouncedAt is when a change was first written to a balancer; zero while it was not.
func (s *Server) AnnouncedAt(generation uint64) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.announcedAt[generation]
}

// FullList is the list as it stands, as a balancer's configuration may hold it.
func (s *Server) FullList() List {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.since(0)
}

// since gives what changed after a generation; under the mutex.
func (s *Server) since(after uint64) List {
	at := uint64(len(s.log))
	if after > at {
		after = 0 // of another discovery
	}
	l := List{Generation: at, Reset: after == 0, Instances: []Entry{}}
	last := map[string]int{}
	for _, c := range s.log[after:] {
		if i, had := last[c.entry.ID]; had {
			l.Instances[i] = c.entry
			continue
		}
		last[c.entry.ID] = len(l.Instances)
		l.Instances = append(l.Instances, c.entry)
	}
	if l.Reset {
		l.Instances = slices.DeleteFunc(l.Instances, func(e Entry) bool { return e.Lifecycle == Gone })
	}
	return l
}

func (s *Server) serve(w http.ResponseWriter, q *http.Request) {
	at, err := strconv.ParseUint(q.URL.Query().Get("index"), 10, 64)
	stream := q.URL.Query().Get("stream") == "1"
	if stream && err != nil {
		http.Error(w, "index is no number", http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if !stream {
		_ = json.NewEncoder(w).Encode(s.FullList()) // a caller that has gone misses nothing
		return
	}
	for first := true; ; first = false {
		s.mu.Lock()
		wakeup, l := s.wakeup, s.since(at)
		s.mu.Unlock()
		if first || l.Generation != at {
			text, _ := json.Marshal(l) // a struct of plain values
			if _, err := fmt.Fprintf(w, "%s\n", text); err != nil {
				return
			}
			s.mark(at, l.Generation)
			at = l.Generation
		} else if _, err := fmt.Fprint(w, "\n"); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		select {
		case <-wakeup:
		case <-time.After(heartbeat):
		case <-q.Context().Done():
			return
		}
	}
}

func (s *Server) mark(after, to uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for g := after + 1; g <= to; g++ {
		if _, had := s.announcedAt[g]; !had {
			s.announcedAt[g] = time.Now()
		}
	}
}
