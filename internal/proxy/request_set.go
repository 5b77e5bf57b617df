package proxy

// requestSet is a set of requests, in no order. Each request notes its index in it, so that adding and removing cost
// the same however many there are. What happens several times a second iterates over a set of those that it concerns,
// and never over all requests: of 80,000 that are established, a hundredth have an unanswered line.
type requestSet struct {
	members []*request
	index   func(*request) *int32 // where a request notes its index, from 1 on; 0 while it is not in
}

// add puts a request in, if it is not in.
func (s *requestSet) add(r *request) {
	at := s.index(r)
	if *at != 0 {
		return
	}
	s.members = append(s.members, r)
	*at = int32(len(s.members))
}

// remove takes a request out, if it is in.
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

// each yields the members. Requests may be removed meanwhile, also others than the one that was yielded; one may then
// be yielded twice.
func (s *requestSet) each(yield func(*request) bool) {
	for i := len(s.members) - 1; i >= 0; i-- {
		if i < len(s.members) && !yield(s.members[i]) {
			return
		}
	}
}
