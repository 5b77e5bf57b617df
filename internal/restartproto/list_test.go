package restartproto

import (
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var asked = netip.MustParseAddrPort("127.0.0.1:8500")

func TestListThereAndBack(t *testing.T) {
	path := ListPath(t.TempDir(), listen)
	if filepath.Base(path) != "spurspread-127.0.0.1_8081.v1.list.json" {
		t.Error(path)
	}
	want := List{PID: 42, Listen: listen.String(), Discovery: asked.String(), List: []byte(`{"generation":7}`)}
	if err := WriteList(path, want); err != nil {
		t.Fatal(err)
	}
	got, err := ReadList(path)
	if err != nil || got.Version != Version || got.PID != 42 || string(got.List) != `{"generation":7}` {
		t.Errorf("%+v, %v", got, err)
	}
	long := want
	long.List = []byte(`"` + strings.Repeat("a", maxList) + `"`)
	if err := WriteList(path, long); err == nil {
		t.Error("a list over the bound was written")
	}
	for _, text := range []string{"", "{}", `{"version":2,"pid":1}`, `{"version":1,"x":1}`, strings.Repeat(" ", maxList+1)} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := ReadList(path); err == nil {
			t.Errorf("%.30q was read", text)
		}
	}
}

// Only a living process on the same address that hears the same discovery is one to inherit from.
func TestInherits(t *testing.T) {
	good := List{PID: 42, Listen: listen.String(), Discovery: asked.String()}
	for name, spoil := range map[string]func(*List){
		"nothing wrong": nil, "itself": func(l *List) { l.PID = 7 }, "nobody": func(l *List) { l.PID = 0 },
		"dead": func(l *List) { l.PID = 13 }, "another address": func(l *List) { l.Listen = "127.0.0.1:1" },
		"another discovery": func(l *List) { l.Discovery = "127.0.0.1:1" },
	} {
		l := good
		if spoil != nil {
			spoil(&l)
		}
		if got := Inherits(l, 7, listen, asked, func(pid int) bool { return pid != 13 }); got != (spoil == nil) {
			t.Errorf("%s: %v", name, got)
		}
	}
}
