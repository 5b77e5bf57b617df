package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime/debug"
	"strings"
)

// balancerProgram is the path of the balancer: the one that was given, or the one beside this program.
func balancerProgram(named string) (string, error) {
	if named != "" {
		return named, nil
	}
	self, err := os.Executable()
	if err != nil {
		return "", err
	}
	path := filepath.Join(filepath.Dir(self), "spurspread")
	if _, err := os.Stat(path); err != nil {
		return "", fmt.Errorf("no balancer beside this program (%w); build it with make, or name it", err)
	}
	return path, nil
}

// revisionDigits of a revision are shown.
const revisionDigits = 10

// commit is the revision from which the program was built, or if the builder did not note it, that of the checkout in
// which it runs; with a plus if files were changed since.
func commit() string {
	if revision := builtFrom(); revision != "" {
		return revision
	}
	return checkedOut()
}

// builtFrom is the revision that the builder noted, "" if it did not.
func builtFrom() string {
	var revision, changed string
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, setting := range info.Settings {
			switch {
			case setting.Key == "vcs.revision":
				revision = setting.Value[:min(len(setting.Value), revisionDigits)]
			case setting.Key == "vcs.modified" && setting.Value == "true":
				changed = "+"
			}
		}
	}
	if revision == "" {
		return ""
	}
	return revision + changed
}

// checkedOut is the revision of the checkout in the present folder, "unknown" if there is none.
func checkedOut() string {
	changed := ""
	head, err := exec.Command("git", "rev-parse", fmt.Sprint("--short=", revisionDigits), "HEAD").Output()
	if err != nil {
		return "unknown"
	}
	if exec.Command("git", "diff", "--quiet", "HEAD", "--", "*.go", "*.xml").Run() != nil {
		changed = "+"
	}
	return strings.TrimSpace(string(head)) + changed
}
