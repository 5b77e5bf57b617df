package procs

import (
	"fmt"
	"os/exec"
	"strings"
	"testing"

	"spurspread/lab/link"
)

// zonedFleet starts n processes, by turns in two zones of two regions. The only seed is in the first.
func zonedFleet(t *testing.T, n int) *Fleet {
	t.Helper()
	f, err := New(program, t.TempDir(), n, 1, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	f.ZoneOf = func(i int) (region, zone string) { return fmt.Sprint("region-", i%2), fmt.Sprint("zone-", i%2) }
	if err := f.Start(); err != nil {
		t.Fatal(err)
	}
	f.awaitZones(t, "both zones know each other", "reachable", n)
	return f
}

// awaitViews waits until a condition holds of the views of all running processes.
func (f *Fleet) awaitViews(t *testing.T, what string, holds func(i int, v *View) bool) {
	t.Helper()
	if err := Await(awaitTimeout, what, func() bool {
		for i, p := range f.Procs {
			if !p.Running() {
				continue
			}
			if v, err := p.View(); err != nil || !holds(i, v) {
				return false
			}
		}
		return true
	}); err != nil {
		for _, p := range f.Procs {
			v, e := p.View()
			t.Logf("%s: %+v %v", p.Name, v, e)
		}
		t.Fatal(err)
	}
}

// awaitZones waits until all count that many live members, and see the other zone in a state.
func (f *Fleet) awaitZones(t *testing.T, what, state string, live int) {
	t.Helper()
	f.awaitViews(t, what, func(i int, v *View) bool {
		return v.ZoneState(fmt.Sprint("zone-", (i+1)%2)) == state && v.Live == live &&
			len(v.Members) == len(f.Procs)/2
	})
}

// Two zones find each other from one seed, and a record that the command publishes in one is shown by the command in
// the other. While they are partitioned, each sees the other as unknown; once healed, as reachable.
func TestTwoZonesOfProcesses(t *testing.T) {
	f := zonedFleet(t, 4)
	publish := exec.Command(program, "record", "limits", "two words", "--mgmt", f.Procs[0].ManagementAddr)
	out, err := publish.CombinedOutput()
	if err != nil || !strings.HasPrefix(string(out), "limits has version ") {
		t.Fatalf("%v: %s", err, out)
	}
	hasRecord := func(_ int, v *View) bool { return v.Record("limits") == "two words" }
	f.awaitViews(t, "the record is in the other zone", hasRecord)
	show := exec.Command(program, "members", "--mgmt", f.Procs[1].ManagementAddr)
	if out, err = show.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	for _, want := range []string{"4 members live in all zones", "zone-0", "own", "two words"} {
		if !strings.Contains(string(out), want) {
			t.Errorf("no %q in\n%s", want, out)
		}
	}
	partition := func(l *link.Link) { l.Partitioned = true }
	f.Proxy.UpdateLinks([]int{0, 2}, []int{1, 3}, partition)
	f.Proxy.UpdateLinks([]int{1, 3}, []int{0, 2}, partition)
	f.awaitZones(t, "neither can tell of the other", "unknown", 2)
	f.Proxy.Heal()
	f.awaitZones(t, "both reach each other again", "reachable", 4)
}

// A zone that dies is unknown as a whole, without its members in any view. A zone that stops has left.
func TestZoneDiesAndZoneStops(t *testing.T) {
	f := zonedFleet(t, 4)
	f.Procs[1].Kill()
	f.Procs[3].Kill()
	f.awaitZones(t, "the zone is lost", "unknown", 2)
	for _, i := range []int{1, 3} {
		if err := f.Procs[i].Start(); err != nil {
			t.Fatal(err)
		}
	}
	f.awaitZones(t, "the zone is back", "reachable", 4)
	for _, i := range []int{1, 3} {
		if code := f.Procs[i].Stop(); code != 0 {
			t.Errorf("stopped with %d: %v", code, f.Procs[i].LogTail())
		}
	}
	f.awaitZones(t, "the zone has left", "left", 2)
}

// Without zones MEMBERS has no zones, and there are no records.
func TestNoZones(t *testing.T) {
	f := fleet(t, 2)
	text, err := f.Procs[0].Admin("MEMBERS")
	if err != nil || strings.Contains(text, "zone") || strings.Contains(text, "records") ||
		strings.Contains(text, "OtherVersion") {
		t.Errorf("%s, %v", text, err)
	}
	if _, err := f.Procs[0].Admin("RECORD limits 7"); err == nil || !strings.Contains(err.Error(), "no zones") {
		t.Error(err)
	}
}
