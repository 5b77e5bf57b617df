package restartproto

import (
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var listenAddr = netip.MustParseAddrPort("127.0.0.1:8081")

func TestWriteThenRead(t *testing.T) {
	path := AnnouncementPath(t.TempDir(), listenAddr)
	want := Announcement{Version: Version, PID: 42, Listen: listenAddr.String(), Since: 1_700_000_000_000}
	if err := WriteAnnouncement(path, Announcement{PID: 42, Listen: listenAddr.String(), Since: want.Since}); err != nil {
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
		t.Errorf("left behind: %v", left)
	}
}

// A file that is missing, broken, too large or of another version says nothing.
func TestReadRefuses(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"empty", ``, "EOF"},
		{"cut off", `{"version":1,"pid":4`, "unexpected EOF"},
		{"another version", `{"version":2,"pid":4,"listen":"127.0.0.1:8081"}`, "of version 2"},
		{"an unknown field", `{"version":1,"pid":4,"listen":"127.0.0.1:8081","x":1}`, "unknown field"},
		{"too large", `{"version":1,"listen":"` + strings.Repeat("a", maxAnnouncementBytes) + `"}`, "over"},
		{"not JSON", "\x00\x01", "invalid character"},
	} {
		path := filepath.Join(t.TempDir(), "note")
		if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := ReadAnnouncement(path); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v; want %q", c.name, err, c.want)
		}
	}
	if _, err := ReadAnnouncement(filepath.Join(t.TempDir(), "none")); !os.IsNotExist(err) {
		t.Errorf("missing: %v", err)
	}
}

func TestSucceeded(t *testing.T) {
	alive := func(pid int) bool { return pid != 13 }
	good := Announcement{Version: Version, PID: 42, Listen: listenAddr.String()}
	for _, c := range []struct {
		name string
		n    Announcement
		want bool
	}{
		{"another process on the address", good, true},
		{"this process itself", Announcement{Version: Version, PID: 7, Listen: listenAddr.String()}, false},
		{"a process that has gone", Announcement{Version: Version, PID: 13, Listen: listenAddr.String()}, false},
		{"another address", Announcement{Version: Version, PID: 42, Listen: "127.0.0.1:8082"}, false},
		{"no note", Announcement{}, false},
	} {
		if got := IsSuccessor(c.n, 7, listenAddr, alive); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}
