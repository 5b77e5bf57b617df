package connections

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"spurspread/lab/deployment"
)

// cost is what the kernel has of a process at one moment.
type cost struct {
	at       time.Time
	resident float64       // bytes
	cpu      time.Duration // user and system time of all its threads
	fds      int           // descriptors that it holds
	slab     float64       // bytes of kernel objects of the whole machine, sockets among them
}

// costOf reads it from outside.
func costOf(pid int) cost {
	// none: it has ended, which other figures tell
	entries, _ := os.ReadDir(filepath.Join("/proc", strconv.Itoa(pid), "fd"))
	return cost{
		at:       time.Now(),
		resident: deployment.Resident(pid),
		cpu:      cpuTime(pid),
		fds:      len(entries),
		slab:     slab(),
	}
}

// cpuSched is the kernel's clock of the time that threads ran, in the lower bits of a process's clock id.
const cpuSched = 2

// cpuTime is the processor time of a process by its own clock, see clock_getcpuclockid(3): /proc's ticks of 10 ms
// are too coarse for single steps here.
func cpuTime(pid int) time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(int32(^pid)<<3|cpuSched, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

func slab() float64 {
	f, err := os.Open("/proc/meminfo")
	if err != nil {
		return 0
	}
	defer func() { _ = f.Close() }()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if rest, ok := strings.CutPrefix(lines.Text(), "Slab:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kb * 1024
		}
	}
	return 0
}

// descriptors raises the soft limit to the hard one, and returns it.
func descriptors() (int, error) {
	var lim unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &lim); err != nil {
		return 0, fmt.Errorf("limit of descriptors: %w", err)
	}
	lim.Cur = lim.Max
	if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &lim); err != nil {
		return 0, fmt.Errorf("limit of descriptors: %w", err)
	}
	return int(min(lim.Max, 1<<20)), nil
}
