package peer

import (
	"net/netip"

	"spurspread/decision/zonedirectory"
	"spurspread/internal/peer/packet"
)

// Config configures a Host.
type Config struct {
	// Name identifies the member in the fleet. It is required and at most packet.MaxName bytes long. If two processes
	// have the same name, the one that started later is the member.
	Name string
	// Listen is the address to bind. With port 0 the kernel chooses the port.
	Listen netip.AddrPort
	// Advertise is the address that is announced to other members. If it is not valid, the bound address is used.
	Advertise netip.AddrPort
	// Seeds are addresses of members through which to join the fleet; with zones, members of any zone. The first member
	// of a fleet needs none.
	Seeds []netip.AddrPort
	// Keyring encrypts and decrypts datagrams. It is required.
	Keyring *packet.Keyring
	// RandomSeed seeds the random choices. Its lowest bits also distinguish two processes that start in the same
	// microsecond.
	RandomSeed uint64
	// AddressOverrides maps names of members to the addresses at which this process reaches them, where these differ
	// from the advertised ones.
	AddressOverrides map[string]netip.AddrPort
	// Site is this member's region and zone; the zero Site in a fleet without zones.
	Site zonedirectory.Site
	// ExpectedMembers is the configured size of the fleet: the initial rate divisor in a fleet with zones, not used
	// without zones.
	ExpectedMembers int
	// Rank replaces the ranking of a zone's members by which its delegates are chosen: those with the lowest ranks. nil
	// means the ranking of package zonedirectory; the laboratory sets it to inject a fault.
	Rank func(zone zonedirectory.ID, id zonedirectory.MemberID) uint64
	// OnTick, if not nil, is called at each tick with the rate divisor, rounded up, and this member's position in the
	// fleet (see Host.RateDivisor and Host.Position).
	OnTick func(divisor, position int)
	// OpenSocket binds a socket and passes each datagram that it receives to receive. nil means a UDP socket on the
	// event loop; the laboratory replaces it to simulate faulty links.
	OpenSocket func(addr netip.AddrPort, receive func(from netip.AddrPort, datagram []byte)) (Socket, error)
}

// Socket sends and receives datagrams.
type Socket interface {
	Addr() netip.AddrPort
	Send(to netip.AddrPort, datagram []byte)
	Close()
}
