package proxy

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"spurspread/decision"
	"spurspread/decision/monotime"
	"spurspread/decision/outcome"
	"spurspread/decision/upstreampool"
	"spurspread/lab/sshchan"
)

// enableChannels turns on multiplexed connections to clients and servers.
func enableChannels(cfg *Config) {
	cfg.Channels = &ChannelConfig{
		AcceptDownstream: true, UseUpstream: true, Version: "test", MaxChannels: 100, OpensPerSecond: 1000,
		Window: 32 << 10, SetupTimeout: 2 * monotime.Second, IdleTimeout: 30 * monotime.Second,
		Pool: upstreampool.Limits{
			ChannelsPerConnection: 50,
			ConnectionsPerServer:  2,
			Connections:           10,
			IdleTimeout:           10 * monotime.Second,
			PlainTTL:              600 * monotime.Second,
		},
	}
}

// enableDownstreamChannels turns on multiplexed connections to clients only.
func enableDownstreamChannels(cfg *Config) {
	enableChannels(cfg)
	cfg.Channels.UseUpstream = false
}

// clientWindow is the window of a client's channels, in bytes.
const clientWindow = 32 << 10

// connectMux opens a client's multiplexed connection.
func (h *harness) connectMux() *sshchan.Conn {
	h.t.Helper()
	raw, err := net.Dial("tcp", h.proxy.Addr().String())
	h.check(err)
	h.check(raw.SetDeadline(time.Now().Add(testTimeout)))
	c, err := sshchan.Client(raw, clientWindow)
	h.check(err)
	h.t.Cleanup(func() { _ = c.Close() })
	return c
}

// acceptMux accepts the next connection at server i, which must be a multiplexed one.
func (h *harness) acceptMux(i int) *sshchan.Conn {
	h.t.Helper()
	p := h.acceptUpstream(i)
	if got := p.readLine(); got != "SSH-2.0-spurspread_test\r\n" {
		h.t.Fatalf("got identification line %q, want SSH-2.0-spurspread_test", got)
	}
	c, err := sshchan.Server(p.TCPConn, p.rd, 32<<10)
	h.check(err)
	return c
}

// lineStream is the test's end of a request: a plain connection, or a channel of a multiplexed one.
type lineStream struct {
	h     *harness
	ch    *sshchan.Channel // nil for a plain connection
	plain *peer            // nil for a channel
	rd    *bufio.Reader    // of ch
}

// channelStream returns the channel as a lineStream.
func (h *harness) channelStream(ch *sshchan.Channel) *lineStream {
	return &lineStream{h: h, ch: ch, rd: bufio.NewReader(ch)}
}

func (s *lineStream) send(text string) {
	s.h.t.Helper()
	if s.plain != nil {
		s.plain.send(text)
		return
	}
	_, err := s.ch.Write([]byte(text))
	s.h.check(err)
}

func (s *lineStream) expect(text string) {
	s.h.t.Helper()
	rd := s.rd
	if s.plain != nil {
		rd = s.plain.rd
	}
	if got, err := rd.ReadString('\n'); got != text {
		s.h.t.Fatalf("got %q (%v), want %q", got, err, text)
	}
}

// expectEnd waits for the end: EOF if eof is true, else a reset.
func (s *lineStream) expectEnd(eof bool) {
	s.h.t.Helper()
	if s.plain != nil {
		s.plain.expectEnd(eof)
		return
	}
	if b, err := s.rd.ReadByte(); errors.Is(err, io.EOF) != eof || err == nil {
		s.h.t.Fatalf("channel ended with byte %q, %v, want EOF: %v", b, err, eof)
	}
}

// expectMove waits until the client is moved and returns the token; empty for none.
func (s *lineStream) expectMove() string {
	s.h.t.Helper()
	if s.plain != nil {
		got := strings.TrimSuffix(s.plain.readLine(), "\r\n")
		if !strings.HasPrefix(got, "MOVE") {
			s.h.t.Fatalf("got %q, want MOVE", got)
		}
		s.plain.expectEnd(true)
		return strings.TrimPrefix(strings.TrimPrefix(got, "MOVE"), " ")
	}
	s.expectEnd(true)
	token, moved := s.ch.Moved()
	if !moved {
		s.h.t.Fatal("channel ended without MOVE")
	}
	return token
}

func (s *lineStream) closeWrite() {
	if s.plain != nil {
		s.h.check(s.plain.CloseWrite())
		return
	}
	s.h.check(s.ch.CloseWrite())
}

func (s *lineStream) close() {
	if s.plain != nil {
		s.h.check(s.plain.Close())
		return
	}
	s.h.check(s.ch.Close())
}

func (s *lineStream) reset() {
	if s.plain != nil {
		s.h.check(s.plain.SetLinger(0))
		s.h.check(s.plain.Close())
		return
	}
	s.h.check(s.ch.Reset())
}

// expectOpenReply waits for the reply to a channel's open request, which must have these values; code is 0 if up is
// true.
func (h *harness) expectOpenReply(ch *sshchan.Channel, up bool, code uint32, text string) {
	h.t.Helper()
	select {
	case a := <-ch.Answered():
		if a.Up != up || a.Code != code || a.Line != text {
			h.t.Fatalf("open answered with %+v, want up %v, code %d, line %q", a, up, code, text)
		}
	case <-time.After(testTimeout):
		h.t.Fatal("open request was not answered")
	}
}

func trimLineEnd(text string) string { return strings.TrimSuffix(text, "\r\n") }

// establishStreams establishes a request at server 0 and returns both ends. Each side is a channel or a plain
// connection.
func (h *harness) establishStreams(clientMux, serverMux bool) (client, server *lineStream) {
	h.t.Helper()
	if clientMux {
		c := h.connectMux()
		ch, err := c.Open(trimLineEnd(openLine))
		h.check(err)
		client = h.channelStream(ch)
	} else {
		client = &lineStream{h: h, plain: h.connect(openLine)}
	}
	if serverMux {
		ch := h.acceptMux(0).Accept()
		if !strings.HasPrefix(ch.Line, openLine[:19]) {
			h.t.Fatalf("server got %q, want the request line", ch.Line)
		}
		h.check(ch.Confirm("UP r1 from=0"))
		server = h.channelStream(ch)
	} else {
		p := h.acceptUpstream(0)
		if got := p.readLine(); strings.HasPrefix(got, "SSH-") { // asks whether the server supports channels
			h.check(p.Close())
			p = h.acceptUpstream(0)
			p.readLine()
		}
		p.send("UP r1 from=0\r\n")
		server = &lineStream{h: h, plain: p}
	}
	if clientMux {
		h.expectOpenReply(client.ch, true, 0, "UP r1 from=0")
	} else {
		client.expect("UP r1 from=0\r\n")
	}
	return client, server
}

// Plain connections and channels can be combined in all four ways: lines, closes, resets and moves are forwarded, and
// the decision core gets the same outcomes.
func TestPlainAndChannelPairs(t *testing.T) {
	for name, c := range map[string]struct {
		end  func(client, server *lineStream)
		want outcome.Status
	}{
		"server closes": {func(c, s *lineStream) { s.close(); c.expectEnd(true) }, outcome.Reset},
		"server resets": {func(c, s *lineStream) { s.reset(); c.expectEnd(false) }, outcome.Reset},
		"client resets": {func(c, s *lineStream) { c.reset(); s.expectEnd(false) }, outcome.Cancelled},
		"client half-closes": {func(c, s *lineStream) {
			c.closeWrite()
			s.expectEnd(true)
			s.send("more\r\nBYE\r\n")
			s.close()
			c.expect("more\r\n")
			c.expect("BYE\r\n")
			c.expectEnd(true)
		}, outcome.OK},
		"both close at once": {func(c, s *lineStream) { c.close(); s.close() }, 255},
		"core moves": {func(c, s *lineStream) {
			c.h.onLoop(func() { c.h.proxy.apply(decision.MoveConnection{ID: uint32(firstRequest(c.h).ref)}) })
			if token := c.expectMove(); token != "" {
				c.h.t.Errorf("moved with token %q, want none", token)
			}
		}, outcome.Cancelled},
		"server moves": {func(c, s *lineStream) {
			if s.ch != nil {
				c.h.check(s.ch.Move(""))
			} else {
				s.send("MOVE\r\n")
				s.close()
			}
			c.expectMove()
		}, outcome.Cancelled},
	} {
		for _, clientMux := range []bool{false, true} {
			for _, serverMux := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, client %v, server %v", name, clientMux, serverMux), func(t *testing.T) {
					h := newHarness(t, 1, sendToFirst, enableChannels)
					client, server := h.establishStreams(clientMux, serverMux)
					client.send("T 1\r\n")
					server.expect("T 1\r\n")
					server.send("LOAD 3\r\nOK 1\r\n")
					client.expect("LOAD 3\r\n")
					client.expect("OK 1\r\n")
					c.end(client, server)
					if o := await[decision.AttemptEnded](h); !o.RequestClosed || c.want != 255 && o.Status != c.want {
						t.Errorf("got %+v, want status %d of a closed request", o, c.want)
					}
					for {
						left := 0
						h.onLoop(func() { left = h.proxy.requests.len() })
						if left == 0 {
							break
						}
					}
				})
			}
		}
	}
}

// Resume tokens work over channels as over plain connections.
func TestTokensOverChannels(t *testing.T) {
	h := newResumeHarness(t, enableChannels)
	c := h.connectMux()
	ch, err := c.Open(trimLineEnd(tokenRequestLine))
	h.check(err)
	upstream := h.acceptMux(0)
	s := upstream.Accept()
	h.check(s.Confirm("UP r1 from=0"))
	h.expectOpenReply(ch, true, 0, "UP r1 from=0")
	server, client := h.channelStream(s), h.channelStream(ch)
	server.send("#1 a\r\n#2 b\r\n#3 half a mes")
	client.expect("#1 a\r\n")
	client.expect("#2 b\r\n")
	h.listAsDraining(0)
	tok := client.expectMove()
	if tok == "" {
		t.Fatal("client was moved without a token, want one")
	}
	again, err := c.Open(trimLineEnd(resumeLine + tok))
	h.check(err)
	next := h.acceptMux(1).Accept()
	if !strings.HasSuffix(next.Line, ",cur=2,tok="+tok) {
		t.Fatalf("server 1 got %q, want the cursor and the token at its end", next.Line)
	}
	h.check(next.Confirm("UP r2 from=2"))
	h.expectOpenReply(again, true, 0, "UP r2 from=2")
	twice, err := c.Open(trimLineEnd(strings.Replace(resumeLine, "OPEN 2", "OPEN 3", 1) + tok))
	h.check(err)
	h.expectOpenReply(twice, false, sshchan.ConnectFailed, "STALE taken")
	if upstream.Err() != nil {
		t.Error("upstream connection ended together with one of its channels:", upstream.Err())
	}
}

// An open request of a channel that can't be served is refused with the code and the text of its reason.
func TestChannelOpenReplies(t *testing.T) {
	h := newHarness(t, 1, func(ev decision.Event) []decision.Action {
		switch ev := ev.(type) {
		case decision.Request:
			switch ev.Key {
			case 1:
				return []decision.Action{decision.Reject{ID: ev.ID, RetryAfter: 70_000}}
			case 2:
				return []decision.Action{decision.Fail{ID: ev.ID}}
			}
			return []decision.Action{decision.StartAttempt{ID: ev.ID, Timeout: longTimeout}}
		case decision.AttemptEnded:
			return []decision.Action{decision.Fail{ID: ev.ID}}
		}
		return nil
	}, func(cfg *Config) {
		enableChannels(cfg)
		cfg.Channels.MaxChannels, cfg.Channels.OpensPerSecond = 3, 8
		cfg.Settings.Decision.MaxRetryAfter = 150_000 // caps every randomized delay
	})
	c := h.connectMux()
	id := 0
	open := func(format string) *sshchan.Channel {
		id++
		ch, err := c.Open(strings.Replace(format, "ID", fmt.Sprint("a", id), 1))
		h.check(err)
		return ch
	}
	h.expectOpenReply(open("OPEN ID 1 c=sync,d=5000"), false, sshchan.ResourceShortage, "BUSY 70")
	h.expectOpenReply(open("OPEN ID 2 c=sync,d=5000"), false, sshchan.ConnectFailed, "ERR")
	h.expectOpenReply(open("OPEN ID 3 c=nobody,d=5000"), false, sshchan.ConnectFailed, "ERR")
	h.expectOpenReply(open("PING"), false, 1, "ERR")
	h.expectOpenReply(open("OPEN ID 3 c=sync,d=5000\r\nT 1"), false, 1, "ERR")
	served := open("OPEN ID 3 c=sync,d=5000")
	upstream := h.acceptMux(0)
	server := upstream.Accept()
	h.check(server.Confirm("UP r"))
	h.expectOpenReply(served, true, 0, "UP r")
	busy := open("OPEN ID 4 c=sync,d=5000")
	h.check(upstream.Accept().Refuse(sshchan.ResourceShortage, "BUSY"))
	// The test's core fails a request whose attempt has ended.
	h.expectOpenReply(busy, false, sshchan.ConnectFailed, "ERR")
	open("OPEN ID 5 c=sync,d=5000")
	// Eight opens have emptied the token bucket. Once it holds a token again, one more open is admitted, and then three
	// channels are open, which is MaxChannels.
	h.expectOpenReply(open("OPEN ID 6 c=sync,d=5000"), false, sshchan.ResourceShortage, "BUSY 150")
	if got := await[decision.AttemptEnded](h); got.Status != outcome.ServerFull {
		t.Errorf("got %+v, want status %d", got, outcome.ServerFull)
	}
}

// A multiplexed connection that breaks the protocol is ended with DISCONNECT and the reason, or just closed, and other
// connections are not affected.
func TestBadChannelClients(t *testing.T) {
	h := newHarness(
		t,
		1,
		sendToFirst,
		func(cfg *Config) { enableChannels(cfg); cfg.Channels.SetupTimeout = 100 * monotime.Millisecond },
	)
	client, server := h.establishStreams(true, true)
	expectDisconnect := func(what string, c *sshchan.Conn, want string) {
		t.Helper()
		if ch := c.Accept(); ch != nil || !strings.Contains(c.DisconnectReason, want) {
			t.Errorf("%s: disconnected with %q, want %q", what, c.DisconnectReason, want)
		}
	}
	for what, b := range map[string][]byte{
		"a plain line":    []byte("OPEN 5 6 c=sync,d=5\r\n"),
		"length 0":        make([]byte, 8),
		"a huge length":   {0x7f, 0xff, 0xff, 0xff, 4},
		"endless garbage": bytes.Repeat([]byte{0xee}, 100_000),
	} {
		c := h.connectMux()
		_ = c.WriteRaw(b) // fails if the proxy closes the connection during the write
		expectDisconnect(what, c, "2 packet length is not one that may be")
	}
	c := h.connectMux()
	h.check(c.WritePayload([]byte{94, 0, 0, 0, 9, 0, 0, 0, 1, 'x'}))
	expectDisconnect("data on no channel", c, "2 message 94 for channel 9, which there is not")
	c = h.connectMux()
	h.check(c.WritePayload([]byte{21})) // NEWKEYS
	h.check(c.WritePayload([]byte{200, 1, 2, 3}))
	ch, err := c.Open("OPEN 77 6 c=sync,d=5000")
	h.check(err)
	_ = ch
	silent := h.connect("SSH-2.0-x\r\n")
	if got := silent.readLine(); got != "SSH-2.0-spurspread_test\r\n" {
		t.Errorf("got identification line %q, want SSH-2.0-spurspread_test", got)
	}
	if rest, err := io.ReadAll(silent.rd); err != nil ||
		!bytes.Contains(rest, []byte("the service was not asked for in time")) {
		t.Errorf("got %q, %v, want a disconnect because no service was requested", rest, err)
	}
	for _, bad := range []string{"SSH-1.5-old\r\n", "SSH-2.0-" + strings.Repeat("x", 300) + "\r\n"} {
		p := h.connect(bad)
		if rest, _ := io.ReadAll(p.rd); len(rest) > 0 {
			t.Errorf("identification %q answered with %q, want nothing", bad[:10], rest)
		}
	}
	client.send("T 1\r\n")
	server.expect("T 1\r\n")
	server.send("OK\r\n")
	client.expect("OK\r\n")
	for until := time.Now().Add(testTimeout); c.Unimplemented() != 2; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("%d messages answered as unknown, want 2", c.Unimplemented())
		}
	}
}

// Without channels in the configuration, a client's SSH identification line is answered like any malformed first line.
func TestChannelsOff(t *testing.T) {
	h := newHarness(t, 1, sendToFirst, nil)
	client := h.connect("SSH-2.0-x\r\n")
	client.expect("ERR\r\n")
	client.expectEnd(true)
}
