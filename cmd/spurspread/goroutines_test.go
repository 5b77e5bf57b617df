package main

import (
	"context"
	"net/netip"
	"os"
	"slices"
	"testing"
	"time"

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
