package loadgen

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// Indexes of fields in /proc/PID/stat, see proc(5), counted from the first field after the command's name.
const (
	userTimeField   = 11
	systemTimeField = 12
	clockTick       = 10 * time.Millisecond // the kernel's USER_HZ is 100
)

// CPUTime returns the processor time that a process has used in user and system mode; 0 if it can't be read.
func CPUTime(pid int) time.Duration {
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "stat"))
	if err != nil {
		return 0
	}
	nameEnd := strings.LastIndexByte(string(text), ')')
	fields := strings.Fields(string(text[nameEnd+1:]))
	if len(fields) <= systemTimeField {
		return 0
	}
	user, _ := strconv.ParseInt(fields[userTimeField], 10, 64)
	system, _ := strconv.ParseInt(fields[systemTimeField], 10, 64)
	return time.Duration(user+system) * clockTick
}
