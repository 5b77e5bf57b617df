package discovery

import (
	"errors"
	"net/netip"
	"testing"
)

const (
	server1 = `{"instanceId":"s1","hostPort":"127.0.0.1:1","zone":"a","machineType":"m2","cell":3,` +
		`"lifecycle":"Ready","weight":1.5,"startedAtMs":7}`
	server2  = `{"instanceId":"s2","hostPort":"nowhere","lifecycle":"Terminating"}`
	fullList = `{"generation":41,"reset":true,"instances":[` + server1 + `,` + server2 + `]}`
)

// A full update replaces the list, a snapshot restores it, and a malformed update changes nothing.
func TestServerList(t *testing.T) {
	list := NewServerList()
	c, err := list.Apply([]byte(fullList))
	if err != nil || !c.Full || c.Generation != 41 || len(c.Servers) != 2 {
		t.Fatalf("Apply = %+v, %v, want a full list of 2 servers, generation 41", c, err)
	}
	want := Server{
		ID: "s1", Addr: netip.MustParseAddrPort("127.0.0.1:1"), Zone: "a", MachineType: "m2", Cell: 3, Weight: 1.5,
		StartedMillis: 7,
	}
	if s1, s2 := list.ByID([]byte("s1")), list.ByNumber(1); *s1 != want || s2.State != Terminating ||
		s2.Addr.IsValid() {
		t.Errorf("servers %+v and %+v, want %+v and one that is terminating, without an address", s1, s2, want)
	}
	restored := NewServerList()
	if c, err := restored.Apply(list.Snapshot(41)); err != nil || !c.Full || c.Generation != 41 ||
		*restored.ByNumber(0) != want || *restored.ByNumber(1) != *list.ByNumber(1) {
		t.Errorf("restored from %s, %v, want the same servers", list.Snapshot(41), err)
	}
	if _, err = list.Apply([]byte(`{"generation":42,"reset":true,"instances":[` + server1 + `]}`)); err != nil ||
		list.ByNumber(1).State != Gone || list.ByNumber(0).State != Ready || list.ByNumber(2) != nil {
		t.Errorf("after a full list without server 1: %+v, %v, want it gone", list.ByNumber(1), err)
	}
	for _, bad := range []string{
		"", "[]", "{", `{"instances":[]}`, `{"generation":1,"instances":7}`,
		`{"generation":50,"reset":true,"instances":[{"instanceId":"","lifecycle":"Ready"}]}`,
		`{"generation":50,"reset":true,"instances":[{"instanceId":"s3","lifecycle":"Odd"}]}`,
	} {
		if _, err := list.Apply([]byte(bad)); !errors.Is(err, ErrMalformedList) || list.ByNumber(0).State != Ready {
			t.Errorf("%q: %v, %+v, want ErrMalformedList and no change", bad, err, list.ByNumber(0))
		}
	}
}
