package scale

import (
	"encoding/json"
	"errors"
	"os"
	"os/exec"
	"strings"
	"testing"
)

// A run that exceeds its limits is ended; the usage is that of this process and of its children.
func TestLimits(t *testing.T) {
	cmd := exec.Command("sleep", "60")
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	parents, err := parentPIDs()
	if err != nil || !isDescendant(parents, cmd.Process.Pid, os.Getpid()) || isDescendant(parents, 1, os.Getpid()) {
		t.Errorf("%v", err)
	}
	usage, err := processTreeUsage()
	if err != nil || usage.processes < 2 || usage.residentBytes <= 0 || checkLimits(usage) != nil {
		t.Errorf("%+v, %v", usage, err)
	}
	if checkLimits(processUsage{processes: maxRunProcesses + 1}) == nil ||
		checkLimits(processUsage{residentBytes: (maxRunMegabytes + 1) << 20}) == nil {
		t.Error("a usage over the limits is accepted")
	}
}

// A process that does not end by itself is killed, and one that has ended is noticed.
func TestStubProcessIsStopped(t *testing.T) {
	p, err := startProcess(exec.Command("sleep", "60"), &Setup{}, func(*Sample) {})
	if err != nil {
		t.Fatal(err)
	}
	if p.ended() || !p.stop(0) || !p.ended() {
		t.Error("it still runs")
	}
	if err := RunStubMembers(strings.NewReader("{}\nnonsense"), nil); err == nil {
		t.Error("malformed commands are accepted")
	}
	if err := RunStubMembers(strings.NewReader(""), nil); err == nil || errors.Is(err, os.ErrNotExist) {
		t.Errorf("no setup: %v", err)
	}
}

// The lines between a run and its processes have stable keys.
func TestProtocolKeys(t *testing.T) {
	for _, c := range []struct {
		line any
		want string
	}{
		{
			Setup{Topology: Topology{RealMembers: 2}, ExpectedMembers: 3, Fault: NoDelegate},
			`{"Topology":{"Members":0,"Reals":2,"Regions":0,"Zones":0,"Flat":false,"Seed":0,"Addrs":null},` +
				`"Loops":null,"Secret":null,"Expected":3,"Plant":"no-delegate"}`,
		},
		{
			Command{Action: ActionStart, Member: 1, DelayMicros: 2, Partitioned: true},
			`{"Do":"start","Member":1,"Delay":2,"Cut":true,"Loss":0}`,
		},
		{
			Sample{Changes: []Change{{}}, Counts: []MemberCounts{{}}, Zones: []ZoneState{{}}, Traffic: &Traffic{}},
			`{"Process":0,"Loop":0,"At":0,"Periods":0,"Running":0,"Shares":0,"Lags":null,"Suspected":0,` +
				`"Changes":[{"Observer":0,"Of":0,"From":"","To":"","At":0}],` +
				`"Lives":[{"Member":0,"Own":0,"All":0,"Delegate":false}],` +
				`"States":[{"Member":0,"Zone":0,"State":""}],` +
				`"Second":{"Sent":null,"Received":null,"Datagrams":0,"RealSent":null,"RealReceived":null,` +
				`"RealDatagrams":null}}`,
		},
	} {
		if got, err := json.Marshal(c.line); err != nil || string(got) != c.want {
			t.Errorf("%s, %v, want %s", got, err, c.want)
		}
	}
}
