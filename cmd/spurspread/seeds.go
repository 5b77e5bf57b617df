package main

import (
	"context"
	"net"
	"net/netip"
	"time"

	"spurspread/internal/siteconfig"
)

const (
	// seedLookupInterval is how often the names of seeds are looked up: addresses change.
	seedLookupInterval = 30 * time.Second
	// seedLookupTimeout bounds one lookup.
	seedLookupTimeout = 5 * time.Second
)

// resolveSeeds looks up the addresses of all seeds, reports them, and repeats that until ctx is done.
func resolveSeeds(ctx context.Context, seeds []*siteconfig.Seed, report func([]netip.AddrPort)) {
	for {
		var all []netip.AddrPort
		for _, seed := range seeds {
			all = append(all, resolveSeed(ctx, string(seed.Address))...)
		}
		report(all)
		select {
		case <-ctx.Done():
			return
		case <-time.After(seedLookupInterval):
		}
	}
}

// resolveSeed is the addresses of one seed, a host and port; none where they can't be looked up now.
func resolveSeed(ctx context.Context, seed string) []netip.AddrPort {
	host, service, err := net.SplitHostPort(seed)
	if err != nil {
		return nil
	}
	limited, cancel := context.WithTimeout(ctx, seedLookupTimeout)
	ips, err := net.DefaultResolver.LookupNetIP(limited, "ip", host)
	cancel()
	if err != nil {
		return nil
	}
	port, err := net.DefaultResolver.LookupPort(ctx, "udp", service)
	if err != nil {
		return nil
	}
	var addrs []netip.AddrPort
	for _, ip := range ips {
		addrs = append(addrs, netip.AddrPortFrom(ip.Unmap(), uint16(port)))
	}
	return addrs
}
