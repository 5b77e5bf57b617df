package procs

import (
	"fmt"
	"os/exec"
	"strings"
	"testing"

	"spurspread/lab/link"
)

// zonedFleet starts n processes, alternately in two zones of two regions. The only seed is in the first zone.
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

// awaitViews waits until a condition holds for the views of all running processes.
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

// awaitZones waits until all processes count the given number of live members, and have the other zone in a state.
func (f *Fleet) awaitZones(t *testing.T, what, state string, live int) {
	t.Helper()
	f.awaitViews(t, what, func(i int, v *View) bool {
		return v.ZoneState(fmt.Sprint("zone-", (i+1)%2)) == state && v.Live == live &&
			len(v.Members) == len(f.Procs)/2
	})
}

// Two zones find each other through one seed. A record that the command record publishes in one zone is shown by the
// command members in the other. While the zones are partitioned, each has the other as unknown, and afterwards again as
// reachable.
func TestTwoZonesOfProcesses(t *testing.T) {
	f := zonedFleet(t, 4)
	publish := exec.Command(program, "record", "limits", "two words", "--mgmt", f.Procs[0].ManagementAddr)
	out, err := publish.CombinedOutput()
	if err != nil || !strings.HasPrefix(string(out), "limits has version ") {
		t.Fatalf("record: %v: %s, want its version", err, out)
	}
	hasRecord := func(_ int, v *View) bool { return v.Record("limits") == "two words" }
	f.awaitViews(t, "the record is in the other zone", hasRecord)
	show := exec.Command(program, "members", "--mgmt", f.Procs[1].ManagementAddr)
	if out, err = show.CombinedOutput(); err != nil {
		t.Fatalf("members: %v: %s", err, out)
	}
	for _, want := range []string{"4 members live in all zones", "zone-0", "own", "two words"} {
		if !strings.Contains(string(out), want) {
			t.Errorf("the output of the command members lacks %q:\n%s", want, out)
		}
	}
	partition := func(l *link.Link) { l.Partitioned = true }
	f.Proxy.UpdateLinks([]int{0, 2}, []int{1, 3}, partition)
	f.Proxy.UpdateLinks([]int{1, 3}, []int{0, 2}, partition)
	f.awaitZones(t, "each zone has the other one as unknown", "unknown", 2)
	f.Proxy.Heal()
	f.awaitZones(t, "both zones reach each other again", "reachable", 4)
}

// A zone all of whose processes are killed becomes unknown as a whole; the other zone has none of its members in its
// views. A zone all of whose processes stop has left.
func TestZoneDiesAndZoneStops(t *testing.T) {
	f := zonedFleet(t, 4)
	f.Procs[1].Kill()
	f.Procs[3].Kill()
	f.awaitZones(t, "the killed zone is unknown", "unknown", 2)
	for _, i := range []int{1, 3} {
		if err := f.Procs[i].Start(); err != nil {
			t.Fatal(err)
		}
	}
	f.awaitZones(t, "the restarted zone is reachable", "reachable", 4)
	for _, i := range []int{1, 3} {
		if code := f.Procs[i].Stop(); code != 0 {
			t.Errorf("exit code %d after SIGTERM, want 0; last log lines: %v", code, f.Procs[i].LogTail())
		}
	}
	f.awaitZones(t, "the zone has left", "left", 2)
}

// In a fleet without zones the answer to MEMBERS has no zones and no records, and RECORD is refused.
func TestNoZones(t *testing.T) {
	f := fleet(t, 2)
	text, err := f.Procs[0].Admin("MEMBERS")
	if err != nil || strings.Contains(text, "zone") || strings.Contains(text, "records") ||
		strings.Contains(text, "OtherVersion") {
		t.Errorf("MEMBERS answered %s, %v, want no zones, records or OtherVersion", text, err)
	}
	if _, err := f.Procs[0].Admin("RECORD limits 7"); err == nil || !strings.Contains(err.Error(), "no zones") {
		t.Error(err)
	}
}
