package procs

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"spurspread/lab/link"
)

// awaitTimeout bounds every wait. It is generous, since the tests do not check how long anything takes.
const awaitTimeout = 60 * time.Second

var program string

// TestMain builds the balancer once for all tests.
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
	f.awaitConverged(t, "all members are alive", f.all()...)
	return f
}

func (f *Fleet) all() (all []int) {
	for i := range f.Procs {
		all = append(all, i)
	}
	return all
}

// awaitConverged waits until the running processes among the given ones see exactly these as alive.
func (f *Fleet) awaitConverged(t *testing.T, what string, alive ...int) {
	t.Helper()
	if err := Await(awaitTimeout, what, func() bool { return f.Converged(alive) }); err != nil {
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

// All detect a crash, and a process that stops announces this. Both are alive again after a restart; the crashed one,
// whose state was deleted, has a newer incarnation.
func TestCrashStopAndReturn(t *testing.T) {
	f := fleet(t, 5)
	_, before := f.state(t, 0, 4)
	f.Procs[4].Kill()
	f.awaitConverged(t, "all members detect the crash", 0, 1, 2, 3)
	if s, _ := f.state(t, 0, 4); s != "dead" {
		t.Errorf("the state of a crashed member is %q, want dead", s)
	}
	if code := f.Procs[3].Stop(); code != 0 {
		t.Errorf("exit code %d after SIGTERM, want 0; last log lines: %v", code, f.Procs[3].LogTail())
	}
	f.awaitConverged(t, "all members see the stop", 0, 1, 2)
	if s, _ := f.state(t, 0, 3); s != "left" {
		t.Errorf("the state of a stopped member is %q, want left", s)
	}
	if err := f.Procs[4].DeleteState(); err != nil {
		t.Fatal(err)
	}
	for _, i := range []int{3, 4} {
		if err := f.Procs[i].Start(); err != nil {
			t.Fatal(err)
		}
	}
	f.awaitConverged(t, "both members are alive again", f.all()...)
	if _, after := f.state(t, 0, 4); after <= before {
		t.Errorf("incarnation %d after the restart, want one above %d", after, before)
	}
}

// A process that is paused for long is declared dead by the others. When it continues, it refutes that, and declares
// none of the others dead.
func TestPauseAndReturn(t *testing.T) {
	f := fleet(t, 4)
	f.Procs[2].Pause()
	if err := Await(awaitTimeout, "the paused member is declared dead",
		func() bool { s, _ := f.state(t, 0, 2); return s == "dead" }); err != nil {
		t.Fatal(err)
	}
	f.Procs[2].Continue()
	f.awaitConverged(t, "the member is alive again", f.all()...)
	for _, line := range f.Procs[2].LogTail() {
		if reportsDeath(line) {
			t.Errorf("the paused process declared another one dead: %s", line)
		}
	}
}

// reportsDeath reports whether a log line declares a member dead.
func reportsDeath(line string) bool { return len(line) > 0 && strings.Contains(line, `"state":"dead"`) }

// The two directions of a link fail independently. A member that can only send is declared dead by the others, and all
// converge again once it receives. If one half does not reach the other, both halves declare each other dead, and they
// converge once the links are healed.
func TestOneWayPartitions(t *testing.T) {
	f := fleet(t, 6)
	partition := func(l *link.Link) { l.Partitioned = true }
	f.Proxy.UpdateLinks(f.all(), []int{5}, partition)
	if err := Await(awaitTimeout, "the member that only sends is declared dead", func() bool {
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
	if err != nil || !v.Unhealthy {
		t.Errorf("the view of a member that receives nothing has no suspicions: %+v, %v", v, err)
	}
	f.Proxy.Heal()
	f.awaitConverged(t, "the member is alive again", f.all()...)
	f.Proxy.UpdateLinks([]int{0, 1, 2}, []int{3, 4, 5}, partition)
	for _, side := range [][2]int{{0, 3}, {3, 0}} {
		if err := Await(awaitTimeout, "the halves declare each other dead",
			func() bool { s, _ := f.state(t, side[0], side[1]); return s == "dead" }); err != nil {
			t.Fatal(err)
		}
	}
	f.Proxy.Heal()
	f.awaitConverged(t, "the halves converge", f.all()...)
}

// Replayed and corrupted datagrams and a flood of garbage change no member's state.
func TestReplayedAndGarbageDatagrams(t *testing.T) {
	f := fleet(t, 3)
	f.Proxy.SetRecording(true)
	f.Procs[2].Kill()
	f.awaitConverged(t, "all members detect the crash", 0, 1)
	if err := f.Procs[2].Start(); err != nil {
		t.Fatal(err)
	}
	f.awaitConverged(t, "the member is alive again", f.all()...)
	f.Proxy.SetRecording(false)
	_, before := f.state(t, 0, 2)
	if n := f.Proxy.Replay(); n < 10 {
		t.Fatalf("%d datagrams were replayed, want at least 10", n)
	}
	c, err := net.Dial("udp4", f.addrs[0].String())
	if err != nil {
		t.Fatal(err)
	}
	for i := range 20000 {
		_, _ = c.Write(make([]byte, i%1400))
	}
	f.Proxy.UpdateLinks(f.all(), f.all(), func(l *link.Link) { l.Corrupted = 0.2 })
	v, err := f.Procs[0].View()
	if err != nil {
		t.Fatal(err)
	}
	f.Proxy.Heal()
	f.awaitConverged(t, "all members are alive", f.all()...)
	if s, after := v.State("n2"); s == "dead" || after < before {
		t.Errorf("member n2 is %q under incarnation %d, want it live, and not under an older one than %d",
			s, after, before)
	}
}

// If two processes have the same name, the one that started later is the member.
func TestLaterProcessOfANameIsTheMember(t *testing.T) {
	f := fleet(t, 3)
	_, before := f.state(t, 0, 2)
	old := f.Procs[2]
	next := &Proc{fleet: f, index: 2, Name: old.Name, Dir: t.TempDir(), Listen: old.Listen}
	next.ManagementAddr = netip.AddrPortFrom(f.addrs[2].Addr(), fleetPort+1).String()
	if err := next.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(next.Kill)
	if err := Await(awaitTimeout, "the later process is the member",
		func() bool { _, inc := f.state(t, 0, 2); return inc > before }); err != nil {
		t.Fatal(err)
	}
	if code := old.Stop(); code != 0 {
		t.Errorf("exit code %d of the earlier process, want 0", code)
	}
	if err := Await(awaitTimeout, "the member stays alive", func() bool {
		s, _ := f.state(t, 0, 2)
		u, err := next.View()
		return s == "alive" && err == nil && len(u.Members) == 3
	}); err != nil {
		t.Fatal(err)
	}
}
