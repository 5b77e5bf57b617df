package proxy

import (
	"net/netip"
	"strings"
	"testing"

	"spurspread/internal/discovery"
)

// A changed server list is saved once for changes that come together, whole, without what is gone, and under the
// address that it came from; after a move not until the new address has answered.
func TestListIsSaved(t *testing.T) {
	kept := make(chan string, 10)
	g := newHarness(t, 2, sendToFirst, func(cfg *Config) {
		cfg.SaveList = func(at netip.AddrPort, list []byte) { kept <- at.String() + " " + string(list) }
	})
	var at string
	g.inLoop(func() {
		at = g.proxy.cfg.Discovery.String()
		for _, entries := range []string{
			listEntry("s0", "127.0.0.1:2", "Terminating"),
			`{"instanceId":"s1","lifecycle":"Gone"},` + listEntry("s2", "127.0.0.1:1", "Ready"),
		} {
			c, err := g.proxy.servers.list.Apply([]byte(`{"generation":9,"instances":[` + entries + `]}`))
			g.check(err)
			g.proxy.servers.Listed(c)
		}
	})
	got := <-kept
	again := discovery.NewServerList()
	c, err := again.Apply([]byte(strings.TrimPrefix(got, at+" ")))
	if err != nil || !c.Full || len(c.Servers) != 2 {
		t.Fatalf("%q: %+v, %v", got, c, err)
	}
	g.inLoop(func() {
		for _, want := range c.Servers {
			have := *g.proxy.servers.list.ByID([]byte(want.ID))
			have.Number = want.Number
			if have != *want {
				t.Errorf("%+v, want %+v", *want, have)
			}
		}
		g.proxy.servers.client.ChangeAddress(g.proxy.cfg.Discovery)
		g.proxy.servers.Listed(discovery.Update{})
		g.proxy.servers.save()
	})
	g.inLoop(func() {})
	if len(kept) != 0 {
		t.Errorf("%q", <-kept)
	}
}
