package proxy

import (
	"spurspread/decision"
	"spurspread/decision/hotrestart"
	"spurspread/decision/outcome"
	"spurspread/internal/eventloop"
	"spurspread/internal/lineproto"
	"spurspread/internal/logging"
	"spurspread/internal/restartproto"

	"golang.org/x/sys/unix"
)

// transferSender carries out what the plan says of passing standing connections to the successor. A connection that is
// offered is frozen: nobody reads it until the successor has said yes, and has it, or no.
type transferSender struct {
	proxy     *Proxy
	plan      *hotrestart.Transfer
	link      *eventloop.Packets
	remaining []*request // still to be looked at in this round
}

// startTransfer offers all that stands to the process that listens at the path, and moves the rest.
func (r *Proxy) startTransfer(path string, pid int) {
	p := &transferSender{proxy: r, plan: hotrestart.New(r.loop.Now(), r.drain.duration)}
	var err error
	if p.link, err = r.loop.DialPackets(path, pid, p); err != nil {
		r.log.WithError(err).Info("hot restart: successor accepts no connections, moving clients instead")
		r.moveEstablished(r.drain.duration)
		return
	}
	r.drain.transfer = p
	p.offerRound()
	r.loop.After(p.plan.Deadline()-r.loop.Now(), p.moveRemaining)
}

// offerRound offers what can pass now, and looks again soon: a line that was under way ends.
func (p *transferSender) offerRound() {
	if p.plan.Draining() {
		return
	}
	p.proxy.loop.After(drainCheckInterval, p.offerRound)
	if len(p.remaining) == 0 {
		for _, s := range p.proxy.requests.All {
			p.remaining = append(p.remaining, s)
		}
	}
	p.offerRemaining()
}

// offerRemaining goes on with the round as far as the plan has room, so that a round looks at each connection once.
func (p *transferSender) offerRemaining() {
	for len(p.remaining) > 0 && p.plan.CanOffer() {
		s := p.remaining[0]
		p.remaining = p.remaining[1:]
		p.offer(s)
	}
}

// offer offers one connection, if the plan says so, and tells whether it did.
func (p *transferSender) offer(s *request) bool {
	if s.state != stateEstablished {
		return false
	}
	d, single := s.downstream.(*downstreamConn)
	out, own := s.attempt.upstream.(*eventloop.Conn)
	if !p.plan.Offer(uint32(s.ref), hotrestart.ConnectionState{
		AtLineBoundary: s.fromClient.Between() && s.fromServer.Between(), OwnsSockets: single && own,
		NothingBuffered: s.downstream.Pending() == 0 && s.attempt.upstream.Pending() == 0 &&
			!s.clientStalled, PinnedToProcess: s.moving || s.resumable != nil,
	}) {
		return false
	}
	packet, err := s.transferRecord().Encode()
	if err != nil || len(packet) > eventloop.MaxPacket || p.link.Send(packet, d.conn, out) != nil {
		p.plan.CancelOffer(uint32(s.ref))
		return false
	}
	s.state = stateTransferring
	return true
}

// transferRecord is what the successor is told of a connection that stands.
func (s *request) transferRecord() restartproto.ConnectionOffer {
	now := s.proxy.loop.Now()
	st := restartproto.ConnectionOffer{
		Ref: uint32(s.ref), ID: s.open.ID, Key: s.open.Key, Group: s.open.Group,
		Class: s.classNames[s.class], Hint: s.open.Hint, HasHint: s.open.HasHint, Retry: s.open.Retry,
		Returned: s.open.Returned, Server: s.attempt.server.ID, Verdict: uint8(s.endStatus), SinceLastReply: int64(max(now-s.lastReply, 0)),
	}
	for _, at := range s.sentAt {
		st.Unanswered = append(st.Unanswered, int64(max(now-at, 0)))
	}
	return st
}

// Packet is part of loop.PacketOwner: the successor's answer.
func (p *transferSender) Packet(_ *eventloop.Packets, b []byte, fds []int) {
	closeDescriptors(fds) // none are wanted
	ref, taken, err := restartproto.DecodeAnswer(b)
	s, _ := p.proxy.requests.Get(eventloop.Ref(ref))
	switch {
	case err != nil || !p.plan.Answered(ref, taken):
		p.proxy.log.WithError(err).Warn("hot restart: unexpected answer from successor")
		p.link.Shut()
		return
	case taken:
		p.proxy.counters.transferred++
		s.downstream.(*downstreamConn).conn.Release()
		s.attempt.upstream.(*eventloop.Conn).Release()
		s.state = stateEstablished
		s.close()
	default:
		p.takeBack(s)
	}
	if !p.plan.Draining() {
		p.offerRemaining()
	}
}

// takeBack takes a connection back that the successor does not have.
func (p *transferSender) takeBack(s *request) {
	s.state = stateEstablished
	if s.Readable(); s.state == stateEstablished {
		s.attempt.read()
	}
	if p.plan.Draining() {
		s.moveAway(outcome.Cancelled, true)
	}
}

// Ended is part of loop.PacketOwner. The successor says yes before it has a connection: what has no yes is ours.
func (p *transferSender) Ended(link *eventloop.Packets) {
	link.Close()
	for _, ref := range p.plan.LinkClosed() {
		if s, ok := p.proxy.requests.Get(eventloop.Ref(ref)); ok {
			p.takeBack(s)
		}
	}
	p.moveRemaining()
}

// moveRemaining moves what did not pass.
func (p *transferSender) moveRemaining() {
	move, cut := p.plan.DrainRest(p.proxy.loop.Now())
	if !move {
		return
	}
	if cut {
		p.link.Shut() // what is still answered counts, then Ended takes the rest back
	}
	p.proxy.log.WithField(logging.TransferredOut, p.proxy.counters.transferred).
		WithField(logging.Connections, p.proxy.requests.Len()).
		Info("hot restart: connections transferred to successor")
	p.proxy.moveEstablished(p.proxy.drain.duration)
}

func closeDescriptors(fds []int) {
	for _, fd := range fds {
		_ = unix.Close(fd)
	}
}

// AcceptTransfers listens at the path for connections that an older process passes on when it ends.
func (r *Proxy) AcceptTransfers(path string) error {
	_, err := r.loop.ListenPackets(
		path,
		func(*eventloop.Packets) eventloop.PacketOwner { return transferReceiver{r} },
	)
	return err
}

// transferReceiver takes what the process before this one has standing.
type transferReceiver struct{ proxy *Proxy }

// Ended is part of loop.PacketOwner.
func (transferReceiver) Ended(link *eventloop.Packets) { link.Close() }

// Packet is part of loop.PacketOwner: one standing connection.
func (t transferReceiver) Packet(link *eventloop.Packets, b []byte, fds []int) {
	st, err := restartproto.DecodeOffer(b)
	r := t.proxy
	if err != nil || !hotrestart.AcceptTransfer(hotrestart.OfferedConnection{
		Sockets: len(fds), ServerListed: r.servers.ByID([]byte(st.Server)) != nil,
		IDUnused: !r.requestIDs.known(st.ID), Draining: r.drain.on, DescriptorsShort: r.descriptorsShort(),
	}) {
		closeDescriptors(fds)
		_ = link.Send(restartproto.EncodeAnswer(st.Ref, false))
		return
	}
	r.requestIDs.add(st.ID)
	s := t.proxy.adoptTransferred(st, fds)
	if s == nil || link.Send(restartproto.EncodeAnswer(st.Ref, true)) != nil {
		t.proxy.requestIDs.finish(st.ID)
		if s == nil {
			_ = link.Send(restartproto.EncodeAnswer(st.Ref, false))
			return
		}
		// The old process has it back.
		s.downstream.(*downstreamConn).conn.Release()
		s.attempt.upstream.(*eventloop.Conn).Release()
		t.proxy.requests.Drop(s.ref)
		return
	}
	t.proxy.counters.adopted++
	t.proxy.dispatch(decision.ExistingConnection{Request: s.decisionRequest(), Server: s.attempt.server.Number})
}

// adoptTransferred builds the session of a connection that stands, without reading from it yet; nil where it can't.
func (r *Proxy) adoptTransferred(st restartproto.ConnectionOffer, fds []int) *request {
	now := r.loop.Now()
	d := &downstreamConn{proxy: r}
	s := &request{
		proxy: r, downstream: d, state: stateEstablished, idTaken: true, moduleKnows: true, class: 0, classNames: []string{st.Class},
		open: lineproto.Open{
			ID: st.ID, Key: st.Key, Group: st.Group, Hint: st.Hint, HasHint: st.HasHint, Retry: st.Retry,
			Returned: st.Returned,
		},
		deadline: now, lastReply: now - eventloop.Micros(st.SinceLastReply), endStatus: outcome.Status(st.Verdict),
	}
	s.attempt = &upstreamAttempt{
		proxy:     r,
		request:   s,
		server:    r.servers.ByID([]byte(st.Server)),
		began:     now,
		connected: true,
		sent:      true,
	}
	d.request = s
	client, err := r.loop.Adopt(fds[0], d)
	if err != nil {
		_ = unix.Close(fds[1])
		return nil
	}
	d.conn = client
	out, err := r.loop.Adopt(fds[1], s.attempt)
	if err == nil {
		s.attempt.upstream = out
		s.ref = r.requests.Put(s)
	}
	if s.ref == 0 {
		client.Release()
		if out != nil {
			out.Release()
		}
		return nil
	}
	if r.requests.Len() > r.buffersSizedFor {
		r.sizeBuffers()
	}
	s.noteEstablished()
	for _, age := range st.Unanswered {
		s.awaitReply(now - eventloop.Micros(age))
	}
	return s
}
