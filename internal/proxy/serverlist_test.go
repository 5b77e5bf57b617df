package proxy

import (
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"spurspread/decision"
	"spurspread/decision/monotime"
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
			g.proxy.servers.ListUpdated(c)
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
		g.proxy.servers.ListUpdated(discovery.Update{})
		g.proxy.servers.save()
	})
	g.inLoop(func() {})
	if len(kept) != 0 {
		t.Errorf("%q", <-kept)
	}
}

// A process whose first request comes long after its start does not send it by the list that it started with: it asks
// discovery first, and the server that is gone meanwhile gets nothing.
func TestFirstRequestWaitsForDiscovery(t *testing.T) {
	a := newAgent(t)
	a.g = newHarnessWithCore(t, 1, func(cfg *Config) { cfg.Discovery = a.addr() })
	g := a.g
	now, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	g.check(err)
	t.Cleanup(func() { _ = now.Close() })
	g.inLoop(func() {
		startedAt := g.loop.Now() - 5*monotime.Second
		g.core = decision.New(g.proxy.cfg.Settings.Decision, 1, startedAt)
		cached, err := g.proxy.servers.list.Apply(g.cachedList)
		g.check(err)
		g.proxy.core.dispatch(g.proxy.servers.updateEvent(decision.UpdateCached, cached))
	})
	client := g.client(openLine)
	a.watch(1, `{"generation":2,"instances":[{"instanceId":"s0","lifecycle":"Gone"},`+
		listEntry("s1", now.Addr().String(), "Ready")+`]}`)
	g.check(now.SetDeadline(time.Now().Add(patience)))
	server := g.peer(now.Accept())
	server.line()
	server.say("UP r1\r\n")
	client.want("UP r1\r\n")
	g.check(g.servers[0].SetDeadline(time.Now()))
	if _, err := g.servers[0].Accept(); !isTimeout(err) {
		t.Errorf("the server that is gone got a connection, %v", err)
	}
}
