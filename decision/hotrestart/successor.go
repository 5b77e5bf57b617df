package hotrestart

// socketsPerConnection is the downstream and the upstream socket.
const socketsPerConnection = 2

// OfferedConnection is what the successor knows of a connection that it is offered.
type OfferedConnection struct {
	Sockets          int  // that came with the offer
	ServerListed     bool // its server is in the successor's server list
	IDUnused         bool // the successor has not seen a request with its id
	Draining         bool // the successor itself is draining
	DescriptorsShort bool // the successor is short of descriptors
}

// AcceptTransfer decides whether the successor takes over a connection: it came with both sockets, its server is known
// and its id is not, and the successor is neither draining nor short of descriptors.
func AcceptTransfer(c OfferedConnection) bool {
	complete := c.Sockets == socketsPerConnection && c.ServerListed && c.IDUnused
	return complete && !c.Draining && !c.DescriptorsShort
}
