// Package handover holds what two versions of a balancer on the same clients' address tell each other: a small
// versioned file under $TMPDIR, in which the newer one says that it serves, and which the older one reads at
// SIGTERM, to know that its listener may close without shutting anybody out; and the packets in which the older one
// offers what stands. It knows their forms, and nothing of sockets or of the loop. No process needs the file to
// start: one that is missing, broken or of another version says nothing.
package restartproto

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
)

// Version is the form of the file; another one is not read.
const Version = 1

// maxAnnouncementBytes bounds the file, in bytes.
const maxAnnouncementBytes = 4 << 10

// Announcement is what the file holds.
type Announcement struct {
	Version int    `json:"version"`
	PID     int    `json:"pid"`    // of the process that serves
	Listen  string `json:"listen"` // the clients' address that it listens on
	Since   int64  `json:"since"`  // when it began to serve, Unix milliseconds
}

// AnnouncementPath is the file for the clients' address in dir; the address is in its name, so that balancers of several
// addresses on one machine keep apart.
func AnnouncementPath(dir string, listen netip.AddrPort) string {
	name := strings.NewReplacer(":", "_", "[", "", "]", "").Replace(listen.String())
	return filepath.Join(dir, fmt.Sprintf("spurspread-%s.v%d.json", name, Version))
}

// WriteAnnouncement puts the note in place whole.
func WriteAnnouncement(path string, n Announcement) error {
	n.Version = Version
	return replaceFile(path, n)
}

// replaceFile puts a value in place whole: it is written beside the file and renamed over it, so a reader sees the old
// value or the new one, never part of one.
func replaceFile(path string, v any) error {
	text, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("hand-over: %w", err)
	}
	f, err := os.CreateTemp(filepath.Dir(path), ".spurspread-handover-*")
	if err != nil {
		return fmt.Errorf("hand-over: %w", err)
	}
	_, err = f.Write(text)
	if err = errors.Join(err, f.Close()); err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		_ = os.Remove(f.Name())
		return fmt.Errorf("hand-over: %w", err)
	}
	return nil
}

// ReadAnnouncement reads a note strictly: of this version, with no field unknown, and bounded in size.
func ReadAnnouncement(path string) (Announcement, error) {
	var n Announcement
	if err := readFile(path, maxAnnouncementBytes, &n); err != nil {
		return n, err
	}
	return n, checkVersion(path, n.Version)
}

func checkVersion(path string, version int) error {
	if version != Version {
		return fmt.Errorf("hand-over: %s is of version %d, not %d", path, version, Version)
	}
	return nil
}

// readFile reads a value of most bytes strictly.
func readFile(path string, most int64, v any) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	text, err := io.ReadAll(io.LimitReader(f, most+1))
	if err != nil {
		return err
	}
	if int64(len(text)) > most {
		return fmt.Errorf("hand-over: %s has over %d bytes", path, most)
	}
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return fmt.Errorf("hand-over: %s: %w", path, err)
	}
	return nil
}

// IsSuccessor tells whether the note names another process, still alive, that serves on the same address: then this one
// may stop listening at once, for the kernel gives new connections to that one.
func IsSuccessor(n Announcement, self int, listen netip.AddrPort, alive func(pid int) bool) bool {
	return n.Version == Version && n.PID > 0 && n.PID != self && n.Listen == listen.String() && alive(n.PID)
}
