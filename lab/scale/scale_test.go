package scale

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"spurspread/lab/experiment"
	"spurspread/lab/node"
	"spurspread/lab/report"
)

const (
	// waitLimit limits every wait. Its value is not part of the tests.
	waitLimit = 2 * time.Minute
	// stubEnv is the environment variable that makes the test program run as a process of stub members.
	stubEnv = "SPURLAB_TEST_HOLLOW"

	// Twice the bounds of issue 31, in protocol periods of 50 ms: on a loaded machine periods take longer, and an
	// update waits in each process that it passes until that process is scheduled.
	maxSeenPeriods       = 2 * 80
	maxEverywherePeriods = 2 * 140
)

// program is the path of the balancer, which TestMain builds.
var program string

// TestMain builds the balancer once. If stubEnv is set, it runs a process of stub members instead.
func TestMain(m *testing.M) {
	if os.Getenv(stubEnv) != "" {
		if err := RunStubMembers(os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	dir, err := os.MkdirTemp("", "scale")
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

// testStubCommand returns a command that runs the test program as a process of stub members.
func testStubCommand() (*exec.Cmd, error) {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), stubEnv+"=1")
	return cmd, nil
}

// smallFleet returns the options of a run with 2 regions, 3 zones, 30 stub members and 2 real ones. Its figures are
// reported even if the machine is busy.
func smallFleet(t *testing.T, fault InjectedFault, limit time.Duration) Options {
	t.Helper()
	return Options{
		Options: experiment.Options{
			Seed:     1,
			Program:  program,
			Fault:    node.Fault(fault),
			Progress: &testLog{t},
		},
		Members: 32,
		Regions: 2,
		Zones:   3,
		testOptions: testOptions{
			realMembers:  2,
			restTime:     time.Second,
			waitLimit:    limit,
			allowStarved: true,
			failFast:     true,
			stubCommand:  testStubCommand,
		},
	}
}

// testLog writes the progress of a run to the log of a test.
type testLog struct{ t *testing.T }

func (l *testLog) Write(b []byte) (int, error) {
	l.t.Log(string(b))
	return len(b), nil
}

// assertWithin checks a report against the bounds that do not depend on the speed of the machine.
func assertWithin(t *testing.T, result *report.Report) {
	t.Helper()
	for name, limit := range map[string]float64{
		"false_dead":                0,
		"flaps":                     1,
		"rate_over_budget":          2,
		"zone_seen_periods":         maxSeenPeriods,
		"count_everywhere_periods":  maxEverywherePeriods,
		"record_everywhere_periods": maxEverywherePeriods,
		"processes":                 maxRunProcesses,
		"harness_memory_mb":         maxRunMegabytes,
	} {
		if got, had := result.Figures[name]; !had || got > limit {
			t.Errorf("%s is %v (measured: %v), want at most %v; notes %v", name, got, had, limit, result.Notes)
		}
	}
}

// All members of a small fleet, real and stub, see crashes, restarts and records, and no running member is declared
// dead.
func TestSmallFleetAtRest(t *testing.T) {
	t.Parallel()
	result, err := runRest(context.Background(), smallFleet(t, "", waitLimit))
	if err != nil {
		t.Fatal(err)
	}
	assertWithin(t, result)
}

// Two regions are partitioned in both directions and in one, and count each other again once the links are healed.
func TestSmallFleetPartitionsRegions(t *testing.T) {
	t.Parallel()
	options := smallFleet(t, "", waitLimit)
	options.PartitionTime = time.Second
	result, err := runRegion(context.Background(), options)
	if err != nil {
		t.Fatal(err)
	}
	assertWithin(t, result)
}

// A run detects each fault that is injected into stub members: either the members do not all join, or a bound is
// missed.
func TestInjectedFaultsAreDetected(t *testing.T) {
	t.Parallel()
	for _, fault := range []InjectedFault{NoDelegate, WrongSummary} {
		t.Run(string(fault), func(t *testing.T) {
			t.Parallel()
			result, err := runRest(context.Background(), smallFleet(t, fault, 15*time.Second))
			if err != nil {
				t.Logf("detected: %v", err)
				return
			}
			if !slices.ContainsFunc(result.Bounds, func(bound report.Bound) bool { return !bound.OK }) {
				t.Error("no bound is missed, so the fault is not detected")
			}
		})
	}
}
