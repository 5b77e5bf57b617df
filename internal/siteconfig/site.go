package siteconfig

import "spurspread/internal/xmlconfig"

// document is the root element of a site file.
func document() xmlconfig.Document {
	return xmlconfig.Document{Root: "spurspread", Namespace: "urn:spurspread:site:1"}
}

// Load reads the site file at path, with the secrets that it names. An error that is xmlconfig.FieldErrors lists all
// that is wrong with it; any other is of the file system.
func Load(path string) (*Site, error) {
	s := &Site{}
	if err := xmlconfig.Load(path, document(), s); err != nil {
		return nil, err
	}
	return s, nil
}

// Schema is the text of deploy/spurspread.xsd.
func Schema() []byte {
	const title = "Settings of one installation of spurspread. Printed by: spurspread site schema"
	return xmlconfig.Schema(document(), Site{}, title)
}

// Site is a site file. A part that is absent is off.
type Site struct {
	// Name is of the installation; shown only.
	Name xmlconfig.Name `xml:"name,attr" use:"required" doc:"what the installation is called"`
	// Channels turns on multiplexed channels.
	Channels *Channels `xml:"channels" doc:"SSH-style multiplexed channels; off where absent"`
	// Membership turns on the fleet of balancers.
	Membership *Membership `xml:"fleet" doc:"the balancers know of each other; off where absent"`
	// Resume turns on resume tokens.
	Resume *Resume `xml:"resume" doc:"connections that move carry a token and continue where they left off; off where absent"`
}

// Membership has the settings of this balancer as a member of the fleet. See docs/operate/membership.md.
type Membership struct {
	// Member is this member's name; by default the platform's name of the balancer. It must be unique in the fleet.
	Member xmlconfig.Name `xml:"member,attr" doc:"what this member is called; the platform's name of the balancer if not given"`
	// Listen is the UDP address for datagrams.
	Listen xmlconfig.Address `xml:"listen,attr" use:"required" doc:"where this member takes datagrams"`
	// Advertise is the address that others send to; by default Listen. Needed where Listen can't be reached from there.
	Advertise xmlconfig.Address `xml:"tells,attr" doc:"the address that other members are told; that of listen if not given"`
	// Region groups zones; it needs a Zone.
	Region xmlconfig.Name `xml:"region,attr" doc:"the region that the zone belongs to; takes a zone, too"`
	// Zone is the failure domain of this member. Members have a full view of their own zone only, which bounds
	// memory and traffic; without zones the whole fleet is one view.
	Zone xmlconfig.Name `xml:"zone,attr" doc:"the failure domain that this member stands in: it has the full view of its members, and summaries of the others"`
	// Rack is shown only.
	Rack xmlconfig.Name `xml:"rack,attr" doc:"the rack or switch within the zone; shown, and decides nothing"`
	// Seeds are members to join by. More of them survive more failures at the start.
	Seeds Seeds `xml:"seeds" doc:"members that are asked for the others at the start; any of them may be down"`
	// Overrides replace advertised addresses of members, as behind a NAT.
	Overrides *AddressOverrides `xml:"reach" doc:"members that are reached from here at other addresses than they tell"`
	// Keys seal datagrams; all members need the same.
	Keys Keys `xml:"keys" doc:"what seals datagrams; all members have the same"`
}

// Check rejects a region without a zone.
func (f *Membership) Check(file *xmlconfig.File) {
	if f.Region != "" && f.Zone == "" {
		file.AddError(&f.Region, `add zone="..." beside it, or remove the region`, "a region without a zone")
	}
}

// Seeds are members by which a new one finds the others.
type Seeds struct {
	Seed []*Seed `xml:"seed" most:"64"`
}

// Seed is one of Seeds.
type Seed struct {
	// Address is a host, by name or IP address, and a port.
	Address xmlconfig.HostPort `xml:"at,attr" use:"required" key:"seeds" doc:"a host, by name or address, and the port where it takes datagrams; this member itself is passed over"`
}

// AddressOverrides has members that are reached from here at other addresses than they advertise.
type AddressOverrides struct {
	Member []*AddressOverride `xml:"member" most:"4096"`
}

// AddressOverride is one of AddressOverrides.
type AddressOverride struct {
	// Name is the member's.
	Name xmlconfig.Name `xml:"name,attr" use:"required" key:"reached" doc:"the member"`
	// Address is used instead of the advertised one.
	Address xmlconfig.Address `xml:"at,attr" use:"required" doc:"where it is reached from here"`
}

// Resume has the settings of resume tokens, by which clients continue on another server. See docs/protocol/resume.md.
type Resume struct {
	// Lifetime is for how long a token can be presented, by default 60 s. Longer lets slow clients resume, and has more
	// tokens remembered at once.
	Lifetime xmlconfig.Duration `xml:"life,attr" default:"60s" min:"1s" max:"10m" doc:"how long a token may be presented after it was given"`
	// Skew bounds the difference of clocks, by default 2 s. Too low rejects valid tokens; higher accepts expired ones
	// for longer.
	Skew xmlconfig.Duration `xml:"skew,attr" default:"2s" min:"0s" max:"30s" doc:"how far the clocks of balancers and nodes may be apart"`
	// MaxClaims bounds the tokens remembered, by default 16,384, some 150 bytes each. At the bound new ones are
	// rejected.
	MaxClaims int `xml:"claims,attr" default:"16384" min:"64" max:"1048576" doc:"tokens remembered at once, some 150 bytes each; at the bound new ones are refused"`
	// MoveSpread is over how long the moves off a draining server are spread, by default 1.5 s. Longer is gentler, but
	// has to end before the server does.
	MoveSpread xmlconfig.Duration `xml:"spread,attr" default:"1500ms" min:"100ms" max:"2200ms" doc:"over how long the moves off a draining node are spread"`
	// Keys seal tokens; balancers and servers need the same.
	Keys Keys `xml:"keys" doc:"what seals tokens; balancers and nodes have the same"`
}

// Channels has the settings of multiplexed channels. See docs/protocol/channels.md.
type Channels struct {
	// Clients accepts connections with channels from clients; default true.
	Clients bool `xml:"clients,attr" default:"true" doc:"a client whose first line begins with SSH- has a connection with channels"`
	// Upstreams multiplexes connections to servers that support it; default true.
	Upstreams bool `xml:"nodes,attr" default:"true" doc:"hops share trunks, to nodes that speak channels"`
	// MaxChannels bounds the channels of one client connection, by default 256.
	MaxChannels int `xml:"most,attr" default:"256" min:"1" max:"4096" doc:"channels on one client connection"`
	// OpenRate bounds the channels that one client connection may open, by default 200 a second, and as many at once.
	OpenRate xmlconfig.Rate `xml:"opens,attr" default:"200/s" min:"1/s" max:"100000/s" doc:"channels that one client connection may open, as many at once as in a second"`
	// Window is the receive window of a channel in bytes, by default 64 KiB; less where memory is short. Larger is
	// faster on long paths, and takes more memory under slow readers.
	Window xmlconfig.Size `xml:"window,attr" default:"64KiB" min:"4KiB" max:"1MiB" doc:"bytes that a peer may send on a channel before they are taken; less where memory is short"`
	// FirstPacket is for the service request behind the identification, by default 2 s.
	FirstPacket xmlconfig.Duration `xml:"first-packet,attr" default:"2s" min:"100ms" max:"3s" doc:"after the identification, until the service is asked for"`
	// Idle is after how long a silent client connection is probed, or closed where it has no channels; by default 30 s.
	Idle xmlconfig.Duration `xml:"idle,attr" default:"30s" min:"1s" max:"10m" doc:"without a word from a client: one without channels is ended, one with channels is asked, and ended after as long again"`
	// UpstreamPool has limits of multiplexed connections to servers; nil for the defaults.
	UpstreamPool *UpstreamPool `xml:"trunks" doc:"the shared connections to nodes"`
}

// UpstreamPool has the limits of multiplexed connections to servers.
type UpstreamPool struct {
	// ChannelsPerConnection is by default 128. More save connections, and lose more when one breaks.
	ChannelsPerConnection int `xml:"channels,attr" default:"128" min:"1" max:"4096" doc:"on one trunk"`
	// ConnectionsPerServer is by default 4.
	ConnectionsPerServer int `xml:"each,attr" default:"4" min:"1" max:"64" doc:"trunks to one node"`
	// MaxConnections bounds those of this balancer to all servers, by default 256; each takes a descriptor.
	MaxConnections int `xml:"all,attr" default:"256" min:"1" max:"4096" doc:"trunks of one balancer"`
	// Idle is after how long a connection without channels is closed, by default 10 s.
	Idle xmlconfig.Duration `xml:"idle,attr" default:"10s" min:"100ms" max:"10m" doc:"without a channel, until a trunk is closed"`
	// PlainOnlyTTL is for how long a server is known not to support channels, by default 10 min. Shorter finds an
	// upgraded server earlier, and costs an attempt each time.
	PlainOnlyTTL xmlconfig.Duration `xml:"plain,attr" default:"10m" min:"1s" max:"24h" doc:"so long it is remembered that a node speaks plain lines only"`
}

// DefaultUpstreamPool has the limits that apply where a site file gives none.
func DefaultUpstreamPool() *UpstreamPool {
	pool := &UpstreamPool{}
	xmlconfig.Defaults(pool)
	return pool
}
