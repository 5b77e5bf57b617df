package scale

import (
	"net/netip"
	"slices"
	"time"

	"spurspread/internal/eventloop"
	"spurspread/internal/peer"
)

// linkSocket is the socket of a stub member. It counts the traffic that crosses it, and loses and delays datagrams as
// their link requires. Between two stub members the socket of the sender applies the link; between a stub and a real
// member the socket of the stub applies it in both directions.
type linkSocket struct {
	peer.Socket
	member     *stubMember
	rack       int
	onDatagram func(from netip.AddrPort, datagram []byte)
}

// openSocket binds a socket of a stub member. The member opens all its sockets with it, so that all its traffic is
// counted.
func (m *stubMember) openSocket(
	addr netip.AddrPort,
	onDatagram func(from netip.AddrPort, datagram []byte),
) (peer.Socket, error) {
	s := &linkSocket{member: m, rack: m.topology().Rack(m.index), onDatagram: onDatagram}
	inner, err := m.group.loop.ListenDatagrams(addr, s.receive)
	if err != nil {
		return nil, err
	}
	s.Socket = inner
	return s, nil
}

// Send sends a datagram over the link to the member with the address. To any other address, and to the member itself,
// it is sent without a link.
func (s *linkSocket) Send(to netip.AddrPort, datagram []byte) {
	datagram = s.member.corruptSummary(datagram)
	s.member.sentBytes += int64(len(datagram))
	s.member.datagrams++
	other, known := s.member.group.memberByAddr[to.Addr()]
	if !known || other == s.member.index {
		s.Socket.Send(to, datagram)
		return
	}
	for _, delay := range s.member.group.links.DrawDelays(s.rack, s.member.topology().Rack(other)) {
		s.member.group.countRealTraffic(other, 0, len(datagram))
		s.afterDelay(delay, datagram, func(delayed []byte) { s.Socket.Send(to, delayed) })
	}
}

// receive applies the link to datagrams of real members. For those of stub members the sender has applied it.
func (s *linkSocket) receive(from netip.AddrPort, datagram []byte) {
	other, known := s.member.group.memberByAddr[from.Addr()]
	if !known || !s.member.topology().Real(other) {
		s.deliver(from, datagram)
		return
	}
	s.member.group.countRealTraffic(other, len(datagram), 0)
	for _, delay := range s.member.group.links.DrawDelays(s.member.topology().Rack(other), s.rack) {
		s.afterDelay(delay, datagram, func(delayed []byte) { s.deliver(from, delayed) })
	}
}

// deliver passes a datagram to the member.
func (s *linkSocket) deliver(from netip.AddrPort, datagram []byte) {
	s.member.receivedBytes += int64(len(datagram))
	s.member.datagrams++
	s.onDatagram(from, datagram)
}

// afterDelay calls do with a copy of the datagram after the delay, or at once with the datagram itself if there is no
// delay. If the member is stopped or started before that, the datagram is dropped, like one in a buffer of a process
// that has exited.
func (s *linkSocket) afterDelay(delay time.Duration, datagram []byte, do func(datagram []byte)) {
	if delay <= 0 {
		do(datagram)
		return
	}
	delayed := slices.Clone(datagram)
	generation := s.member.generation
	s.member.group.loop.After(eventloop.Micros(delay.Microseconds()), func() {
		if s.member.generation == generation {
			do(delayed)
		}
	})
}
