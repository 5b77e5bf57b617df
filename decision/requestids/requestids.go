// Package requestids decides whether a request's id is a duplicate. It holds the ids of the requests that are being
// served and of the last MaxFinished requests that have finished. It has no clock and no sockets.
//
// Invariant: of the ids of finished requests, the most recent MaxFinished are known and no others.
package requestids

// MaxFinished is the number of finished requests whose ids are known. It bounds the memory that clients can use up with
// new ids; a duplicate that comes later is rejected by its server.
const MaxFinished = 1024

// Set is the set of known ids.
type Set struct {
	known  map[uint64]bool // value is true while the request is being served
	recent []uint64        // ring buffer of ids of finished requests
	next   int             // index in recent that is overwritten next
}

// New returns an empty set.
func New() *Set {
	return &Set{known: map[uint64]bool{}, recent: make([]uint64, 0, MaxFinished)}
}

// Known reports whether the request is being served or is among the last MaxFinished that have finished.
func (s *Set) Known(id uint64) bool {
	_, known := s.known[id]
	return known
}

// Add adds the id of a new request. It returns false, and changes nothing, for a duplicate: the protocol requires a new
// id for each connection, and a server rejects an id that it has seen.
func (s *Set) Add(id uint64) bool {
	if s.Known(id) {
		return false
	}
	s.known[id] = true
	return true
}

// Finish records that the request with this id has finished. Beyond MaxFinished finished requests, the id that finished
// first is forgotten.
func (s *Set) Finish(id uint64) {
	s.known[id] = false
	if len(s.recent) < MaxFinished {
		s.recent = append(s.recent, id)
		return
	}
	delete(s.known, s.recent[s.next])
	s.recent[s.next] = id
	s.next = (s.next + 1) % MaxFinished
}

// Finished returns the known ids of finished requests, the one that finished first in front.
func (s *Set) Finished() []uint64 {
	return append(append([]uint64(nil), s.recent[s.next:]...), s.recent[:s.next]...)
}

// AddFinished adds the id of a request that has finished in another process, unless it is known.
func (s *Set) AddFinished(id uint64) {
	if s.Add(id) {
		s.Finish(id)
	}
}

// Len returns the number of known ids.
func (s *Set) Len() int { return len(s.known) }
