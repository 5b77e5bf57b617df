package scale

import (
	"net/netip"
	"time"

	"spurspread/internal/eventloop"
	"spurspread/internal/peer"
)

// socket stands between a hollow member and its socket: it counts what crosses, and has datagrams lost and late as
// their link says. What goes to another hollow member meets its link here, what comes from one has met it there;
// what comes from a real member and what goes to one meet it here both ways.
type socket struct {
	peer.Socket
	m    *hollow
	rack int
	take func(from netip.AddrPort, b []byte)
}

// open binds a socket of a hollow member. Its second one, at which it asks for a process before itself, counts like
// the first.
func (m *hollow) open(addr netip.AddrPort, take func(from netip.AddrPort, b []byte)) (peer.Socket, error) {
	s := &socket{m: m, rack: m.g.setup.Topology.Rack(m.index), take: take}
	inner, err := m.g.l.ListenDatagrams(addr, s.receive)
	if err != nil {
		return nil, err
	}
	s.Socket = inner
	return s, nil
}

// Send sends a datagram by the link to whoever is there.
func (s *socket) Send(to netip.AddrPort, b []byte) {
	b = s.m.falsify(b)
	s.m.sent += int64(len(b))
	s.m.datagrams++
	other, known := s.m.g.whose[to.Addr()]
	if !known || other == s.m.index {
		s.Socket.Send(to, b)
		return
	}
	for _, wait := range s.m.g.links.Draw(s.rack, s.m.g.setup.Topology.Rack(other)) {
		s.m.g.countReal(other, 0, len(b))
		s.later(wait, b, func(b []byte) { s.Socket.Send(to, b) })
	}
}

// receive takes what has come.
func (s *socket) receive(from netip.AddrPort, b []byte) {
	other, known := s.m.g.whose[from.Addr()]
	if !known || other >= s.m.g.setup.Topology.Reals {
		s.deliver(from, b)
		return
	}
	s.m.g.countReal(other, len(b), 0)
	for _, wait := range s.m.g.links.Draw(s.m.g.setup.Topology.Rack(other), s.rack) {
		s.later(wait, b, func(b []byte) { s.deliver(from, b) })
	}
}

func (s *socket) deliver(from netip.AddrPort, b []byte) {
	s.m.received += int64(len(b))
	s.m.datagrams++
	s.take(from, b)
}

// later does something with a datagram after a while, at once where there is nothing to wait for.
func (s *socket) later(wait time.Duration, b []byte, do func(b []byte)) {
	if wait <= 0 {
		do(b)
		return
	}
	kept := append([]byte(nil), b...)
	process := s.m.process
	s.m.g.l.After(eventloop.Micros(wait.Microseconds()), func() {
		if s.m.process == process { // what a process had under way goes with it
			do(kept)
		}
	})
}
