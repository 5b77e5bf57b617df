package restartproto

import (
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var discoveryAddr = netip.MustParseAddrPort("127.0.0.1:8500")

func TestListThereAndBack(t *testing.T) {
	path := ServerListPath(t.TempDir(), listenAddr)
	if filepath.Base(path) != "spurspread-127.0.0.1_8081.v1.list.json" {
		t.Error(path)
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
		t.Errorf("%+v, %v", got, err)
	}
	long := want
	long.Snapshot = []byte(`"` + strings.Repeat("a", maxServerListBytes) + `"`)
	if err := WriteServerList(path, long); err == nil {
		t.Error("a list over the bound was written")
	}
	for _, text := range []string{"", "{}", `{"version":2,"pid":1}`, `{"version":1,"x":1}`, strings.Repeat(" ", maxServerListBytes+1)} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := ReadServerList(path); err == nil {
			t.Errorf("%.30q was read", text)
		}
	}
}

// Only a living process on the same address that hears the same discovery is one to inherit from.
func TestInherits(t *testing.T) {
	good := ServerList{PID: 42, Listen: listenAddr.String(), Discovery: discoveryAddr.String()}
	for name, spoil := range map[string]func(*ServerList){
		"nothing wrong": nil, "itself": func(l *ServerList) { l.PID = 7 }, "nobody": func(l *ServerList) { l.PID = 0 },
		"dead": func(l *ServerList) { l.PID = 13 }, "another address": func(l *ServerList) { l.Listen = "127.0.0.1:1" },
		"another discovery": func(l *ServerList) { l.Discovery = "127.0.0.1:1" },
	} {
		l := good
		if spoil != nil {
			spoil(&l)
		}
		if got := CanInherit(l, 7, listenAddr, discoveryAddr, func(pid int) bool { return pid != 13 }); got != (spoil == nil) {
			t.Errorf("%s: %v", name, got)
		}
	}
}
