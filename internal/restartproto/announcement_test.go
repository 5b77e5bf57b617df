package restartproto

import (
	"errors"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var listenAddr = netip.MustParseAddrPort("127.0.0.1:8081")

func TestAnnouncementRoundTrip(t *testing.T) {
	path := AnnouncementPath(t.TempDir(), listenAddr)
	want := Announcement{Version: Version, PID: 42, Listen: listenAddr.String(), Since: 1_700_000_000_000}
	written := Announcement{PID: 42, Listen: listenAddr.String(), Since: want.Since}
	if err := WriteAnnouncement(path, written); err != nil {
		t.Fatal(err)
	}
	got, err := ReadAnnouncement(path)
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
	left, _ := filepath.Glob(filepath.Join(filepath.Dir(path), ".spurspread-handover-*"))
	if len(left) > 0 {
		t.Errorf("temporary files remain: %v, want none", left)
	}
}

// A file that is missing, broken, too large or of another version is rejected.
func TestReadAnnouncementRejects(t *testing.T) {
	for _, c := range []struct {
		name, text, want string
		kind             error
	}{
		{"empty", ``, "EOF", ErrMalformed},
		{"cut off", `{"version":1,"pid":4`, "unexpected EOF", ErrMalformed},
		{"another version", `{"version":2,"pid":4,"listen":"127.0.0.1:8081"}`, "of version 2", ErrVersion},
		{
			"an unknown field", `{"version":1,"pid":4,"listen":"127.0.0.1:8081","x":1}`,
			"unknown field", ErrMalformed,
		},
		{
			"too large", `{"version":1,"listen":"` + strings.Repeat("a", maxAnnouncementBytes) + `"}`,
			"over", ErrTooLarge,
		},
		{"not JSON", "\x00\x01", "invalid character", ErrMalformed},
	} {
		path := filepath.Join(t.TempDir(), "announcement")
		if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := ReadAnnouncement(path)
		if err == nil || !strings.Contains(err.Error(), c.want) || !errors.Is(err, c.kind) {
			t.Errorf("%s: %v; want %q, %v", c.name, err, c.want, c.kind)
		}
	}
	if _, err := ReadAnnouncement(filepath.Join(t.TempDir(), "none")); !os.IsNotExist(err) {
		t.Errorf("missing file: %v, want an error that it does not exist", err)
	}
}

func TestIsSuccessor(t *testing.T) {
	alive := func(pid int) bool { return pid != 13 }
	good := Announcement{Version: Version, PID: 42, Listen: listenAddr.String()}
	for _, c := range []struct {
		name string
		n    Announcement
		want bool
	}{
		{"another process on the address", good, true},
		{"this process itself", Announcement{Version: Version, PID: 7, Listen: listenAddr.String()}, false},
		{"a process that has ended", Announcement{Version: Version, PID: 13, Listen: listenAddr.String()}, false},
		{"another address", Announcement{Version: Version, PID: 42, Listen: "127.0.0.1:8082"}, false},
		{"no announcement", Announcement{}, false},
	} {
		if got := IsSuccessor(c.n, 7, listenAddr, alive); got != c.want {
			t.Errorf("%s: IsSuccessor = %v, want %v", c.name, got, c.want)
		}
	}
}
