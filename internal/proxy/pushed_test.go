package proxy

import (
	"fmt"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"spurspread/internal/discovery"
	"spurspread/internal/settings"
)

// discoveryStub is a stub of service discovery that pushes server lists to the proxy.
type discoveryStub struct {
	h  *harness
	ln *net.TCPListener
}

func newDiscoveryStub(t *testing.T) *discoveryStub {
	t.Helper()
	ln, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return &discoveryStub{ln: ln}
}

func (d *discoveryStub) addr() netip.AddrPort { return netip.MustParseAddrPort(d.ln.Addr().String()) }

// acceptWatch accepts the next watch, which must start after the index, and sends one object on it.
func (d *discoveryStub) acceptWatch(index int, object string) *peer {
	d.h.t.Helper()
	d.h.check(d.ln.SetDeadline(time.Now().Add(testTimeout)))
	p := d.h.newPeer(d.ln.Accept())
	if want := fmt.Sprintf("GET /api/targets?stream=1&index=%d HTTP/1.1\r\n", index); p.readLine() != want {
		d.h.t.Fatalf("watch does not begin with %q", want)
	}
	for p.readLine() != "\r\n" {
	}
	p.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	p.send(fmt.Sprintf("%x\r\n%s\n\r\n", len(object)+1, object))
	return p
}

// waitForState waits until server 0 is listed in this state.
func (h *harness) waitForState(want discovery.ServerState) {
	h.t.Helper()
	for deadline := time.Now().Add(testTimeout); ; {
		var got discovery.ServerState
		if h.onLoop(func() { got = h.proxy.servers.list.ByNumber(0).State }); got == want {
			return
		}
		if time.Now().After(deadline) {
			h.t.Fatalf("server 0 is %v, want %v", got, want)
		}
		time.Sleep(time.Millisecond)
	}
}

// If the settings say that lists are pushed, the decision core does not poll. The proxy itself must then watch
// discovery: from the start, again when the watch breaks, and after a reload that turns pushed lists on.
func TestPushedListsAreWatchedFromTheStart(t *testing.T) {
	entry := func(generation int, state string) string {
		return fmt.Sprintf(
			`{"generation":%d,"reset":false,"instances":[%s]}`,
			generation,
			listEntry("s0", "127.0.0.1:1", state),
		)
	}
	push := strings.Replace(harnessSettings, `"discovery":"ask"`, `"discovery":"push"`, 1)
	a := newDiscoveryStub(t)
	a.h = newHarness(t, 1, sendToFirst, func(cfg *Config) {
		cfg.Discovery = a.addr()
		cfg.Settings.Decision.PollDiscovery = false
	})
	first := a.acceptWatch(1, entry(42, "Terminating"))
	a.h.waitForState(discovery.Terminating)
	a.h.check(first.Close())
	a.acceptWatch(42, entry(43, "Ready"))
	a.h.waitForState(discovery.Ready)

	b := newDiscoveryStub(t)
	b.h = newHarness(t, 1, sendToFirst, func(cfg *Config) { cfg.Discovery = b.addr() })
	b.h.onLoop(func() {
		if b.h.proxy.servers.client.Watching() {
			t.Error("the proxy watches discovery before the reload, want polls by the core only")
		}
		cfg := b.h.proxy.cfg
		var err error
		cfg.Settings, err = settings.ParseJSON([]byte(push))
		b.h.check(err)
		b.h.proxy.Reload(cfg)
	})
	b.acceptWatch(1, entry(42, "Terminating"))
	b.h.waitForState(discovery.Terminating)
}
