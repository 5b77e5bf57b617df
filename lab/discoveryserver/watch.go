package discoveryserver

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// heartbeatInterval is the interval of empty lines on a watch without changes.
const heartbeatInterval = 2 * time.Second

// serve answers with the complete list or, with the parameter stream=1, sends changes after the generation in the
// parameter index.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	if query.Get("stream") != "1" {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.FullList()) // if the caller has disconnected, it needs no list
		return
	}
	generation, err := strconv.ParseUint(query.Get("index"), 10, 64)
	if err != nil {
		http.Error(w, "index is no number", http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	s.watch(w, r, generation)
}

// watch sends a line with the changes since a generation at once, and another after each change, with empty lines as
// heartbeats in between, until the caller disconnects.
func (s *Server) watch(w http.ResponseWriter, r *http.Request, generation uint64) {
	for first := true; ; first = false {
		s.mu.Lock()
		changed := s.changed
		l := s.changesSince(generation)
		s.mu.Unlock()
		line := []byte{}
		if first || l.Generation != generation {
			line, _ = json.Marshal(l) // can't fail: a List has only plain values
		}
		if _, err := fmt.Fprintf(w, "%s\n", line); err != nil {
			return
		}
		s.markAnnounced(generation, l.Generation)
		generation = l.Generation
		w.(http.Flusher).Flush()
		select {
		case <-changed:
		case <-time.After(heartbeatInterval):
		case <-r.Context().Done():
			return
		}
	}
}
