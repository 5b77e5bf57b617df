package layering

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

const root = "../.."

// deployPaths returns the paths that the deploy file lists under key.
func deployPaths(t *testing.T, key string) []string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		t.Fatal(err)
	}
	list := regexp.MustCompile(`(?m)^` + key + ` = \[(.*)\]$`).FindSubmatch(text)
	if list == nil {
		t.Fatalf("deploy/balancer.toml has no list %s", key)
	}
	var paths []string
	for _, quoted := range strings.Split(string(list[1]), ", ") {
		paths = append(paths, strings.Trim(quoted, `"`))
	}
	return paths
}

// The deploy file lists under policy exactly the files of the core and of the packages of this module that the core
// imports. All paths under node exist.
func TestDeployFileNamesWhatExists(t *testing.T) {
	for _, path := range deployPaths(t, "node") {
		if _, err := os.Stat(filepath.Join(root, path)); err != nil {
			t.Errorf("node: %v", err)
		}
	}
	var want []string
	for _, pkg := range deps(t, "spurspread/decision") {
		if !isUnder(pkg, "spurspread") {
			continue
		}
		files, err := filepath.Glob(filepath.Join(root, strings.TrimPrefix(pkg, "spurspread/"), "*.go"))
		if err != nil {
			t.Fatal(err)
		}
		for _, file := range files {
			if path, err := filepath.Rel(root, file); err == nil && !strings.HasSuffix(path, "_test.go") {
				want = append(want, path)
			}
		}
	}
	got := deployPaths(t, "policy")
	for _, path := range want {
		if !slices.Contains(got, path) {
			t.Errorf("policy lacks %s", path)
		}
	}
	for _, path := range got {
		if !slices.Contains(want, path) {
			t.Errorf("policy names %s, which the core does not import", path)
		}
	}
}
