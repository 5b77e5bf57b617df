// Package layering tests which packages of this module may import which others. It contains only tests.
package layering

import (
	"os/exec"
	"slices"
	"strings"
	"testing"
)

// deps returns the packages and all their direct and indirect dependencies.
func deps(t *testing.T, packages ...string) []string {
	t.Helper()
	out, err := exec.Command("go", append([]string{"list", "-deps"}, packages...)...).Output()
	if err != nil {
		t.Fatal(err)
	}
	return strings.Fields(string(out))
}

// isUnder reports whether path is one of the folders or inside one of them.
func isUnder(path string, folders ...string) bool {
	return slices.ContainsFunc(folders, func(f string) bool { return path == f || strings.HasPrefix(path, f+"/") })
}

// sharedPackages are used by many decisions. They import nothing of this module, and any package may import them.
var sharedPackages = []string{
	"spurspread/decision/monotime",
	"spurspread/decision/outcome",
	"spurspread/decision/backoff",
	"spurspread/decision/splitmix",
	"spurspread/decision/answercause",
}

// corePolicies are the policies that the core uses. They import neither the core nor each other.
var corePolicies = []string{
	"spurspread/decision/polling", "spurspread/decision/slowstart", "spurspread/decision/latency",
	"spurspread/decision/serverload", "spurspread/decision/fleetsize", "spurspread/decision/retry",
	"spurspread/decision/concurrency",
}

// Decisions use no clock, sockets, files or goroutines. The core imports its policies; no other decision imports
// another one.
func TestDecisionsArePure(t *testing.T) {
	forbidden := []string{"os", "net", "time", "io/fs", "sync", "syscall", "context", "log", "math/rand", "crypto/rand"}
	for _, d := range deps(t, "spurspread/decision/...") {
		if isUnder(d, "spurspread") && !isUnder(d, "spurspread/decision") {
			t.Errorf("a decision depends on %s, want only packages in decision", d)
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
			if slices.Contains(forbidden, i) {
				t.Errorf("%s imports %s, which decisions must not import", pkg, i)
			}
			if !isUnder(i, "spurspread") ||
				slices.Contains(sharedPackages, i) && !slices.Contains(sharedPackages, pkg) {
				continue
			}
			if pkg != "spurspread/decision" || !slices.Contains(corePolicies, i) {
				t.Errorf("%s must not import %s", pkg, i)
			}
		}
	}
}

// The data plane depends neither on the control plane and the laboratory nor on large packages that it does not need.
func TestDataPlane(t *testing.T) {
	for _, d := range deps(t, "spurspread/cmd/spurspread", "spurspread/cmd/spurspread-sim") {
		if isUnder(
			d,
			"spurspread/lab",
			"spurspread/internal/control",
			"net/http",
			"database/sql",
			"crypto/tls",
			"gonum.org",
		) {
			t.Errorf("the data plane depends on %s, which it must not", d)
		}
	}
}

// packages returns the packages that match a pattern.
func packages(t *testing.T, pattern string) []string {
	t.Helper()
	out, err := exec.Command("go", "list", pattern).Output()
	if err != nil {
		t.Fatal(err)
	}
	return strings.Fields(string(out))
}

// scalePackage is the only package of the laboratory that may use the event loop: it runs the production transport for
// members of a scale run that have no process of their own.
const scalePackage = "spurspread/lab/scale"

// Each package depends only on packages of lower layers.
func TestLayers(t *testing.T) {
	forbiddenInLab := []string{
		"spurspread/internal/proxy",
		"spurspread/internal/eventloop",
		"spurspread/internal/lineproto",
	}
	forbiddenImports := map[string][]string{
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
			forbiddenImports[pkg] = forbiddenInLab
		}
	}
	for pkg, forbidden := range forbiddenImports {
		for _, d := range deps(t, pkg) {
			if isUnder(d, forbidden...) && !slices.Contains(sharedPackages, d) {
				t.Errorf("%s must not depend on %s", pkg, d)
			}
		}
	}
}
