// Package layering holds the layout: who may import whom. It has nothing but this test.
package layering

import (
	"os/exec"
	"slices"
	"strings"
	"testing"
)

// deps lists all that packages need, themselves included.
func deps(t *testing.T, packages ...string) []string {
	t.Helper()
	out, err := exec.Command("go", append([]string{"list", "-deps"}, packages...)...).Output()
	if err != nil {
		t.Fatal(err)
	}
	return strings.Fields(string(out))
}

func under(path string, folders ...string) bool {
	return slices.ContainsFunc(folders, func(f string) bool { return path == f || strings.HasPrefix(path, f+"/") })
}

// leaves have what all decisions share. They know nothing of this module, and everybody may know them.
var leaves = []string{
	"spurspread/decision/monotime",
	"spurspread/decision/outcome",
	"spurspread/decision/backoff",
	"spurspread/decision/splitmix",
	"spurspread/decision/answercause",
}

// corePolicies are the policies that the core asks. They know neither it nor each other.
var corePolicies = []string{
	"spurspread/decision/polling", "spurspread/decision/slowstart", "spurspread/decision/latency",
	"spurspread/decision/serverload", "spurspread/decision/fleetsize", "spurspread/decision/retry",
	"spurspread/decision/concurrency",
}

// Decisions have no clock, sockets, files or goroutines. The core knows its policies; nobody else knows another
// decision.
func TestDecisionsArePure(t *testing.T) {
	barred := []string{"os", "net", "time", "io/fs", "sync", "syscall", "context", "log", "math/rand", "crypto/rand"}
	for _, d := range deps(t, "spurspread/decision/...") {
		if under(d, "spurspread") && !under(d, "spurspread/decision") {
			t.Errorf("a decision needs %s", d)
		}
	}
	out, err := exec.Command("go", "list", "-f", `{{.ImportPath}}: {{join .Imports " "}}`, "spurspread/decision/...").
		Output()
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range strings.Split(strings.TrimSpace(string(out)), "\n") {
		pkg, imports, _ := strings.Cut(line, ": ")
		for _, i := range strings.Fields(imports) {
			if slices.Contains(barred, i) {
				t.Errorf("%s imports %s", pkg, i)
			}
			if !under(i, "spurspread") || slices.Contains(leaves, i) && !slices.Contains(leaves, pkg) {
				continue
			}
			if pkg != "spurspread/decision" || !slices.Contains(corePolicies, i) {
				t.Errorf("%s knows the insides of %s", pkg, i)
			}
		}
	}
}

// The data plane stays small, and knows neither the control plane nor the laboratory.
func TestDataPlane(t *testing.T) {
	for _, d := range deps(t, "spurspread/cmd/spurspread", "spurspread/cmd/spurspread-sim") {
		if under(
			d,
			"spurspread/lab",
			"spurspread/internal/control",
			"net/http",
			"database/sql",
			"crypto/tls",
			"gonum.org",
		) {
			t.Errorf("the data plane needs %s", d)
		}
	}
}

// packages lists the packages that a pattern names.
func packages(t *testing.T, pattern string) []string {
	t.Helper()
	out, err := exec.Command("go", "list", pattern).Output()
	if err != nil {
		t.Fatal(err)
	}
	return strings.Fields(string(out))
}

// scalePackage is the one package of the laboratory that runs the production transport, for members of a scale run
// that have no process of their own, and with it the event loop.
const scalePackage = "spurspread/lab/scale"

// Each package knows only those below it.
func TestLayers(t *testing.T) {
	laboratory := []string{
		"spurspread/internal/proxy",
		"spurspread/internal/eventloop",
		"spurspread/internal/lineproto",
	}
	layers := map[string][]string{
		"spurspread/internal/eventloop": {
			"spurspread/internal/lineproto",
			"spurspread/internal/proxy",
			"spurspread/decision",
		},
		"spurspread/internal/lineproto":  {"spurspread/internal/eventloop", "spurspread/decision"},
		"spurspread/internal/token":      {"spurspread/internal/eventloop", "spurspread/decision"},
		"spurspread/internal/xmlconfig":  {"spurspread/internal/siteconfig"},
		"spurspread/internal/siteconfig": {"spurspread/internal/proxy", "spurspread/decision"},
		"spurspread/internal/discovery":  {"spurspread/internal/proxy", "spurspread/decision"},
		scalePackage:                     {"spurspread/internal/proxy", "spurspread/internal/lineproto"},
	}
	for _, pkg := range packages(t, "spurspread/lab/...") {
		if pkg != scalePackage {
			layers[pkg] = laboratory
		}
	}
	for pkg, barred := range layers {
		for _, d := range deps(t, pkg) {
			if under(d, barred...) && !slices.Contains(leaves, d) {
				t.Errorf("%s needs %s", pkg, d)
			}
		}
	}
}
