package upstreampool

import (
	"slices"

	"spurspread/decision/backoff"
	"spurspread/decision/monotime"
)

const (
	// initialBackoff is the time after a failure in which no connection to the server is opened. It doubles with each
	// further failure, at most maxBackoffDoublings times and up to maxBackoff. A server that dies takes its channels
	// along, and all their clients reconnect within a second.
	initialBackoff      = 250 * monotime.Millisecond
	maxBackoff          = 8 * monotime.Second
	maxBackoffDoublings = 10
	// stableAfter is how long a connection must have been established for its failure to count as the first again.
	stableAfter = 10 * monotime.Second
	// unconfirmedPlainTTL is for how long a server that only broke the connection off is taken to understand plain
	// lines only. Such a server does so, as it leaves unread what it does not understand; but so does one that dies.
	unconfirmedPlainTTL = 10 * monotime.Second
)

// Limits bound a pool. The defaults are those of the site file, from which they come.
type Limits struct {
	// ChannelsPerConnection bounds the channels on one connection; default 128. More of them save connections, and lose
	// more clients with each that fails.
	ChannelsPerConnection int
	// ConnectionsPerServer bounds the connections to one server; default 4. More of them allow more channels there.
	ConnectionsPerServer int
	// Connections bounds the connections to all servers together, and with them descriptors and buffers; default 256.
	Connections int
	// IdleTimeout is the time without a channel after which a connection is closed; default 10 s. A longer one saves
	// set-ups, and holds descriptors.
	IdleTimeout monotime.Micros
	// PlainTTL is for how long it is remembered that a server understands plain lines only; default 10 min. A
	// longer one saves attempts; a server that has been upgraded is used with channels that much later.
	PlainTTL monotime.Micros
}

// connection is a multiplexed upstream connection, or one that is being opened.
type connection struct {
	id            uint32
	server        *server
	established   bool
	establishedAt monotime.Micros
	channels      int             // on it or waiting for it
	idleSince     monotime.Micros // when it last had a channel, or was opened
}

// server is what is known of one server.
type server struct {
	id           uint32
	connections  []*connection
	plainUntil   monotime.Micros // it is taken to understand plain lines only until then
	failures     int             // in a row
	backoffUntil monotime.Micros
}

// Pool holds all multiplexed upstream connections of a balancer.
type Pool struct {
	limits      Limits
	servers     map[uint32]*server
	connections map[uint32]*connection
	lastID      uint32
}

// New returns a pool without connections.
func New(limits Limits) *Pool {
	return &Pool{limits: limits, servers: map[uint32]*server{}, connections: map[uint32]*connection{}}
}

// SetLimits changes the limits. Connections beyond a new limit stay until they are idle, and take no new channels.
func (p *Pool) SetLimits(limits Limits) { p.limits = limits }

func (p *Pool) serverState(id uint32) *server {
	s := p.servers[id]
	if s == nil {
		s = &server{id: id}
		p.servers[id] = s
	}
	return s
}

// Established records that a connection has been opened, and so that its server understands channels.
func (p *Pool) Established(now monotime.Micros, id uint32) {
	c := p.connections[id]
	if c == nil || c.established {
		return
	}
	c.established = true
	c.establishedAt = now
	c.idleSince = now
	c.server.plainUntil = 0
}

// Release records that a channel on a connection, or one that waited for it, has ended.
func (p *Pool) Release(now monotime.Micros, id uint32) {
	c := p.connections[id]
	if c == nil || c.channels == 0 {
		return
	}
	c.channels--
	if c.channels == 0 {
		c.idleSince = now
	}
}

// Failed records that a connection broke or could not be opened, removes it with its channels, and starts its server's
// backoff.
func (p *Pool) Failed(now monotime.Micros, id uint32) {
	c := p.connections[id]
	if c == nil {
		return
	}
	s := c.server
	if c.established && now-c.establishedAt >= stableAfter {
		s.failures = 0
	}
	s.backoffUntil = now + backoff.Exponential(initialBackoff, maxBackoff, s.failures, maxBackoffDoublings)
	s.failures++
	p.remove(c)
}

// MarkPlain records that the server of a connection understands plain lines only, and removes the connection. This is
// remembered for PlainTTL, or unconfirmedPlainTTL if it is shorter and the server only broke the connection off.
func (p *Pool) MarkPlain(now monotime.Micros, id uint32, confirmed bool) {
	c := p.connections[id]
	if c == nil {
		return
	}
	ttl := p.limits.PlainTTL
	if !confirmed {
		ttl = min(ttl, unconfirmedPlainTTL)
	}
	c.server.plainUntil = now + ttl
	p.remove(c)
}

// Closed records that a connection was closed in order, and removes it.
func (p *Pool) Closed(id uint32) {
	if c := p.connections[id]; c != nil {
		p.remove(c)
	}
}

func (p *Pool) remove(c *connection) {
	delete(p.connections, c.id)
	c.server.connections = slices.DeleteFunc(c.server.connections, func(o *connection) bool { return o == c })
}

// IdleConnections appends to out, in order of their ids, the connections that are to be closed: established, and
// without a channel for IdleTimeout.
func (p *Pool) IdleConnections(now monotime.Micros, out []uint32) []uint32 {
	for _, c := range p.connections {
		if c.established && c.channels == 0 && now-c.idleSince >= p.limits.IdleTimeout {
			out = append(out, c.id)
		}
	}
	slices.Sort(out)
	return out
}

// ForgetServer discards what is known of a server that is no longer listed, unless it has connections.
func (p *Pool) ForgetServer(id uint32) {
	if s := p.servers[id]; s != nil && len(s.connections) == 0 {
		delete(p.servers, id)
	}
}

// Counts returns how many connections there are, and how many channels on them.
func (p *Pool) Counts() (connections, channels int) {
	for _, c := range p.connections {
		channels += c.channels
	}
	return len(p.connections), channels
}
