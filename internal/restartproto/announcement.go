package restartproto

import (
	"fmt"
	"net/netip"
	"path/filepath"
	"strings"
)

// maxAnnouncementBytes is the maximum size of an announcement file.
const maxAnnouncementBytes = 4 << 10

// Announcement names the process that serves a listen address.
type Announcement struct {
	Version int    `json:"version"`
	PID     int    `json:"pid"`    // process that serves
	Listen  string `json:"listen"` // the address that clients connect to
	Since   int64  `json:"since"`  // when it began to serve, in Unix milliseconds
}

// AnnouncementPath returns the path of the announcement for a listen address in dir. The address is part of the file
// name, so that balancers with different addresses on one machine do not interfere.
func AnnouncementPath(dir string, listen netip.AddrPort) string {
	return fmt.Sprintf("%s.json", basePath(dir, listen))
}

// basePath returns the common path, without extension, of the files and the socket for a listen address.
func basePath(dir string, listen netip.AddrPort) string {
	name := strings.NewReplacer(":", "_", "[", "", "]", "").Replace(listen.String())
	return filepath.Join(dir, fmt.Sprintf("spurspread-%s.v%d", name, Version))
}

// WriteAnnouncement replaces the file at path with a, and sets its version. Errors are those of the file system.
func WriteAnnouncement(path string, a Announcement) error {
	a.Version = Version
	return replaceFile(path, a)
}

// ReadAnnouncement reads the file at path. It returns ErrNotRegular, ErrTooLarge, ErrMalformed, ErrVersion, or the
// error of the file system.
func ReadAnnouncement(path string) (Announcement, error) {
	var a Announcement
	if err := readFile(path, maxAnnouncementBytes, &a); err != nil {
		return a, err
	}
	return a, checkVersion(path, a.Version)
}

// IsSuccessor reports whether a names a successor of the process self: another process that is still alive and serves
// the same listen address. Then self may stop listening at once, because the kernel gives new connections to the
// successor. Start times need not be compared: the file names the process that announced itself last.
func IsSuccessor(a Announcement, self int, listen netip.AddrPort, alive func(pid int) bool) bool {
	return a.Version == Version && a.Listen == listen.String() && isOtherProcess(a.PID, self, alive)
}

// isOtherProcess reports whether pid is a running process other than self.
func isOtherProcess(pid, self int, alive func(pid int) bool) bool {
	return pid > 0 && pid != self && alive(pid)
}
