package proxy

import (
	"golang.org/x/sys/unix"

	"spurspread/decision"
	"spurspread/decision/hotrestart"
	"spurspread/decision/monotime"
	"spurspread/decision/outcome"
	"spurspread/internal/eventloop"
	"spurspread/internal/lineproto"
	"spurspread/internal/restartproto"
)

// transferReceiver accepts connections that a predecessor transfers to this process.
type transferReceiver struct{ proxy *Proxy }

// Ended is part of eventloop.PacketOwner.
func (transferReceiver) Ended(link *eventloop.PacketConn) { link.Close() }

// Packet is part of eventloop.PacketOwner: the offer of one connection, with its two sockets, or ids of finished
// requests.
func (t transferReceiver) Packet(link *eventloop.PacketConn, b []byte, fds []int) {
	if ids, err := restartproto.DecodeFinishedIDs(b); err == nil {
		closeDescriptors(fds)
		t.addFinished(ids)
		return
	}
	t.receiveOffer(link, b, fds)
}

func (t transferReceiver) addFinished(ids []uint64) {
	for _, id := range ids {
		t.proxy.requests.ids.AddFinished(id)
	}
}

// receiveOffer accepts or rejects the offer of a connection.
func (t transferReceiver) receiveOffer(link *eventloop.PacketConn, b []byte, fds []int) {
	p := t.proxy
	offer, err := restartproto.DecodeOffer(b)
	if err != nil || !t.accepts(&offer, len(fds)) {
		closeDescriptors(fds)
		_ = link.Send(restartproto.EncodeAnswer(offer.Ref, false))
		return
	}
	p.requests.ids.Add(offer.ID)
	r := p.adoptConnection(&offer, fds)
	if r == nil {
		p.requests.ids.Finish(offer.ID)
		_ = link.Send(restartproto.EncodeAnswer(offer.Ref, false))
		return
	}
	if link.Send(restartproto.EncodeAnswer(offer.Ref, true)) != nil {
		// The acceptance was not sent: the predecessor still owns the connection.
		p.requests.ids.Finish(offer.ID)
		r.releaseSockets()
		p.requests.slots.Drop(r.ref)
		return
	}
	p.stats.transferredIn++
	p.core.dispatch(decision.ExistingConnection{Request: r.decisionRequest(), Server: r.attempt.server.Number})
}

// accepts reports whether an offer is accepted that arrived with the given number of sockets.
func (t transferReceiver) accepts(offer *restartproto.ConnectionOffer, sockets int) bool {
	p := t.proxy
	return hotrestart.AcceptTransfer(hotrestart.OfferedConnection{
		Sockets:          sockets,
		ServerListed:     p.servers.list.ByID([]byte(offer.Server)) != nil,
		IDUnused:         !p.requests.ids.Known(offer.ID),
		Draining:         p.drain.active,
		DescriptorsShort: p.nearDescriptorLimit(),
	})
}

// adoptConnection creates the request of an offered connection, without reading from it yet. On failure it closes the
// sockets and returns nil.
func (p *Proxy) adoptConnection(offer *restartproto.ConnectionOffer, fds []int) *request {
	client := &downstreamConn{proxy: p}
	r := p.transferredRequest(offer, client)
	client.request = r
	var err error
	if client.conn, err = p.loop.Adopt(fds[0], client); err != nil {
		_ = unix.Close(fds[1])
		return nil
	}
	server, err := p.loop.Adopt(fds[1], r.attempt)
	if err != nil {
		client.conn.Release()
		return nil
	}
	r.attempt.upstream = server
	if !p.requests.put(r) {
		client.conn.Release()
		server.Release()
		return nil
	}
	p.updateBufferLimitsIfGrown()
	r.joinServer()
	for _, age := range offer.Unanswered {
		r.awaitReply(p.loop.Now() - monotime.Micros(age))
	}
	return r
}

// transferredRequest returns the request of an offered connection, in stateEstablished and without its sockets.
func (p *Proxy) transferredRequest(offer *restartproto.ConnectionOffer, client *downstreamConn) *request {
	now := p.loop.Now()
	r := &request{
		proxy:      p,
		downstream: client,
		state:      stateEstablished,
		registered: true,
		open: lineproto.Open{
			ID:          offer.ID,
			Key:         offer.Key,
			Group:       offer.Group,
			LoadHint:    offer.LoadHint,
			HasLoadHint: offer.HasLoadHint,
			Retry:       offer.Retry,
			Reconnected: offer.Reconnected,
		},
		idReserved: true,
		class:      0,
		classNames: []string{offer.Class},
		deadline:   now,
		establishedStream: establishedStream{
			lastReply: now - monotime.Micros(offer.SinceLastReply),
			endStatus: outcome.Status(offer.EndStatus),
		},
	}
	r.attempt = &attempt{
		proxy:     p,
		request:   r,
		server:    p.servers.list.ByID([]byte(offer.Server)),
		startedAt: now,
		connected: true,
		written:   true,
	}
	return r
}
