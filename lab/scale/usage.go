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

// Limits of the resources of a run. A run that exceeds one is ended early.
const (
	maxRunProcesses = 300
	maxRunMegabytes = 12 << 10
)

// usageInterval is the interval at which the resource usage of all processes is read.
const usageInterval = time.Second

const bytesPerMegabyte = 1 << 20

// processUsage is the resource usage of a process tree, as reported by the kernel.
type processUsage struct {
	processes     int
	residentBytes float64
	cpu           time.Duration // of the processes that are still running
}

// processTreeUsage returns the usage of this process and all its descendants.
func processTreeUsage() (processUsage, error) {
	parents, err := parentPIDs()
	if err != nil {
		return processUsage{}, err
	}
	self := os.Getpid()
	var usage processUsage
	for pid := range parents {
		if !isDescendant(parents, pid, self) {
			continue
		}
		usage.processes++
		usage.residentBytes += deployment.ResidentBytes(pid)
		usage.cpu += loadgen.CPUTime(pid)
	}
	return usage, nil
}

// parentPIDs returns the parent process ID of each process of the machine, by process ID.
func parentPIDs() (map[int]int, error) {
	paths, err := filepath.Glob("/proc/[0-9]*/stat")
	if err != nil {
		return nil, err
	}
	parents := map[int]int{}
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			continue // the process has exited
		}
		pid, err := strconv.Atoi(filepath.Base(filepath.Dir(path)))
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		if parents[pid], err = parseParent(string(text)); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
	}
	return parents, nil
}

// parseParent returns the parent process ID from a line of /proc/PID/stat: the second field after the name of the
// command, which is in parentheses and may itself contain blanks and parentheses.
func parseParent(stat string) (int, error) {
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	if len(fields) < 2 {
		return 0, fmt.Errorf("unexpected format of process status %q", stat)
	}
	return strconv.Atoi(fields[1])
}

// isDescendant returns whether a process is the ancestor itself or descends from it. Since processes may exit while the
// list is read, it can have gaps and cycles, so the search is bounded.
func isDescendant(parents map[int]int, pid, ancestor int) bool {
	for range len(parents) {
		if pid == ancestor {
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

// checkLimits returns an error if the usage of a run exceeds its limits.
func checkLimits(usage processUsage) error {
	if usage.processes > maxRunProcesses {
		return fmt.Errorf("the run has %d processes, more than %d", usage.processes, maxRunProcesses)
	}
	if megabytes := usage.residentBytes / bytesPerMegabyte; megabytes > maxRunMegabytes {
		return fmt.Errorf("the run uses %.0f MB of memory, more than %d", megabytes, maxRunMegabytes)
	}
	return nil
}

// usageMeter accumulates the usage of all processes of a run. monitor.mu must be locked.
type usageMeter struct {
	maxProcesses  int
	maxResidentMB float64
	cpuSeconds    series        // of all processes
	lastCPU       time.Duration // of all processes, at the last reading

	// Traffic between real members, by sender and by receiver.
	sentBytes     []series
	receivedBytes []series
	lastSent      []int64
	lastReceived  []int64
}

func newUsageMeter(realMembers int) usageMeter {
	return usageMeter{
		sentBytes:     make([]series, realMembers),
		receivedBytes: make([]series, realMembers),
		lastSent:      make([]int64, realMembers),
		lastReceived:  make([]int64, realMembers),
	}
}

// add adds a reading of the usage of all processes.
func (m *usageMeter) add(at int64, usage processUsage) {
	m.maxProcesses = max(m.maxProcesses, usage.processes)
	m.maxResidentMB = max(m.maxResidentMB, usage.residentBytes/bytesPerMegabyte)
	if m.lastCPU > 0 {
		m.cpuSeconds.add(at, max(usage.cpu-m.lastCPU, 0).Seconds())
	}
	m.lastCPU = usage.cpu
}

// addTraffic adds a reading of the bytes that real members have sent to and received from each other since the start.
func (m *usageMeter) addTraffic(at int64, sent, received []int64) {
	for i := range m.sentBytes {
		m.sentBytes[i].add(at, float64(sent[i]-m.lastSent[i]))
		m.receivedBytes[i].add(at, float64(received[i]-m.lastReceived[i]))
	}
	m.lastSent = sent
	m.lastReceived = received
}

// sampleUsage reads the usage at usageInterval until the fleet is closed, and ends the run if it exceeds its limits.
func (f *fleet) sampleUsage() {
	for {
		f.sampleUsageOnce()
		select {
		case <-f.closing:
			return
		case <-time.After(usageInterval):
		}
	}
}

// sampleUsageOnce takes one reading of the usage, and checks that the processes of stub members are still running.
func (f *fleet) sampleUsageOnce() {
	usage, err := processTreeUsage()
	if err != nil {
		f.cancel(err)
		return
	}
	at := time.Now().UnixMicro()
	f.monitor.mu.Lock()
	defer f.monitor.mu.Unlock()
	f.usage.add(at, usage)
	if err := checkLimits(usage); err != nil {
		f.cancel(err)
	}
	f.usage.addTraffic(at, f.realFleet.Proxy.SentBytes(), f.realFleet.Proxy.DeliveredBytes())
	for member := range f.realStates {
		f.sampleRealUsage(member, at)
	}
	for _, p := range f.stubProcesses {
		if p.ended() {
			f.cancel(p.endedError())
		}
	}
}
