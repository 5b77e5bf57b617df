package eventloop

import (
	"net/netip"
	"slices"
	"testing"

	"golang.org/x/sys/unix"
)

// A Ref of an earlier use of a slot is not found.
func TestStaleRefFindsNothing(t *testing.T) {
	var s Slots[int]
	stale := s.Put(1)
	s.Drop(stale)
	for i := range 5000 {
		r := s.Put(i)
		if _, ok := s.Get(stale); ok && i < 4000 || r == 0 {
			t.Fatalf("use %d: a stale Ref is found, or the new Ref %d is zero", i, r)
		}
		s.Drop(r)
		s.Drop(r) // a second time does nothing
	}
	if s.Len() != 0 || len(s.slots) > 100 {
		t.Fatalf("%d in use, %d slots, want 0 and at most 100", s.Len(), len(s.slots))
	}
	if _, ok := s.Get(0); ok {
		t.Fatal("the zero Ref is found")
	}
}

// All yields the used slots in order, also if slots are freed during the iteration.
func TestSlotsAll(t *testing.T) {
	var s Slots[int]
	refs := []Ref{s.Put(0), s.Put(1), s.Put(2)}
	s.Drop(refs[1])
	var got []int
	for r, v := range s.All {
		got = append(got, v)
		s.Drop(r)
	}
	if !slices.Equal(got, []int{0, 2}) || s.Len() != 0 {
		t.Fatalf("All yielded %v, %d left, want 0 and 2, and none left", got, s.Len())
	}
}

// Deadlines run ordered by time, then in the order in which they were set; cancelled ones do not run.
func TestDeadlines(t *testing.T) {
	var d deadlines
	var got []int
	record := func(i int) func() { return func() { got = append(got, i) } }
	d.set(30, record(3))
	d.set(10, record(1))
	cancelled := d.set(20, record(9))
	d.set(10, record(2))
	d.cancel(cancelled)
	d.cancel(cancelled)
	if at, ok := d.next(); !ok || at != 10 {
		t.Fatalf("next deadline at %d, %v, want 10 and true", at, ok)
	}
	d.run(10)
	// A deadline that is set by a callback runs in the next turn, even if it is due already.
	d.set(10, func() { d.set(10, record(7)) })
	d.run(25)
	if !slices.Equal(got, []int{1, 2}) {
		t.Fatalf("deadlines %v ran until 25, want 1 and 2", got)
	}
	d.run(40)
	if !slices.Equal(got, []int{1, 2, 7, 3}) || d.slots.Len() != 0 {
		t.Fatalf("deadlines %v ran until 40, %d left, want 1, 2, 7 and 3, and none left", got, d.slots.Len())
	}
}

// A listener that runs out of descriptors pauses, since it stays readable and would make the loop spin, and then
// resumes.
func TestListenerSurvivesEMFILE(t *testing.T) {
	l, err := New()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	accepted := 0
	ln, err := l.Listen(netip.MustParseAddrPort("127.0.0.1:0"), func(func(Owner) (*Conn, error)) {
		accepted++
		l.Stop()
	})
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	sa, family := sockaddr(ln.Addr())
	fd, err := l.socket(family)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = unix.Close(fd) }()
	if err := unix.Connect(fd, sa); err != nil && err != unix.EINPROGRESS {
		t.Fatal(err)
	}
	var previous unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &previous); err != nil {
		t.Fatal(err)
	}
	if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: 1, Max: previous.Max}); err != nil {
		t.Fatal(err)
	}
	ln.handleEvents(0)
	if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &previous); err != nil {
		t.Fatal(err)
	}
	if accepted != 0 || ln.resumeTimer == 0 {
		t.Fatalf("accepted %d, resume timer %d, want 0 and a timer", accepted, ln.resumeTimer)
	}
	if err := l.Run(); err != nil || accepted != 1 {
		t.Fatalf("loop ended with %v, accepted %d, want no error and 1", err, accepted)
	}
}
