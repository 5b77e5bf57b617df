package scale

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"spurspread/lab/deployment"
	"spurspread/lab/loadgen"
)

// usage is what the kernel says of the processes of a run.
type usage struct {
	processes int
	bytes     float64       // resident
	cpu       time.Duration // of those that are there
}

// measure asks the kernel for this process and all that come from it.
func measure() (usage, error) {
	parents, err := parents()
	if err != nil {
		return usage{}, err
	}
	self := os.Getpid()
	var u usage
	for pid := range parents {
		if !descends(parents, pid, self) {
			continue
		}
		u.processes++
		u.bytes += deployment.Resident(pid)
		u.cpu += loadgen.CPUTime(pid)
	}
	return u, nil
}

// parents are all processes, and who started each.
func parents() (map[int]int, error) {
	entries, err := filepath.Glob("/proc/[0-9]*/stat")
	if err != nil {
		return nil, err
	}
	out := map[int]int{}
	for _, path := range entries {
		text, err := os.ReadFile(path)
		if err != nil {
			continue // it has ended
		}
		pid, err := strconv.Atoi(filepath.Base(filepath.Dir(path)))
		fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
		if err != nil || len(fields) < 2 {
			return nil, fmt.Errorf("%s: %q is not understood", path, text)
		}
		if out[pid], err = strconv.Atoi(fields[1]); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
	}
	return out, nil
}

// descends tells whether a process is another one, or comes from it.
func descends(parents map[int]int, pid, from int) bool {
	for range len(parents) {
		if pid == from {
			return true
		}
		parent, known := parents[pid]
		if !known || parent == 0 {
			return false
		}
		pid = parent
	}
	return false
}

// limits tells whether a run takes more than it may.
func limits(u usage) error {
	if u.processes > maxRunProcesses {
		return fmt.Errorf("the run has %d processes, over %d", u.processes, maxRunProcesses)
	}
	if mb := u.bytes / (1 << 20); mb > maxRunMegabytes {
		return fmt.Errorf("the run takes %.0f MB, over %d", mb, maxRunMegabytes)
	}
	return nil
}

func errHollowEnded(said []string) error {
	return fmt.Errorf("a process of hollow members has ended: %s", strings.Join(said, "; "))
}
