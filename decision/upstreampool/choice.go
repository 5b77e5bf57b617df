package upstreampool

import (
	"slices"

	"spurspread/decision/monotime"
)

// openAheadFraction is the fraction of a server's channels in use from which on one more connection is opened ahead of
// need. Opening takes a round trip or two, in which more channels arrive.
const openAheadFraction = 0.75

// Kind is the kind of a Choice.
type Kind uint8

// The kinds of choices.
const (
	Use          Kind = iota // the channel uses Connection
	WaitForOpen              // the channel uses Connection as soon as that is established
	PlainLines               // the channel uses a connection of its own: the server understands plain lines only
	LimitReached             // no channel now: all connections are full, and a limit or one being opened forbids more
	BackingOff               // no channel now: the last connection failed, and the backoff is not over
)

// Choice is the decision about a channel, or about a connection opened ahead of need.
type Choice struct {
	Kind       Kind
	Connection uint32 // for Use and WaitForOpen
	Open       bool   // Connection has to be opened first
}

// Acquire decides which connection a new channel to a server uses. With Use and WaitForOpen it reserves a place on the
// connection until Release.
func (p *Pool) Acquire(now monotime.Micros, serverID uint32) Choice {
	s := p.serverState(serverID)
	if now < s.plainUntil {
		return Choice{Kind: PlainLines}
	}
	c := p.preferredConnection(s)
	if c == nil {
		return p.acquireNew(now, s)
	}
	c.channels++
	if !c.established {
		return Choice{Kind: WaitForOpen, Connection: c.id}
	}
	return Choice{Kind: Use, Connection: c.id}
}

// preferredConnection returns the server's best connection with a free channel, nil if there is none. It prefers
// established connections, and among them the one with the fewest channels, so that a failure affects few.
func (p *Pool) preferredConnection(s *server) *connection {
	var best *connection
	for _, c := range s.connections {
		if c.channels < p.limits.ChannelsPerConnection && (best == nil || c.betterThan(best)) {
			best = c
		}
	}
	return best
}

func (c *connection) betterThan(other *connection) bool {
	if c.established != other.established {
		return c.established
	}
	return c.channels < other.channels
}

// acquireNew opens a connection for a channel, if one may be opened now.
func (p *Pool) acquireNew(now monotime.Micros, s *server) Choice {
	c, kind := p.openConnection(now, s)
	if c == nil {
		return Choice{Kind: kind}
	}
	c.channels = 1
	return Choice{Kind: WaitForOpen, Connection: c.id, Open: true}
}

// openConnection adds one more connection to a server, to be opened now. If another connection is being opened, a limit
// is reached or the server is in backoff, it returns nil and the reason.
func (p *Pool) openConnection(now monotime.Micros, s *server) (*connection, Kind) {
	switch {
	case s.opening():
		return nil, LimitReached
	case len(s.connections) >= p.limits.ConnectionsPerServer, len(p.connections) >= p.limits.Connections:
		return nil, LimitReached
	case now < s.backoffUntil:
		return nil, BackingOff
	}
	p.lastID++
	c := &connection{id: p.lastID, server: s}
	s.connections = append(s.connections, c)
	p.connections[c.id] = c
	return c, WaitForOpen
}

// opening reports whether a connection to the server is being opened.
func (s *server) opening() bool {
	return slices.ContainsFunc(s.connections, func(c *connection) bool { return !c.established })
}

// OpenAhead decides whether to open one more connection to a server before channels need it: the server has
// connections, and openAheadFraction of their channels are in use. If so, the Choice has Open set; otherwise it is the
// zero Choice.
func (p *Pool) OpenAhead(now monotime.Micros, serverID uint32) Choice {
	s := p.serverState(serverID)
	if now < s.plainUntil || len(s.connections) == 0 {
		return Choice{}
	}
	capacity := len(s.connections) * p.limits.ChannelsPerConnection
	if float64(s.channels()) < openAheadFraction*float64(capacity) {
		return Choice{}
	}
	c, _ := p.openConnection(now, s)
	if c == nil {
		return Choice{}
	}
	c.idleSince = now
	return Choice{Kind: WaitForOpen, Connection: c.id, Open: true}
}

// channels returns the number of channels on all connections of a server.
func (s *server) channels() (total int) {
	for _, c := range s.connections {
		total += c.channels
	}
	return total
}
