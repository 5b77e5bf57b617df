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

// The owner of a goroutine ends it and waits for it.
func TestSignalHandlerEnds(t *testing.T) {
	h := startSignalHandler(nil, make(chan os.Signal))
	h.stop()
	select {
	case <-h.done:
	default:
		t.Error("the goroutine has not ended")
	}
}

// A disk that never answers does not hold up the end of the process.
func TestServerListWriterEndsBesideAWriteThatDoesNot(t *testing.T) {
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
		t.Fatal("close waits for the write")
	}
}

// Seeds that can't be looked up are left out, and the lookups end with their context.
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
			t.Errorf("%v; want %v", got, want)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("no report")
	}
	f.close()
	select {
	case <-f.seedsDone:
	default:
		t.Error("the goroutine has not ended")
	}
	(*fleetMember)(nil).close() // a process without membership
}
