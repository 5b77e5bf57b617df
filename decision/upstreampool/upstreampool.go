// Package pool decides on trunks, the shared connections to servers that speak channels: how many a server has,
// which one a channel takes, when one more is opened ahead of need, when one is retired, and what is remembered of
// servers that can't be reached or speak plain lines only. It has no clock and no sockets.
//
// The invariant: no trunk carries more than its limit, no server and no balancer has more trunks than theirs, at
// most one trunk to a server is being opened at a time, and after a failure none before its wait is over.
package upstreampool

import (
	"slices"
	"spurspread/decision/monotime"
)

// Micros is a point in time or a span, in microseconds.
type Micros = monotime.Micros

// Limits bound a pool.
type Limits struct {
	ChannelsPerConnection int    // on one trunk
	ConnectionsPerServer  int    // to one server
	Connections           int    // to all servers together
	IdleTimeout           Micros // a trunk without a channel is retired after it
	PlainTTL              Micros // so long it is remembered that a server speaks plain lines
}

const (
	// openAheadPart is the part of a server's channels in use from which one more trunk is opened: the next connect takes a
	// round trip or two, in which some more come.
	openAheadPart = 0.75
	// initialBackoff is how long no trunk is opened after a failure; it doubles with each further one, up to backoffMost.
	// A server that dies takes its clients' channels with it, and they all come back within a second.
	initialBackoff Micros = 250_000
	maxBackoff     Micros = 8_000_000
	// stableAfter is how long a trunk must have been up for its end to count as the first failure again.
	stableAfter Micros = 10_000_000
	// unconfirmedPlainTTL is how long a server is taken to speak plain lines that broke off the connection on which it was asked. A
	// plain server does that, for it leaves unread what it does not understand; so does one that dies just then.
	unconfirmedPlainTTL Micros = 10_000_000
)

// Kind says how a channel goes.
type Kind uint8

// The kinds of choices.
const (
	Use          Kind = iota // on Trunk
	WaitForOpen              // on Trunk, as soon as that is up
	PlainLines               // not on a trunk: the server speaks plain lines
	LimitReached             // not now: the limits leave no room
	BackingOff               // not now: the last trunk failed, and it is too soon for another
)

// Choice is what is done about one channel, or ahead of need.
type Choice struct {
	Kind       Kind
	Connection uint32
	Open       bool // Trunk has to be opened first
}

type connection struct {
	id            uint32
	server        *server
	established   bool
	establishedAt Micros
	channels      int // that it has, or that wait for it
	idleSince     Micros
}

type server struct {
	id           uint32
	connections  []*connection
	plainUntil   Micros
	failures     int
	backoffUntil Micros
}

// Pool holds all trunks of a balancer.
type Pool struct {
	limits      Limits
	servers     map[uint32]*server
	connections map[uint32]*connection
	lastID      uint32
}

// New returns a pool without trunks.
func New(l Limits) *Pool {
	return &Pool{limits: l, servers: map[uint32]*server{}, connections: map[uint32]*connection{}}
}

// SetLimits changes the limits. Trunks over a new limit stay until they are idle, and take nothing new.
func (p *Pool) SetLimits(l Limits) { p.limits = l }

func (p *Pool) serverState(num uint32) *server {
	s := p.servers[num]
	if s == nil {
		s = &server{id: num}
		p.servers[num] = s
	}
	return s
}

// Acquire chooses for one new channel to a server. What is chosen with Use or Wait holds a place until Done.
func (p *Pool) Acquire(now Micros, num uint32) Choice {
	s := p.serverState(num)
	if now < s.plainUntil {
		return Choice{Kind: PlainLines}
	}
	var best *connection
	for _, t := range s.connections {
		if t.channels >= p.limits.ChannelsPerConnection {
			continue
		}
		// One that is up comes first, then the one with the least on it: what breaks takes the fewest along.
		if best == nil || t.established && !best.established ||
			t.established == best.established && t.channels < best.channels {
			best = t
		}
	}
	if best == nil {
		t, kind := p.openConnection(now, s)
		if t == nil {
			return Choice{Kind: kind}
		}
		t.channels = 1
		return Choice{Kind: WaitForOpen, Connection: t.id, Open: true}
	}
	best.channels++
	if !best.established {
		return Choice{Kind: WaitForOpen, Connection: best.id}
	}
	return Choice{Kind: Use, Connection: best.id}
}

// openConnection begins a new trunk, if one may be opened now.
func (p *Pool) openConnection(now Micros, s *server) (*connection, Kind) {
	switch {
	case slices.ContainsFunc(s.connections, func(t *connection) bool { return !t.established }):
		return nil, LimitReached // the one that is being opened is full already
	case len(s.connections) >= p.limits.ConnectionsPerServer || len(p.connections) >= p.limits.Connections:
		return nil, LimitReached
	case now < s.backoffUntil:
		return nil, BackingOff
	}
	p.lastID++
	t := &connection{id: p.lastID, server: s}
	s.connections = append(s.connections, t)
	p.connections[t.id] = t
	return t, WaitForOpen
}

// OpenAhead tells whether a server should have one more trunk before it is needed. Open is set then.
func (p *Pool) OpenAhead(now Micros, num uint32) Choice {
	s := p.serverState(num)
	if now < s.plainUntil || len(s.connections) == 0 {
		return Choice{}
	}
	used := 0
	for _, t := range s.connections {
		used += t.channels
	}
	if float64(used) < openAheadPart*float64(len(s.connections)*p.limits.ChannelsPerConnection) {
		return Choice{}
	}
	t, _ := p.openConnection(now, s)
	if t == nil {
		return Choice{}
	}
	t.idleSince = now
	return Choice{Kind: WaitForOpen, Connection: t.id, Open: true}
}

// Established notes that a trunk is up.
func (p *Pool) Established(now Micros, id uint32) {
	if t := p.connections[id]; t != nil && !t.established {
		t.established, t.establishedAt, t.idleSince = true, now, now
		t.server.plainUntil = 0
	}
}

// Release notes that a channel on a trunk, or one that waited for it, is over.
func (p *Pool) Release(now Micros, id uint32) {
	if t := p.connections[id]; t != nil && t.channels > 0 {
		if t.channels--; t.channels == 0 {
			t.idleSince = now
		}
	}
}

// Failed notes that a trunk broke, or could not be opened. It is gone, with all that was on it.
func (p *Pool) Failed(now Micros, id uint32) {
	t := p.connections[id]
	if t == nil {
		return
	}
	s := t.server
	if t.established && now-t.establishedAt >= stableAfter {
		s.failures = 0
	}
	s.backoffUntil = now + min(initialBackoff<<min(s.failures, 10), maxBackoff)
	s.failures++
	p.remove(t)
}

// MarkPlain notes that the server of a trunk does not speak channels. The trunk is gone. Where that is not sure, for
// the server has only broken the connection off, it is asked again soon.
func (p *Pool) MarkPlain(now Micros, id uint32, sure bool) {
	t := p.connections[id]
	if t == nil {
		return
	}
	span := p.limits.PlainTTL
	if !sure {
		span = min(span, unconfirmedPlainTTL)
	}
	t.server.plainUntil = now + span
	p.remove(t)
}

// Closed notes that a trunk was closed in order.
func (p *Pool) Closed(id uint32) {
	if t := p.connections[id]; t != nil {
		p.remove(t)
	}
}

func (p *Pool) remove(t *connection) {
	delete(p.connections, t.id)
	t.server.connections = slices.DeleteFunc(t.server.connections, func(o *connection) bool { return o == t })
}

// IdleConnections appends the trunks that have had no channel for long, to be closed.
func (p *Pool) IdleConnections(now Micros, out []uint32) []uint32 {
	for _, t := range p.connections {
		if t.established && t.channels == 0 && now-t.idleSince >= p.limits.IdleTimeout {
			out = append(out, t.id)
		}
	}
	slices.Sort(out)
	return out
}

// ForgetServer drops what is known of a server that is no longer listed, unless it has trunks.
func (p *Pool) ForgetServer(num uint32) {
	if s := p.servers[num]; s != nil && len(s.connections) == 0 {
		delete(p.servers, num)
	}
}

// Counts is how many trunks there are, and how many channels on them.
func (p *Pool) Counts() (trunks, channels int) {
	for _, t := range p.connections {
		channels += t.channels
	}
	return len(p.connections), channels
}
