package proxy

// requestSet is some of the sessions, in no order. Each notes its place, so that coming and going cost the same however
// many there are. What happens several times a second goes over a roster of those that it concerns, and never over
// all sessions: of 80,000 that stand, a hundredth have a line under way.
type requestSet struct {
	members []*request
	index   func(*request) *int32 // where a session notes its place, from 1 on; 0 while it is not in
}

// add puts a session in, if it is not in.
func (q *requestSet) add(s *request) {
	at := q.index(s)
	if *at != 0 {
		return
	}
	q.members = append(q.members, s)
	*at = int32(len(q.members))
}

// remove takes a session out, if it is in.
func (q *requestSet) remove(s *request) {
	at := q.index(s)
	if *at == 0 {
		return
	}
	last := q.members[len(q.members)-1]
	q.members[*at-1] = last
	*q.index(last) = *at
	q.members[len(q.members)-1] = nil
	q.members = q.members[:len(q.members)-1]
	*at = 0
}

// each yields what is in. Sessions may leave meanwhile, also others than the one that was yielded; one may then be
// yielded twice.
func (q *requestSet) each(yield func(*request) bool) {
	for i := len(q.members) - 1; i >= 0; i-- {
		if i < len(q.members) && !yield(q.members[i]) {
			return
		}
	}
}
