package restartproto

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"path/filepath"
	"strings"
)

// maxServerListBytes bounds the file of what discovery told, in bytes: some ten thousand servers. It counts as memory.
const maxServerListBytes = 4 << 20

// ServerList is what the process that serves last heard of discovery.
type ServerList struct {
	Version   int             `json:"version"`
	PID       int             `json:"pid"`
	Listen    string          `json:"listen"`    // the clients' address that it serves
	Discovery string          `json:"discovery"` // whose generations these are
	Snapshot  json.RawMessage `json:"list"`      // whole, in discovery's own form
}

// ServerListPath is where the process that serves the clients' address keeps it.
func ServerListPath(dir string, listen netip.AddrPort) string {
	note := AnnouncementPath(dir, listen)
	return strings.TrimSuffix(note, filepath.Ext(note)) + ".list.json"
}

// WriteServerList puts the list in place whole. One that is too long is an error, and leaves the one before.
func WriteServerList(path string, l ServerList) error {
	if len(l.Snapshot) > maxServerListBytes-1<<10 {
		return fmt.Errorf("hand-over: a list of %d bytes is too long to keep", len(l.Snapshot))
	}
	l.Version = Version
	return replaceFile(path, l)
}

// ReadServerList reads the list strictly, as Read does a note. What the list itself says is not looked at.
func ReadServerList(path string) (ServerList, error) {
	var l ServerList
	if err := readFile(path, maxServerListBytes, &l); err != nil {
		return l, err
	}
	return l, checkVersion(path, l.Version)
}

// CanInherit tells whether a process that starts may go on from the list: another one that is alive serves the same
// clients' address and has heard the same discovery.
func CanInherit(l ServerList, self int, listen, discovery netip.AddrPort, alive func(pid int) bool) bool {
	return l.PID > 0 && l.PID != self && l.Listen == listen.String() && l.Discovery == discovery.String() &&
		alive(l.PID)
}
