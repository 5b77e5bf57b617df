package upstreampool

import (
	"slices"

	"spurspread/decision/backoff"
	"spurspread/decision/monotime"
)

const (
	// initialBackoff is the time after a failure in which no connection to the server is opened. It doubles with each
	// further failure, at most maxBackoffDoublings times and up to maxBackoff. A server that dies takes its channels
	// with it, and all their clients reconnect within a second.
	initialBackoff      = 250 * monotime.Millisecond
	maxBackoff          = 8 * monotime.Second
	maxBackoffDoublings = 10
	// stableAfter is the time for which a connection must have been established for its failure to count as the first
	// one again.
	stableAfter = 10 * monotime.Second
	// unconfirmedPlainTTL is the time for which a server that closed the connection without any answer is assumed to
	// understand plain lines only. Such a server closes the connection with the rest of the data unread, but a server
	// that dies closes it in the same way.
	unconfirmedPlainTTL = 10 * monotime.Second
)

// Limits bound a pool. They come from the site file, whose defaults are given below.
type Limits struct {
	// ChannelsPerConnection bounds the channels on one connection; default 128. A higher limit saves connections, but
	// more clients are affected by the failure of one.
	ChannelsPerConnection int
	// ConnectionsPerServer bounds the connections to one server; default 4. A higher limit allows more channels to it.
	ConnectionsPerServer int
	// Connections bounds the connections to all servers together, and with them descriptors and buffers; default 256.
	Connections int
	// IdleTimeout is the time without channels after which a connection is closed; default 10 s. A longer one saves
	// set-ups, and holds descriptors longer.
	IdleTimeout monotime.Micros
	// PlainTTL is the time for which a server is known to understand plain lines only; default 10 min. A longer one
	// saves attempts, but delays the use of channels after the server has been upgraded.
	PlainTTL monotime.Micros
}

// connection is an open multiplexed upstream connection, or one that is being opened.
type connection struct {
	id            uint32
	server        *server
	established   bool
	establishedAt monotime.Micros
	channels      int             // number of channels that use it or wait for it
	idleSince     monotime.Micros // when it last had a channel, or was opened
}

// server is the state of one server.
type server struct {
	id           uint32
	connections  []*connection
	plainUntil   monotime.Micros // until then it is assumed to understand plain lines only
	failures     int             // number of failures in a row
	backoffUntil monotime.Micros
}

// Pool is the set of all multiplexed upstream connections of a balancer.
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

// SetLimits changes the limits. Connections beyond a new limit stay until they are idle, and accept no new channels.
func (p *Pool) SetLimits(limits Limits) { p.limits = limits }

func (p *Pool) serverState(id uint32) *server {
	s := p.servers[id]
	if s == nil {
		s = &server{id: id}
		p.servers[id] = s
	}
	return s
}

// Established records that a connection is open, which shows that its server understands channels.
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

// Release records the end of a channel that used a connection or waited for it.
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

// Failed records that a connection broke or could not be opened. It removes the connection with its channels, and
// starts the server's backoff.
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

// MarkPlain records that the server of a connection understands plain lines only, and removes the connection. This
// holds for PlainTTL or, if confirmed is false because the server only closed the connection, for at most
// unconfirmedPlainTTL.
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

// Closed records that a connection was closed normally, and removes it.
func (p *Pool) Closed(id uint32) {
	if c := p.connections[id]; c != nil {
		p.remove(c)
	}
}

func (p *Pool) remove(c *connection) {
	delete(p.connections, c.id)
	c.server.connections = slices.DeleteFunc(c.server.connections, func(o *connection) bool { return o == c })
}

// IdleConnections appends to out the ids of the connections to close, in ascending order: those that are established
// and have had no channel for IdleTimeout.
func (p *Pool) IdleConnections(now monotime.Micros, out []uint32) []uint32 {
	for _, c := range p.connections {
		if c.established && c.channels == 0 && now-c.idleSince >= p.limits.IdleTimeout {
			out = append(out, c.id)
		}
	}
	slices.Sort(out)
	return out
}

// ForgetServer discards the state of a server that is no longer listed, unless it has connections.
func (p *Pool) ForgetServer(id uint32) {
	if s := p.servers[id]; s != nil && len(s.connections) == 0 {
		delete(p.servers, id)
	}
}

// Counts returns the number of connections and the number of channels on them.
func (p *Pool) Counts() (connections, channels int) {
	for _, c := range p.connections {
		channels += c.channels
	}
	return len(p.connections), channels
}
