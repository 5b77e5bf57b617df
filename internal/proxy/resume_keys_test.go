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

// A drain that is cancelled moves nobody any more.
func TestDrainCancelled(t *testing.T) {
	g := newResumeHarness(t, func(cfg *Config) { cfg.Resume.DrainSpread = 2 * monotime.Second })
	var clients []*peer
	var last *peer
	for i := range 8 {
		c := g.client(strings.Replace(tokenRequestLine, "OPEN 1", fmt.Sprint("OPEN 1", i), 1))
		last = g.acceptUpstream(0)
		last.line()
		last.say("UP r1 from=0\r\n")
		c.want("UP r1 from=0\r\n")
		clients = append(clients, c)
	}
	addr := g.servers[0].Addr().String()
	g.listDraining(0)
	g.list(listEntry("s0", addr, "Ready"))
	moved, due := 0, 0
	g.inLoop(func() {
		moved = g.proxy.stats.moved
		_, next := g.proxy.resumption.drains.Due(g.loop.Now()+10*monotime.Second, nil)
		due = int(next)
	})
	if moved == len(clients) || due >= 0 {
		t.Errorf("%d moved, next due %d", moved, due)
	}
}

// A client that leaves before any attempt was made leaves its token as it was.
func TestTokenWithdrawn(t *testing.T) {
	g := newResumeHarness(t, nil)
	hold := true
	g.inLoop(func() {
		g.decide = func(ev decision.Event) []decision.Action {
			if hold {
				return nil
			}
			return sendOrMove(ev)
		}
	})
	word := g.seal(ringWith(t, token.Key{Secret: keyOf(1), Primary: true}), nil)
	client := g.client(comeLine + word + "\r\n")
	event[decision.Request](g)
	g.check(client.Close())
	event[decision.RequestCancelled](g)
	g.inLoop(func() { hold = false })
	again := g.client(strings.Replace(comeLine, "OPEN 2", "OPEN 3", 1) + word + "\r\n")
	server := g.acceptUpstream(1)
	server.line()
	server.say("UP r from=2\r\n")
	again.want("UP r from=2\r\n")
	g.check(again.Close())
	server.ended(true)
	g.check(server.Close())
	event[decision.AttemptEnded](g)
	third := g.client(strings.Replace(comeLine, "OPEN 2", "OPEN 4", 1) + word + "\r\n")
	third.want("STALE spent\r\n")
}

// Keys rotate by reload: the old one opens until it is withdrawn; what a balancer knows of tokens stays.
func TestKeysRotate(t *testing.T) {
	g := newResumeHarness(t, nil)
	old, fresh := token.Key{Secret: keyOf(1)}, token.Key{Secret: keyOf(2), Primary: true}
	client, _ := g.establishResumable()
	reload := func(keys ...token.Key) {
		ring := ringWith(t, keys...)
		g.inLoop(func() {
			cfg, set := g.proxy.cfg, *g.proxy.cfg.Resume
			set.KeyRing = ring
			cfg.Resume = &set
			g.proxy.Reload(cfg)
		})
	}
	minting := old
	minting.Primary = true
	before := g.seal(ringWith(t, minting), nil)
	reload(old, fresh)
	g.listDraining(0)
	after := client.moved()
	var opened token.Token
	if err := ringWith(t, fresh).Open([]byte(after), &opened); err != nil || opened.LastSequence != 2 ||
		string(opened.Server) != "s1" {
		t.Errorf("%+v, %v", opened, err)
	}
	again := g.client(comeLine + before + "\r\n")
	server := g.acceptUpstream(1)
	server.line()
	server.say("UP r from=2\r\n")
	again.want("UP r from=2\r\n")
	reload(fresh)
	withdrawn := g.client(strings.Replace(comeLine, "OPEN 2", "OPEN 3", 1) + before + "\r\n")
	withdrawn.want("STALE key\r\n")
	g.inLoop(func() {
		cfg := g.proxy.cfg
		cfg.Resume = nil
		g.proxy.Reload(cfg) // off: established streams go on, and are moved without a token
	})
	g.listDraining(1)
	server.say("#3 c\r\nMOVE\r\n")
	again.want("#3 c\r\n")
	again.want("MOVE\r\n")
}

// A line that no message can be is passed on as it comes, and its connection ends in kind.
func TestMessageTooLong(t *testing.T) {
	g := newResumeHarness(t, nil)
	client, server := g.establishResumable()
	server.say(strings.Repeat("x", lineproto.MaxLine+10))
	if _, err := client.rd.Peek(lineproto.MaxLine); err != nil {
		t.Fatal(err)
	}
	g.check(server.SetLinger(0))
	g.check(server.Close())
	for {
		if _, err := client.rd.ReadByte(); err != nil {
			break
		}
	}
	if o := event[decision.AttemptEnded](g); o.Status != outcome.Reset {
		t.Errorf("%+v", o)
	}
}

// Clients that present garbage at full speed are all answered, and cost neither memory nor anyone's connection.
func TestGarbageTokens(t *testing.T) {
	g := newResumeHarness(t, nil)
	client, server := g.establishResumable()
	for i := range 500 {
		c := g.client(
			strings.Replace(comeLine, "OPEN 2", fmt.Sprint("OPEN a", i), 1) + strings.Repeat("A", 320) + "\r\n",
		)
		c.want("STALE malformed\r\n")
		_ = c.Close()
	}
	server.say("#3 c\r\n")
	client.want("#3 c\r\n")
	g.inLoop(func() {
		if p, l, s := g.proxy.resumption.tokens.Counts(); p+l+s != 0 {
			t.Errorf("%d claims", p+l+s)
		}
	})
}
