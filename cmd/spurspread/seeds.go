package main

import (
	"context"
	"net"
	"net/netip"
	"time"

	"spurspread/internal/siteconfig"
)

const (
	// seedLookupInterval is the pause between lookups of the seeds' names, whose addresses may change.
	seedLookupInterval = 30 * time.Second
	// seedLookupTimeout bounds the lookup of one host name.
	seedLookupTimeout = 5 * time.Second
)

// resolveSeeds looks up the addresses of all seeds and reports them, every seedLookupInterval until ctx is done.
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

// resolveSeed returns the addresses of one seed, which is a host and a port; none if the lookup fails.
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
