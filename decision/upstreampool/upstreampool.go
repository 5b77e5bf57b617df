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
	Channels int    // on one trunk
	Trunks   int    // to one server
	All      int    // to all servers together
	Idle     Micros // a trunk without a channel is retired after it
	Plain    Micros // so long it is remembered that a server speaks plain lines
}

const (
	// early is the part of a server's channels in use from which one more trunk is opened: the next connect takes a
	// round trip or two, in which some more come.
	early = 0.75
	// backoffFirst is how long no trunk is opened after a failure; it doubles with each further one, up to backoffMost.
	// A server that dies takes its clients' channels with it, and they all come back within a second.
	backoffFirst Micros = 250_000
	backoffMost  Micros = 8_000_000
	// steady is how long a trunk must have been up for its end to count as the first failure again.
	steady Micros = 10_000_000
	// unsure is how long a server is taken to speak plain lines that broke off the connection on which it was asked. A
	// plain server does that, for it leaves unread what it does not understand; so does one that dies just then.
	unsure Micros = 10_000_000
)

// Kind says how a channel goes.
type Kind uint8

// The kinds of choices.
const (
	Use   Kind = iota // on Trunk
	Wait              // on Trunk, as soon as that is up
	Plain             // not on a trunk: the server speaks plain lines
	Full              // not now: the limits leave no room
	Down              // not now: the last trunk failed, and it is too soon for another
)

// Choice is what is done about one channel, or ahead of need.
type Choice struct {
	Kind  Kind
	Trunk uint32
	Open  bool // Trunk has to be opened first
}

type trunk struct {
	id       uint32
	server   *server
	up       bool
	upSince  Micros
	channels int // that it has, or that wait for it
	idle     Micros
}

type server struct {
	num       uint32
	trunks    []*trunk
	plainTill Micros
	fails     int
	notBefore Micros
}

// Pool holds all trunks of a balancer.
type Pool struct {
	limits  Limits
	servers map[uint32]*server
	trunks  map[uint32]*trunk
	last    uint32
}

// New returns a pool without trunks.
func New(l Limits) *Pool {
	return &Pool{limits: l, servers: map[uint32]*server{}, trunks: map[uint32]*trunk{}}
}

// Limit changes the limits. Trunks over a new limit stay until they are idle, and take nothing new.
func (p *Pool) Limit(l Limits) { p.limits = l }

func (p *Pool) server(num uint32) *server {
	s := p.servers[num]
	if s == nil {
		s = &server{num: num}
		p.servers[num] = s
	}
	return s
}

// Take chooses for one new channel to a server. What is chosen with Use or Wait holds a place until Done.
func (p *Pool) Take(now Micros, num uint32) Choice {
	s := p.server(num)
	if now < s.plainTill {
		return Choice{Kind: Plain}
	}
	var best *trunk
	for _, t := range s.trunks {
		if t.channels >= p.limits.Channels {
			continue
		}
		// One that is up comes first, then the one with the least on it: what breaks takes the fewest along.
		if best == nil || t.up && !best.up || t.up == best.up && t.channels < best.channels {
			best = t
		}
	}
	if best == nil {
		t, kind := p.open(now, s)
		if t == nil {
			return Choice{Kind: kind}
		}
		t.channels = 1
		return Choice{Kind: Wait, Trunk: t.id, Open: true}
	}
	best.channels++
	if !best.up {
		return Choice{Kind: Wait, Trunk: best.id}
	}
	return Choice{Kind: Use, Trunk: best.id}
}

// open begins a new trunk, if one may be opened now.
func (p *Pool) open(now Micros, s *server) (*trunk, Kind) {
	switch {
	case slices.ContainsFunc(s.trunks, func(t *trunk) bool { return !t.up }):
		return nil, Full // the one that is being opened is full already
	case len(s.trunks) >= p.limits.Trunks || len(p.trunks) >= p.limits.All:
		return nil, Full
	case now < s.notBefore:
		return nil, Down
	}
	p.last++
	t := &trunk{id: p.last, server: s}
	s.trunks = append(s.trunks, t)
	p.trunks[t.id] = t
	return t, Wait
}

// Ahead tells whether a server should have one more trunk before it is needed. Open is set then.
func (p *Pool) Ahead(now Micros, num uint32) Choice {
	s := p.server(num)
	if now < s.plainTill || len(s.trunks) == 0 {
		return Choice{}
	}
	used := 0
	for _, t := range s.trunks {
		used += t.channels
	}
	if float64(used) < early*float64(len(s.trunks)*p.limits.Channels) {
		return Choice{}
	}
	t, _ := p.open(now, s)
	if t == nil {
		return Choice{}
	}
	t.idle = now
	return Choice{Kind: Wait, Trunk: t.id, Open: true}
}

// Opened notes that a trunk is up.
func (p *Pool) Opened(now Micros, id uint32) {
	if t := p.trunks[id]; t != nil && !t.up {
		t.up, t.upSince, t.idle = true, now, now
		t.server.plainTill = 0
	}
}

// Done notes that a channel on a trunk, or one that waited for it, is over.
func (p *Pool) Done(now Micros, id uint32) {
	if t := p.trunks[id]; t != nil && t.channels > 0 {
		if t.channels--; t.channels == 0 {
			t.idle = now
		}
	}
}

// Failed notes that a trunk broke, or could not be opened. It is gone, with all that was on it.
func (p *Pool) Failed(now Micros, id uint32) {
	t := p.trunks[id]
	if t == nil {
		return
	}
	s := t.server
	if t.up && now-t.upSince >= steady {
		s.fails = 0
	}
	s.notBefore = now + min(backoffFirst<<min(s.fails, 10), backoffMost)
	s.fails++
	p.remove(t)
}

// SpeaksPlain notes that the server of a trunk does not speak channels. The trunk is gone. Where that is not sure, for
// the server has only broken the connection off, it is asked again soon.
func (p *Pool) SpeaksPlain(now Micros, id uint32, sure bool) {
	t := p.trunks[id]
	if t == nil {
		return
	}
	span := p.limits.Plain
	if !sure {
		span = min(span, unsure)
	}
	t.server.plainTill = now + span
	p.remove(t)
}

// Retired notes that a trunk was closed in order.
func (p *Pool) Retired(id uint32) {
	if t := p.trunks[id]; t != nil {
		p.remove(t)
	}
}

func (p *Pool) remove(t *trunk) {
	delete(p.trunks, t.id)
	t.server.trunks = slices.DeleteFunc(t.server.trunks, func(o *trunk) bool { return o == t })
}

// Idle appends the trunks that have had no channel for long, to be closed.
func (p *Pool) Idle(now Micros, out []uint32) []uint32 {
	for _, t := range p.trunks {
		if t.up && t.channels == 0 && now-t.idle >= p.limits.Idle {
			out = append(out, t.id)
		}
	}
	slices.Sort(out)
	return out
}

// Forget drops what is known of a server that is no longer listed, unless it has trunks.
func (p *Pool) Forget(num uint32) {
	if s := p.servers[num]; s != nil && len(s.trunks) == 0 {
		delete(p.servers, num)
	}
}

// Len is how many trunks there are, and how many channels on them.
func (p *Pool) Len() (trunks, channels int) {
	for _, t := range p.trunks {
		channels += t.channels
	}
	return len(p.trunks), channels
}
