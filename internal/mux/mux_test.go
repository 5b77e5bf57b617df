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

// pipe is a wire whose far end takes bytes when it is told to.
type pipe struct {
	kept []byte
	sent int
}

func (p *pipe) Write(parts ...[]byte) {
	for _, b := range parts {
		p.kept = append(p.kept, b...)
		p.sent += len(b)
	}
}

func (p *pipe) Pending() int { return len(p.kept) }

func (p *pipe) take(n int) []byte {
	n = min(n, len(p.kept))
	b := bytes.Clone(p.kept[:n])
	p.kept = p.kept[n:]
	return b
}

// end is one side of a connection, and the owner of its channels.
type end struct {
	name    string
	c       *Conn
	wire    *pipe
	ready   bool
	alive   int
	bar     string // Admit's answer
	streams []*stream
}

func (e *end) Ready() { e.ready = true }
func (e *end) Alive() { e.alive++ }
func (e *end) Admit([]byte) (uint32, string) {
	return channel.ResourceShortage, e.bar
}

func (e *end) Open(ch *Channel, data []byte) {
	s := &stream{e: e, ch: ch, opened: string(data)}
	e.streams = append(e.streams, s)
	ch.Own(s)
}

// stream owns one channel and writes down what happens to it.
type stream struct {
	e         *end
	ch        *Channel
	opened    string
	confirmed string
	refused   string
	stalled   bool // does not read
	sent, got []byte
	end       error
	requests  []string
	flushed   int
}

func (s *stream) Confirmed(data []byte)             { s.confirmed = "yes " + string(data) }
func (s *stream) Rejected(code uint32, text []byte) { s.refused = fmt.Sprintf("%d %s", code, text) }
func (s *stream) Flushed()                          { s.flushed++ }
func (s *stream) Requested(name, data []byte) bool {
	s.requests = append(s.requests, string(name)+" "+string(data))
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

func (s *stream) write(b []byte) {
	s.sent = append(s.sent, b...)
	s.ch.Write(b)
}

// couple makes a client and a server whose wires lead to one another.
func couple(window uint32, most int) (client, server *end) {
	client, server = &end{name: "client", wire: &pipe{}}, &end{name: "server", wire: &pipe{}}
	server.c = New(
		server.wire,
		Config{
			Server:      true,
			Version:     "1",
			MaxChannels: most,
			Window:      window,
			Budget:      &Budget{Limit: 1 << 30, Floor: 64},
		},
		server,
	)
	client.c = New(
		client.wire,
		Config{Version: "1", MaxChannels: most, Window: window, Budget: &Budget{Limit: 1 << 30, Floor: 64}},
		client,
	)
	return client, server
}

// flow passes bytes both ways until there are none.
func flow(t interface{ Fatalf(string, ...any) }, a, b *end) {
	for a.wire.Pending()+b.wire.Pending() > 0 {
		for _, x := range [][2]*end{{a, b}, {b, a}} {
			if err := x[1].c.Feed(x[0].wire.take(1 << 20)); err != nil {
				t.Fatalf("%s: %v", x[1].name, err)
			}
			x[0].c.Flushed()
		}
	}
}

func (e *end) open(line string) *stream {
	s := &stream{e: e}
	s.ch = e.c.Open([]byte(line), s)
	e.streams = append(e.streams, s)
	return s
}

// openAll opens n channels and has the server confirm each. What the confirmations say has yet to flow.
func openAll(t interface{ Fatalf(string, ...any) }, client, server *end, n int) {
	flow(t, client, server)
	for range n {
		client.open("OPEN")
	}
	flow(t, client, server)
	for _, s := range server.streams {
		s.ch.Confirm([]byte("UP"))
	}
}

func TestOpenAndEnds(t *testing.T) {
	client, server := couple(1000, 10)
	flow(t, client, server)
	if !client.ready {
		t.Fatal("not ready")
	}
	a := client.open("OPEN 1")
	flow(t, client, server)
	b := server.streams[0]
	if line, err := channel.ParseString([]byte(b.opened)); err != nil || string(line) != "OPEN 1" {
		t.Fatalf("%q, %v", b.opened, err)
	}
	b.ch.Confirm([]byte("UP r"))
	flow(t, client, server)
	if a.confirmed != "yes UP r" {
		t.Fatalf("%q", a.confirmed)
	}
	// An end one way, with data the other.
	a.write([]byte("T 1\r\n"))
	a.ch.CloseWrite()
	flow(t, client, server)
	b.write([]byte("OK\r\n"))
	flow(t, client, server)
	if string(b.got) != "T 1\r\n" || !errors.Is(b.end, io.EOF) || string(a.got) != "OK\r\n" || a.end != nil {
		t.Fatalf("%q %v, %q %v", b.got, b.end, a.got, a.end)
	}
	b.ch.End(channel.Move, channel.AppendString(nil, []byte("T")))
	flow(t, client, server)
	if !errors.Is(a.end, io.EOF) || len(a.requests) != 1 || client.c.Len()+server.c.Len() != 0 {
		t.Fatalf("%v, %q, %d left", a.end, a.requests, client.c.Len()+server.c.Len())
	}
	// A refusal, a close without an end, and one before the answer.
	r, d, g := client.open("OPEN 2"), client.open("OPEN 3"), client.open("OPEN 4")
	g.ch.Close()
	flow(t, client, server)
	server.streams[1].ch.Reject(channel.ResourceShortage, []byte("BUSY 70"))
	server.streams[2].ch.Confirm(nil)
	server.streams[3].ch.Confirm(nil)
	flow(t, client, server)
	server.streams[2].ch.Reset()
	flow(t, client, server)
	if r.refused != "4 BUSY 70" || d.end == nil || errors.Is(d.end, io.EOF) || server.streams[3].end == nil ||
		errors.Is(server.streams[3].end, io.EOF) {
		t.Errorf("%q, %v, %v", r.refused, d.end, server.streams[3].end)
	}
	client.c.Ping()
	flow(t, client, server)
	if client.alive != 1 || client.c.Len()+server.c.Len() != 0 {
		t.Errorf("alive %d, %d left", client.alive, client.c.Len()+server.c.Len())
	}
}

// What a peer may not do ends the connection with DISCONNECT; what is only unknown does not.
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
	const num = 1 << 20 // the first channel's
	on := func(m channel.Message) []byte { m.Channel = num; return msg(m) }
	type say = [][]byte
	for what, c := range map[string]struct {
		say  say
		want string // of DISCONNECT; none: it goes on
	}{
		"all well":                   {say{service, open}, ""},
		"an open before the service": {say{open}, "message 90 before the service was asked for"},
		"another service": {say{msg(channel.Message{
			Type: channel.ServiceRequest,
			Name: name("ssh-userauth"),
		})}, "the only service is ssh-connection"},
		"an accept": {say{msg(channel.Message{
			Type: channel.ServiceAccept,
			Name: name(channel.Service),
		})}, "SERVICE_ACCEPT that nobody asked for"},
		"a length of 0":    {say{service, {0, 0, 0, 0, 4, 0, 0, 0}}, "packet length is not one that may be"},
		"a length of 1":    {say{service, {0, 0, 0, 1, 4, 0, 0, 0}}, "packet length is not one that may be"},
		"a length of 2^31": {say{service, {0x80, 0, 0, 0, 4}}, "packet length is not one that may be"},
		"padding":          {say{service, {0, 0, 0, 12, 200, 0, 0, 0}}, "padding is wrong"},
		"a plain line": {
			say{service, []byte("OPEN 1 2 c=x,d=1\r\n")},
			"packet length is not one that may be",
		},
		"a message that is cut off": {say{service, packet(90, 0, 0, 0, 200)}, "message is cut off"},
		"a message with more":       {say{service, packet(96, 0, 0, 0, 1, 9)}, "message has bytes behind its end"},
		"an unknown message":        {say{service, packet(20, 1, 2, 3), packet(200)}, ""},
		"a channel that is not": {
			say{service, msg(channel.Message{Type: channel.EOF, Channel: 5})},
			"message 96 for channel 5, which there is not",
		},
		"a channel not open yet": {
			say{service, open, on(channel.Message{Type: channel.Data, Data: name("x")})},
			"which is not open",
		},
		"a confirmation": {
			say{service, open, on(channel.Message{Type: channel.OpenConfirm})},
			"which was not asked for",
		},
		"a reply": {
			say{service, msg(channel.Message{Type: channel.RequestSuccess})},
			"a reply that nobody asked for",
		},
		"goodbye": {
			say{service, msg(channel.Message{Type: channel.Disconnect, Code: 11})},
			"peer has disconnected",
		},
		"window overrun": {say{
			service, open, nil,
			on(channel.Message{Type: channel.Data, Data: make([]byte, 201)}),
		}, "sends 201 bytes with a window of 200"},
		"window used": {say{
			service, open, nil,
			on(channel.Message{Type: channel.Data, Data: make([]byte, 200)}),
		}, ""},
		"window overflow": {say{
			service, open, nil,
			on(channel.Message{Type: channel.WindowAdjust, Window: 1<<32 - 1}),
		}, "overflows"},
		"data after EOF": {say{
			service, open, nil, on(channel.Message{Type: channel.EOF}),
			on(channel.Message{Type: channel.Data, Data: name("x")}),
		}, "data after EOF"},
		"EOF twice": {say{
			service, open, nil, on(channel.Message{Type: channel.EOF}),
			on(channel.Message{Type: channel.EOF}),
		}, "EOF twice"},
		"data after CLOSE": {say{
			service, open, nil, on(channel.Message{Type: channel.Close}),
			on(channel.Message{Type: channel.Data, Data: name("x")}),
		}, "which there is not"},
		"CLOSE twice": {say{
			service, open, nil, on(channel.Message{Type: channel.Close}),
			on(channel.Message{Type: channel.Close}),
		}, "which there is not"},
		"stderr": {say{
			service, open, nil,
			on(channel.Message{Type: channel.ExtendedData, Code: 1, Data: name("x")}),
		}, ""},
	} {
		e := &end{wire: &pipe{}}
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
		for _, b := range c.say {
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
		if c.want != "" && what != "goodbye" && !bytes.Contains(e.wire.kept, []byte(err.Error())) {
			t.Errorf("%s: the peer was not told", what)
		}
		if c.want != "" && e.c.Feed([]byte("more")) != nil {
			t.Errorf("%s: goes on after its end", what)
		}
	}
}

func packet(payload ...byte) []byte {
	b, at := channel.BeginPacket(nil)
	return channel.EndPacket(append(b, payload...), at)
}

// An unknown message is told by its number in the order of all; requests are answered in their order.
func TestReplies(t *testing.T) {
	e := &end{wire: &pipe{}}
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
	openWith := func(kind string, most uint32) {
		add(
			channel.Message{
				Type:      channel.Open,
				Name:      []byte(kind),
				Channel:   3,
				Window:    9,
				MaxPacket: most,
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
	for len(in) > 0 { // in pieces of any size
		n := min(len(in), 1+rand.IntN(40))
		if err := e.c.Feed(in[:n]); err != nil {
			t.Fatal(err)
		}
		in = in[n:]
	}
	e.streams[0].ch.Confirm([]byte("UP"))
	const num = 1 << 20
	for _, name := range []string{channel.Move, "x"} {
		if err := e.c.Feed(channel.Append(nil, &channel.Message{
			Type: channel.Request, Channel: num,
			Name: []byte(name), WantReply: true,
		})); err != nil {
			t.Fatal(err)
		}
	}
	var got []string
	_, n, _ := channel.SplitIdentification(e.wire.kept)
	for b := e.wire.kept[n:]; len(b) > 0; {
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

// A peer that does not read one channel stops that one only, and the others have their turns.
func TestFairTurns(t *testing.T) {
	client, server := couple(20_000, 10)
	openAll(t, client, server, 3)
	flow(t, client, server)
	client.streams[0].stalled = true
	for _, s := range server.streams {
		s.write(bytes.Repeat([]byte("x"), 100_000))
	}
	flow(t, client, server)
	if got := len(client.streams[0].ch.receiveBuffer); got == 0 || got > 20_000 {
		t.Errorf("%d bytes kept of the stalled channel", got)
	}
	if server.streams[0].ch.Pending() != 80_000 {
		t.Errorf("%d wait at the sender", server.streams[0].ch.Pending())
	}
	for i, s := range client.streams[1:] {
		if len(s.got) != 100_000 || server.streams[1+i].ch.Pending() != 0 {
			t.Errorf("channel %d: %d came", 1+i, len(s.got))
		}
	}
	client.streams[0].stalled = false
	client.streams[0].Readable()
	flow(t, client, server)
	if len(client.streams[0].got) != 100_000 || server.streams[0].flushed == 0 {
		t.Errorf("after the stall: %d came, flushed %d times", len(client.streams[0].got), server.streams[0].flushed)
	}
	room := server.streams[1].ch.sendWindow
	adjust := channel.Append(
		nil,
		&channel.Message{Type: channel.WindowAdjust, Channel: uint32(server.streams[1].ch.localID), Window: 5},
	)
	if err := server.c.Feed(adjust); err != nil || server.streams[1].ch.sendWindow != room+5 {
		t.Errorf("%v, a window of %d and 5 more is %d", err, room, server.streams[1].ch.sendWindow)
	}
	// With the wire full, one packet each.
	server.wire.Write(make([]byte, sendHighWaterMark))
	for _, s := range server.streams {
		s.ch.Write(bytes.Repeat([]byte("y"), 3*turnBytes))
	}
	server.wire.kept = nil
	server.c.Flushed()
	for b, last := server.wire.kept, uint32(0); len(b) > 0; {
		payload, n, err := channel.SplitPacket(b)
		var m channel.Message
		if err != nil || channel.Parse(payload, &m) != nil {
			t.Fatal(err)
		}
		if m.Channel == last {
			t.Errorf("channel %d had two turns in a row", last)
		}
		if b, last = b[n:], m.Channel; len(m.Data) > turnBytes {
			t.Errorf("a turn of %d", len(m.Data))
		}
	}
}

// The less there is left of the budget, the smaller the windows; none is smaller than the floor, and all is given back.
func TestBudget(t *testing.T) {
	client, server := couple(10_000, 1000)
	server.c.cfg.Budget.Limit = 50_000
	openAll(t, client, server, 300)
	flow(t, client, server)
	if p := server.c.cfg.Budget.Promised(); p > 50_000+300*64 {
		t.Errorf("%d promised", p)
	}
	if first, last := client.streams[0].ch.sendWindow, client.streams[299].ch.sendWindow; first < 3000 || last != 64 {
		t.Errorf("windows of %d and %d", first, last)
	}
	server.streams[0].stalled = true
	client.streams[0].write(make([]byte, 3000))
	flow(t, client, server)
	client.c.Disconnect(11, "enough")
	_ = server.c.Feed(client.wire.take(1 << 20))
	server.c.Lost(true)
	client.c.Lost(true)
	server.streams[0].ch.Close()
	for _, e := range []*end{client, server} {
		if p := e.c.cfg.Budget.Promised(); p != 0 || e.c.Len() != 0 {
			t.Errorf("%s: %d promised, %d channels", e.name, p, e.c.Len())
		}
	}
}

// A peer that asks and does not read what it is answered is not answered for ever.
func TestAsksAndDoesNotRead(t *testing.T) {
	client, server := couple(1000, 2)
	flow(t, client, server)
	ask := channel.Append(nil, &channel.Message{Type: channel.GlobalRequest, Name: []byte("x"), WantReply: true})
	for range 100_000 {
		if err := server.c.Feed(ask); err != nil {
			if server.wire.Pending() > maxUnreadReplies+1000 {
				t.Errorf("%d bytes kept", server.wire.Pending())
			}
			return
		}
	}
	t.Error("never ends")
}

// run drives two sides with whatever rapid draws; what was written on a channel comes whole and in order, as far as
// the other side reads it, and nothing is kept once all has ended.
type run struct {
	client, server *end
}

func (m *run) pick(t *rapid.T, of []*stream) *stream {
	if len(of) == 0 {
		t.Skip()
	}
	return rapid.SampledFrom(of).Draw(t, "channel")
}

func (m *run) all() []*stream {
	return append(append([]*stream(nil), m.client.streams...), m.server.streams...)
}

func (m *run) pass(t *rapid.T, from, to *end) {
	n := rapid.IntRange(1, 5000).Draw(t, "bytes")
	if err := to.c.Feed(from.wire.take(n)); err != nil {
		t.Fatalf("%s: %v", to.name, err)
	}
	if from.wire.Pending() == 0 {
		from.c.Flushed()
	}
}

// live tells that a channel may still be used by its owner.
func (s *stream) live() bool {
	return s.ch != nil && s.ch.owner != nil && s.ch.state == established && !s.ch.eof
}

func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &run{}
		m.client, m.server = couple(uint32(rapid.IntRange(1, 3000).Draw(t, "window")), 30)
		openAll(t, m.client, m.server, 3)
		actions := m.actions()
		for range 6 { // a run of rapid's own length is over before windows have come round
			t.Repeat(actions)
		}
		for _, s := range m.all() {
			s.stalled = false
			s.Readable()
		}
		flow(t, m.client, m.server)
		m.checkArrived(t)
		for _, s := range m.all() {
			s.ch.Close()
		}
		flow(t, m.client, m.server)
		for _, e := range []*end{m.client, m.server} {
			if p := e.c.cfg.Budget.Promised(); p != 0 || e.c.Len() != 0 {
				t.Fatalf("%s: %d promised, %d channels left", e.name, p, e.c.Len())
			}
		}
	})
}

// actions are what may happen to the two sides, by name; the one without a name is checked after each.
func (m *run) actions() map[string]func(*rapid.T) {
	mark := byte(0) // of the bytes of one write
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
			if !s.live() {
				t.Skip()
			}
			mark++
			s.write(bytes.Repeat([]byte{mark}, rapid.IntRange(1, 4000).Draw(t, "n")))
		},
		"stall": func(t *rapid.T) { m.pick(t, m.all()).stalled = true },
		"read":  func(t *rapid.T) { s := m.pick(t, m.all()); s.stalled = false; s.Readable() },
		"eof": func(t *rapid.T) {
			s := m.pick(t, m.all())
			if s.live() {
				s.ch.CloseWrite()
			}
		},
		"end": func(t *rapid.T) {
			s := m.pick(t, m.all())
			if s.ch.state == established && s.ch.owner != nil {
				s.ch.End("", nil)
			}
		},
		"close": func(t *rapid.T) { m.pick(t, m.all()).ch.Close() },
		"ping":  func(t *rapid.T) { m.client.c.Ping() },
		"": func(t *rapid.T) {
			for _, e := range []*end{m.client, m.server} {
				if e.c.cfg.Budget.Promised() < 0 {
					t.Fatalf("%s: promised %d", e.name, e.c.cfg.Budget.Promised())
				}
			}
		},
	}
}

// checkArrived holds, of each channel and way, what came against what was written. Nothing may be under way.
func (m *run) checkArrived(t *rapid.T) {
	pairs := map[string]*stream{}
	for _, s := range m.server.streams {
		pairs[fmt.Sprint(s.ch.peerID)] = s
	}
	for _, a := range m.client.streams {
		if b := pairs[fmt.Sprint(uint32(a.ch.localID))]; b != nil {
			checkWay(t, a, b, a.ch.state == established)
			checkWay(t, b, a, a.ch.state == established)
		}
	}
}

// checkWay holds what came to one side of a channel against what the other wrote: a part from its beginning, and
// all of it where the channel stands on both sides.
func checkWay(t *rapid.T, from, to *stream, stands bool) {
	if !bytes.HasPrefix(from.sent, to.got) {
		t.Fatalf("%s sent %d bytes, and %d others came", from.e.name, len(from.sent), len(to.got))
	}
	open := stands && from.ch.owner != nil && to.ch.owner != nil && !from.ch.sentClose && !to.ch.sentClose
	if open && len(from.sent) != len(to.got) {
		t.Fatalf("%s sent %d bytes, %d came: a window was not given back", from.e.name, len(from.sent), len(to.got))
	}
}

// Data that passes costs no allocation.
func TestDataAllocatesNothing(t *testing.T) {
	client, server := couple(1<<20, 10)
	flow(t, client, server)
	a := client.open("OPEN")
	flow(t, client, server)
	server.streams[0].ch.Confirm(nil)
	flow(t, client, server)
	sink := &sinkOwner{ch: server.streams[0].ch}
	server.streams[0].ch.Own(sink)
	line := []byte("#17 0123456789abcdef0123456789abcdef\r\n")
	client.wire.kept = make([]byte, 0, 1<<20)
	server.wire.kept = make([]byte, 0, 1<<20)
	if n := testing.AllocsPerRun(1000, func() {
		a.ch.Write(line)
		if err := server.c.Feed(client.wire.kept); err != nil {
			t.Fatal(err)
		}
		client.wire.kept = client.wire.kept[:0]
	}); n > 0 {
		t.Errorf("%v allocations a line", n)
	}
}

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

// Whatever a peer sends, a server ends or goes on; it does not fall over.
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
		e := &end{wire: &pipe{}}
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
		_ = e.c.Feed(in)
		for i, s := range e.streams {
			if i%2 == 0 {
				s.ch.Confirm(nil)
				s.ch.Write([]byte("x"))
			}
		}
		_ = e.c.Feed(in)
		e.c.Lost(false)
		for _, s := range e.streams {
			s.ch.Close()
		}
		if e.c.Len() != 0 || e.c.cfg.Budget.Promised() != 0 {
			t.Errorf("%d channels left, %d promised", e.c.Len(), e.c.cfg.Budget.Promised())
		}
	})
}
