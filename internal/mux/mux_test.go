package mux

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"spurspread/internal/channel"
	"spurspread/internal/eventloop"
)

// pipe is a Wire that buffers the written bytes until the test takes them.
type pipe struct {
	buffered []byte
	sent     int
}

func (p *pipe) Write(parts ...[]byte) {
	for _, b := range parts {
		p.buffered = append(p.buffered, b...)
		p.sent += len(b)
	}
}

func (p *pipe) Pending() int { return len(p.buffered) }

func (p *pipe) take(n int) []byte {
	n = min(n, len(p.buffered))
	b := bytes.Clone(p.buffered[:n])
	p.buffered = p.buffered[n:]
	return b
}

// side is one side of a connection, and the owner of that side's connection.
type side struct {
	name          string
	c             *Conn
	wire          *pipe
	ready         bool
	pingsAnswered int
	rejectReason  string // the reason that Admit returns
	streams       []*stream
}

func (e *side) Ready()        { e.ready = true }
func (e *side) PingAnswered() { e.pingsAnswered++ }
func (e *side) Admit([]byte) (uint32, string) {
	return channel.ResourceShortage, e.rejectReason
}

func (e *side) Open(ch *Channel, data []byte) {
	s := &stream{e: e, ch: ch, opened: string(data)}
	e.streams = append(e.streams, s)
	ch.SetOwner(s)
}

// stream owns one channel and records its events.
type stream struct {
	e         *side
	ch        *Channel
	opened    string
	confirmed string
	rejected  string
	stalled   bool // whether it has stopped reading
	sent, got []byte
	end       error
	requests  []string
	flushed   int
	moveAt    []int // bytes received before each move request, those that are not read yet included
	left      bool  // this side has closed the channel and discards what it receives
	ended     bool  // finish was called
	closed    int   // number of reports that CLOSE is sent
}

func (s *stream) Confirmed(data []byte)             { s.confirmed = "yes " + string(data) }
func (s *stream) Rejected(code uint32, text []byte) { s.rejected = fmt.Sprintf("%d %s", code, text) }
func (s *stream) Flushed()                          { s.flushed++ }
func (s *stream) Requested(name, data []byte) bool {
	s.requests = append(s.requests, string(name)+" "+string(data))
	s.moveAt = append(s.moveAt, len(s.got)+s.ch.Buffered())
	return string(name) == channel.Move
}

func (s *stream) Readable() {
	var b [100]byte
	for !s.stalled && s.end == nil {
		n, err := s.ch.Read(b[:])
		s.got = append(s.got, b[:n]...)
		if errors.Is(err, eventloop.ErrAgain) {
			return
		}
		s.end = err
	}
}

// finish closes the channel after a move request behind all data that was written.
func (s *stream) finish() {
	s.ended, s.left = true, true
	s.ch.CloseAfterFlush(channel.Move, nil, func() { s.closed++ })
}

func (s *stream) write(b []byte) {
	s.sent = append(s.sent, b...)
	s.ch.Write(b)
}

// newPair returns a client and a server; exchange passes bytes between them.
func newPair(window uint32, maxChannels int) (client, server *side) {
	client, server = &side{name: "client", wire: &pipe{}}, &side{name: "server", wire: &pipe{}}
	server.c = New(
		server.wire,
		Config{
			Server:      true,
			Version:     "1",
			MaxChannels: maxChannels,
			Window:      window,
			Budget:      &Budget{Limit: 1 << 30, Floor: 64},
		},
		server,
	)
	client.c = New(
		client.wire,
		Config{Version: "1", MaxChannels: maxChannels, Window: window, Budget: &Budget{Limit: 1 << 30, Floor: 64}},
		client,
	)
	return client, server
}

// feedAll passes received bytes to the connection until it has handled all.
func (e *side) feedAll(b []byte) error {
	err := e.c.Feed(b)
	for err == nil && e.c.Backlogged() {
		err = e.c.Feed(nil)
	}
	return err
}

// exchange passes bytes in both directions until none are pending.
func exchange(t interface{ Fatalf(string, ...any) }, a, b *side) {
	for a.wire.Pending()+b.wire.Pending() > 0 {
		for _, x := range [][2]*side{{a, b}, {b, a}} {
			if err := x[1].feedAll(x[0].wire.take(1 << 20)); err != nil {
				t.Fatalf("%s: %v", x[1].name, err)
			}
			x[0].c.Flushed()
		}
	}
}

func (e *side) open(line string) *stream {
	s := &stream{e: e}
	s.ch = e.c.Open([]byte(line), s)
	e.streams = append(e.streams, s)
	return s
}

// openAll opens n channels and makes the server confirm them. The confirmations are still pending on the wire.
func openAll(t interface{ Fatalf(string, ...any) }, client, server *side, n int) {
	exchange(t, client, server)
	for range n {
		client.open("OPEN")
	}
	exchange(t, client, server)
	for _, s := range server.streams {
		s.ch.Confirm([]byte("UP"))
	}
}

// A channel is opened, used and ended in each way: by EOF in one direction, by CloseAfterFlush, by a rejection, by a
// close without EOF, and by a close before the answer.
func TestOpenAndEnds(t *testing.T) {
	client, server := newPair(1000, 10)
	exchange(t, client, server)
	if !client.ready {
		t.Fatal("the client is not ready after both sides exchanged all bytes")
	}
	a := client.open("OPEN 1")
	exchange(t, client, server)
	b := server.streams[0]
	if line, err := channel.ParseString([]byte(b.opened)); err != nil || string(line) != "OPEN 1" {
		t.Fatalf("the server got the open text %q, %v, want OPEN 1", b.opened, err)
	}
	b.ch.Confirm([]byte("UP r"))
	exchange(t, client, server)
	if a.confirmed != "yes UP r" {
		t.Fatalf("confirmed with %q, want yes UP r", a.confirmed)
	}
	// EOF in one direction, and data after it in the other.
	a.write([]byte("T 1\r\n"))
	a.ch.CloseWrite()
	exchange(t, client, server)
	b.write([]byte("OK\r\n"))
	exchange(t, client, server)
	if string(b.got) != "T 1\r\n" || !errors.Is(b.end, io.EOF) || string(a.got) != "OK\r\n" || a.end != nil {
		t.Fatalf("server read %q, end %v; client read %q, end %v; want T 1 and EOF, OK and no end",
			b.got, b.end, a.got, a.end)
	}
	b.ch.CloseAfterFlush(channel.Move, channel.AppendString(nil, []byte("T")), nil)
	exchange(t, client, server)
	if !errors.Is(a.end, io.EOF) || len(a.requests) != 1 || client.c.Len()+server.c.Len() != 0 {
		t.Fatalf("end %v, requests %q, %d channels left, want EOF, one request and none",
			a.end, a.requests, client.c.Len()+server.c.Len())
	}
	// A rejection, a close without EOF, and a close before the answer.
	rejected, reset, closed := client.open("OPEN 2"), client.open("OPEN 3"), client.open("OPEN 4")
	closed.ch.Close()
	exchange(t, client, server)
	server.streams[1].ch.Reject(channel.ResourceShortage, []byte("BUSY 70"))
	server.streams[2].ch.Confirm(nil)
	server.streams[3].ch.Confirm(nil)
	exchange(t, client, server)
	server.streams[2].ch.Reset()
	exchange(t, client, server)
	if rejected.rejected != "4 BUSY 70" || reset.end == nil || errors.Is(reset.end, io.EOF) ||
		server.streams[3].end == nil ||
		errors.Is(server.streams[3].end, io.EOF) {
		t.Errorf("rejected with %q, want 4 BUSY 70; ends %v and %v, want errors other than EOF",
			rejected.rejected, reset.end, server.streams[3].end)
	}
	client.c.Ping()
	exchange(t, client, server)
	if client.pingsAnswered != 1 || client.c.Len()+server.c.Len() != 0 {
		t.Errorf("%d pings answered, %d channels left, want 1 and 0",
			client.pingsAnswered, client.c.Len()+server.c.Len())
	}
}

// A protocol error of the peer ends the connection with DISCONNECT; a message of an unknown type does not.
func TestBadPeers(t *testing.T) {
	msg := func(m channel.Message) []byte { return channel.Append(nil, &m) }
	name := func(s string) []byte { return []byte(s) }
	service := msg(channel.Message{Type: channel.ServiceRequest, Name: name(channel.Service)})
	open := msg(
		channel.Message{
			Type:      channel.Open,
			Name:      name(channel.Stream),
			Channel:   7,
			Window:    100,
			MaxPacket: 100,
			Data:      channel.AppendString(nil, []byte("OPEN")),
		},
	)
	const firstID = 1 << 20 // number of the first channel
	on := func(m channel.Message) []byte { m.Channel = firstID; return msg(m) }
	type input = [][]byte // messages; nil stands for a confirmation of the first channel
	for what, c := range map[string]struct {
		input input
		want  string // part of the error's text; empty if the connection is to continue
	}{
		"valid messages":             {input{service, open}, ""},
		"an open before the service": {input{open}, "message 90 before the service was asked for"},
		"another service": {input{msg(channel.Message{
			Type: channel.ServiceRequest,
			Name: name("ssh-userauth"),
		})}, "the only service is ssh-connection"},
		"an unrequested accept": {input{msg(channel.Message{
			Type: channel.ServiceAccept,
			Name: name(channel.Service),
		})}, "SERVICE_ACCEPT that nobody asked for"},
		"a length of 0":    {input{service, {0, 0, 0, 0, 4, 0, 0, 0}}, "packet length is not one that may be"},
		"a length of 1":    {input{service, {0, 0, 0, 1, 4, 0, 0, 0}}, "packet length is not one that may be"},
		"a length of 2^31": {input{service, {0x80, 0, 0, 0, 4}}, "packet length is not one that may be"},
		"padding":          {input{service, {0, 0, 0, 12, 200, 0, 0, 0}}, "padding is wrong"},
		"a plain line": {
			input{service, []byte("OPEN 1 2 c=x,d=1\r\n")},
			"packet length is not one that may be",
		},
		"a truncated message":       {input{service, packet(90, 0, 0, 0, 200)}, "message is cut off"},
		"a message with more bytes": {input{service, packet(96, 0, 0, 0, 1, 9)}, "message has bytes behind its end"},
		"an unknown message":        {input{service, packet(20, 1, 2, 3), packet(200)}, ""},
		"an unknown channel": {
			input{service, msg(channel.Message{Type: channel.EOF, Channel: 5})},
			"message 96 for channel 5, which there is not",
		},
		"a channel that is not confirmed": {
			input{service, open, on(channel.Message{Type: channel.Data, Data: name("x")})},
			"which is not open",
		},
		"an unrequested confirmation": {
			input{service, open, on(channel.Message{Type: channel.OpenConfirm})},
			"which was not asked for",
		},
		"an unrequested reply": {
			input{service, msg(channel.Message{Type: channel.RequestSuccess})},
			"a reply that nobody asked for",
		},
		"a disconnect": {
			input{service, msg(channel.Message{Type: channel.Disconnect, Code: 11})},
			"peer has disconnected",
		},
		"window overrun": {input{
			service, open, nil,
			on(channel.Message{Type: channel.Data, Data: make([]byte, 201)}),
		}, "sends 201 bytes with a window of 200"},
		"window used": {input{
			service, open, nil,
			on(channel.Message{Type: channel.Data, Data: make([]byte, 200)}),
		}, ""},
		"window overflow": {input{
			service, open, nil,
			on(channel.Message{Type: channel.WindowAdjust, Window: 1<<32 - 1}),
		}, "overflows"},
		"data after EOF": {input{
			service, open, nil, on(channel.Message{Type: channel.EOF}),
			on(channel.Message{Type: channel.Data, Data: name("x")}),
		}, "data after EOF"},
		"EOF twice": {input{
			service, open, nil, on(channel.Message{Type: channel.EOF}),
			on(channel.Message{Type: channel.EOF}),
		}, "EOF twice"},
		"data after CLOSE": {input{
			service, open, nil, on(channel.Message{Type: channel.Close}),
			on(channel.Message{Type: channel.Data, Data: name("x")}),
		}, "which there is not"},
		"CLOSE twice": {input{
			service, open, nil, on(channel.Message{Type: channel.Close}),
			on(channel.Message{Type: channel.Close}),
		}, "which there is not"},
		"stderr": {input{
			service, open, nil,
			on(channel.Message{Type: channel.ExtendedData, Code: 1, Data: name("x")}),
		}, ""},
	} {
		e := &side{wire: &pipe{}}
		e.c = New(
			e.wire,
			Config{
				Server:      true,
				Version:     "1",
				MaxChannels: 10,
				Window:      200,
				Budget:      &Budget{Limit: 1 << 20, Floor: 64},
			},
			e,
		)
		err := e.c.Feed([]byte("SSH-2.0-test\r\n"))
		for _, b := range c.input {
			if b == nil {
				e.streams[0].ch.Confirm(nil)
				continue
			}
			if err == nil {
				err = e.c.Feed(b)
			}
		}
		if got := fmt.Sprint(err); c.want == "" && err != nil || c.want != "" && !strings.Contains(got, c.want) {
			t.Errorf("%s: %v, want %q", what, err, c.want)
			continue
		}
		if c.want != "" && what != "a disconnect" && !bytes.Contains(e.wire.buffered, []byte(err.Error())) {
			t.Errorf("%s: the peer was not sent the error %q", what, err)
		}
		if c.want != "" && e.c.Feed([]byte("more")) != nil {
			t.Errorf("%s: the connection continues after its end", what)
		}
	}
}

// packet returns a packet with the given payload.
func packet(payload ...byte) []byte {
	b, at := channel.BeginPacket(nil)
	return channel.EndPacket(append(b, payload...), at)
}

// The answer to an unknown message carries its sequence number, and requests are answered in order.
func TestReplies(t *testing.T) {
	e := &side{wire: &pipe{}}
	e.c = New(
		e.wire,
		Config{Server: true, Version: "1", MaxChannels: 2, Window: 200, Budget: &Budget{Limit: 1 << 20, Floor: 64}},
		e,
	)
	var in []byte
	add := func(m channel.Message) { in = channel.Append(in, &m) }
	in = append(in, "SSH-2.0-test\r\n"...)
	add(channel.Message{Type: channel.ServiceRequest, Name: []byte(channel.Service)})
	in = append(in, packet(150)...)
	openWith := func(kind string, maxPacket uint32) {
		add(
			channel.Message{
				Type:      channel.Open,
				Name:      []byte(kind),
				Channel:   3,
				Window:    9,
				MaxPacket: maxPacket,
				Data:      channel.AppendString(nil, []byte("OPEN")),
			},
		)
	}
	openWith(channel.Stream, 100)
	add(channel.Message{Type: channel.GlobalRequest, Name: []byte("nobody@knows"), WantReply: true})
	openWith("session", 100)
	add(channel.Message{Type: channel.GlobalRequest, Name: []byte(channel.Keepalive), WantReply: true})
	add(channel.Message{Type: channel.GlobalRequest, Name: []byte(channel.Keepalive)})
	openWith(channel.Stream, 3)
	openWith(channel.Stream, 100)
	openWith(channel.Stream, 100)
	for len(in) > 0 { // in parts of random size
		n := min(len(in), 1+rand.IntN(40))
		if err := e.c.Feed(in[:n]); err != nil {
			t.Fatal(err)
		}
		in = in[n:]
	}
	e.streams[0].ch.Confirm([]byte("UP"))
	const firstID = 1 << 20
	for _, name := range []string{channel.Move, "x"} {
		if err := e.c.Feed(channel.Append(nil, &channel.Message{
			Type: channel.Request, Channel: firstID,
			Name: []byte(name), WantReply: true,
		})); err != nil {
			t.Fatal(err)
		}
	}
	var got []string
	_, n, _ := channel.SplitIdentification(e.wire.buffered)
	for b := e.wire.buffered[n:]; len(b) > 0; {
		payload, n, err := channel.SplitPacket(b)
		if err != nil || n == 0 {
			t.Fatal(n, err)
		}
		var m channel.Message
		if err := channel.Parse(payload, &m); err != nil {
			t.Fatal(err)
		}
		got = append(got, fmt.Sprint(m.Type, " ", m.Channel, " ", m.Code, string(m.Data)))
		b = b[n:]
	}
	want := "6 0 0|3 0 1|82 0 0|92 3 3ERR|81 0 0|92 3 1ERR|92 3 4BUSY|91 3 0UP|99 3 0|100 3 0"
	if strings.Join(got, "|") != want {
		t.Errorf("got  %s\nwant %s", strings.Join(got, "|"), want)
	}
}

// If the peer does not read one channel, only that channel stalls. With a full wire, channels take turns.
func TestFairTurns(t *testing.T) {
	client, server := newPair(20_000, 10)
	openAll(t, client, server, 3)
	exchange(t, client, server)
	client.streams[0].stalled = true
	for _, s := range server.streams {
		s.write(bytes.Repeat([]byte("x"), 100_000))
	}
	exchange(t, client, server)
	if got := len(client.streams[0].ch.receiveBuffer); got == 0 || got > 20_000 {
		t.Errorf("%d bytes of the stalled channel buffered, want 1 to 20000", got)
	}
	if server.streams[0].ch.Pending() != 80_000 {
		t.Errorf("%d bytes pending at the sender, want 80000", server.streams[0].ch.Pending())
	}
	for i, s := range client.streams[1:] {
		if len(s.got) != 100_000 || server.streams[1+i].ch.Pending() != 0 {
			t.Errorf("channel %d: %d bytes received, want 100000, and none pending", 1+i, len(s.got))
		}
	}
	client.streams[0].stalled = false
	client.streams[0].Readable()
	exchange(t, client, server)
	if len(client.streams[0].got) != 100_000 || server.streams[0].flushed == 0 {
		t.Errorf("after the stall: %d bytes, flushed %d times, want 100000 and at least once",
			len(client.streams[0].got), server.streams[0].flushed)
	}
	before := server.streams[1].ch.sendWindow
	adjust := channel.Append(
		nil,
		&channel.Message{Type: channel.WindowAdjust, Channel: uint32(server.streams[1].ch.localID), Window: 5},
	)
	if err := server.c.Feed(adjust); err != nil || server.streams[1].ch.sendWindow != before+5 {
		t.Errorf("%v, a window of %d enlarged by 5 is %d, want the sum", err, before, server.streams[1].ch.sendWindow)
	}
	// With the wire full, each channel sends one packet in turn.
	server.wire.Write(make([]byte, sendHighWaterMark))
	for _, s := range server.streams {
		s.ch.Write(bytes.Repeat([]byte("y"), 3*turnBytes))
	}
	server.wire.buffered = nil
	server.c.Flushed()
	for b, last := server.wire.buffered, uint32(0); len(b) > 0; {
		payload, n, err := channel.SplitPacket(b)
		var m channel.Message
		if err != nil || channel.Parse(payload, &m) != nil {
			t.Fatal(err)
		}
		if m.Channel == last {
			t.Errorf("channel %d had two turns in a row, want another one between", last)
		}
		if b, last = b[n:], m.Channel; len(m.Data) > turnBytes {
			t.Errorf("a turn of %d bytes, want at most %d", len(m.Data), turnBytes)
		}
	}
}

// The less is left of the budget, the smaller the windows, but none is smaller than Floor. At the end everything has
// been returned to the budget.
func TestBudget(t *testing.T) {
	client, server := newPair(10_000, 1000)
	server.c.cfg.Budget.Limit = 50_000
	openAll(t, client, server, 300)
	exchange(t, client, server)
	if p := server.c.cfg.Budget.Committed(); p > 50_000+300*64 {
		t.Errorf("%d bytes committed, want at most %d", p, 50_000+300*64)
	}
	if first, last := client.streams[0].ch.sendWindow, client.streams[299].ch.sendWindow; first < 3000 || last != 64 {
		t.Errorf("windows of %d and %d, want at least 3000 and 64", first, last)
	}
	server.streams[0].stalled = true
	client.streams[0].write(make([]byte, 3000))
	exchange(t, client, server)
	client.c.Disconnect(11, "enough")
	_ = server.feedAll(client.wire.take(1 << 20))
	server.c.Lost(true)
	client.c.Lost(true)
	server.streams[0].ch.Close()
	for _, e := range []*side{client, server} {
		if p := e.c.cfg.Budget.Committed(); p != 0 || e.c.Len() != 0 {
			t.Errorf("%s: %d bytes committed, %d channels left, want none", e.name, p, e.c.Len())
		}
	}
}

// A peer that sends requests and does not read the replies is disconnected after maxUnreadReplies.
func TestUnreadReplies(t *testing.T) {
	client, server := newPair(1000, 2)
	exchange(t, client, server)
	request := channel.Append(nil, &channel.Message{Type: channel.GlobalRequest, Name: []byte("x"), WantReply: true})
	for range 100_000 {
		if err := server.c.Feed(request); err != nil {
			if server.wire.Pending() > maxUnreadReplies+1000 {
				t.Errorf("%d bytes of replies buffered, want at most %d", server.wire.Pending(), maxUnreadReplies+1000)
			}
			return
		}
	}
	t.Error("the connection has not ended after 100000 requests without a reply read")
}

// randomRun performs random actions, drawn by rapid, on the two sides of a connection.
type randomRun struct {
	client, server *side
}

func (m *randomRun) pick(t *rapid.T, of []*stream) *stream {
	if len(of) == 0 {
		t.Skip()
	}
	return rapid.SampledFrom(of).Draw(t, "channel")
}

func (m *randomRun) all() []*stream {
	return append(append([]*stream(nil), m.client.streams...), m.server.streams...)
}

func (m *randomRun) pass(t *rapid.T, from, to *side) {
	n := rapid.IntRange(1, 5000).Draw(t, "bytes")
	if err := to.feedAll(from.wire.take(n)); err != nil {
		t.Fatalf("%s: %v", to.name, err)
	}
	if from.wire.Pending() == 0 {
		from.c.Flushed()
	}
}

// writable reports whether the owner may still write to the channel.
func (s *stream) writable() bool {
	return s.ch != nil && s.ch.owner != nil && s.ch.state == established && !s.ch.eofRequested
}

// Whatever the order of events, the data written on a channel arrives completely and in order as far as the other side
// reads it, move requests and EOF arrive behind all of it, the end of a channel is reported once, and nothing is left
// of channels and budget once all channels are closed.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &randomRun{}
		m.client, m.server = newPair(uint32(rapid.IntRange(1, 3000).Draw(t, "window")), 30)
		openAll(t, m.client, m.server, 3)
		actions := m.actions()
		for range 6 { // one Repeat of rapid is too short for a window to be used up and granted again
			t.Repeat(actions)
		}
		for _, s := range m.all() {
			s.stalled = false
			s.Readable()
		}
		exchange(t, m.client, m.server)
		m.checkArrived(t)
		for _, s := range m.all() {
			s.ch.Close()
		}
		exchange(t, m.client, m.server)
		for _, s := range m.all() {
			if s.ended && s.closed != 1 {
				t.Fatalf("%s: the end of a channel is reported %d times, want once", s.e.name, s.closed)
			}
		}
		for _, e := range []*side{m.client, m.server} {
			if p := e.c.cfg.Budget.Committed(); p != 0 || e.c.Len() != 0 {
				t.Fatalf("%s: %d bytes committed, %d channels left, want none", e.name, p, e.c.Len())
			}
		}
	})
}

// actions returns the actions of a random run by name. The one with an empty name is a check after each action.
func (m *randomRun) actions() map[string]func(*rapid.T) {
	fill := byte(0) // another value in each write
	return map[string]func(*rapid.T){
		"up":   func(t *rapid.T) { m.pass(t, m.client, m.server) },
		"down": func(t *rapid.T) { m.pass(t, m.server, m.client) },
		"open": func(t *rapid.T) {
			if s := m.client.open("OPEN"); s.ch == nil {
				m.client.streams = m.client.streams[:len(m.client.streams)-1]
			}
		},
		"confirm": func(t *rapid.T) { m.pick(t, m.server.streams).ch.Confirm([]byte("UP")) },
		"refuse":  func(t *rapid.T) { m.pick(t, m.server.streams).ch.Reject(1, []byte("ERR")) },
		"write": func(t *rapid.T) {
			s := m.pick(t, m.all())
			if !s.writable() {
				t.Skip()
			}
			fill++
			s.write(bytes.Repeat([]byte{fill}, rapid.IntRange(1, 4000).Draw(t, "n")))
		},
		"stall": func(t *rapid.T) { m.pick(t, m.all()).stalled = true },
		"read":  func(t *rapid.T) { s := m.pick(t, m.all()); s.stalled = false; s.Readable() },
		"eof": func(t *rapid.T) {
			s := m.pick(t, m.all())
			if s.writable() {
				s.ch.CloseWrite()
			}
		},
		"end": func(t *rapid.T) {
			s := m.pick(t, m.all())
			if s.ch.state == established && s.ch.owner != nil {
				s.finish()
			}
		},
		"close": func(t *rapid.T) {
			s := m.pick(t, m.all())
			s.left = true
			s.ch.Close()
		},
		"ping": func(t *rapid.T) { m.client.c.Ping() },
		"": func(t *rapid.T) {
			for _, e := range []*side{m.client, m.server} {
				if e.c.cfg.Budget.Committed() < 0 {
					t.Fatalf("%s: %d bytes committed, want at least 0", e.name, e.c.cfg.Budget.Committed())
				}
			}
		},
	}
}

// checkArrived compares the data read with the data written, for each channel and direction. Nothing may be pending on
// the wires.
func (m *randomRun) checkArrived(t *rapid.T) {
	pairs := map[string]*stream{}
	for _, s := range m.server.streams {
		pairs[fmt.Sprint(s.ch.peerID)] = s
	}
	for _, a := range m.client.streams {
		if b := pairs[fmt.Sprint(uint32(a.ch.localID))]; b != nil {
			checkDirection(t, a, b, a.ch.state == established)
			checkDirection(t, b, a, a.ch.state == established)
		}
	}
}

// checkDirection compares the data read on one side of a channel with the data written on the other: it has to be a
// prefix of that, and all of it if the channel is open on both sides.
func checkDirection(t *rapid.T, from, to *stream, established bool) {
	if !bytes.HasPrefix(from.sent, to.got) {
		t.Fatalf("%s sent %d bytes, and the %d bytes received are not their beginning",
			from.e.name, len(from.sent), len(to.got))
	}
	if errors.Is(to.end, io.EOF) && !to.left && len(from.sent) != len(to.got) {
		t.Fatalf("%s sent %d bytes, EOF came after %d", from.e.name, len(from.sent), len(to.got))
	}
	for _, at := range to.moveAt {
		if at != len(from.sent) {
			t.Fatalf("%s sent %d bytes, a move request came after %d", from.e.name, len(from.sent), at)
		}
	}
	open := established && from.ch.owner != nil && to.ch.owner != nil && !from.ch.sentClose && !to.ch.sentClose
	if open && len(from.sent) != len(to.got) {
		t.Fatalf("%s sent %d bytes, %d received: a window was not restored", from.e.name, len(from.sent), len(to.got))
	}
}

// Sending and receiving data allocates no memory.
func TestDataAllocatesNothing(t *testing.T) {
	client, server := newPair(1<<20, 10)
	exchange(t, client, server)
	a := client.open("OPEN")
	exchange(t, client, server)
	server.streams[0].ch.Confirm(nil)
	exchange(t, client, server)
	sink := &sinkOwner{ch: server.streams[0].ch}
	server.streams[0].ch.SetOwner(sink)
	line := []byte("#17 0123456789abcdef0123456789abcdef\r\n")
	client.wire.buffered = make([]byte, 0, 1<<20)
	server.wire.buffered = make([]byte, 0, 1<<20)
	if n := testing.AllocsPerRun(1000, func() {
		a.ch.Write(line)
		if err := server.feedAll(client.wire.buffered); err != nil {
			t.Fatal(err)
		}
		client.wire.buffered = client.wire.buffered[:0]
	}); n > 0 {
		t.Errorf("%v allocations per line, want 0", n)
	}
}

// sinkOwner reads all data and discards it.
type sinkOwner struct {
	ch *Channel
	b  [4096]byte
}

func (s *sinkOwner) Confirmed([]byte)           {}
func (s *sinkOwner) Rejected(uint32, []byte)    {}
func (s *sinkOwner) Flushed()                   {}
func (s *sinkOwner) Requested(_, _ []byte) bool { return false }
func (s *sinkOwner) Readable() {
	for {
		if _, err := s.ch.Read(s.b[:]); err != nil {
			return
		}
	}
}

// Whatever bytes a peer sends, the server does not panic, and no channel or part of the budget is left at the end.
func FuzzFeed(f *testing.F) {
	service := channel.Append(nil, &channel.Message{Type: channel.ServiceRequest, Name: []byte(channel.Service)})
	f.Add(
		append(
			service,
			channel.Append(
				nil,
				&channel.Message{
					Type:      channel.Open,
					Name:      []byte(channel.Stream),
					Channel:   1,
					Window:    9,
					MaxPacket: 100,
				},
			)...),
	)
	f.Add(channel.Append(nil, &channel.Message{Type: channel.Close, Channel: 1 << 20}))
	f.Fuzz(func(t *testing.T, in []byte) {
		e := &side{wire: &pipe{}}
		e.c = New(
			e.wire,
			Config{
				Server:      true,
				Version:     "1",
				MaxChannels: 4,
				Window:      200,
				Budget:      &Budget{Limit: 1 << 20, Floor: 64},
			},
			e,
		)
		if err := e.c.Feed([]byte("SSH-2.0-f\r\n")); err != nil {
			t.Fatal(err)
		}
		_ = e.c.Feed(service)
		for i, s := range e.streams {
			if i%2 == 0 {
				s.ch.Confirm(nil)
			}
		}
		_ = e.feedAll(in)
		for i, s := range e.streams {
			if i%2 == 0 {
				s.ch.Confirm(nil)
				s.ch.Write([]byte("x"))
			}
		}
		_ = e.feedAll(in)
		e.c.Lost(false)
		for _, s := range e.streams {
			s.ch.Close()
		}
		if e.c.Len() != 0 || e.c.cfg.Budget.Committed() != 0 {
			t.Errorf("%d channels left, %d bytes committed, want none", e.c.Len(), e.c.cfg.Budget.Committed())
		}
	})
}
