package main

import (
	"context"
	"io"
	"net/netip"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"spurspread/internal/restartproto"
	"spurspread/internal/siteconfig"
)

// stop returns only after the goroutines of the signal handler have ended.
func TestSignalHandlerEnds(t *testing.T) {
	h := startSignalHandler(nil, make(chan os.Signal))
	h.stop()
	select {
	case <-h.done:
	default:
		t.Error("the goroutine of the signal handler has not ended after stop")
	}
}

// A write that never returns, as on a disk that does not respond, does not block close and so the shutdown.
func TestServerListWriterCloseWithBlockedWrite(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	defer close(release)
	log := logrus.New()
	log.SetOutput(io.Discard)
	w := newServerListWriter(log)
	w.write = func(string, restartproto.ServerList) error {
		close(started)
		<-release
		return nil
	}
	t.Setenv("TMPDIR", t.TempDir())
	w.start(netip.MustParseAddrPort("127.0.0.1:1"))
	w.save(netip.MustParseAddrPort("127.0.0.1:2"), []byte("{}"))
	<-started
	closed := make(chan struct{})
	go func() {
		w.close()
		close(closed)
	}()
	select {
	case <-closed:
	case <-time.After(10 * time.Second):
		t.Fatal("close has not returned within 10 s of a blocked write")
	}
}

// Seeds that can't be looked up are left out of the report, and close ends the lookups.
func TestResolveSeedsEnds(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	seeds := []*siteconfig.Seed{{Address: "127.0.0.1:7946"}, {Address: "no port"}, {Address: "[::1]:7947"}}
	reports := make(chan []netip.AddrPort, 1)
	f := &fleetMember{stopSeeds: cancel, seedsDone: make(chan struct{})}
	go func() {
		defer close(f.seedsDone)
		resolveSeeds(ctx, seeds, func(addrs []netip.AddrPort) { reports <- addrs })
	}()
	want := []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:7946"), netip.MustParseAddrPort("[::1]:7947")}
	select {
	case got := <-reports:
		if !slices.Equal(got, want) {
			t.Errorf("seeds resolved to %v, want %v", got, want)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("no addresses reported within 10 s")
	}
	f.close()
	select {
	case <-f.seedsDone:
	default:
		t.Error("the goroutine that resolves seeds has not ended after close")
	}
	(*fleetMember)(nil).close() // as in a process without membership
}
