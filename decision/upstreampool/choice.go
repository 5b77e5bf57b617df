package upstreampool

import (
	"slices"

	"spurspread/decision/monotime"
)

// openAheadFraction is the part of a server's channels in use from which one more connection is opened ahead of need.
// Opening takes a round trip or two, in which more channels arrive.
const openAheadFraction = 0.75

// Kind is what is decided about a channel.
type Kind uint8

// The kinds of choices.
const (
	Use          Kind = iota // the channel goes on Connection
	WaitForOpen              // the channel goes on Connection as soon as that is established
	PlainLines               // the channel goes on a connection of its own: the server understands plain lines only
	LimitReached             // no channel now: all connections that the limits allow are full
	BackingOff               // no channel now: the last connection failed, and its backoff is not over
)

// Choice is what is decided about a channel, or ahead of need.
type Choice struct {
	Kind       Kind
	Connection uint32 // for Use and WaitForOpen
	Open       bool   // Connection has to be opened first
}

// Acquire decides where a new channel to a server goes. With Use and WaitForOpen it reserves a place on the connection
// until Release.
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

// preferredConnection returns the server's best connection with a free channel, nil if there is none: established
// ones first, then the one with the fewest channels, so that a failure affects few.
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

// openConnection decides whether one more connection to a server may be opened now, and if so adds it. Not while
// another is being opened, beyond a limit, or during a backoff: then it returns nil and the reason.
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

// OpenAhead decides whether a server should get one more connection before channels need it: it has connections, and
// openAheadFraction of their channels are in use. The Choice has Open set if so.
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

// channels returns how many channels a server has on all its connections.
func (s *server) channels() (total int) {
	for _, c := range s.connections {
		total += c.channels
	}
	return total
}
