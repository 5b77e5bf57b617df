package restartproto

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"path/filepath"
	"strings"
)

// maxList bounds the file of what discovery told, in bytes: some ten thousand servers. It counts as memory.
const maxList = 4 << 20

// List is what the process that serves last heard of discovery.
type List struct {
	Version   int             `json:"version"`
	PID       int             `json:"pid"`
	Listen    string          `json:"listen"`    // the clients' address that it serves
	Discovery string          `json:"discovery"` // whose generations these are
	List      json.RawMessage `json:"list"`      // whole, in discovery's own form
}

// ListPath is where the process that serves the clients' address keeps it.
func ListPath(dir string, listen netip.AddrPort) string {
	note := Path(dir, listen)
	return strings.TrimSuffix(note, filepath.Ext(note)) + ".list.json"
}

// WriteList puts the list in place whole. One that is too long is an error, and leaves the one before.
func WriteList(path string, l List) error {
	if len(l.List) > maxList-1<<10 {
		return fmt.Errorf("hand-over: a list of %d bytes is too long to keep", len(l.List))
	}
	l.Version = Version
	return write(path, l)
}

// ReadList reads the list strictly, as Read does a note. What the list itself says is not looked at.
func ReadList(path string) (List, error) {
	var l List
	if err := read(path, maxList, &l); err != nil {
		return l, err
	}
	return l, known(path, l.Version)
}

// Inherits tells whether a process that starts may go on from the list: another one that is alive serves the same
// clients' address and has heard the same discovery.
func Inherits(l List, self int, listen, discovery netip.AddrPort, alive func(pid int) bool) bool {
	return l.PID > 0 && l.PID != self && l.Listen == listen.String() && l.Discovery == discovery.String() &&
		alive(l.PID)
}
