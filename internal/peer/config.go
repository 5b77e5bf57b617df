package peer

import (
	"net/netip"

	"spurspread/decision/zonedirectory"
	"spurspread/internal/peer/packet"
)

// Config is what a member of a fleet is started with.
type Config struct {
	// Name identifies the member in the fleet, at most packet.MaxName bytes. Of two processes with one name the later
	// one is the member. It is needed.
	Name string
	// Listen is the address to bind. With port 0 the system chooses one.
	Listen netip.AddrPort
	// Advertise is the address that others are given; the one that is bound where it is not valid.
	Advertise netip.AddrPort
	// Seeds are addresses by which the fleet is found; with zones, of members of any zone. The first member needs
	// none.
	Seeds []netip.AddrPort
	// Keyring seals and opens datagrams. It is needed.
	Keyring *packet.Keyring
	// RandomSeed determines random choices, and tells two processes apart that start in the same microsecond.
	RandomSeed uint64
	// AddressOverrides has the addresses at which members are reached from here, by name, where those are not the
	// ones that they advertise.
	AddressOverrides map[string]netip.AddrPort
	// Site is where this member is; the zero Site in a fleet without zones.
	Site zonedirectory.Site
	// ExpectedMembers is the size of the fleet by its settings: with zones, what the rate divisor begins at.
	ExpectedMembers int
	// Rank replaces the order of a zone's members that chooses its delegates. The default is that of package
	// zonedirectory; a laboratory plants a fault here.
	Rank func(of zonedirectory.ID, id zonedirectory.MemberID) uint64
	// OnTick is called at each tick with the number by which the fleet's budgets are divided, rounded up, and this
	// member's position among all: by id, with zones by zone first. nil is allowed.
	OnTick func(members, position int)
	// OpenSocket binds a socket, whose datagrams it hands to receive. The default is the event loop's own; a
	// laboratory puts links that fail before it.
	OpenSocket func(addr netip.AddrPort, receive func(from netip.AddrPort, datagram []byte)) (Socket, error)
}

// Socket sends and receives datagrams.
type Socket interface {
	Addr() netip.AddrPort
	Send(to netip.AddrPort, datagram []byte)
	Close()
}
