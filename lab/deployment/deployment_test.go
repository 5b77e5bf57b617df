package deployment

import (
	"net"
	"net/netip"
	"testing"
)

// The kernel gives a free ephemeral port to any process: an address that is in a balancer's configuration before the
// balancer binds it must be one that the kernel does not give away.
func TestFreeAddrIsNotEphemeral(t *testing.T) {
	text, err := freeAddr()
	if err != nil {
		t.Fatal(err)
	}
	addr := netip.MustParseAddrPort(text)
	ephemeral := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), addr.Port())
	if other, err := net.Listen("tcp", ephemeral.String()); err == nil { // if it is taken already, the case is the same
		defer func() { _ = other.Close() }()
	}
	ln, err := net.Listen("tcp", text)
	if err != nil {
		t.Fatalf("whoever has %v has taken the balancer's address: %v", ephemeral, err)
	}
	_ = ln.Close()
}
