package deployment

import (
	"net"
	"net/netip"
	"testing"
)

// A port that the kernel has dealt out once is dealt out again as soon as it is free, to any process: an address
// that a balancer is told of before it binds it must be one that this does not reach.
func TestFreeAddrIsOutOfTheKernelsReach(t *testing.T) {
	text, err := freeAddr()
	if err != nil {
		t.Fatal(err)
	}
	addr := netip.MustParseAddrPort(text)
	dealt := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), addr.Port())
	if other, err := net.Listen("tcp", dealt.String()); err == nil { // somebody has it already: as good
		defer func() { _ = other.Close() }()
	}
	ln, err := net.Listen("tcp", text)
	if err != nil {
		t.Fatalf("whoever is dealt %v has taken the balancer's address: %v", dealt, err)
	}
	_ = ln.Close()
}
