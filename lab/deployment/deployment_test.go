package deployment

import (
	"net"
	"net/netip"
	"testing"
)

// A balancer's address is in its configuration before the balancer binds it. The kernel must not assign it to another
// process in the meantime, as it may do with a free ephemeral port of 127.0.0.1.
func TestFreeAddrIsNotEphemeral(t *testing.T) {
	text, err := freeAddr()
	if err != nil {
		t.Fatal(err)
	}
	addr := netip.MustParseAddrPort(text)
	ephemeral := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), addr.Port())
	if other, err := net.Listen("tcp", ephemeral.String()); err == nil { // an address in use already is the same case
		defer func() { _ = other.Close() }()
	}
	ln, err := net.Listen("tcp", text)
	if err != nil {
		t.Fatalf("a listener on %v prevents listening on the balancer's address %s: %v", ephemeral, text, err)
	}
	_ = ln.Close()
}
