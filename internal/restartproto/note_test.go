package restartproto

import (
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var listen = netip.MustParseAddrPort("127.0.0.1:8081")

func TestWriteThenRead(t *testing.T) {
	path := Path(t.TempDir(), listen)
	want := Note{Version: Version, PID: 42, Listen: listen.String(), Since: 1_700_000_000_000}
	if err := Write(path, Note{PID: 42, Listen: listen.String(), Since: want.Since}); err != nil {
		t.Fatal(err)
	}
	got, err := Read(path)
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
		{"too large", `{"version":1,"listen":"` + strings.Repeat("a", maxNote) + `"}`, "over"},
		{"not JSON", "\x00\x01", "invalid character"},
	} {
		path := filepath.Join(t.TempDir(), "note")
		if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := Read(path); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v; want %q", c.name, err, c.want)
		}
	}
	if _, err := Read(filepath.Join(t.TempDir(), "none")); !os.IsNotExist(err) {
		t.Errorf("missing: %v", err)
	}
}

func TestSucceeded(t *testing.T) {
	alive := func(pid int) bool { return pid != 13 }
	good := Note{Version: Version, PID: 42, Listen: listen.String()}
	for _, c := range []struct {
		name string
		n    Note
		want bool
	}{
		{"another process on the address", good, true},
		{"this process itself", Note{Version: Version, PID: 7, Listen: listen.String()}, false},
		{"a process that has gone", Note{Version: Version, PID: 13, Listen: listen.String()}, false},
		{"another address", Note{Version: Version, PID: 42, Listen: "127.0.0.1:8082"}, false},
		{"no note", Note{}, false},
	} {
		if got := Succeeded(c.n, 7, listen, alive); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}
