package proxy

import (
	"bytes"

	"spurspread/decision/outcome"
	"spurspread/decision/timeouts"
	"spurspread/decision/upstreampool"
	"spurspread/internal/channel"
	"spurspread/internal/lineproto"
)

// startOnMux has the attempt go over a multiplexed connection, if the pool has or opens one for its server. It returns
// false if the attempt is to have a connection of its own.
func (a *attempt) startOnMux() bool {
	p := a.proxy
	now := p.loop.Now()
	choice := p.upstreams.pool.Acquire(now, a.server.Number)
	switch choice.Kind {
	case upstreampool.PlainLines:
		return false
	case upstreampool.LimitReached:
		a.endNextTurn(outcome.ServerFull)
		return true
	case upstreampool.BackingOff:
		a.failureShared = true // the failed connection's own end was the evidence
		a.endNextTurn(outcome.ConnectFailed)
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

// joinMux has the attempt use the connection, at once or as soon as it is ready. c is nil if it is gone already.
func (a *attempt) joinMux(c *muxUpstreamConn, kind upstreampool.Kind) {
	if c == nil {
		a.endNextTurn(outcome.ConnectFailed)
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

// openChannel opens the attempt's channel on its connection, which is ready, with the request as the data.
func (a *attempt) openChannel() {
	head, wait, tail := a.requestLine()
	line := make([]byte, 0, len(head)+len(wait)+len(tail))
	line = append(line, head...)
	line = append(line, wait...)
	line = append(line, tail...)
	ch := a.muxConn.mux.Open(line[:len(line)-len(lineEnd)], upstreamChannel{a})
	if ch == nil {
		a.endNextTurn(outcome.ServerFull)
		return
	}
	a.upstream = ch
	a.connected = true
	// What the kernel has not taken yet may still go out: only what was never opened can't have been executed.
	a.written = true
	a.timer = a.proxy.loop.After(a.deadline-a.proxy.loop.Now(), func() { a.end(outcome.TimedOut) })
}

// upstreamChannel is an attempt's channel on a multiplexed connection.
type upstreamChannel struct{ attempt *attempt }

// Confirmed is part of mux.ChannelOwner: the server has accepted the request.
func (k upstreamChannel) Confirmed(data []byte) { k.attempt.answered(bytes.Clone(data)) }

// Rejected is part of mux.ChannelOwner.
func (k upstreamChannel) Rejected(code uint32, description []byte) {
	if k.attempt.muxConn.closed {
		k.attempt.end(outcome.Reset)
		return
	}
	k.attempt.answered(rejectionLine(code, description))
}

// rejectionLine is the line that a server would have sent in place of a rejection. Its description is the line, unless
// it is missing or is one that accepts.
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
func (k upstreamChannel) Flushed() { k.attempt.serverCaughtUp() }

// Requested is part of mux.ChannelOwner: a server that drains sends the client away.
func (k upstreamChannel) Requested(name, _ []byte) bool {
	if string(name) != channel.Move {
		return false
	}
	if k.attempt.request.state == stateEstablished {
		k.attempt.request.moveAway(outcome.Cancelled, false)
	}
	return true
}
