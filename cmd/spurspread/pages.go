package main

import (
	"bufio"
	"bytes"
	"io"
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
	smaps, err := os.Open("/proc/self/smaps")
	if err != nil {
		return
	}
	defer func() { _ = smaps.Close() }()
	program, err := os.Readlink("/proc/self/exe")
	if err != nil {
		return
	}
	for _, pages := range releasablePages(smaps, program) {
		_ = unix.Madvise(pages, unix.MADV_DONTNEED)
	}
}

// releasablePages returns the mappings of the program's file in smaps, which has the format of /proc/PID/smaps, whose
// content is that of the file. A mapping that is not writable now may have been modified before: the dynamic linker
// writes the addresses of functions to a part of the data segment and then makes it read-only (GNU_RELRO). The kernel
// counts modified pages as anonymous, in memory or in swap; their content would be lost.
func releasablePages(smaps io.Reader, program string) (releasable [][]byte) {
	var pages []byte // of the current mapping; nil if it is not to be released
	known, modified := false, false
	for lines := bufio.NewScanner(smaps); lines.Scan(); {
		name, value, _ := bytes.Cut(lines.Bytes(), []byte(":"))
		switch string(name) {
		case "Anonymous", "Swap":
			known = true
			modified = modified || string(bytes.TrimSpace(value)) != "0 kB"
		case "VmFlags": // the last line of a mapping
			if pages != nil && known && !modified {
				releasable = append(releasable, pages)
			}
			pages, known, modified = nil, false, false
		default:
			if bytes.HasSuffix(value, []byte(program)) { // the first line of a mapping
				pages = readOnlyPages(lines.Text(), program)
			}
		}
	}
	return releasable
}

// readOnlyPages parses the first line of a mapping, such as
// "00400000-0062e000 r-xp 00000000 fe:00 9978145    /path". It returns the mapped memory if it is a mapping of the
// program's file that is not writable; else nil.
func readOnlyPages(line, program string) []byte {
	fields := strings.Fields(line)
	if len(fields) != 6 || fields[5] != program {
		return nil
	}
	if permissions := fields[1]; permissions != "r-xp" && permissions != "r--p" {
		return nil
	}
	first, last, _ := strings.Cut(fields[0], "-")
	start, startErr := strconv.ParseUint(first, 16, 64)
	end, endErr := strconv.ParseUint(last, 16, 64)
	if startErr != nil || endErr != nil || end <= start {
		return nil
	}
	return unsafe.Slice((*byte)(unsafe.Add(unsafe.Pointer(nil), start)), end-start)
}
