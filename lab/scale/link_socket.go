package scale

import (
	"net/netip"
	"slices"
	"time"

	"spurspread/internal/eventloop"
	"spurspread/internal/peer"
)

// linkSocket is the socket of a stub member. It counts what crosses it, and loses and delays datagrams according
// to their link. Between two stub members the sender's socket applies the link; between a stub and a real member
// the stub member's socket applies it for both directions.
type linkSocket struct {
	peer.Socket
	member     *stubMember
	rack       int
	onDatagram func(from netip.AddrPort, datagram []byte)
}

// openSocket binds a socket of a stub member. It is used for each socket that the member opens, so that all its
// traffic is counted.
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

// Send sends a datagram over the link to the member that has the address.
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

// receive applies the link to datagrams of real members; the link of a stub sender was applied when it sent.
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

// deliver hands a datagram to the member.
func (s *linkSocket) deliver(from netip.AddrPort, datagram []byte) {
	s.member.receivedBytes += int64(len(datagram))
	s.member.datagrams++
	s.onDatagram(from, datagram)
}

// afterDelay calls do with a copy of the datagram after the delay, and with the datagram itself at once where there
// is no delay. A datagram whose member has ended or started meanwhile is dropped: it was in a buffer of the process
// that is gone.
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
