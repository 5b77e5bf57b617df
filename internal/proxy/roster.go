package proxy

// roster is some of the sessions, in no order. Each notes its place, so that coming and going cost the same however
// many there are. What happens several times a second goes over a roster of those that it concerns, and never over
// all sessions: of 80,000 that stand, a hundredth have a line under way.
type roster struct {
	all   []*session
	place func(*session) *int32 // where a session notes its place, from 1 on; 0 while it is not in
}

// add puts a session in, if it is not in.
func (q *roster) add(s *session) {
	at := q.place(s)
	if *at != 0 {
		return
	}
	q.all = append(q.all, s)
	*at = int32(len(q.all))
}

// drop takes a session out, if it is in.
func (q *roster) drop(s *session) {
	at := q.place(s)
	if *at == 0 {
		return
	}
	last := q.all[len(q.all)-1]
	q.all[*at-1] = last
	*q.place(last) = *at
	q.all[len(q.all)-1] = nil
	q.all = q.all[:len(q.all)-1]
	*at = 0
}

// each yields what is in. Sessions may leave meanwhile, also others than the one that was yielded; one may then be
// yielded twice.
func (q *roster) each(yield func(*session) bool) {
	for i := len(q.all) - 1; i >= 0; i-- {
		if i < len(q.all) && !yield(q.all[i]) {
			return
		}
	}
}
