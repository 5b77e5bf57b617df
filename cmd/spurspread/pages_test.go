package main

import (
	"encoding/binary"
	"os"
	"testing"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Guards against a crash at the first call of a C function: pages of the program's file that were modified before they
// became read-only, as the dynamic linker's tables are, must keep their content. Unmodified pages are released.
func TestReleasePagesKeepsModifiedPages(t *testing.T) {
	path, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	program, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = program.Close() }()
	pageSize := os.Getpagesize()
	mapPage := func(offset int) []byte {
		writable := unix.PROT_READ | unix.PROT_WRITE
		page, err := unix.Mmap(int(program.Fd()), int64(offset), pageSize, writable, unix.MAP_PRIVATE)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = unix.Munmap(page) })
		return page
	}
	// The offsets leave a gap, so that the kernel does not merge the mappings.
	modified, unmodified := mapPage(0), mapPage(8*pageSize)
	modified[0] ^= 0xff
	changed, first := modified[0], unmodified[0]
	for _, page := range [][]byte{modified, unmodified} {
		if err := unix.Mprotect(page, unix.PROT_READ); err != nil {
			t.Fatal(err)
		}
	}
	releasePages()
	if isResident(t, unmodified) {
		t.Error("an unmodified page of the program's file is still resident, want it released")
	}
	if modified[0] != changed {
		t.Errorf("modified byte %#x is %#x after releasePages, want it unchanged", changed, modified[0])
	}
	if unmodified[0] != first {
		t.Errorf("unmodified byte %#x is %#x after releasePages, want it unchanged", first, unmodified[0])
	}
}

// isResident reports whether a page is in this process's memory.
func isResident(t *testing.T, page []byte) bool {
	t.Helper()
	const entrySize, presentBit = 8, 63 // of /proc/PID/pagemap
	pagemap, err := os.Open("/proc/self/pagemap")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = pagemap.Close() }()
	var entry [entrySize]byte
	number := int64(uintptr(unsafe.Pointer(&page[0]))) / int64(os.Getpagesize())
	if _, err := pagemap.ReadAt(entry[:], number*entrySize); err != nil {
		t.Fatal(err)
	}
	return binary.NativeEndian.Uint64(entry[:])>>presentBit&1 == 1
}
