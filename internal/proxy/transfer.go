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

// transferSender transfers established connections to the successor in a hot restart, as the plan decides. An offered
// connection is not read until the successor has answered: if it accepts the connection, the successor owns it.
type transferSender struct {
	proxy     *Proxy
	plan      *hotrestart.Transfer
	link      *eventloop.PacketConn
	remaining []*request // requests not yet considered in this round
}

// startTransfer offers the established connections to the process pid that listens at the Unix socket path, and later
// moves those that were not transferred. If it can't connect to that process, it moves all.
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
	t.sendFinishedIDs()
	t.offerRound()
	p.loop.After(t.plan.Deadline()-p.loop.Now(), t.moveUntransferred)
}

// sendFinishedIDs tells the successor the ids of requests that have finished here, so that a client that comes again
// with one of them is rejected there, too. Those that can't be sent are rejected by their servers only.
func (t *transferSender) sendFinishedIDs() {
	packets, err := restartproto.EncodeFinishedIDs(t.proxy.requests.ids.Finished())
	for _, packet := range packets {
		if err == nil {
			err = t.link.Send(packet)
		}
	}
	if err != nil {
		t.proxy.log.WithError(err).Warn("hot restart: can't pass the ids of finished requests on")
	}
}

// offerRound offers the connections that can be transferred now, and reschedules itself: a connection in the middle of
// a line can be transferred once the line is complete.
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

// transferRoundInterval is the interval at which connections that could not be offered are tried again.
const transferRoundInterval = 20 * monotime.Millisecond

// offerRemaining continues the round as far as the plan allows. A round considers each connection once.
func (t *transferSender) offerRemaining() {
	for len(t.remaining) > 0 && t.plan.CanOffer() {
		r := t.remaining[0]
		t.remaining = t.remaining[1:]
		t.offer(r)
	}
}

// offer offers one connection to the successor if the plan allows it, and reports whether it did.
func (t *transferSender) offer(r *request) bool {
	if r.state != stateEstablished {
		return false
	}
	id := uint32(r.ref)
	client, server, dedicated := r.sockets()
	if !t.plan.Offer(id, hotrestart.ConnectionState{
		AtLineBoundary:  r.fromClient.AtLineStart() && r.fromServer.AtLineStart(),
		OwnsSockets:     dedicated,
		NothingBuffered: r.nothingBuffered(),
		PinnedToProcess: r.pendingMove != nil || r.resumable != nil,
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

// sockets returns both sockets of an established connection; dedicated is false if one side is a channel of a shared
// connection.
func (r *request) sockets() (client, server *eventloop.Conn, dedicated bool) {
	down, single := r.downstream.(*downstreamConn)
	if !single {
		return nil, nil, false
	}
	server, dedicated = r.attempt.upstream.(*eventloop.Conn)
	return down.conn, server, dedicated
}

// nothingBuffered reports whether all data read has been written, in both directions.
func (r *request) nothingBuffered() bool {
	return r.downstream.Pending() == 0 && r.attempt.upstream.Pending() == 0 && !r.clientStalled
}

// releaseSockets releases the sockets of a connection that another process owns, without ending the connection.
func (r *request) releaseSockets() {
	client, server, dedicated := r.sockets()
	if dedicated {
		client.Release()
		server.Release()
	}
}

// transferRecord returns the state of an established connection for the successor.
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
func (t *transferSender) Packet(_ *eventloop.PacketConn, b []byte, fds []int) {
	closeDescriptors(fds) // answers come without descriptors
	id, accepted, err := restartproto.DecodeAnswer(b)
	if err == nil && id == restartproto.NoRef {
		return // a successor of an older version does not know the packet with ids
	}
	if err != nil || !t.plan.Answered(id, accepted) {
		t.proxy.log.WithError(err).Warn("hot restart: unexpected answer from successor")
		t.link.Shutdown()
		return
	}
	r, _ := t.proxy.requests.get(id)
	if accepted {
		t.proxy.stats.transferredOut++
		r.releaseSockets()
		r.close()
	} else {
		t.reclaim(r)
	}
	if !t.plan.Draining() {
		t.offerRemaining()
	}
}

// reclaim resumes a connection that the successor has not accepted, and moves it if the plan has started draining.
func (t *transferSender) reclaim(r *request) {
	r.transition(stateEstablished)
	r.readClient()
	if r.state == stateEstablished {
		r.attempt.readServer()
	}
	if t.plan.Draining() {
		r.startMove(outcome.Cancelled, true)
	}
}

// Ended is part of eventloop.PacketOwner: the link to the successor is closed. The successor owns a connection only
// after it has sent its acceptance, so all connections whose offers are unanswered still belong to this process.
func (t *transferSender) Ended(link *eventloop.PacketConn) {
	link.Close()
	for _, id := range t.plan.LinkClosed() {
		if r, ok := t.proxy.requests.get(id); ok {
			t.reclaim(r)
		}
	}
	t.moveUntransferred()
}

// moveUntransferred moves the connections that were not transferred, when the plan decides to.
func (t *transferSender) moveUntransferred() {
	move, offersPending := t.plan.DrainRemaining(t.proxy.loop.Now())
	if !move {
		return
	}
	if offersPending {
		t.link.Shutdown() // answers already sent still count; Ended then reclaims the other connections
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
