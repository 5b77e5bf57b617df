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

const (
	bytesPerMegabyte = 1 << 20
	bytesPerKilobyte = 1 << 10
)

// processCost is the resource usage of a process at one time, according to the kernel.
type processCost struct {
	at          time.Time
	resident    float64       // bytes
	cpu         time.Duration // user and system time of all its threads
	descriptors int           // open descriptors
	slab        float64       // bytes of kernel objects of the whole machine, including sockets
}

// costOf reads the cost of a process. Values that cannot be read are 0: the process has exited, which other figures
// show.
func costOf(pid int) processCost {
	descriptors, _ := os.ReadDir(filepath.Join("/proc", strconv.Itoa(pid), "fd"))
	return processCost{
		at:          time.Now(),
		resident:    deployment.ResidentBytes(pid),
		cpu:         cpuTime(pid),
		descriptors: len(descriptors),
		slab:        slabBytes(),
	}
}

// megabytesSince returns the growth of the resident memory in megabytes.
func (c processCost) megabytesSince(before processCost) float64 {
	return (c.resident - before.resident) / bytesPerMegabyte
}

// coreShareSince returns the processor time since an earlier reading as a share of one core.
func (c processCost) coreShareSince(before processCost) float64 {
	return float64(c.cpu-before.cpu) / float64(c.at.Sub(before.at))
}

// microsPerItem returns the processor time per item, in microseconds. No items count as one.
func microsPerItem(cpu time.Duration, items int) float64 {
	return float64(cpu.Nanoseconds()) / 1000 / float64(max(items, 1))
}

// Parts of the clock ID for the processor time of a process, see clock_getcpuclockid(3): the complement of the process
// ID, and in the lower bits the kind of time.
const (
	clockIDBits  = 3
	cpuSchedTime = 2 // time as counted by the scheduler
)

// cpuTime returns the processor time of a process from its CPU clock: the ticks of 10 ms in /proc are too coarse for
// the spans that are measured here.
func cpuTime(pid int) time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(int32(^pid)<<clockIDBits|cpuSchedTime, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// slabBytes returns the memory of kernel objects, 0 if it cannot be read.
func slabBytes() float64 {
	file, err := os.Open("/proc/meminfo")
	if err != nil {
		return 0
	}
	defer func() { _ = file.Close() }()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		if rest, ok := strings.CutPrefix(lines.Text(), "Slab:"); ok {
			kilobytes, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kilobytes * bytesPerKilobyte
		}
	}
	return 0
}

// maxDescriptors is the greatest number of descriptors that a run assumes, even if the machine allows more.
const maxDescriptors = 1 << 20

// raiseDescriptorLimit raises the soft limit of descriptors to the hard limit, and returns it, but no more than
// maxDescriptors.
func raiseDescriptorLimit() (int, error) {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0, fmt.Errorf("read the limit of descriptors: %w", err)
	}
	limit.Cur = limit.Max
	if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0, fmt.Errorf("raise the limit of descriptors: %w", err)
	}
	return int(min(limit.Max, maxDescriptors)), nil
}
