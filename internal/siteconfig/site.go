package siteconfig

import "spurspread/internal/xmlconfig"

// document describes the root element of a site file.
func document() xmlconfig.Document {
	return xmlconfig.Document{Root: "spurspread", Namespace: "urn:spurspread:site:1"}
}

// Load reads the site file at path, together with the key files that it names. An error of type xmlconfig.FieldErrors
// lists the problems of the file; any other error is from the file system.
func Load(path string) (*Site, error) {
	s := &Site{}
	if err := xmlconfig.Load(path, document(), s); err != nil {
		return nil, err
	}
	return s, nil
}

// Schema returns the content of deploy/spurspread.xsd.
func Schema() []byte {
	const title = "Settings of one installation of spurspread. Printed by: spurspread site schema"
	return xmlconfig.Schema(document(), Site{}, title)
}

// Site is the content of a site file. A feature whose part is absent is off.
type Site struct {
	// Name is the name of the installation. It is only displayed.
	Name xmlconfig.Name `xml:"name,attr" use:"required" doc:"what the installation is called"`
	// Channels turns on multiplexed channels.
	Channels *Channels `xml:"channels" doc:"SSH-style multiplexed channels; off where absent"`
	// Membership turns on the membership protocol, by which the balancers of a fleet know each other.
	Membership *Membership `xml:"fleet" doc:"the balancers know of each other; off where absent"`
	// Resume turns on resume tokens.
	Resume *Resume `xml:"resume" doc:"connections that move carry a token and continue where they left off; off where absent"`
}

// Membership holds the settings of this balancer as a member of the fleet. See docs/operate/membership.md.
type Membership struct {
	// Member is this member's name, by default the name that the platform gives the balancer. It must be unique in the
	// fleet.
	Member xmlconfig.Name `xml:"member,attr" doc:"what this member is called; the platform's name of the balancer if not given"`
	// Listen is the UDP address on which this member receives datagrams.
	Listen xmlconfig.Address `xml:"listen,attr" use:"required" doc:"where this member takes datagrams"`
	// Advertise is the address to which other members send, by default Listen. It is needed if they can't reach Listen.
	Advertise xmlconfig.Address `xml:"tells,attr" doc:"the address that other members are told; that of listen if not given"`
	// Region is the group of zones to which Zone belongs. It requires a Zone.
	Region xmlconfig.Name `xml:"region,attr" doc:"the region that the zone belongs to; takes a zone, too"`
	// Zone is the failure domain of this member. A member has the full view of its own zone only, and summaries of all
	// others, which bounds memory and traffic. Without zones each member has the full view of the fleet.
	Zone xmlconfig.Name `xml:"zone,attr" doc:"the failure domain that this member stands in: it has the full view of its members, and summaries of the others"`
	// Rack is only displayed.
	Rack xmlconfig.Name `xml:"rack,attr" doc:"the rack or switch within the zone; shown, and decides nothing"`
	// Seeds are the members that this one contacts to join the fleet. One that is up is enough, so more seeds survive
	// more failures.
	Seeds Seeds `xml:"seeds" doc:"members that are asked for the others at the start; any of them may be down"`
	// Overrides replace the advertised addresses of members, for example behind a NAT.
	Overrides *AddressOverrides `xml:"reach" doc:"members that are reached from here at other addresses than they tell"`
	// Keys encrypt datagrams. All members need the same keys.
	Keys Keys `xml:"keys" doc:"what seals datagrams; all members have the same"`
}

// Check rejects a region without a zone.
func (f *Membership) Check(file *xmlconfig.File) {
	if f.Region != "" && f.Zone == "" {
		file.AddError(&f.Region, `add zone="..." beside it, or remove the region`, "a region without a zone")
	}
}

// Seeds lists members through which a new member finds the others.
type Seeds struct {
	Seed []*Seed `xml:"seed" most:"64"`
}

// Seed is one of Seeds.
type Seed struct {
	// Address is the host name or IP address and the port of the seed.
	Address xmlconfig.HostPort `xml:"at,attr" use:"required" key:"seeds" doc:"a host, by name or address, and the port where it takes datagrams; this member itself is passed over"`
}

// AddressOverrides lists members that this one must reach at other addresses than they advertise.
type AddressOverrides struct {
	Member []*AddressOverride `xml:"member" most:"4096"`
}

// AddressOverride is one of AddressOverrides.
type AddressOverride struct {
	// Name is the name of the member.
	Name xmlconfig.Name `xml:"name,attr" use:"required" key:"reached" doc:"the member"`
	// Address is used instead of the advertised address.
	Address xmlconfig.Address `xml:"at,attr" use:"required" doc:"where it is reached from here"`
}

// Resume holds the settings of resume tokens, with which clients continue streams on another server. See
// docs/protocol/resume.md.
type Resume struct {
	// Lifetime is the time during which a token is valid, by default 60 s. A longer lifetime lets slow clients resume,
	// but more tokens must be remembered at once.
	Lifetime xmlconfig.Duration `xml:"life,attr" default:"60s" min:"1s" max:"10m" doc:"how long a token may be presented after it was given"`
	// Skew is the maximum difference between the clocks of balancers and servers, by default 2 s. If it is too low,
	// valid tokens are rejected; the higher it is, the longer expired tokens are accepted.
	Skew xmlconfig.Duration `xml:"skew,attr" default:"2s" min:"0s" max:"30s" doc:"how far the clocks of balancers and nodes may be apart"`
	// MaxClaims bounds the tokens that are remembered, about 150 bytes each, by default 16,384. A token is remembered
	// once it has been presented, so that it is not used twice. Once the bound is reached, new tokens are rejected.
	MaxClaims int `xml:"claims,attr" default:"16384" min:"64" max:"1048576" doc:"tokens remembered at once, some 150 bytes each; at the bound new ones are refused"`
	// DrainSpread is the period over which the moves off a draining server are spread, by default 1.5 s. A longer
	// period spreads the load of the moves, but must end before the server stops.
	DrainSpread xmlconfig.Duration `xml:"spread,attr" default:"1500ms" min:"100ms" max:"2200ms" doc:"over how long the moves off a draining node are spread"`
	// Keys encrypt resume tokens. Balancers and servers need the same keys.
	Keys Keys `xml:"keys" doc:"what seals tokens; balancers and nodes have the same"`
}

// Channels holds the settings of multiplexed channels. See docs/protocol/channels.md.
type Channels struct {
	// Clients accepts multiplexed connections from clients, by default true.
	Clients bool `xml:"clients,attr" default:"true" doc:"a client whose first line begins with SSH- has a connection with channels"`
	// Upstreams uses multiplexed connections to servers that support them, by default true.
	Upstreams bool `xml:"nodes,attr" default:"true" doc:"hops share trunks, to nodes that speak channels"`
	// MaxChannels bounds the channels of one client connection, by default 256.
	MaxChannels int `xml:"most,attr" default:"256" min:"1" max:"4096" doc:"channels on one client connection"`
	// OpenRate bounds the channels that one client connection may open per second, by default 200. It may open the
	// channels of one second at once.
	OpenRate xmlconfig.Rate `xml:"opens,attr" default:"200/s" min:"1/s" max:"100000/s" doc:"channels that one client connection may open, as many at once as in a second"`
	// Window is the receive window of a channel in bytes, by default 64 KiB; it shrinks when memory is short. A larger
	// window is faster over long distances, but slow readers then take more memory.
	Window xmlconfig.Size `xml:"window,attr" default:"64KiB" min:"4KiB" max:"1MiB" doc:"bytes that a peer may send on a channel before they are taken; less where memory is short"`
	// FirstPacket is the time that a client has after its identification to send the service request, by default 2 s.
	FirstPacket xmlconfig.Duration `xml:"first-packet,attr" default:"2s" min:"100ms" max:"3s" doc:"after the identification, until the service is asked for"`
	// Idle is the time without data from a client after which its connection is probed, or closed if it has no
	// channels; by default 30 s. A probed connection is closed after as long again without data.
	Idle xmlconfig.Duration `xml:"idle,attr" default:"30s" min:"1s" max:"10m" doc:"without a word from a client: one without channels is ended, one with channels is asked, and ended after as long again"`
	// UpstreamPool holds the limits of multiplexed connections to servers; nil means the defaults.
	UpstreamPool *UpstreamPool `xml:"trunks" doc:"the shared connections to nodes"`
}

// UpstreamPool holds the limits of multiplexed connections to servers.
type UpstreamPool struct {
	// ChannelsPerConnection bounds the channels on one connection, by default 128. More channels need fewer
	// connections, but more of them are lost when a connection breaks.
	ChannelsPerConnection int `xml:"channels,attr" default:"128" min:"1" max:"4096" doc:"on one trunk"`
	// ConnectionsPerServer bounds the connections to one server, by default 4.
	ConnectionsPerServer int `xml:"each,attr" default:"4" min:"1" max:"64" doc:"trunks to one node"`
	// MaxConnections bounds the connections of this balancer to all servers, by default 256. Each takes a file
	// descriptor.
	MaxConnections int `xml:"all,attr" default:"256" min:"1" max:"4096" doc:"trunks of one balancer"`
	// Idle is the time after which a connection without channels is closed, by default 10 s.
	Idle xmlconfig.Duration `xml:"idle,attr" default:"10s" min:"100ms" max:"10m" doc:"without a channel, until a trunk is closed"`
	// PlainTTL is the time for which a server that does not support channels is remembered, by default 10 min. With a
	// shorter time an upgraded server is noticed earlier, but each check costs an attempt.
	PlainTTL xmlconfig.Duration `xml:"plain,attr" default:"10m" min:"1s" max:"24h" doc:"so long it is remembered that a node speaks plain lines only"`
}

// DefaultUpstreamPool returns the limits that apply if a site file gives none.
func DefaultUpstreamPool() *UpstreamPool {
	pool := &UpstreamPool{}
	xmlconfig.Defaults(pool)
	return pool
}
