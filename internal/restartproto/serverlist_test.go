package restartproto

import (
	"errors"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var discoveryAddr = netip.MustParseAddrPort("127.0.0.1:8500")

func TestServerListRoundTrip(t *testing.T) {
	path := ServerListPath(t.TempDir(), listenAddr)
	if filepath.Base(path) != "spurspread-127.0.0.1_8081.v1.list.json" {
		t.Errorf("path %q, want the address and version in the name", path)
	}
	want := ServerList{
		PID:       42,
		Listen:    listenAddr.String(),
		Discovery: discoveryAddr.String(),
		Snapshot:  []byte(`{"generation":7}`),
	}
	if err := WriteServerList(path, want); err != nil {
		t.Fatal(err)
	}
	got, err := ReadServerList(path)
	if err != nil || got.Version != Version || got.PID != 42 || string(got.Snapshot) != `{"generation":7}` {
		t.Errorf("read %+v, %v, want version %d, pid 42 and the snapshot", got, err, Version)
	}
	long := want
	long.Snapshot = []byte(`"` + strings.Repeat("a", maxServerListBytes) + `"`)
	if err := WriteServerList(path, long); !errors.Is(err, ErrTooLarge) {
		t.Errorf("a list over the maximum size: %v, want %v", err, ErrTooLarge)
	}
	for text, kind := range map[string]error{
		"": ErrMalformed, "{}": ErrVersion, `{"version":2,"pid":1}`: ErrVersion, `{"version":1,"x":1}`: ErrMalformed,
		strings.Repeat(" ", maxServerListBytes+1): ErrTooLarge,
	} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := ReadServerList(path); !errors.Is(err, kind) {
			t.Errorf("%.30q: %v; want %v", text, err, kind)
		}
	}
}

// Only the list of a running process with the same listen address and the same discovery can be inherited.
func TestCanInherit(t *testing.T) {
	alive := func(pid int) bool { return pid != 13 }
	good := ServerList{PID: 42, Listen: listenAddr.String(), Discovery: discoveryAddr.String()}
	for name, change := range map[string]func(*ServerList){
		"unchanged": nil, "itself": func(l *ServerList) { l.PID = 7 }, "no process": func(l *ServerList) { l.PID = 0 },
		"dead": func(l *ServerList) { l.PID = 13 }, "another address": func(l *ServerList) { l.Listen = "127.0.0.1:1" },
		"another discovery": func(l *ServerList) { l.Discovery = "127.0.0.1:1" },
	} {
		l := good
		if change != nil {
			change(&l)
		}
		if got := CanInherit(l, 7, listenAddr, discoveryAddr, alive); got != (change == nil) {
			t.Errorf("%s: CanInherit = %v, want %v", name, got, change == nil)
		}
	}
}
