package proxy

import (
	"golang.org/x/sys/unix"

	"spurspread/decision/hotrestart"
	"spurspread/decision/monotime"
	"spurspread/decision/outcome"
	"spurspread/internal/eventloop"
	"spurspread/internal/logging"
	"spurspread/internal/restartproto"
)

// transferSender transfers established connections to the successor of a hot restart, as the plan decides. A connection
// that is offered is not read until the successor has accepted it, and so has it, or declined it.
type transferSender struct {
	proxy     *Proxy
	plan      *hotrestart.Transfer
	link      *eventloop.Packets
	remaining []*request // not yet looked at in this round
}

// startTransfer offers the established connections to the process that listens at the path, and moves the rest.
func (d *drain) startTransfer(path string, pid int) {
	p := d.proxy
	t := &transferSender{proxy: p, plan: hotrestart.New(p.loop.Now(), d.duration)}
	var err error
	if t.link, err = p.loop.DialPackets(path, pid, t); err != nil {
		p.log.WithError(err).Info("hot restart: successor accepts no connections, moving clients instead")
		d.moveEstablished(d.duration)
		return
	}
	d.transfer = t
	t.offerRound()
	p.loop.After(t.plan.Deadline()-p.loop.Now(), t.moveRest)
}

// offerRound offers what can be transferred now, and looks again soon: lines that are under way end.
func (t *transferSender) offerRound() {
	if t.plan.Draining() {
		return
	}
	t.proxy.loop.After(transferRoundInterval, t.offerRound)
	if len(t.remaining) == 0 {
		for r := range t.proxy.requests.all {
			t.remaining = append(t.remaining, r)
		}
	}
	t.offerRemaining()
}

// transferRoundInterval is how often connections are looked at that could not be offered.
const transferRoundInterval = 20 * monotime.Millisecond

// offerRemaining goes on with the round as far as the plan allows, so that a round looks at each connection once.
func (t *transferSender) offerRemaining() {
	for len(t.remaining) > 0 && t.plan.CanOffer() {
		r := t.remaining[0]
		t.remaining = t.remaining[1:]
		t.offer(r)
	}
}

// offer offers one connection, if the plan allows, and reports whether it did.
func (t *transferSender) offer(r *request) bool {
	if r.state != stateEstablished {
		return false
	}
	id := uint32(r.ref)
	client, server, own := r.sockets()
	if !t.plan.Offer(id, hotrestart.ConnectionState{
		AtLineBoundary:  r.fromClient.AtLineStart() && r.fromServer.AtLineStart(),
		OwnsSockets:     own,
		NothingBuffered: r.nothingBuffered(),
		PinnedToProcess: r.moving || r.resumable != nil,
	}) {
		return false
	}
	packet, err := r.transferRecord().Encode()
	if err != nil || len(packet) > eventloop.MaxPacket || t.link.Send(packet, client, server) != nil {
		t.plan.CancelOffer(id)
		return false
	}
	r.transition(stateTransferring)
	return true
}

// sockets are those of an established connection; false if one side is a channel.
func (r *request) sockets() (client, server *eventloop.Conn, own bool) {
	down, single := r.downstream.(*downstreamConn)
	if !single {
		return nil, nil, false
	}
	server, own = r.attempt.upstream.(*eventloop.Conn)
	return down.conn, server, own
}

// nothingBuffered reports whether all that was read has been written, in both directions.
func (r *request) nothingBuffered() bool {
	return r.downstream.Pending() == 0 && r.attempt.upstream.Pending() == 0 && !r.clientStalled
}

// releaseSockets gives up the sockets of a connection that another process has, without ending the connection.
func (r *request) releaseSockets() {
	client, server, own := r.sockets()
	if own {
		client.Release()
		server.Release()
	}
}

// transferRecord is what the successor needs to know of an established connection.
func (r *request) transferRecord() restartproto.ConnectionOffer {
	now := r.proxy.loop.Now()
	offer := restartproto.ConnectionOffer{
		Ref:            uint32(r.ref),
		ID:             r.open.ID,
		Key:            r.open.Key,
		Group:          r.open.Group,
		Class:          r.classNames[r.class],
		LoadHint:       r.open.LoadHint,
		HasLoadHint:    r.open.HasLoadHint,
		Retry:          r.open.Retry,
		Reconnected:    r.open.Reconnected,
		Server:         r.attempt.server.ID,
		EndStatus:      uint8(r.endStatus),
		SinceLastReply: int64(max(now-r.lastReply, 0)),
	}
	for _, at := range r.sentAt {
		offer.Unanswered = append(offer.Unanswered, int64(max(now-at, 0)))
	}
	return offer
}

// Packet is part of eventloop.PacketOwner: the successor's answer to an offer.
func (t *transferSender) Packet(_ *eventloop.Packets, b []byte, fds []int) {
	closeDescriptors(fds) // none are expected
	id, accepted, err := restartproto.DecodeAnswer(b)
	if err != nil || !t.plan.Answered(id, accepted) {
		t.proxy.log.WithError(err).Warn("hot restart: unexpected answer from successor")
		t.link.Shut()
		return
	}
	r, _ := t.proxy.requests.get(id)
	if accepted {
		t.proxy.stats.transferredOut++
		r.releaseSockets()
		r.close()
	} else {
		t.takeBack(r)
	}
	if !t.plan.Draining() {
		t.offerRemaining()
	}
}

// takeBack takes a connection back that the successor does not have.
func (t *transferSender) takeBack(r *request) {
	r.transition(stateEstablished)
	r.readClient()
	if r.state == stateEstablished {
		r.attempt.readServer()
	}
	if t.plan.Draining() {
		r.moveAway(outcome.Cancelled, true)
	}
}

// Ended is part of eventloop.PacketOwner. The successor answers before it has a connection: what it has not accepted is
// still ours.
func (t *transferSender) Ended(link *eventloop.Packets) {
	link.Close()
	for _, id := range t.plan.LinkClosed() {
		if r, ok := t.proxy.requests.get(id); ok {
			t.takeBack(r)
		}
	}
	t.moveRest()
}

// moveRest moves what was not transferred, once the plan says so.
func (t *transferSender) moveRest() {
	move, offersPending := t.plan.DrainRest(t.proxy.loop.Now())
	if !move {
		return
	}
	if offersPending {
		t.link.Shut() // answers under way still count, then Ended takes the rest back
	}
	p := t.proxy
	p.log.WithField(logging.TransferredOut, p.stats.transferredOut).
		WithField(logging.Connections, p.requests.len()).
		Info("hot restart: connections transferred to successor")
	p.drain.moveEstablished(p.drain.duration)
}

func closeDescriptors(fds []int) {
	for _, fd := range fds {
		_ = unix.Close(fd)
	}
}
