package proxy

// requestSet is an unordered set of requests. Each request stores its own index in the set, so that add and remove take
// constant time. Periodic work that runs several times a second iterates over a set of the requests concerned rather
// than over all requests: of 80,000 established ones, about a hundredth have an unanswered line.
type requestSet struct {
	members []*request
	index   func(*request) *int32 // field with the request's index in members plus 1; 0 if it is not a member
}

// add adds a request; it does nothing if the request is a member.
func (s *requestSet) add(r *request) {
	at := s.index(r)
	if *at != 0 {
		return
	}
	s.members = append(s.members, r)
	*at = int32(len(s.members))
}

// remove removes a request; it does nothing if the request is not a member.
func (s *requestSet) remove(r *request) {
	at := s.index(r)
	if *at == 0 {
		return
	}
	end := len(s.members) - 1
	last := s.members[end]
	s.members[*at-1] = last
	*s.index(last) = *at
	s.members[end] = nil
	s.members = s.members[:end]
	*at = 0
}

// each yields the members. During the iteration any member may be removed, not only the one just yielded; another
// member may then be yielded twice, but none is skipped.
func (s *requestSet) each(yield func(*request) bool) {
	for i := len(s.members) - 1; i >= 0; i-- {
		if i < len(s.members) && !yield(s.members[i]) {
			return
		}
	}
}
