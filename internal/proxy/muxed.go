package proxy

import (
	"bytes"
	"errors"
	"io"
	"spurspread/decision/upstreampool"
	"spurspread/internal/channel"
	"spurspread/internal/eventloop"
	"spurspread/internal/lineproto"
	"spurspread/internal/mux"
	"strconv"
)

// Channels has client connections and targets speak SSH-style channels; see docs/protocol/channels.md.
type Channels struct {
	Clients bool // a first line that begins with SSH- opens a connection with channels
	Nodes   bool // hops go over trunks, to targets that speak channels
	Version string

	Most        int     // channels on one client connection
	Opens       float64 // of channels a second on one, and as many at once
	Window      uint32  // bytes that a peer is granted on each channel, at most
	FirstPacket eventloop.Micros
	Idle        eventloop.Micros // without a word from a client
	Pool        upstreampool.Limits
}

const (
	// windowFloor is what a channel is granted however little memory there is: a line comes in some turns then.
	windowFloor = 2 << 10
	// budgetPart is the part of the memory that peers may be promised to send at once, over all channels.
	budgetPart = 4
	budgetFree = 64 << 20 // the same where no memory limit is told
	// alivePart is how often a client that says nothing is looked at, in its idle time.
	alivePart = 4
	wideRead  = 64 << 10
)

// muxed is a client connection with channels, of which each is a session.
type muxed struct {
	d     *door
	c     *mux.Conn
	heard eventloop.Micros
	began bool             // the service was asked for
	count int              // sessions on it
	opens float64          // that it may still do now
	at    eventloop.Micros // when they were counted
	over  bool
}

// turn makes a door that was greeted with SSH- a connection with channels.
func (d *door) turn() {
	r := d.r
	cfg := r.cfg.Channels
	m := &muxed{d: d, heard: r.l.Now(), opens: cfg.Opens, at: r.l.Now()}
	m.c = mux.New(
		d.conn,
		mux.Config{Server: true, Version: cfg.Version, Most: cfg.Most, Window: cfg.Window, Budget: &r.budget},
		m,
	)
	d.mux = m
	r.muxes[m] = true
	greeting := d.head
	d.head = nil
	if m.feed(greeting) && !m.began {
		d.armFor(cfg.FirstPacket, m.unsettled)
	}
}

// readable reads what the client sends.
func (m *muxed) readable() {
	for range fairRounds {
		if m.over {
			return
		}
		n, err := m.d.conn.Read(m.d.r.wide)
		if errors.Is(err, eventloop.ErrAgain) {
			return
		}
		if err != nil {
			m.lost(errors.Is(err, io.EOF))
			return
		}
		if !m.feed(m.d.r.wide[:n]) {
			return
		}
	}
	m.d.r.l.After(0, m.readable)
}

// feed hands on what came, and ends the connection where it may not come.
func (m *muxed) feed(b []byte) bool {
	m.heard = m.d.r.l.Now()
	err := m.c.Feed(b)
	if err == nil {
		if m.c.Settled() && !m.began {
			m.began = true
			m.look()
		}
		return !m.over
	}
	if !errors.Is(err, mux.ErrEnded) {
		m.d.r.counts.odd++
	}
	m.close(errors.Is(err, mux.ErrEnded))
	return false
}

// lost takes the end of the connection.
func (m *muxed) lost(plain bool) {
	if m.over {
		return
	}
	m.forget(plain)
	m.d.close()
}

// close ends it: what is to be said was said.
func (m *muxed) close(plain bool) {
	if m.over {
		return
	}
	m.forget(plain)
	m.d.end()
}

// forget ends all that is on it.
func (m *muxed) forget(plain bool) {
	m.over = true
	delete(m.d.r.muxes, m)
	m.c.Lost(plain)
}

// unsettled ends a connection that has not asked for the service in time.
func (m *muxed) unsettled() {
	m.c.Disconnect(channel.ByApplication, "the service was not asked for in time")
	m.close(true)
}

// look looks whether the client is still there. One that has no channels may stay for its idle time; one that has is
// asked then, and given up after as long again.
func (m *muxed) look() {
	if m.over {
		return
	}
	idle, quiet := m.d.r.cfg.Channels.Idle, m.d.r.l.Now()-m.heard
	switch {
	case quiet >= 2*idle, quiet >= idle && m.count == 0:
		m.c.Disconnect(channel.ByApplication, "nothing was heard for too long")
		m.close(true)
		return
	case quiet >= idle-idle/alivePart:
		m.c.Ping()
	}
	m.d.armFor(idle/alivePart, m.look)
}

// goodbye ends a connection that has no channels any more, for the balancer stops.
func (m *muxed) goodbye() {
	if m.count == 0 && !m.over {
		m.c.Disconnect(channel.ByApplication, "the balancer stops")
		m.close(true)
	}
}

// Ready is part of mux.Owner.
func (m *muxed) Ready() {}

// Alive is part of mux.Owner: whatever comes is a sign of life.
func (m *muxed) Alive() {}

var holdOff = strconv.FormatInt(int64(shedHold/ms), 10)

// Admit is part of mux.Owner.
func (m *muxed) Admit([]byte) (code uint32, why string) {
	now, cfg := m.d.r.l.Now(), m.d.r.cfg.Channels
	m.opens = min(m.opens+cfg.Opens*float64(now-m.at)/float64(sec), cfg.Opens)
	m.at = now
	if m.opens < 1 || m.c.Len() >= cfg.Most {
		m.d.r.counts.shed++
		return channel.NoResources, "BUSY " + holdOff
	}
	m.opens--
	return 0, ""
}

// Open is part of mux.Owner.
func (m *muxed) Open(ch *mux.Channel, data []byte) {
	text, err := channel.String(data)
	if err != nil || len(text) > lineproto.Max-2 || bytes.ContainsAny(text, "\r\n") ||
		lineproto.First(text) != lineproto.OpenLine {
		m.d.r.counts.failed++
		ch.Refuse(channel.Prohibited, []byte("ERR"))
		return
	}
	whole := append(append(make([]byte, 0, len(text)+2), text...), "\r\n"...)
	k := &chanClient{m: m, Channel: ch}
	m.count++
	m.d.r.room.leave(m.d)
	ch.Own(k)
	if s := m.d.r.take(k, whole[:len(text)], whole, m.d.shed); s.phase != over {
		k.s = s
	}
}

// chanClient is a session's client on a channel.
type chanClient struct {
	*mux.Channel
	m        *muxed
	s        *session
	token    []byte
	moved    bool
	answered bool // refused, and so ended
	done     bool
}

// leave counts the session out, once.
func (k *chanClient) leave() {
	if k.done {
		return
	}
	k.done, k.s = true, nil
	m := k.m
	if m.count--; m.count == 0 && !m.over {
		m.d.r.room.enter(m.d) // from now on it may go when descriptors run short
		if m.d.r.drain.on {
			m.d.r.l.After(0, m.goodbye)
		}
	}
}

// Confirmed and Refused are part of mux.ChannelOwner; only the client opens here.
func (k *chanClient) Confirmed([]byte) {}

// Refused is part of mux.ChannelOwner.
func (k *chanClient) Refused(uint32, []byte) {}

// Requested is part of mux.ChannelOwner: no request of a client's is known.
func (k *chanClient) Requested(_, _ []byte) bool { return false }

// Readable is part of mux.ChannelOwner.
func (k *chanClient) Readable() {
	if k.s != nil {
		k.s.Readable()
	}
}

// Flushed is part of mux.ChannelOwner.
func (k *chanClient) Flushed() {
	if k.s != nil {
		k.s.Flushed()
	}
}

// Close is part of side.
func (k *chanClient) Close() {
	k.Channel.Close()
	k.leave()
}

// Reset is part of side: the client sees CLOSE without EOF.
func (k *chanClient) Reset() { k.Close() }

func (k *chanClient) up(text []byte) { k.Channel.Confirm(bytes.TrimRight(text, "\r\n")) }

// refuse gives the answer as the failure's description, with the code that says most of it.
func (k *chanClient) refuse(answer []byte) {
	answer = bytes.TrimRight(answer, "\r\n")
	code := channel.ConnectError
	if kind, _ := lineproto.Server(answer); kind == lineproto.Busy {
		code = channel.NoResources
	}
	k.answered = true
	k.Channel.Refuse(code, answer)
}

func (k *chanClient) move(token []byte) { k.moved, k.token = true, token }

// end ends the channel politely. A client that does not take what is pending is given a moment.
func (k *chanClient) end() {
	defer k.leave()
	if k.answered {
		return
	}
	name, data := "", []byte(nil)
	if k.moved {
		name, data = channel.Move, channel.AppendString(nil, k.token)
	}
	ch := k.Channel
	if ch.End(name, data); ch.Pending() > 0 {
		k.m.d.r.l.After(lingerTime, ch.Close)
	}
}

func (k *chanClient) whole() bool { return true }

// setChannels takes the settings. What stands goes on when they are turned off.
func (r *Relay) setChannels(cfg *Channels) {
	if cfg == nil && r.pool != nil {
		off := *r.cfg.Channels
		off.Clients, off.Nodes = false, false
		cfg = &off
	}
	if r.cfg.Channels = cfg; cfg == nil {
		return
	}
	r.budget.Floor, r.budget.Limit = windowFloor, budgetFree
	if r.cfg.Memory > 0 {
		r.budget.Limit = r.cfg.Memory / budgetPart
	}
	if r.pool == nil {
		r.pool, r.wide = upstreampool.New(cfg.Pool), make([]byte, wideRead)
		r.l.After(sec, r.retire)
		return
	}
	r.pool.Limit(cfg.Pool)
}
