package eventloop

import (
	"net/netip"
	"slices"
	"testing"

	"golang.org/x/sys/unix"
)

// What still carries the Ref of an earlier use of a slot finds nothing.
func TestStaleRefFindsNothing(t *testing.T) {
	var s Slots[int]
	old := s.Put(1)
	s.Drop(old)
	for i := range 5000 {
		r := s.Put(i)
		if _, ok := s.Get(old); ok && i < 4000 || r == 0 {
			t.Fatalf("use %d: a stale Ref found something, or %d is no Ref", i, r)
		}
		s.Drop(r)
		s.Drop(r) // twice does nothing
	}
	if s.Len() != 0 || len(s.cells) > 100 {
		t.Fatalf("%d in use, %d cells", s.Len(), len(s.cells))
	}
	if _, ok := s.Get(0); ok {
		t.Fatal("the zero Ref found something")
	}
}

func TestSlotsAll(t *testing.T) {
	var s Slots[int]
	refs := []Ref{s.Put(0), s.Put(1), s.Put(2)}
	s.Drop(refs[1])
	var got []int
	for r, v := range s.All {
		got = append(got, v)
		s.Drop(r) // the table may change meanwhile
	}
	if !slices.Equal(got, []int{0, 2}) || s.Len() != 0 {
		t.Fatalf("%v, %d left", got, s.Len())
	}
}

func TestDeadlines(t *testing.T) {
	var d deadlines
	var got []int
	note := func(i int) func() { return func() { got = append(got, i) } }
	d.set(30, note(3))
	d.set(10, note(1))
	gone := d.set(20, note(9))
	d.set(10, note(2))
	d.cancel(gone)
	d.cancel(gone)
	if at, ok := d.next(); !ok || at != 10 {
		t.Fatalf("next %d, %v", at, ok)
	}
	d.run(10)
	// One that sets itself again at once waits for the next turn.
	d.set(10, func() { d.set(10, note(7)) })
	d.run(25)
	if !slices.Equal(got, []int{1, 2}) {
		t.Fatalf("%v", got)
	}
	d.run(40)
	if !slices.Equal(got, []int{1, 2, 7, 3}) || d.slots.Len() != 0 {
		t.Fatalf("%v, %d slots", got, d.slots.Len())
	}
}

// Out of descriptors the listener pauses, as its queue stays readable and would spin the loop, and then goes on.
func TestListenerSurvivesEMFILE(t *testing.T) {
	l, err := New()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	taken := 0
	ln, err := l.Listen(netip.MustParseAddrPort("127.0.0.1:0"), func(func(Owner) (*Conn, error)) {
		taken++
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
	var was unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &was); err != nil {
		t.Fatal(err)
	}
	if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: 1, Max: was.Max}); err != nil {
		t.Fatal(err)
	}
	ln.ready(0)
	if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &was); err != nil {
		t.Fatal(err)
	}
	if taken != 0 || ln.retry == 0 {
		t.Fatalf("took %d, retry %d", taken, ln.retry)
	}
	if err := l.Run(); err != nil || taken != 1 {
		t.Fatalf("%v, took %d", err, taken)
	}
}
