package proxy

import (
	"bytes"

	"spurspread/decision/outcome"
	"spurspread/decision/timeouts"
	"spurspread/decision/upstreampool"
	"spurspread/internal/channel"
	"spurspread/internal/lineproto"
)

// startOnMux starts the attempt on a multiplexed connection to its server, as the pool decides. It returns false if the
// server speaks plain lines only and the attempt needs a dedicated connection.
func (a *attempt) startOnMux() bool {
	p := a.proxy
	now := p.loop.Now()
	choice := p.upstreams.pool.Acquire(now, a.server.Number)
	switch choice.Kind {
	case upstreampool.PlainLines:
		return false
	case upstreampool.LimitReached:
		a.scheduleEnd(outcome.ServerFull)
		return true
	case upstreampool.BackingOff:
		a.failureShared = true // the failed connection was already counted against the server
		a.scheduleEnd(outcome.ConnectFailed)
		return true
	case upstreampool.Use, upstreampool.WaitForOpen:
	}
	if choice.Open {
		p.upstreams.open(a.server, choice.Connection)
	} else if ahead := p.upstreams.pool.OpenAhead(now, a.server.Number); ahead.Open {
		p.upstreams.open(a.server, ahead.Connection)
	}
	a.joinMux(p.upstreams.conns[choice.Connection], choice.Kind)
	return true
}

// joinMux assigns the attempt to a connection, on which it opens its channel at once or when the connection is ready. c
// is nil if the connection has already failed.
func (a *attempt) joinMux(c *muxUpstreamConn, kind upstreampool.Kind) {
	if c == nil {
		a.scheduleEnd(outcome.ConnectFailed)
		return
	}
	a.muxConn = c
	c.attempts[a] = true
	if kind == upstreampool.Use {
		a.openChannel()
		return
	}
	c.waiting = append(c.waiting, a)
	p := a.proxy
	wait := timeouts.MuxAttempt(a.deadline-p.loop.Now(), p.cfg.Settings.ConnectTimeout)
	a.timer = p.loop.After(wait, func() { a.end(outcome.ConnectFailed) })
}

// openChannel opens the attempt's channel on its connection, which must be ready, with the request as the data.
func (a *attempt) openChannel() {
	head, wait, tail := a.requestLine()
	line := make([]byte, 0, len(head)+len(wait)+len(tail))
	line = append(line, head...)
	line = append(line, wait...)
	line = append(line, tail...)
	ch := a.muxConn.mux.Open(line[:len(line)-len(lineEnd)], upstreamChannel{a})
	if ch == nil {
		a.scheduleEnd(outcome.ServerFull)
		return
	}
	a.upstream = ch
	a.connected = true
	// Data that the kernel has not taken yet may still be sent, so from here on the request may have been executed.
	a.written = true
	a.timer = a.proxy.loop.After(a.deadline-a.proxy.loop.Now(), func() { a.end(outcome.TimedOut) })
}

// upstreamChannel is an attempt's channel on a multiplexed connection.
type upstreamChannel struct{ attempt *attempt }

// Confirmed is part of mux.ChannelOwner: the server has accepted the request.
func (k upstreamChannel) Confirmed(data []byte) { k.attempt.handleAnswer(bytes.Clone(data)) }

// Rejected is part of mux.ChannelOwner: the server has rejected the request, or the connection has failed.
func (k upstreamChannel) Rejected(code uint32, description []byte) {
	if k.attempt.muxConn.closed {
		k.attempt.end(outcome.Reset)
		return
	}
	k.attempt.handleAnswer(rejectionLine(code, description))
}

// rejectionLine converts the rejection of a channel to the answer line of the plain protocol. The description is that
// line, unless it is empty or an UP line; then the code decides between BUSY and ERR.
func rejectionLine(code uint32, description []byte) []byte {
	verb, _ := lineproto.ParseServerLine(description)
	switch {
	case verb != lineproto.Up && len(description) > 0:
		return bytes.Clone(description)
	case code == channel.ResourceShortage:
		return []byte("BUSY")
	}
	return []byte("ERR")
}

// Readable is part of mux.ChannelOwner.
func (k upstreamChannel) Readable() { k.attempt.readServer() }

// Flushed is part of mux.ChannelOwner.
func (k upstreamChannel) Flushed() { k.attempt.upstreamFlushed() }

// Requested is part of mux.ChannelOwner. The only known request is channel.Move, by which a draining server moves its
// client.
func (k upstreamChannel) Requested(name, _ []byte) bool {
	if string(name) != channel.Move {
		return false
	}
	k.attempt.request.moveByServer()
	return true
}
