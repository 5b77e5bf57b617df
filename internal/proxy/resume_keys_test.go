package proxy

import (
	"fmt"
	"strings"
	"testing"

	"spurspread/decision"
	"spurspread/decision/monotime"
	"spurspread/decision/outcome"
	"spurspread/internal/lineproto"
	"spurspread/internal/token"
)

// When a server that was listed as draining is listed as ready again, the moves that are still scheduled are cancelled.
func TestServerDrainCancelled(t *testing.T) {
	h := newResumeHarness(t, func(cfg *Config) { cfg.Resume.DrainSpread = 2 * monotime.Second })
	var clients []*peer
	var last *peer
	for i := range 8 {
		c := h.connect(strings.Replace(tokenRequestLine, "OPEN 1", fmt.Sprint("OPEN 1", i), 1))
		last = h.acceptUpstream(0)
		last.readLine()
		last.send("UP r1 from=0\r\n")
		c.expect("UP r1 from=0\r\n")
		clients = append(clients, c)
	}
	addr := h.servers[0].Addr().String()
	h.listAsDraining(0)
	h.applyList(listEntry("s0", addr, "Ready"))
	moved, due := 0, 0
	h.onLoop(func() {
		moved = h.proxy.stats.moved
		_, next := h.proxy.resumption.drains.Due(h.loop.Now()+10*monotime.Second, nil)
		due = int(next)
	})
	if moved == len(clients) || due >= 0 {
		t.Errorf("%d of %d moved, next move due at %d, want fewer moved and none due", moved, len(clients), due)
	}
}

// A client that disconnects before any attempt was made does not use up its token: the token is accepted once more.
func TestTokenUnusedWithoutAttempt(t *testing.T) {
	h := newResumeHarness(t, nil)
	hold := true
	h.onLoop(func() {
		h.decide = func(ev decision.Event) []decision.Action {
			if hold {
				return nil
			}
			return sendOrMove(ev)
		}
	})
	tok := h.seal(newRing(t, token.Key{Secret: testKey(1), Primary: true}), nil)
	client := h.connect(resumeLine + tok + "\r\n")
	await[decision.Request](h)
	h.check(client.Close())
	await[decision.RequestCancelled](h)
	h.onLoop(func() { hold = false })
	again := h.connect(strings.Replace(resumeLine, "OPEN 2", "OPEN 3", 1) + tok + "\r\n")
	server := h.acceptUpstream(1)
	server.readLine()
	server.send("UP r from=2\r\n")
	again.expect("UP r from=2\r\n")
	h.check(again.Close())
	server.expectEnd(true)
	h.check(server.Close())
	await[decision.AttemptEnded](h)
	third := h.connect(strings.Replace(resumeLine, "OPEN 2", "OPEN 4", 1) + tok + "\r\n")
	third.expect("STALE spent\r\n")
}

// A reload changes the keys: tokens of an old key are accepted until the key is removed, and streams go on. A reload
// that turns resumption off leaves established streams open and moves them without a token.
func TestKeysRotate(t *testing.T) {
	h := newResumeHarness(t, nil)
	old, fresh := token.Key{Secret: testKey(1)}, token.Key{Secret: testKey(2), Primary: true}
	client, _ := h.establishResumable()
	reload := func(keys ...token.Key) {
		ring := newRing(t, keys...)
		h.onLoop(func() {
			cfg, set := h.proxy.cfg, *h.proxy.cfg.Resume
			set.KeyRing = ring
			cfg.Resume = &set
			h.proxy.Reload(cfg)
		})
	}
	issuing := old
	issuing.Primary = true
	before := h.seal(newRing(t, issuing), nil)
	reload(old, fresh)
	h.listAsDraining(0)
	after := client.expectMove()
	var opened token.Token
	if err := newRing(t, fresh).Open([]byte(after), &opened); err != nil || opened.LastSequence != 2 ||
		string(opened.Server) != "s1" {
		t.Errorf("opened token %+v, %v, want last sequence 2 and server s1", opened, err)
	}
	again := h.connect(resumeLine + before + "\r\n")
	server := h.acceptUpstream(1)
	server.readLine()
	server.send("UP r from=2\r\n")
	again.expect("UP r from=2\r\n")
	reload(fresh)
	withdrawn := h.connect(strings.Replace(resumeLine, "OPEN 2", "OPEN 3", 1) + before + "\r\n")
	withdrawn.expect("STALE key\r\n")
	h.onLoop(func() {
		cfg := h.proxy.cfg
		cfg.Resume = nil
		h.proxy.Reload(cfg) // resumption is off from now on
	})
	h.listAsDraining(1)
	server.send("#3 c\r\nMOVE\r\n")
	again.expect("#3 c\r\n")
	again.expect("MOVE\r\n")
}

// A line longer than any message is forwarded as it arrives, and its connection ends as usual: here with a reset.
func TestMessageTooLong(t *testing.T) {
	h := newResumeHarness(t, nil)
	client, server := h.establishResumable()
	server.send(strings.Repeat("x", lineproto.MaxLine+10))
	if _, err := client.rd.Peek(lineproto.MaxLine); err != nil {
		t.Fatal(err)
	}
	h.check(server.SetLinger(0))
	h.check(server.Close())
	for {
		if _, err := client.rd.ReadByte(); err != nil {
			break
		}
	}
	if o := await[decision.AttemptEnded](h); o.Status != outcome.Reset {
		t.Errorf("got %+v, want status %d", o, outcome.Reset)
	}
}

// Many clients with malformed tokens are all answered. They leave no claims behind and don't disturb other connections.
func TestGarbageTokens(t *testing.T) {
	h := newResumeHarness(t, nil)
	client, server := h.establishResumable()
	for i := range 500 {
		c := h.connect(
			strings.Replace(resumeLine, "OPEN 2", fmt.Sprint("OPEN a", i), 1) + strings.Repeat("A", 320) + "\r\n",
		)
		c.expect("STALE malformed\r\n")
		_ = c.Close()
	}
	server.send("#3 c\r\n")
	client.expect("#3 c\r\n")
	h.onLoop(func() {
		if p, l, s := h.proxy.resumption.tokens.Counts(); p+l+s != 0 {
			t.Errorf("%d claims held, want 0", p+l+s)
		}
	})
}
