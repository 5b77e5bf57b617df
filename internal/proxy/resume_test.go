package proxy

import (
	"strings"
	"testing"

	"spurspread/decision"
	"spurspread/decision/monotime"
	"spurspread/decision/outcome"
	"spurspread/internal/lineproto"
	"spurspread/internal/token"
)

// testKey returns a secret that begins with b and is zero otherwise.
func testKey(b byte) (k [32]byte) {
	k[0] = b
	return k
}

// newRing returns a key ring of these keys.
func newRing(t *testing.T, keys ...token.Key) *token.Keyring {
	t.Helper()
	r, err := token.NewKeyring(keys)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// sendOrMove starts an attempt at the pinned server, or at server 0 without one; rejects a request whose attempt
// failed; and moves clients to server 1, or to server 0 if they may stay there.
func sendOrMove(ev decision.Event) []decision.Action {
	switch ev := ev.(type) {
	case decision.Request:
		return []decision.Action{decision.StartAttempt{ID: ev.ID, Timeout: longTimeout, Server: ev.PinnedServer}}
	case decision.AttemptEnded:
		if !ev.RequestClosed && ev.Status != outcome.OK {
			return []decision.Action{decision.Reject{ID: ev.ID, RetryAfter: 70 * 1000}}
		}
	case decision.MoveRequested:
		next := uint32(1)
		if ev.SameServerAllowed {
			next = 0
		}
		return []decision.Action{decision.MoveConnection{ID: ev.ID, NextServer: next, HasNextServer: true}}
	}
	return nil
}

// newResumeHarness starts a proxy with two servers, s0 and s1, and resumption turned on.
func newResumeHarness(t *testing.T, change func(*Config)) *harness {
	t.Helper()
	return newHarness(t, 2, sendOrMove, func(cfg *Config) {
		cfg.Resume = &ResumeConfig{
			KeyRing:       newRing(t, token.Key{Secret: testKey(1), Primary: true}),
			TokenLifetime: 60_000,
			ClockSkew:     2000,
			MaxClaims:     100,
			DrainSpread:   100 * monotime.Millisecond,
		}
		if change != nil {
			change(cfg)
		}
	})
}

// tokenRequestLine asks for a token; resumeLine, with a token and a line end appended, resumes the same stream.
const (
	tokenRequestLine = "OPEN 1 7f c=sync,d=60000,g=5c,owner=o,tok=ask\r\n"
	resumeLine       = "OPEN 2 7f c=sync,d=60000,g=5c,owner=o,again=1,cur=2,tok="
)

// establishResumable establishes a resumable stream at server 0 and forwards two messages to the client.
func (h *harness) establishResumable() (client, server *peer) {
	h.t.Helper()
	client = h.connect(tokenRequestLine)
	server = h.acceptUpstream(0)
	if got := server.readLine(); !strings.HasSuffix(got, ",tok=ask\r\n") {
		h.t.Fatalf("server got %q, want the client's request for a token", got)
	}
	server.send("UP r1 from=0\r\n#1 a\r\nLOAD 3\r\n")
	client.expect("UP r1 from=0\r\n")
	client.expect("#1 a\r\n")
	client.expect("LOAD 3\r\n")
	server.send("#2 b\r\n")
	client.expect("#2 b\r\n")
	return client, server
}

// expectMove reads MOVE with a token and then EOF, and returns the token.
func (p *peer) expectMove() string {
	p.h.t.Helper()
	got := p.readLine()
	tok, ok := strings.CutPrefix(strings.TrimSuffix(got, "\r\n"), "MOVE ")
	if !ok || len(tok) > token.MaxText {
		p.h.t.Fatalf("got %q, want MOVE with a token of at most %d bytes", got, token.MaxText)
	}
	p.expectEnd(true)
	return tok
}

// applyList applies an update of the server list with these entries.
func (h *harness) applyList(entries ...string) {
	h.t.Helper()
	h.onLoop(func() {
		c, err := h.proxy.servers.list.Apply(
			[]byte(`{"generation":9,"instances":[` + strings.Join(entries, ",") + `]}`),
		)
		if err == nil {
			h.proxy.servers.ListUpdated(c)
		}
	})
}

// listAsDraining lists server i as draining.
func (h *harness) listAsDraining(i int) {
	h.applyList(listEntry([]string{"s0", "s1"}[i], h.servers[i].Addr().String(), "Terminating"))
}

// However the server or the balancer ends a connection, a client that takes tokens is moved with a token, and can
// resume its stream through another balancer at the server that the token names.
func TestStreamResumes(t *testing.T) {
	for name, c := range map[string]struct {
		end func(h *harness, server *peer)
		to  int
	}{
		"the server is listed as draining": {func(h *harness, _ *peer) { h.listAsDraining(0) }, 1},
		"the server moves its clients": {
			func(_ *harness, s *peer) { s.send("MOVE\r\n"); _ = s.Close() },
			1,
		},
		"the server dies": {
			func(_ *harness, s *peer) { _ = s.SetLinger(0); _ = s.Close() },
			1,
		},
		"the server closes": {func(_ *harness, s *peer) { _ = s.Close() }, 1},
		"the server dies in the middle of a message": {
			func(_ *harness, s *peer) { s.send("#3 half a mes"); _ = s.Close() },
			1,
		},
		"the server is unresponsive": {func(h *harness, _ *peer) {
			h.onLoop(func() { r := firstRequest(h); r.lastReply = 1; r.awaitReply(1); h.proxy.latencies.sweep() })
		}, 1},
		"the balancer stops": {func(h *harness, _ *peer) { h.loop.Post(h.proxy.Drain) }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			h, other := newResumeHarness(t, nil), newResumeHarness(t, nil)
			client, server := h.establishResumable()
			c.end(h, server)
			tok := client.expectMove()
			// The other balancer shares only the key and the server list with the first.
			other.applyList(
				listEntry("s0", h.servers[0].Addr().String(), "Ready"),
				listEntry("s1", h.servers[1].Addr().String(), "Ready"),
			)
			again := other.connect(resumeLine + tok + "\r\n")
			next := h.acceptUpstream(c.to)
			if got := next.readLine(); !strings.HasPrefix(got, "OPEN 2 7f c=sync,d=") ||
				!strings.HasSuffix(got, ",g=5c,owner=o,again=1,cur=2,tok="+tok+"\r\n") {
				t.Fatalf("server got %q, want the request line with cursor 2 and the token", got)
			}
			if ev := await[decision.Request](other); !ev.Pinned || !ev.Resumable || ev.PinnedServer != uint32(c.to) ||
				!ev.Reconnected {
				t.Errorf("got %+v, want a reconnected, resumable request pinned to server %d", ev, c.to)
			}
			next.send("UP r2 from=2\r\n#3 c\r\n")
			again.expect("UP r2 from=2\r\n")
			again.expect("#3 c\r\n")
			other.listAsDraining(c.to)
			again.expectMove() // the resumed stream can be moved again
		})
	}
}

// If the site file turns resumption off, or the client does not ask for a token, all lines are forwarded unchanged and
// MOVE carries no token.
func TestTokensOff(t *testing.T) {
	off := func(cfg *Config) { cfg.Resume = nil }
	for name, c := range map[string]struct {
		change func(*Config)
		first  string
	}{
		"not in the site file": {off, tokenRequestLine}, "not asked for": {nil, openLine},
		"odd names, not in the site file": {off, "OPEN 1 7f c=sync,d=60000,tok=,cur=x,owner=\r\n"},
		"a token, not in the site file":   {off, resumeLine + "abcd\r\n"},
	} {
		h := newResumeHarness(t, c.change)
		client := h.connect(c.first)
		server := h.acceptUpstream(0)
		if got := server.readLine(); got[:19] != c.first[:19] ||
			got[strings.Index(got, ",d=")+8:] != c.first[strings.Index(c.first, ",d=")+8:] {
			t.Errorf("%s: server got %q, want %q but for the deadline", name, got, c.first)
		}
		server.send("UP r1 from=0\r\n#1 a\r\nhalf a")
		client.expect("UP r1 from=0\r\n")
		client.expect("#1 a\r\n")
		if got, err := client.rd.Peek(6); string(got) != "half a" || err != nil {
			t.Errorf("%s: client got %q, %v, want the incomplete line", name, got, err)
		}
		h.listAsDraining(0)
		server.send(" line\r\nMOVE\r\n")
		h.check(server.Close())
		client.expect("half a line\r\n")
		client.expect("MOVE\r\n")
		client.expectEnd(true)
	}
}

// seal returns a token for resumeLine, sealed as a balancer would; change, if not nil, may alter it before.
func (h *harness) seal(ring *token.Keyring, change func(*token.Token)) string {
	t := token.Token{Stream: 3, Key: 0x7f, Group: 0x5c, LastSequence: 2, Class: []byte("sync"), Server: []byte("s1")}
	h.onLoop(func() { t.IssuedAt = int64(h.loop.Now() / monotime.Millisecond) })
	t.ExpiresAt = t.IssuedAt + 60_000
	first, err := lineproto.ParseOpen([]byte(strings.TrimSuffix(tokenRequestLine, "\r\n")))
	h.check(err)
	t.Tenant = first.Tenant
	if change != nil {
		change(&t)
	}
	return string(ring.Seal(nil, &t))
}

// A token that can't be accepted is answered at once with STALE and the reason; neither the decision core nor any
// server gets the request.
func TestTokenRejected(t *testing.T) {
	h := newResumeHarness(t, nil)
	ring := newRing(t, token.Key{Secret: testKey(1), Primary: true})
	with := func(change func(*token.Token)) string { return resumeLine + h.seal(ring, change) }
	for name, c := range map[string]struct{ first, why string }{
		"garbage":         {resumeLine + "garbage", "malformed"},
		"altered":         {strings.Replace(with(nil), "tok=AQ", "tok=Ag", 1), "malformed"},
		"cut off":         {with(nil)[:len(with(nil))-4], "forged"},
		"withdrawn key":   {resumeLine + h.seal(newRing(t, token.Key{Secret: testKey(9), Primary: true}), nil), "key"},
		"expired":         {with(func(t *token.Token) { t.ExpiresAt = t.IssuedAt }), "expired"},
		"from the future": {with(func(t *token.Token) { t.IssuedAt += 10_000 }), "early"},
		"other tenant":    {with(func(t *token.Token) { t.Tenant++ }), "tenant"},
		"other class":     {with(func(t *token.Token) { t.Class = []byte("watch") }), "stream"},
		"other key":       {with(func(t *token.Token) { t.Key++ }), "stream"},
		"other group":     {with(func(t *token.Token) { t.Group++ }), "stream"},
		"cursor ahead":    {with(func(t *token.Token) { t.LastSequence = 1 }), "ahead"},
		"unlisted":        {with(func(t *token.Token) { t.Server = []byte("s9") }), "gone"},
		"started since":   {with(func(t *token.Token) { t.ServerStarted = 5 }), "gone"},
		"no cursor":       {strings.Replace(with(nil), "cur=2,", "", 1), "malformed"},
		"a bad cursor":    {strings.Replace(with(nil), "cur=2,", "cur=02,", 1), "malformed"},
		"names a server":  {strings.Replace(with(nil), "cur=2,", "cur=2,at=s1,", 1), "malformed"},
	} {
		// Each request needs a new id.
		client := h.connect(strings.Replace(c.first, "OPEN 2", "OPEN "+strings.ReplaceAll(name, " ", "_"), 1) + "\r\n")
		if got := client.readLine(); got != "STALE "+c.why+"\r\n" {
			t.Errorf("%s: got %q, want STALE %s", name, got, c.why)
		}
		client.expectEnd(true)
	}
	h.listAsDraining(1)
	late := h.connect(with(nil) + "\r\n")
	late.expect("STALE gone\r\n")
	if len(h.events) > 0 {
		t.Errorf("decision core got %+v, want nothing", <-h.events)
	}
	rejected := 0
	h.onLoop(func() {
		for _, n := range h.proxy.resumption.tokens.Verdicts {
			rejected += n
		}
	})
	if rejected != 17 {
		t.Errorf("%d rejections counted, want 17", rejected)
	}
}

// How an attempt with a token ends decides whether the token can be used once more. first is the answer to the client,
// again the answer to a later request with the same token; again is empty if the token is still valid.
func TestTokenAfterAttempt(t *testing.T) {
	for name, c := range map[string]struct {
		answer       func(server *peer)
		first, again string
	}{
		"established": {func(s *peer) { s.send("UP r from=2\r\n") }, "UP r from=2\r\n", "STALE taken\r\n"},
		"full":        {func(s *peer) { s.send("BUSY\r\n"); _ = s.Close() }, "BUSY 70\r\n", ""},
		"server lacks messages": {
			func(s *peer) { s.send("STALE gap\r\n"); _ = s.Close() },
			"STALE gap\r\n",
			"STALE spent\r\n",
		},
		"taken by another client": {func(s *peer) { s.send("STALE taken\r\n") }, "STALE taken\r\n", "STALE spent\r\n"},
		"resets": {
			func(s *peer) { _ = s.SetLinger(0); _ = s.Close() },
			"STALE unsure\r\n",
			"STALE spent\r\n",
		},
		"error": {func(s *peer) { s.send("ERR\r\n") }, "STALE unsure\r\n", "STALE spent\r\n"},
		"unknown reason": {
			func(s *peer) { s.send("STALE whatever\r\n") },
			"STALE unsure\r\n",
			"STALE spent\r\n",
		},
		"server without tokens": {func(s *peer) { s.send("UP r\r\n") }, "STALE unsupported\r\n", "STALE spent\r\n"},
		"other sequence number": {
			func(s *peer) { s.send("UP r from=7\r\n") },
			"STALE unsupported\r\n",
			"STALE spent\r\n",
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newResumeHarness(t, nil)
			tok := h.seal(newRing(t, token.Key{Secret: testKey(1), Primary: true}), nil)
			client := h.connect(resumeLine + tok + "\r\n")
			server := h.acceptUpstream(1)
			server.readLine()
			// While the attempt runs, this balancer makes no second one with the same token.
			twin := h.connect(strings.Replace(resumeLine, "OPEN 2", "OPEN 3", 1) + tok + "\r\n")
			twin.expect("STALE taken\r\n")
			c.answer(server)
			client.expect(c.first)
			again := h.connect(strings.Replace(resumeLine, "OPEN 2", "OPEN 4", 1) + tok + "\r\n")
			if c.again != "" {
				again.expect(c.again)
				return
			}
			h.acceptUpstream(1).readLine() // the token is still valid
		})
	}
}

// The server may have executed a request whose attempt timed out. The client must start over without its token, and
// this balancer rejects the token from then on. Another balancer forwards it, and the server rejects it.
func TestTokenAfterTimeout(t *testing.T) {
	shortTimeout := func(ev decision.Event) []decision.Action {
		acts := sendOrMove(ev)
		for i, a := range acts {
			if s, ok := a.(decision.StartAttempt); ok {
				s.Timeout = 50_000
				acts[i] = s
			}
		}
		return acts
	}
	h, other := newResumeHarness(t, nil), newResumeHarness(t, nil)
	h.onLoop(func() { h.decide = shortTimeout })
	tok := h.seal(newRing(t, token.Key{Secret: testKey(1), Primary: true}), nil)
	client := h.connect(resumeLine + tok + "\r\n")
	server := h.acceptUpstream(1)
	server.readLine()
	client.expect("STALE unsure\r\n")
	server.expectEnd(true)
	if o := await[decision.AttemptEnded](h); o.Status != outcome.TimedOut || o.RequestClosed {
		t.Errorf("got %+v, want status %d, request not closed", o, outcome.TimedOut)
	}
	again := h.connect(strings.Replace(resumeLine, "OPEN 2", "OPEN 3", 1) + tok + "\r\n")
	again.expect("STALE spent\r\n")
	other.applyList(
		listEntry("s0", h.servers[0].Addr().String(), "Ready"),
		listEntry("s1", h.servers[1].Addr().String(), "Ready"),
	)
	elsewhere := other.connect(strings.Replace(resumeLine, "OPEN 2", "OPEN 4", 1) + tok + "\r\n")
	next := h.acceptUpstream(1)
	next.readLine()
	next.send("STALE taken\r\n")
	elsewhere.expect("STALE taken\r\n")
}

// A rejected request releases its claim on the token. When its connection closes later, it must not release the claim
// of the next request with the same token.
func TestTokenReleasedOnce(t *testing.T) {
	h := newResumeHarness(t, nil)
	tok := h.seal(newRing(t, token.Key{Secret: testKey(1), Primary: true}), nil)
	first := h.connect(resumeLine + tok + "\r\n")
	server := h.acceptUpstream(1)
	server.readLine()
	server.send("BUSY\r\n")
	first.expect("BUSY 70\r\n")
	second := h.connect(strings.Replace(resumeLine, "OPEN 2", "OPEN 3", 1) + tok + "\r\n")
	next := h.acceptUpstream(1)
	next.readLine()
	h.check(first.Close())
	for closed := false; !closed; { // until the first request has ended
		h.onLoop(func() { closed = h.proxy.requests.len() == 1 })
	}
	third := h.connect(strings.Replace(resumeLine, "OPEN 2", "OPEN 4", 1) + tok + "\r\n")
	third.expect("STALE taken\r\n")
	next.send("UP r from=2\r\n")
	second.expect("UP r from=2\r\n")
}

// A stream that the server ends with BYE just ends for the client, without MOVE.
func TestFinishedStreamIsNotMoved(t *testing.T) {
	h := newResumeHarness(t, nil)
	client, server := h.establishResumable()
	server.send("BYE\r\n")
	h.check(server.Close())
	client.expect("BYE\r\n")
	client.expectEnd(true)
}
