package restartproto

import (
	"encoding/json"
	"fmt"
	"net/netip"
)

const (
	// maxServerListBytes is the maximum size of the file, enough for about ten thousand servers. The file is read into
	// memory as a whole.
	maxServerListBytes = 4 << 20
	// serverListOverhead is the space in bytes that is reserved for the other fields of the file.
	serverListOverhead = 1 << 10
)

// ServerList is the last server list that the serving process received from discovery.
type ServerList struct {
	Version   int             `json:"version"`
	PID       int             `json:"pid"`
	Listen    string          `json:"listen"`    // the address that clients connect to
	Discovery string          `json:"discovery"` // the address that published the list, to which its generations belong
	Snapshot  json.RawMessage `json:"list"`      // the full list in discovery's format
}

// ServerListPath returns the path of the server list for a listen address in dir.
func ServerListPath(dir string, listen netip.AddrPort) string {
	return basePath(dir, listen) + ".list.json"
}

// WriteServerList replaces the file at path with l, and sets its version. If the list is too large it returns
// ErrTooLarge and leaves the file unchanged; other errors are those of the file system.
func WriteServerList(path string, l ServerList) error {
	if len(l.Snapshot) > maxServerListBytes-serverListOverhead {
		return fmt.Errorf("hot restart: %s: %w: a list of %d bytes", path, ErrTooLarge, len(l.Snapshot))
	}
	l.Version = Version
	return replaceFile(path, l)
}

// ReadServerList reads the file at path; it does not parse the list itself. It returns ErrNotRegular,
// ErrTooLarge, ErrMalformed, ErrVersion, or the error of the file system.
func ReadServerList(path string) (ServerList, error) {
	var l ServerList
	if err := readFile(path, maxServerListBytes, &l); err != nil {
		return l, err
	}
	return l, checkVersion(path, l.Version)
}

// CanInherit reports whether the process self may start with l: it was written by another process that is still alive,
// serves the same listen address and uses the same discovery address.
func CanInherit(l ServerList, self int, listen, discovery netip.AddrPort, alive func(pid int) bool) bool {
	sameAddresses := l.Listen == listen.String() && l.Discovery == discovery.String()
	return sameAddresses && isOtherProcess(l.PID, self, alive)
}
