// Package requestids decides whether a request's id is a duplicate. It holds the ids of the requests that are being
// served and of the last MaxFinished that are over; it has no clock and no sockets.
//
// The invariant: of the ids that are over, the most recent MaxFinished are known and no others.
package requestids

// MaxFinished is how many ids of requests that are over are known. It bounds the memory that clients can use up with
// new ids; a duplicate that comes later is rejected by its server.
const MaxFinished = 1024

// Set is the set of known ids.
type Set struct {
	known  map[uint64]bool // known ids; true while the request is being served
	recent []uint64        // ring of ids that are over
	next   int             // the entry of the ring that is overwritten next
}

// New returns an empty set.
func New() *Set {
	return &Set{known: map[uint64]bool{}, recent: make([]uint64, 0, MaxFinished)}
}

// Known reports whether the request is being served, or was among the last that were.
func (s *Set) Known(id uint64) bool {
	_, known := s.known[id]
	return known
}

// Add adds the id of a new request. It returns false, and changes nothing, for a duplicate: the protocol asks for a new
// id with each connection, and a server rejects one that it has seen.
func (s *Set) Add(id uint64) bool {
	if s.Known(id) {
		return false
	}
	s.known[id] = true
	return true
}

// Finish notes that the request with this id is over. The oldest finished id is forgotten for it once MaxFinished are
// known.
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

// Len is the number of known ids.
func (s *Set) Len() int { return len(s.known) }
