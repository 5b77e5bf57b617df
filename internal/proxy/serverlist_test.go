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

// Changes of the server list that arrive together are saved once: the full list, without removed servers, under the
// discovery address that it came from. After a change of that address, nothing is saved until the new address has sent
// a list.
func TestListIsSaved(t *testing.T) {
	saved := make(chan string, 10)
	h := newHarness(t, 2, sendToFirst, func(cfg *Config) {
		cfg.SaveList = func(at netip.AddrPort, list []byte) { saved <- at.String() + " " + string(list) }
	})
	var at string
	h.onLoop(func() {
		at = h.proxy.cfg.Discovery.String()
		for _, entries := range []string{
			listEntry("s0", "127.0.0.1:2", "Terminating"),
			`{"instanceId":"s1","lifecycle":"Gone"},` + listEntry("s2", "127.0.0.1:1", "Ready"),
		} {
			c, err := h.proxy.servers.list.Apply([]byte(`{"generation":9,"instances":[` + entries + `]}`))
			h.check(err)
			h.proxy.servers.ListUpdated(c)
		}
	})
	got := <-saved
	again := discovery.NewServerList()
	c, err := again.Apply([]byte(strings.TrimPrefix(got, at+" ")))
	if err != nil || !c.Full || len(c.Servers) != 2 {
		t.Fatalf("saved list %q parsed as %+v, %v, want a full list of 2 servers", got, c, err)
	}
	h.onLoop(func() {
		for _, parsed := range c.Servers {
			listed := *h.proxy.servers.list.ByID([]byte(parsed.ID))
			listed.Number = parsed.Number
			if listed != *parsed {
				t.Errorf("saved server %+v, want %+v", *parsed, listed)
			}
		}
		h.proxy.servers.client.ChangeAddress(h.proxy.cfg.Discovery)
		h.proxy.servers.ListUpdated(discovery.Update{})
		h.proxy.servers.save()
	})
	h.onLoop(func() {})
	if len(saved) != 0 {
		t.Errorf("saved %q before the new address sent a list", <-saved)
	}
}

// If the first request arrives long after the start, the cached server list may be outdated: the request waits for
// discovery and is not sent to a server that has been removed by then.
func TestFirstRequestWaitsForDiscovery(t *testing.T) {
	a := newDiscoveryStub(t)
	a.h = newHarnessWithCore(t, 1, func(cfg *Config) { cfg.Discovery = a.addr() })
	h := a.h
	newServer, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	h.check(err)
	t.Cleanup(func() { _ = newServer.Close() })
	h.onLoop(func() {
		startedAt := h.loop.Now() - 5*monotime.Second
		h.core = decision.New(h.proxy.cfg.Settings.Decision, 1, startedAt)
		cached, err := h.proxy.servers.list.Apply(h.cachedList)
		h.check(err)
		h.proxy.core.dispatch(h.proxy.servers.updateEvent(decision.UpdateCached, cached))
	})
	client := h.connect(openLine)
	a.acceptWatch(1, `{"generation":2,"instances":[{"instanceId":"s0","lifecycle":"Gone"},`+
		listEntry("s1", newServer.Addr().String(), "Ready")+`]}`)
	h.check(newServer.SetDeadline(time.Now().Add(testTimeout)))
	server := h.newPeer(newServer.Accept())
	server.readLine()
	server.send("UP r1\r\n")
	client.expect("UP r1\r\n")
	h.check(h.servers[0].SetDeadline(time.Now()))
	if _, err := h.servers[0].Accept(); !isTimeout(err) {
		t.Errorf("accept at the removed server: %v, want a timeout", err)
	}
}
