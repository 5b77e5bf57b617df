package simulation

import (
	"fmt"
	"os"
	"strconv"
	"testing"

	"spurspread/lab/scenario"
)

// seeds returns the number of seeds to run each script with: 23, or the value of SPURSPREAD_SOAK.
func seeds(t *testing.T) uint64 {
	n, err := strconv.ParseUint(os.Getenv("SPURSPREAD_SOAK"), 10, 32)
	if err != nil {
		n = 23
	}
	t.Logf("%d seeds", n)
	return n
}

// Every bound holds on every seed. A broken bound is reported with the command that repeats the run.
func TestScenarios(t *testing.T) {
	n := seeds(t)
	for _, name := range scenario.Names() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range n {
				members := []int{3, 5, 8, 16, 24}[seed%5]
				r, err := Run(name, members, seed, BalancerMembers(3), nil)
				if err != nil {
					t.Fatal(err)
				}
				for _, bound := range r.Broken() {
					t.Errorf(
						"%s; to repeat: bin/spurspread-lab virtual %s --members %d --seed %d",
						bound,
						name,
						members,
						seed,
					)
				}
			}
		})
	}
}

// The same seed produces the same events and results, and another seed others.
func TestSameSeedSameEvents(t *testing.T) {
	run := func(seed uint64) string {
		r, err := Run("loss", 8, seed, BalancerMembers(2), nil)
		if err != nil {
			t.Fatal(err)
		}
		return fmt.Sprintf("%+v", *r)
	}
	if a, b := run(7), run(7); a != b {
		t.Fatalf("two runs with seed 7 differ:\n%s\n%s", a, b)
	}
	if a, b := run(7), run(8); a == b {
		t.Fatal("seeds 7 and 8 produced the same result")
	}
}

// Each injected fault has a running member declared dead on some seed of a script that can show the fault.
func TestInjectedFaultsAreFound(t *testing.T) {
	for fault, script := range map[string]string{
		"same-incarnation": "loss",
		"blind-to-pauses":  "pause",
		"one-observer":     "weak",
	} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(20) {
				r, err := Run(script, 12, seed, WithFault(fault, BalancerMembers(3)), nil)
				if err != nil {
					t.Fatal(err)
				}
				if r.FalseDead > 0 {
					return
				}
			}
			t.Errorf("no member was falsely declared dead in 20 runs of %s", script)
		})
	}
}
