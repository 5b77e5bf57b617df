package proxy

import (
	"errors"
	"io"
	"net/netip"
	"spurspread/decision"
	"spurspread/decision/outcome"
	"spurspread/internal/discovery"
	"spurspread/internal/eventloop"
	"spurspread/internal/lineproto"
	"strconv"
)

// upstreamAttempt is one attempt: a connection of its own to an egress target.
type upstreamAttempt struct {
	proxy         *Proxy
	request       *request
	server        *discovery.Server
	chosenListing serverListing // the target as it was listed when it was chosen
	number        int
	upstream      transport
	began         eventloop.Micros
	deadline      eventloop.Micros // given up then, unless it is up
	writeBy       eventloop.Micros // the first line is written by then or not at all; 0 where that does not matter
	connected     bool
	sent          bool   // the first line's last byte is written: the target may have run it
	answerBuf     []byte // the answer, as far as it has come
	timer         eventloop.Ref
	mux           *muxUpstreamConn // that it goes over; nil where it has a connection of its own
	failureShared bool             // its outcome was told already, as evidence of its target's health
	ended         bool
}

// serverListing is what of a target's listing matters to what is sent there.
type serverListing struct {
	state   discovery.ServerState
	started int64
	addr    netip.AddrPort
}

func listingOf(t *discovery.Server) serverListing {
	return serverListing{t.State, t.StartedMillis, t.Addr}
}

// startAttempt starts an attempt that is given up after wait. Where within is not 0, its line is written within that or never.
func (r *Proxy) startAttempt(
	s *request,
	t *discovery.Server,
	attempt int,
	wait, within eventloop.Micros,
) *upstreamAttempt {
	now := r.loop.Now()
	h := &upstreamAttempt{
		proxy:         r,
		request:       s,
		server:        t,
		number:        attempt,
		began:         now,
		deadline:      now + wait,
		chosenListing: listingOf(t),
	}
	if within > 0 {
		h.writeBy = now + within
	}
	if r.cfg.Channels == nil || !r.cfg.Channels.Upstreams || !h.startOnMux() {
		h.dialPlain()
	}
	return h
}

// dialPlain gives the hop a connection of its own.
func (h *upstreamAttempt) dialPlain() {
	h.proxy.evictIdle()
	conn, err := h.proxy.dialServer(h.server, h)
	h.upstream = conn
	if err != nil {
		h.endNextTurn(dialFailure(err))
		return
	}
	wait := min(h.deadline-h.proxy.loop.Now(), eventloop.Micros(h.proxy.cfg.Settings.ConnectTimeout))
	h.timer = h.proxy.loop.After(wait, func() {
		if conn.DrainEvents(); !h.connected {
			h.end(outcome.ConnectFailed)
		}
	})
}

// dialServer starts a connection to a target, for a hop or a probe.
func (r *Proxy) dialServer(t *discovery.Server, owner eventloop.Owner) (*eventloop.Conn, error) {
	if t == nil || !t.Addr.IsValid() {
		return nil, errors.New("no address")
	}
	return r.loop.Dial(t.Addr, owner)
}

// dialFailure is the outcome of a dial that failed at once. What this machine lacks says nothing of the target: taken
// for a refusal, a crowd that used up the descriptors would have every target demoted.
func dialFailure(err error) outcome.Status {
	if eventloop.IsResourceExhausted(err) {
		return outcome.Inconclusive
	}
	return outcome.ConnectFailed
}

// Connected is part of loop.Owner.
func (h *upstreamAttempt) Connected(conn *eventloop.Conn, err error) {
	if err != nil {
		h.end(outcome.ConnectFailed)
		return
	}
	h.connected = true
	if !h.mayStillSend() {
		return
	}
	conn.Write(h.firstLine())
	h.sent = conn.Pending() == 0 && !conn.Broken()
	h.awaitAnswer()
}

// mayStillSend looks once more before the first line goes out: a connection takes a while to come up, and meanwhile the
// client may have left, its end still unread behind this very event, and the time may be over in which the request
// may be repeated. It then never runs, and the hop has ended. What discovery told meanwhile has been heeded at
// once: see recall.
func (h *upstreamAttempt) mayStillSend() bool {
	if h.request.Readable(); h.ended {
		return false
	}
	if h.writeBy > 0 && h.proxy.loop.Now() >= h.writeBy {
		h.end(outcome.Inconclusive)
		return false
	}
	return true
}

// recallUnsent ends what is on its way, its first line not written, to targets that have just been listed as draining,
// gone, begun anew or elsewhere: the module would not choose them now. What an earlier process of this deployment
// had open at a target goes there whatever it is now.
func (r *Proxy) recallUnsent() {
	for s := range r.unanswered.each {
		if h := s.attempt; h != nil && s.state == statePending && !h.sent && h.serverChanged() {
			h.end(outcome.Inconclusive)
		}
	}
}

// serverChanged tells that the target is not what it was when it was chosen, in what matters to what is sent there.
func (h *upstreamAttempt) serverChanged() bool {
	now := listingOf(h.server)
	return now.state != discovery.Ready || now.started != h.chosenListing.started || now.addr != h.chosenListing.addr
}

// awaitAnswer has the hop end when its target has not answered in time, or the first line could not be written in time.
func (h *upstreamAttempt) awaitAnswer() {
	at := h.deadline
	if !h.sent && h.writeBy > 0 {
		at = min(at, h.writeBy)
	}
	h.proxy.loop.Cancel(&h.timer)
	h.timer = h.proxy.loop.After(at-h.proxy.loop.Now(), func() {
		// What came in this very turn still counts.
		if h.read(); h.ended || h.request.state == stateEstablished {
			return
		}
		if h.sent && h.proxy.loop.Now() < h.deadline {
			h.awaitAnswer()
			return
		}
		h.end(h.unanswered(outcome.TimedOut))
	})
}

// firstLine is what the target is sent: d tells it how long this hop will wait, and all else goes as the client
// sent it, byte for byte.
func (h *upstreamAttempt) firstLine() (head, d, tail []byte) {
	text, first := h.request.firstLine, &h.request.open
	d = strconv.AppendInt(make([]byte, 0, 20), int64(max((h.deadline-h.proxy.loop.Now())/millisecond, 1)), 10)
	return text[:first.DFrom], d, text[first.DTo:]
}

// Flushed is part of loop.Owner.
func (h *upstreamAttempt) Flushed(*eventloop.Conn) { h.flushed() }

// flushed tells that the target has caught up.
func (h *upstreamAttempt) flushed() {
	h.sent = true
	if h.request.state == stateEstablished {
		h.request.Readable()
	}
}

// unanswered is the outcome of a hop that ended without an answer: before its last byte it can't have run.
func (h *upstreamAttempt) unanswered(status outcome.Status) outcome.Status {
	if !h.sent {
		return outcome.ConnectFailed
	}
	return status
}

// Readable is part of loop.Owner.
func (h *upstreamAttempt) Readable(*eventloop.Conn) { h.read() }

// read reads what the target sends.
func (h *upstreamAttempt) read() {
	for range readsPerTurn {
		if h.ended || !h.connected || h.request.state == stateTransferring {
			return
		}
		if h.request.downstream.Pending() > h.proxy.maxPending {
			h.request.clientStalled = true // it is read on when the client has caught up
			return
		}
		n, err := h.upstream.Read(h.proxy.readBuf)
		if errors.Is(err, eventloop.ErrAgain) {
			return
		}
		if err != nil {
			h.upstreamEnded(errors.Is(err, io.EOF))
			return
		}
		if b := h.proxy.readBuf[:n]; h.request.state == stateEstablished || h.request.state == stateHalfClosed {
			h.request.forwardReply(b)
		} else {
			h.answer(b)
		}
	}
	h.proxy.loop.After(0, h.read)
}

// answer reads the target's first line.
func (h *upstreamAttempt) answer(b []byte) {
	h.answerBuf = append(h.answerBuf, b...)
	text, n, err := lineproto.SplitLine(h.answerBuf)
	if err != nil {
		h.end(outcome.ErrorResponse)
		return
	}
	if n > 0 {
		rest := h.answerBuf[n:]
		h.answerBuf = nil
		if h.answered(text); h.request.state == stateEstablished && len(rest) > 0 {
			h.request.forwardReply(rest)
		}
	}
}

// answered takes the target's answer, a line without its end.
func (h *upstreamAttempt) answered(text []byte) {
	s := h.request
	switch kind, _ := lineproto.ParseServerLine(text); kind {
	case lineproto.Up:
		// What the client sent before its answer shows now at the latest.
		if s.Readable(); h.ended {
			return
		}
		if !s.checkNumbering(text) {
			return
		}
		h.proxy.loop.Cancel(&h.timer)
		s.establish(text)
	case lineproto.Goaway:
		// Served to its end at once: the target's word is the answer.
		s.downstream.sendFinal(append(text, "\r\n"...))
		s.finish(outcome.OK)
	case lineproto.Move:
		h.end(outcome.Cancelled)
	case lineproto.Busy:
		h.end(outcome.ServerFull)
	case lineproto.Stale:
		s.tokenDenied(lineproto.Word(text))
	case lineproto.Err:
		h.end(outcome.ErrorResponse)
	default:
		h.proxy.counters.protocolErrors++
		h.end(outcome.ErrorResponse)
	}
}

// upstreamEnded takes the end of the target's side.
func (h *upstreamAttempt) upstreamEnded(plain bool) {
	s := h.request
	switch s.state {
	case stateEstablished, stateHalfClosed:
		if s.canContinue() {
			s.moveAway(s.endStatus, false)
			return
		}
		status := s.endStatus
		if s.state == stateHalfClosed && status == outcome.Reset {
			status = outcome.Cancelled // it ended because its client had left
		}
		if plain {
			s.finish(status)
			return
		}
		h.end(status)
		s.abort()
	default:
		h.end(h.unanswered(outcome.Reset))
	}
}

// end closes the hop and tells the module its outcome, once.
func (h *upstreamAttempt) end(status outcome.Status) {
	if h.ended {
		return
	}
	h.ended = true
	h.proxy.loop.Cancel(&h.timer)
	if h.upstream != nil {
		h.upstream.Close()
	}
	if t := h.mux; t != nil {
		delete(t.attempts, h)
		h.proxy.upstreamPool.Release(h.proxy.loop.Now(), t.id)
		if h.failureShared = !t.isFirstEvidence(); h.failureShared {
			h.proxy.counters.sharedFailures++
		}
	}
	s := h.request
	s.attempt = nil
	s.releaseClaim(h, status)
	if s.moduleKnows {
		h.proxy.dispatch(decision.AttemptEnded{
			ID: uint32(s.ref), Attempt: h.number, Server: h.server.Number, Status: status,
			Duration: decision.Micros(
				h.proxy.loop.Now() - h.began,
			), RequestClosed: s.state != statePending, SharedCause: h.failureShared,
		})
	} else if s.state == stateReattaching {
		s.reattachFailed(status)
	}
}
