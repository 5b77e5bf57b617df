package procs

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"spurspread/lab/link"
	"strings"
	"testing"
	"time"
)

// patience bounds every wait; nothing is proved by its passing.
const patience = 60 * time.Second

var program string

// TestMain builds the program once.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "procs")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "spurspread")
	if out, err := exec.Command("go", "build", "-o", program,
		"spurspread/cmd/spurspread").CombinedOutput(); err != nil {
		panic(fmt.Sprintf("%v: %s", err, out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

func fleet(t *testing.T, n int) *Fleet {
	t.Helper()
	f, err := New(program, t.TempDir(), n, 2, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	if err := f.Start(); err != nil {
		t.Fatal(err)
	}
	f.agree(t, "all are there", f.all()...)
	return f
}

func (f *Fleet) all() (all []int) {
	for i := range f.Procs {
		all = append(all, i)
	}
	return all
}

// agree waits until those that run hold exactly these to be alive.
func (f *Fleet) agree(t *testing.T, what string, alive ...int) {
	t.Helper()
	if err := Await(patience, what, func() bool { return f.Agreed(alive) }); err != nil {
		for _, p := range f.Procs {
			v, e := p.View()
			t.Logf("%s: %+v %v", p.Name, v, e)
		}
		t.Fatal(err)
	}
}

func (f *Fleet) state(t *testing.T, at, of int) (string, uint64) {
	t.Helper()
	v, err := f.Procs[at].View()
	if err != nil {
		t.Fatal(err)
	}
	return v.State(f.Procs[of].Name)
}

// A crash is seen by all; one that stops says so before; both are back under newer incarnations, one with nothing kept.
func TestCrashStopAndReturn(t *testing.T) {
	f := fleet(t, 5)
	_, before := f.state(t, 0, 4)
	f.Procs[4].Kill()
	f.agree(t, "the crash is seen", 0, 1, 2, 3)
	if s, _ := f.state(t, 0, 4); s != "dead" {
		t.Errorf("a crashed member is %s", s)
	}
	if code := f.Procs[3].Stop(); code != 0 {
		t.Errorf("stopped with %d: %v", code, f.Procs[3].Tail())
	}
	f.agree(t, "the stop is seen", 0, 1, 2)
	if s, _ := f.state(t, 0, 3); s != "left" {
		t.Errorf("a member that stopped is %s", s)
	}
	if err := f.Procs[4].Empty(); err != nil {
		t.Fatal(err)
	}
	for _, i := range []int{3, 4} {
		if err := f.Procs[i].Start(); err != nil {
			t.Fatal(err)
		}
	}
	f.agree(t, "both are back", f.all()...)
	if _, after := f.state(t, 0, 4); after <= before {
		t.Errorf("back under incarnation %d, after %d", after, before)
	}
}

// A process that is paused for long is dead to the others, says otherwise when it goes on, and holds nobody dead
// for it.
func TestPauseAndReturn(t *testing.T) {
	f := fleet(t, 4)
	f.Procs[2].Pause()
	if err := Await(patience, "the paused one is dead",
		func() bool { s, _ := f.state(t, 0, 2); return s == "dead" }); err != nil {
		t.Fatal(err)
	}
	f.Procs[2].Continue()
	f.agree(t, "it is back", f.all()...)
	for _, line := range f.Procs[2].Tail() {
		if gotDead(line) {
			t.Errorf("after its own pause it says %s", line)
		}
	}
}

// gotDead tells whether a log line says that somebody was held dead.
func gotDead(line string) bool { return len(line) > 0 && strings.Contains(line, `"state":"dead"`) }

// Each direction of a link fails by itself: one member that only sends is dead to the others, and all agree again
// once it hears them. Halves that do not hear each other hold each other dead, whichever way is cut, and have each
// other back.
func TestCutsOneWayAndHealed(t *testing.T) {
	f := fleet(t, 6)
	cutOff := func(l *link.Link) { l.Partitioned = true }
	f.Net.Set(f.all(), []int{5}, cutOff)
	if err := Await(patience, "one that only sends is dead", func() bool {
		for i := range 5 {
			if s, _ := f.state(t, i, 5); s != "dead" {
				return false
			}
		}
		return true
	}); err != nil {
		t.Fatal(err)
	}
	v, err := f.Procs[5].View()
	if err != nil || !v.Suspicions {
		t.Errorf("one that hears nobody does not doubt itself: %+v, %v", v, err)
	}
	f.Net.Heal()
	f.agree(t, "it is back", f.all()...)
	f.Net.Set([]int{0, 1, 2}, []int{3, 4, 5}, cutOff)
	for _, side := range [][2]int{{0, 3}, {3, 0}} {
		if err := Await(patience, "the halves are apart",
			func() bool { s, _ := f.state(t, side[0], side[1]); return s == "dead" }); err != nil {
			t.Fatal(err)
		}
	}
	f.Net.Heal()
	f.agree(t, "the halves are together", f.all()...)
}

// What was recorded and comes again, what is spoilt, and a flood of rubbish change nothing.
func TestReplaysAndRubbish(t *testing.T) {
	f := fleet(t, 3)
	f.Net.Record(true)
	f.Procs[2].Kill()
	f.agree(t, "the crash is seen", 0, 1)
	if err := f.Procs[2].Start(); err != nil {
		t.Fatal(err)
	}
	f.agree(t, "it is back", f.all()...)
	f.Net.Record(false)
	_, before := f.state(t, 0, 2)
	if n := f.Net.Replay(); n < 10 {
		t.Fatalf("%d datagrams recorded", n)
	}
	c, err := net.Dial("udp4", f.at[0].String())
	if err != nil {
		t.Fatal(err)
	}
	for i := range 20000 {
		_, _ = c.Write(make([]byte, i%1400))
	}
	f.Net.Set(f.all(), f.all(), func(l *link.Link) { l.Spoilt = 0.2 })
	v, err := f.Procs[0].View()
	if err != nil {
		t.Fatal(err)
	}
	f.Net.Heal()
	f.agree(t, "all are there", f.all()...)
	if s, after := v.State("n2"); s == "dead" || after < before {
		t.Errorf("%s under %d, after %d", s, after, before)
	}
}

// Two processes of one name: the later one is the member.
func TestALaterProcessOfANameIsTheMember(t *testing.T) {
	f := fleet(t, 3)
	_, before := f.state(t, 0, 2)
	old := f.Procs[2]
	next := &Proc{f: f, i: 2, Name: old.Name, Folder: t.TempDir(), Listen: old.Listen}
	next.Mgmt = netip.AddrPortFrom(f.at[2].Addr(), fleetPort+1).String()
	if err := next.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(next.Kill)
	if err := Await(patience, "the later one is known",
		func() bool { _, inc := f.state(t, 0, 2); return inc > before }); err != nil {
		t.Fatal(err)
	}
	if code := old.Stop(); code != 0 {
		t.Errorf("the old process ended with %d", code)
	}
	if err := Await(patience, "the member goes on", func() bool {
		s, _ := f.state(t, 0, 2)
		u, err := next.View()
		return s == "alive" && err == nil && len(u.Members) == 3
	}); err != nil {
		t.Fatal(err)
	}
}
