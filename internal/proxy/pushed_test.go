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

// agent is the one that lists are pushed to, on the balancer's own machine.
type agent struct {
	g  *harness
	ln *net.TCPListener
}

func newAgent(t *testing.T) *agent {
	t.Helper()
	ln, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return &agent{ln: ln}
}

func (a *agent) addr() netip.AddrPort { return netip.MustParseAddrPort(a.ln.Addr().String()) }

// watch takes the next watch, which must begin after the index, and sends one object on it.
func (a *agent) watch(index int, object string) *peer {
	a.g.t.Helper()
	a.g.check(a.ln.SetDeadline(time.Now().Add(patience)))
	p := a.g.peer(a.ln.Accept())
	if want := fmt.Sprintf("GET /api/targets?stream=1&index=%d HTTP/1.1\r\n", index); p.line() != want {
		a.g.t.Fatalf("not asked for %q", want)
	}
	for p.line() != "\r\n" {
	}
	p.say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	p.say(fmt.Sprintf("%x\r\n%s\n\r\n", len(object)+1, object))
	return p
}

// state waits until server 0 is listed so.
func (g *harness) state(want discovery.ServerState) {
	g.t.Helper()
	for late := time.Now().Add(patience); ; {
		var got discovery.ServerState
		if g.inLoop(func() { got = g.proxy.servers.list.ByNumber(0).State }); got == want {
			return
		}
		if time.Now().After(late) {
			g.t.Fatalf("server 0 is %v, not %v", got, want)
		}
		time.Sleep(time.Millisecond)
	}
}

// Where lists are pushed the decision core never polls. They are watched all the same: from the start, again when the
// watch breaks, and when a reload says that lists are pushed from now on.
func TestPushedListsAreWatchedFromTheStart(t *testing.T) {
	entry := func(generation int, state string) string {
		return fmt.Sprintf(
			`{"generation":%d,"reset":false,"instances":[%s]}`,
			generation,
			listEntry("s0", "127.0.0.1:1", state),
		)
	}
	push := strings.Replace(harnessSettings, `"discovery":"ask"`, `"discovery":"push"`, 1)
	a := newAgent(t)
	a.g = newHarness(t, 1, sendToFirst, func(cfg *Config) {
		cfg.Discovery = a.addr()
		cfg.Settings.Decision.PollDiscovery = false
	})
	first := a.watch(1, entry(42, "Terminating"))
	a.g.state(discovery.Terminating)
	a.g.check(first.Close())
	a.watch(42, entry(43, "Ready"))
	a.g.state(discovery.Ready)

	b := newAgent(t)
	b.g = newHarness(t, 1, sendToFirst, func(cfg *Config) { cfg.Discovery = b.addr() })
	b.g.inLoop(func() {
		if b.g.proxy.servers.client.Watching() {
			t.Error("polled where only the core polls")
		}
		cfg := b.g.proxy.cfg
		var err error
		cfg.Settings, err = settings.ParseJSON([]byte(push))
		b.g.check(err)
		b.g.proxy.Reload(cfg)
	})
	b.watch(1, entry(42, "Terminating"))
	b.g.state(discovery.Terminating)
}
