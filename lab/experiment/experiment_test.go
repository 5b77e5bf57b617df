package experiment

import (
	"context"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"spurspread/internal/xmlconfig"
	"spurspread/lab/node"
	"spurspread/lab/report"
)

var program string

// TestMain builds the balancer that the tests run.
func TestMain(m *testing.M) {
	os.Exit(func() int {
		dir, err := os.MkdirTemp("", "experiment")
		if err != nil {
			panic(err)
		}
		defer func() { _ = os.RemoveAll(dir) }()
		program = filepath.Join(dir, "spurspread")
		if out, err := exec.Command("go", "build", "-o", program,
			"spurspread/cmd/spurspread").CombinedOutput(); err != nil {
			panic(string(out))
		}
		return m.Run()
	}())
}

// runSmall runs the first pass of an embedded experiment with a small fleet and a small load. Tests must not check
// figures of its report that depend on the machine's speed.
func runSmall(t *testing.T, name string, streams, nodes int, fault node.Fault) *report.Report {
	t.Helper()
	e, err := Find(name)
	if err != nil {
		t.Fatal(err)
	}
	e.Load.Streams = streams
	e.Load.Groups = 5
	e.Fleet.Nodes = nodes
	e.Passes.Pass = e.Passes.Pass[:1]
	r, err := e.Run(context.Background(), Options{Seed: 3, Program: program, Fault: fault})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// isExact reports whether a bound must hold regardless of the machine's speed.
func isExact(bound string) bool {
	return slices.Contains([]string{
		"lost", "repeated", "corrupt", "told_gaps", "max_live_per_token", "max_ever_live_per_token",
		"session_calls_unexplained",
	}, bound)
}

func TestTokenExperiments(t *testing.T) {
	for _, name := range []string{"token-drain", "token-crash", "token-restart", "token-twice"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := runSmall(t, name, 40, 5, node.NoFault)
			for _, b := range r.Bounds {
				if isExact(b.Name) && !b.OK {
					t.Errorf("bound %s is broken: measured %v", b.Name, b.Measured)
				}
			}
			if r.Figures["tokens_honoured"] == 0 {
				t.Errorf("no token was accepted: %v", r.Notes)
			}
		})
	}
}

// The checker must detect each injected fault; otherwise a run without detected faults would prove nothing.
func TestInjectedFaults(t *testing.T) {
	for _, c := range []struct {
		fault      node.Fault
		experiment string
		broken     string
	}{
		{node.ForgetClaims, "token-twice", "max_ever_live_per_token"},
		{node.SkipMessage, "token-drain", "lost"},
		{node.RepeatMessage, "token-drain", "repeated"},
	} {
		t.Run(string(c.fault), func(t *testing.T) {
			t.Parallel()
			r := runSmall(t, c.experiment, 40, 5, c.fault)
			for _, b := range r.Bounds {
				if b.Name == c.broken && b.OK {
					t.Errorf("fault %s was not detected: %s is %v", c.fault, b.Name, b.Measured)
				}
			}
		})
	}
}

// All embedded experiments can be parsed, and have the names of their files. Find rejects unknown names, and Read
// rejects indexes of nodes and balancers that are not in the fleet.
func TestEmbedded(t *testing.T) {
	for _, name := range Names() {
		e, err := Find(name)
		if err != nil || string(e.Name) != name {
			t.Errorf("Find(%q): %v, want the experiment of that name", name, err)
		}
	}
	if _, err := Find("nothing"); err == nil || !strings.Contains(err.Error(), "token-drain") {
		t.Errorf("unknown name: %v, want an error that lists the names", err)
	}
	_, err := Read("x.xml", []byte(`<experiment xmlns="urn:spurspread:experiment:1" name="x" about="y">
<fleet nodes="2"/><load node="2"/><passes><pass name="a"/></passes>
<steps><step do="drain" node="5"/>
<step do="kill-balancer" balancer="3"/></steps><bounds><bound name="b"/></bounds></experiment>`))
	var fieldErrors xmlconfig.FieldErrors
	if !errors.As(err, &fieldErrors) || len(fieldErrors) != 3 || fieldErrors[1].Line != 3 || fieldErrors[2].Line != 4 {
		t.Errorf("invalid indexes: %v, want 3 field errors, the last two in lines 3 and 4", err)
	}
}
