package scale

import (
	"encoding/json"
	"errors"
	"os"
	"os/exec"
	"strings"
	"testing"
)

// The measured usage includes this process and its children, and a usage over the limits of a run is an error.
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
		t.Errorf("wrong descendants of this process: %v", err)
	}
	usage, err := processTreeUsage()
	if err != nil || usage.processes < 2 || usage.residentBytes <= 0 || checkLimits(usage) != nil {
		t.Errorf("usage of this process and its child: %+v, %v, want at least 2 processes, within the limits",
			usage, err)
	}
	if checkLimits(processUsage{processes: maxRunProcesses + 1}) == nil ||
		checkLimits(processUsage{residentBytes: (maxRunMegabytes + 1) << 20}) == nil {
		t.Error("a usage over the limits is accepted")
	}
}

// A process that does not exit by itself is killed, and its end is noticed. Malformed input is an error.
func TestStubProcessIsStopped(t *testing.T) {
	p, err := startProcess(exec.Command("sleep", "60"), &Setup{}, func(*Sample) {})
	if err != nil {
		t.Fatal(err)
	}
	if p.ended() || !p.stop(0) || !p.ended() {
		t.Error("the process is still running")
	}
	if err := RunStubMembers(strings.NewReader("{}\nnonsense"), nil); err == nil {
		t.Error("malformed commands are accepted")
	}
	if err := RunStubMembers(strings.NewReader(""), nil); err == nil || errors.Is(err, os.ErrNotExist) {
		t.Errorf("without a setup: %v, want an error other than a missing file", err)
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
			t.Errorf("encoded as %s, %v, want %s", got, err, c.want)
		}
	}
}
