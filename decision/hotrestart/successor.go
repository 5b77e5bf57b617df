package hotrestart

// socketsPerConnection counts the downstream and the upstream socket.
const socketsPerConnection = 2

// OfferedConnection is the successor's knowledge of a connection that it is offered.
type OfferedConnection struct {
	Sockets          int  // number of sockets that came with the offer
	ServerListed     bool // its server is in the successor's server list
	IDUnused         bool // the successor knows no request with its id
	Draining         bool // the successor itself is draining
	DescriptorsShort bool // the successor is short of descriptors
}

// AcceptTransfer reports whether the successor takes over a connection: the offer has both sockets, the server is
// listed, the id is unused, and the successor is neither draining nor short of descriptors.
func AcceptTransfer(c OfferedConnection) bool {
	complete := c.Sockets == socketsPerConnection && c.ServerListed && c.IDUnused
	return complete && !c.Draining && !c.DescriptorsShort
}
