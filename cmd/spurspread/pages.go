package main

import (
	"bufio"
	"os"
	"strconv"
	"strings"
	"unsafe"

	"golang.org/x/sys/unix"
)

// releasePages lets the kernel drop the memory pages that are mapped from the program's own file: a third of them is
// used at the start only and would stay resident. Pages that are used later are read from the file again. Failures are
// ignored, since the pages then merely stay resident.
func releasePages() {
	maps, err := os.Open("/proc/self/maps")
	if err != nil {
		return
	}
	defer func() { _ = maps.Close() }()
	program, err := os.Readlink("/proc/self/exe")
	if err != nil {
		return
	}
	for lines := bufio.NewScanner(maps); lines.Scan(); {
		if pages, ok := readOnlyPages(lines.Text(), program); ok {
			_ = unix.Madvise(pages, unix.MADV_DONTNEED)
		}
	}
}

// readOnlyPages parses a line of /proc/self/maps, such as
// "00400000-0062e000 r-xp 00000000 fe:00 9978145    /path". It returns the mapped memory if it is a mapping of the
// program's file that is not writable; else ok is false.
func readOnlyPages(line, program string) (pages []byte, ok bool) {
	fields := strings.Fields(line)
	if len(fields) != 6 || fields[5] != program {
		return nil, false
	}
	if permissions := fields[1]; permissions != "r-xp" && permissions != "r--p" {
		return nil, false
	}
	first, last, _ := strings.Cut(fields[0], "-")
	start, startErr := strconv.ParseUint(first, 16, 64)
	end, endErr := strconv.ParseUint(last, 16, 64)
	if startErr != nil || endErr != nil || end <= start {
		return nil, false
	}
	return unsafe.Slice((*byte)(unsafe.Add(unsafe.Pointer(nil), start)), end-start), true
}
