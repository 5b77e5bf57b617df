package restartproto

import (
	"os"
	"path/filepath"
	"testing"
)

// Other versions of the program read both files, offers and answers, so their exact bytes must not change.
func TestStableForm(t *testing.T) {
	dir := t.TempDir()
	announcement, list := AnnouncementPath(dir, listenAddr), ServerListPath(dir, listenAddr)
	serving := Announcement{PID: 42, Listen: listenAddr.String(), Since: 1_700_000_000_000}
	if err := WriteAnnouncement(announcement, serving); err != nil {
		t.Fatal(err)
	}
	err := WriteServerList(list, ServerList{
		PID: 42, Listen: listenAddr.String(), Discovery: discoveryAddr.String(), Snapshot: []byte(`{"generation":7}`),
	})
	if err != nil {
		t.Fatal(err)
	}
	packet, err := sampleOffer().Encode()
	if err != nil {
		t.Fatal(err)
	}
	read := func(path string) string {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		return string(text)
	}
	for _, c := range []struct{ name, got, want string }{
		{"name of the announcement", filepath.Base(announcement), `spurspread-127.0.0.1_8081.v1.json`},
		{"announcement", read(announcement), `{"version":1,"pid":42,"listen":"127.0.0.1:8081","since":1700000000000}`},
		{"name of the list", filepath.Base(list), `spurspread-127.0.0.1_8081.v1.list.json`},
		{"list", read(list), `{"version":1,"pid":42,"listen":"127.0.0.1:8081","discovery":"127.0.0.1:8500",` +
			`"list":{"generation":7}}`},
		{"name of the socket", filepath.Base(SocketPath(dir, listenAddr)), `spurspread-127.0.0.1_8081.v1.sock`},
		{"offer", string(packet), `{"version":1,"ref":4294967295,"id":18446744073709551615,"key":9223372036854775808,` +
			`"group":7,"class":"index-sync","hint":1.5,"has_hint":true,"retry":true,"returned":true,` +
			`"target":"s-1","verdict":3,"quiet":5,"waiting":[9,0]}`},
		{"accepted", string(EncodeAnswer(1<<32-1, true)), `+4294967295`},
		{"rejected", string(EncodeAnswer(0, false)), `-0`},
	} {
		if c.got != c.want {
			t.Errorf("%s: %s; want %s", c.name, c.got, c.want)
		}
	}
}
