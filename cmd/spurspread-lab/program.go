package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime/debug"
	"strings"
)

// balancerProgram returns the path of the balancer program: named, or if that is empty the file spurspread beside this
// program.
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
		return "", fmt.Errorf("no balancer program beside this one: %w; build it with make, or give its path", err)
	}
	return path, nil
}

// revisionDigits is the number of digits of a revision that reports show.
const revisionDigits = 10

// commit returns the revision that this program was built from or, if the build did not record it, the revision of the
// checkout in the working directory. A plus is appended if files differ from the revision.
func commit() string {
	if revision := buildRevision(); revision != "" {
		return revision
	}
	return checkoutRevision()
}

// buildRevision returns the revision that the build recorded, "" if there is none.
func buildRevision() string {
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

// checkoutRevision returns the revision of the checkout in the working directory, "unknown" if it is not one.
func checkoutRevision() string {
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
