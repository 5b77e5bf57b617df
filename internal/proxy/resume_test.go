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

func keyOf(b byte) (k [32]byte) {
	k[0] = b
	return k
}

func ringWith(t *testing.T, keys ...token.Key) *token.Keyring {
	t.Helper()
	r, err := token.NewKeyring(keys)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// sendOrMove sends what is pinned where it is pinned to, all else to server 0, and has what leaves go to server 1.
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

// newResumeHarness has two servers, s0 and s1, and a site file that allows tokens.
func newResumeHarness(t *testing.T, change func(*Config)) *harness {
	t.Helper()
	return newHarness(t, 2, sendOrMove, func(cfg *Config) {
		cfg.Resume = &ResumeConfig{
			KeyRing:       ringWith(t, token.Key{Secret: keyOf(1), Primary: true}),
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

const (
	tokenRequestLine = "OPEN 1 7f c=sync,d=60000,g=5c,owner=o,tok=ask\r\n"
	comeLine         = "OPEN 2 7f c=sync,d=60000,g=5c,owner=o,again=1,cur=2,tok="
)

// establishResumable brings a stream up at server 0 and lets two messages pass.
func (g *harness) establishResumable() (client, server *peer) {
	g.t.Helper()
	client = g.client(tokenRequestLine)
	server = g.acceptUpstream(0)
	if got := server.line(); !strings.HasSuffix(got, ",tok=ask\r\n") {
		g.t.Fatalf("%q", got)
	}
	server.say("UP r1 from=0\r\n#1 a\r\nLOAD 3\r\n")
	client.want("UP r1 from=0\r\n")
	client.want("#1 a\r\n")
	client.want("LOAD 3\r\n")
	server.say("#2 b\r\n")
	client.want("#2 b\r\n")
	return client, server
}

// moved reads MOVE with a token, and the end.
func (p *peer) moved() string {
	p.g.t.Helper()
	got := p.line()
	word, ok := strings.CutPrefix(strings.TrimSuffix(got, "\r\n"), "MOVE ")
	if !ok || len(word) > token.MaxText {
		p.g.t.Fatalf("%q", got)
	}
	p.ended(true)
	return word
}

func (g *harness) list(entries ...string) {
	g.t.Helper()
	g.inLoop(func() {
		c, err := g.proxy.servers.list.Apply(
			[]byte(`{"generation":9,"instances":[` + strings.Join(entries, ",") + `]}`),
		)
		if err == nil {
			g.proxy.servers.ListUpdated(c)
		}
	})
}

func (g *harness) listDraining(i int) {
	g.list(listEntry([]string{"s0", "s1"}[i], g.servers[i].Addr().String(), "Terminating"))
}

// Whatever ends a connection, a client that takes tokens is told where to go on, and goes on there.
func TestStreamGoesOn(t *testing.T) {
	for name, c := range map[string]struct {
		end func(g *harness, server *peer)
		to  int
	}{
		"the server is listed as draining": {func(g *harness, _ *peer) { g.listDraining(0) }, 1},
		"the server sends its clients away": {
			func(_ *harness, s *peer) { s.say("MOVE\r\n"); _ = s.Close() },
			1,
		},
		"the server dies": {
			func(_ *harness, s *peer) { _ = s.SetLinger(0); _ = s.Close() },
			1,
		},
		"the server just ends": {func(_ *harness, s *peer) { _ = s.Close() }, 1},
		"the server dies in the middle of a message": {
			func(_ *harness, s *peer) { s.say("#3 half a mes"); _ = s.Close() },
			1,
		},
		"the server falls silent": {func(g *harness, _ *peer) {
			g.inLoop(func() { s := firstRequest(g); s.lastReply = 1; s.awaitReply(1); g.proxy.latencies.sweep() })
		}, 1},
		"the balancer stops": {func(g *harness, _ *peer) { g.loop.Post(g.proxy.Drain) }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g, other := newResumeHarness(t, nil), newResumeHarness(t, nil)
			client, server := g.establishResumable()
			c.end(g, server)
			word := client.moved()
			// The next balancer shares nothing with the first but the key and the list.
			other.list(
				listEntry("s0", g.servers[0].Addr().String(), "Ready"),
				listEntry("s1", g.servers[1].Addr().String(), "Ready"),
			)
			again := other.client(comeLine + word + "\r\n")
			next := g.acceptUpstream(c.to)
			if got := next.line(); !strings.HasPrefix(got, "OPEN 2 7f c=sync,d=") ||
				!strings.HasSuffix(got, ",g=5c,owner=o,again=1,cur=2,tok="+word+"\r\n") {
				t.Fatalf("%q", got)
			}
			if q := event[decision.Request](other); !q.Pinned || !q.Resumable || q.PinnedServer != uint32(c.to) ||
				!q.Reconnected {
				t.Errorf("%+v", q)
			}
			next.say("UP r2 from=2\r\n#3 c\r\n")
			again.want("UP r2 from=2\r\n")
			again.want("#3 c\r\n")
			other.listDraining(c.to)
			again.moved() // and on it goes
		})
	}
}

// Without the site file, or without the client's asking, every byte is as it was.
func TestTokensOff(t *testing.T) {
	off := func(cfg *Config) { cfg.Resume = nil }
	for name, c := range map[string]struct {
		change func(*Config)
		first  string
	}{
		"not in the site file": {off, tokenRequestLine}, "not asked for": {nil, openLine},
		"odd names, not in the site file": {off, "OPEN 1 7f c=sync,d=60000,tok=,cur=x,owner=\r\n"},
		"a token, not in the site file":   {off, comeLine + "abcd\r\n"},
	} {
		g := newResumeHarness(t, c.change)
		client := g.client(c.first)
		server := g.acceptUpstream(0)
		if got := server.line(); got[:19] != c.first[:19] ||
			got[strings.Index(got, ",d=")+8:] != c.first[strings.Index(c.first, ",d=")+8:] {
			t.Errorf("%s: %q", name, got)
		}
		server.say("UP r1 from=0\r\n#1 a\r\nhalf a")
		client.want("UP r1 from=0\r\n")
		client.want("#1 a\r\n")
		if got, err := client.rd.Peek(6); string(got) != "half a" || err != nil {
			t.Errorf("%s: %q, %v", name, got, err)
		}
		g.listDraining(0)
		server.say(" line\r\nMOVE\r\n")
		g.check(server.Close())
		client.want("half a line\r\n")
		client.want("MOVE\r\n")
		client.ended(true)
	}
}

// seal makes a token as a balancer would, changed by a test.
func (g *harness) seal(ring *token.Keyring, change func(*token.Token)) string {
	t := token.Token{Stream: 3, Key: 0x7f, Group: 0x5c, LastSequence: 2, Class: []byte("sync"), Server: []byte("s1")}
	g.inLoop(func() { t.IssuedAt = int64(g.loop.Now() / monotime.Millisecond) })
	t.ExpiresAt = t.IssuedAt + 60_000
	first, err := lineproto.ParseOpen([]byte(strings.TrimSuffix(tokenRequestLine, "\r\n")))
	g.check(err)
	t.Tenant = first.Tenant
	if change != nil {
		change(&t)
	}
	return string(ring.Seal(nil, &t))
}

// What is wrong with a token is told at once; neither the decision core nor any server learns of it.
func TestTokenRejected(t *testing.T) {
	g := newResumeHarness(t, nil)
	ring := ringWith(t, token.Key{Secret: keyOf(1), Primary: true})
	with := func(change func(*token.Token)) string { return comeLine + g.seal(ring, change) }
	for name, c := range map[string]struct{ first, why string }{
		"garbage":         {comeLine + "garbage", "malformed"},
		"altered":         {strings.Replace(with(nil), "tok=AQ", "tok=Ag", 1), "malformed"},
		"cut":             {with(nil)[:len(with(nil))-4], "forged"},
		"withdrawn key":   {comeLine + g.seal(ringWith(t, token.Key{Secret: keyOf(9), Primary: true}), nil), "key"},
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
		"where it stood":  {strings.Replace(with(nil), "cur=2,", "cur=2,at=s1,", 1), "malformed"},
	} {
		// Every id is new.
		client := g.client(strings.Replace(c.first, "OPEN 2", "OPEN "+strings.ReplaceAll(name, " ", "_"), 1) + "\r\n")
		if got := client.line(); got != "STALE "+c.why+"\r\n" {
			t.Errorf("%s: %q, want %s", name, got, c.why)
		}
		client.ended(true)
	}
	g.listDraining(1)
	late := g.client(with(nil) + "\r\n")
	late.want("STALE gone\r\n")
	if len(g.events) > 0 {
		t.Errorf("the core was notified of %+v", <-g.events)
	}
	told := 0
	g.inLoop(func() {
		for _, n := range g.proxy.resumption.tokens.Rejected {
			told += n
		}
	})
	if told != 17 {
		t.Errorf("%d refusals counted", told)
	}
}

// What becomes of a token that went on to its server, and what it is good for after that.
func TestTokenAttempts(t *testing.T) {
	for name, c := range map[string]struct {
		answer       func(server *peer)
		first, again string
	}{
		"stands": {func(s *peer) { s.say("UP r from=2\r\n") }, "UP r from=2\r\n", "STALE taken\r\n"},
		"full":   {func(s *peer) { s.say("BUSY\r\n"); _ = s.Close() }, "BUSY 70\r\n", ""},
		"its log is too short": {
			func(s *peer) { s.say("STALE gap\r\n"); _ = s.Close() },
			"STALE gap\r\n",
			"STALE spent\r\n",
		},
		"another has it": {func(s *peer) { s.say("STALE taken\r\n") }, "STALE taken\r\n", "STALE spent\r\n"},
		"resets": {
			func(s *peer) { _ = s.SetLinger(0); _ = s.Close() },
			"STALE unsure\r\n",
			"STALE spent\r\n",
		},
		"errs": {func(s *peer) { s.say("ERR\r\n") }, "STALE unsure\r\n", "STALE spent\r\n"},
		"odd reason": {
			func(s *peer) { s.say("STALE whatever\r\n") },
			"STALE unsure\r\n",
			"STALE spent\r\n",
		},
		"knows no tokens": {func(s *peer) { s.say("UP r\r\n") }, "STALE unsupported\r\n", "STALE spent\r\n"},
		"goes on elsewhere": {
			func(s *peer) { s.say("UP r from=7\r\n") },
			"STALE unsupported\r\n",
			"STALE spent\r\n",
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := newResumeHarness(t, nil)
			word := g.seal(ringWith(t, token.Key{Secret: keyOf(1), Primary: true}), nil)
			client := g.client(comeLine + word + "\r\n")
			server := g.acceptUpstream(1)
			server.line()
			// At the same time, in the same balancer: no second attempt.
			twin := g.client(strings.Replace(comeLine, "OPEN 2", "OPEN 3", 1) + word + "\r\n")
			twin.want("STALE taken\r\n")
			c.answer(server)
			client.want(c.first)
			again := g.client(strings.Replace(comeLine, "OPEN 2", "OPEN 4", 1) + word + "\r\n")
			if c.again != "" {
				again.want(c.again)
				return
			}
			g.acceptUpstream(1).line() // it is as good as before
		})
	}
}

// An attempt that was given up may still run: its client starts over, this balancer refuses the token from then on, and
// at another one only the server can know.
func TestTokenTimesOut(t *testing.T) {
	hasty := func(ev decision.Event) []decision.Action {
		acts := sendOrMove(ev)
		for i, a := range acts {
			if s, ok := a.(decision.StartAttempt); ok {
				s.Timeout = 50_000
				acts[i] = s
			}
		}
		return acts
	}
	g, other := newResumeHarness(t, nil), newResumeHarness(t, nil)
	g.inLoop(func() { g.decide = hasty })
	word := g.seal(ringWith(t, token.Key{Secret: keyOf(1), Primary: true}), nil)
	client := g.client(comeLine + word + "\r\n")
	server := g.acceptUpstream(1)
	server.line()
	client.want("STALE unsure\r\n")
	server.ended(true)
	if o := event[decision.AttemptEnded](g); o.Status != outcome.TimedOut || o.RequestClosed {
		t.Errorf("%+v", o)
	}
	again := g.client(strings.Replace(comeLine, "OPEN 2", "OPEN 3", 1) + word + "\r\n")
	again.want("STALE spent\r\n")
	other.list(
		listEntry("s0", g.servers[0].Addr().String(), "Ready"),
		listEntry("s1", g.servers[1].Addr().String(), "Ready"),
	)
	elsewhere := other.client(strings.Replace(comeLine, "OPEN 2", "OPEN 4", 1) + word + "\r\n")
	next := g.acceptUpstream(1)
	next.line()
	next.say("STALE taken\r\n")
	elsewhere.want("STALE taken\r\n")
}

// What is left of a request whose token was given back must not give back the claim of the next.
func TestTokenReleasedOnce(t *testing.T) {
	g := newResumeHarness(t, nil)
	word := g.seal(ringWith(t, token.Key{Secret: keyOf(1), Primary: true}), nil)
	first := g.client(comeLine + word + "\r\n")
	server := g.acceptUpstream(1)
	server.line()
	server.say("BUSY\r\n")
	first.want("BUSY 70\r\n")
	second := g.client(strings.Replace(comeLine, "OPEN 2", "OPEN 3", 1) + word + "\r\n")
	next := g.acceptUpstream(1)
	next.line()
	g.check(first.Close())
	for closed := false; !closed; { // the first request is there until it has seen that
		g.inLoop(func() { closed = g.proxy.requests.len() == 1 })
	}
	third := g.client(strings.Replace(comeLine, "OPEN 2", "OPEN 4", 1) + word + "\r\n")
	third.want("STALE taken\r\n")
	next.say("UP r from=2\r\n")
	second.want("UP r from=2\r\n")
}

// A stream that is served to its end has ended, and does not go on.
func TestStreamEnds(t *testing.T) {
	g := newResumeHarness(t, nil)
	client, server := g.establishResumable()
	server.say("BYE\r\n")
	g.check(server.Close())
	client.want("BYE\r\n")
	client.ended(true)
}
