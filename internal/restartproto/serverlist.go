package restartproto

import (
	"encoding/json"
	"fmt"
	"net/netip"
)

const (
	// maxServerListBytes bounds the file: some ten thousand servers. It is read into memory.
	maxServerListBytes = 4 << 20
	// serverListOverhead is what the file may have beside the list itself, in bytes.
	serverListOverhead = 1 << 10
)

// ServerList is the last list that the process which serves has from discovery.
type ServerList struct {
	Version   int             `json:"version"`
	PID       int             `json:"pid"`
	Listen    string          `json:"listen"`    // the address that clients connect to
	Discovery string          `json:"discovery"` // the address that published the list: generations are its own
	Snapshot  json.RawMessage `json:"list"`      // the full list in discovery's form
}

// ServerListPath is the file for a listen address in dir.
func ServerListPath(dir string, listen netip.AddrPort) string {
	return basePath(dir, listen) + ".list.json"
}

// WriteServerList replaces the file at path, and sets the version. A list that is too long is ErrTooLarge, and the file
// stays as it was; other errors are those of the file system.
func WriteServerList(path string, l ServerList) error {
	if len(l.Snapshot) > maxServerListBytes-serverListOverhead {
		return fmt.Errorf("hot restart: %s: %w: a list of %d bytes", path, ErrTooLarge, len(l.Snapshot))
	}
	l.Version = Version
	return replaceFile(path, l)
}

// ReadServerList reads the file at path, without looking into the list itself. It returns ErrNotRegular,
// ErrTooLarge, ErrMalformed, ErrVersion, or the error of the file system.
func ReadServerList(path string) (ServerList, error) {
	var l ServerList
	if err := readFile(path, maxServerListBytes, &l); err != nil {
		return l, err
	}
	return l, checkVersion(path, l.Version)
}

// CanInherit decides whether the process self may start from l: another process that is alive wrote it, which serves
// the same listen address and uses the same discovery.
func CanInherit(l ServerList, self int, listen, discovery netip.AddrPort, alive func(pid int) bool) bool {
	sameAddresses := l.Listen == listen.String() && l.Discovery == discovery.String()
	return sameAddresses && isOtherProcess(l.PID, self, alive)
}
