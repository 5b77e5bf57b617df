package procs

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
)

// Ports of a process. They are below the range that the kernel assigns to outgoing connections.
const (
	listenPort = 7001 + iota
	managementPort
	fleetPort
)

// FleetPort is the port on which a process receives datagrams of the fleet.
const FleetPort = fleetPort

const (
	addrsPerSubnet = 250 // addresses used of each subnet of 256
	maxSubnetTries = 20  // random subnets to try
)

// FreeLoopbacks returns n loopback addresses on which the ports of a process are free. Addresses in 127.0.0.0/8 need no
// configuration. Outgoing connections use 127.0.0.1, so that none of them takes a port between its check and its use.
func FreeLoopbacks(n int) ([]netip.Addr, error) {
	var err error
	for range maxSubnetTries {
		second := byte(64 + rand.IntN(128))
		third := rand.IntN(256 - n/addrsPerSubnet)
		var all []netip.Addr
		for i := range n {
			ip := netip.AddrFrom4([4]byte{127, second, byte(third + i/addrsPerSubnet), byte(i%addrsPerSubnet + 1)})
			if err = checkFree(ip); err != nil {
				break
			}
			all = append(all, ip)
		}
		if len(all) == n {
			return all, nil
		}
	}
	return nil, fmt.Errorf("find %d free loopback addresses: %w", n, err)
}

// checkFree returns an error if one of a process's ports is in use on an address.
func checkFree(ip netip.Addr) error {
	for _, port := range []uint16{listenPort, managementPort} {
		ln, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(netip.AddrPortFrom(ip, port)))
		if err != nil {
			return err
		}
		_ = ln.Close()
	}
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, fleetPort)))
	if err != nil {
		return err
	}
	return c.Close()
}
