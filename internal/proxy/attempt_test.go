package proxy

import (
	"fmt"
	"strings"
	"testing"

	"golang.org/x/sys/unix"

	"spurspread/decision"
	"spurspread/decision/attemptoutcome"
	"spurspread/decision/outcome"
	"spurspread/internal/lineproto"
)

// Each StartAttempt has one outcome, distinguished as the protocol says, and its attempt is closed before the next one
// starts.
func TestOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		answer func(*peer)
		want   outcome.Status
	}{
		"error":      {func(p *peer) { p.say("ERR\r\n") }, outcome.ErrorResponse},
		"full":       {func(p *peer) { p.say("BUSY\r\n") }, outcome.ServerFull},
		"sent away":  {func(p *peer) { p.say("MOVE\r\n") }, outcome.Cancelled},
		"odd":        {func(p *peer) { p.say("\x00\xff what\r\n") }, outcome.ErrorResponse},
		"endless":    {func(p *peer) { p.say(strings.Repeat("x", lineproto.MaxLine)) }, outcome.ErrorResponse},
		"ended":      {func(p *peer) { _ = p.Close() }, outcome.Reset},
		"reset":      {func(p *peer) { _ = p.SetLinger(0); _ = p.Close() }, outcome.Reset},
		"no answer":  {func(*peer) {}, outcome.TimedOut},
		"UP, no end": {func(p *peer) { p.say("UP r1") }, outcome.TimedOut},
	} {
		t.Run(name, func(t *testing.T) {
			giveUp := decision.Micros(longTimeout)
			if c.want == outcome.TimedOut {
				giveUp = 100_000
			}
			g := newHarness(t, 2, func(ev decision.Event) []decision.Action {
				switch ev := ev.(type) {
				case decision.Request:
					return []decision.Action{decision.StartAttempt{ID: ev.ID, Timeout: giveUp}}
				case decision.AttemptEnded:
					if !ev.RequestClosed {
						return []decision.Action{decision.StartAttempt{ID: ev.ID, Timeout: longTimeout, Server: 1}}
					}
				}
				return nil
			}, nil)
			client := g.client(openLine)
			first := g.acceptUpstream(0)
			first.line()
			c.answer(first)
			if o := event[decision.AttemptEnded](g); o.Status != c.want || o.RequestClosed || o.Attempt != 0 ||
				o.Server != 0 {
				t.Errorf("%+v, want status %d", o, c.want)
			}
			second := g.acceptUpstream(1)
			second.line()
			second.say("UP r2\r\n")
			client.want("UP r2\r\n")
			if name == "no answer" {
				first.ended(true) // one attempt at a time
			}
			if e := event[decision.Established](g); e.Attempt != 1 || e.Server != 1 {
				t.Errorf("%+v", e)
			}
		})
	}
}

func TestFailedDialNeverRan(t *testing.T) {
	g := newHarness(t, 1, sendToFirst, nil)
	g.check(g.servers[0].Close())
	g.client(openLine)
	if o := event[decision.AttemptEnded](g); o.Status != outcome.ConnectFailed || o.RequestClosed {
		t.Errorf("%+v", o)
	}
}

// What the decision core has given up on is answered at once, with its retry delay, and an attempt that is out brings
// its outcome.
func TestFinalAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		last func(id uint32) decision.Action
		want string
	}{
		"refused": {
			func(id uint32) decision.Action { return decision.Reject{ID: id, RetryAfter: 340_000} },
			"BUSY 340\r\n",
		},
		"bare":   {func(id uint32) decision.Action { return decision.Reject{ID: id} }, "BUSY\r\n"},
		"failed": {func(id uint32) decision.Action { return decision.Fail{ID: id} }, "ERR\r\n"},
	} {
		g := newHarness(t, 1, func(ev decision.Event) []decision.Action {
			if q, ok := ev.(decision.Request); ok {
				return []decision.Action{
					decision.StartAttempt{ID: q.ID, Timeout: longTimeout},
					decision.CancelAttempt{ID: q.ID},
					c.last(q.ID),
				}
			}
			return nil
		}, nil)
		client := g.client(openLine)
		client.want(c.want)
		client.ended(true)
		if o := event[decision.AttemptEnded](g); o.Status != outcome.Cancelled {
			t.Errorf("%s: %+v", name, o)
		}
	}
}

// That this machine has no descriptor left is no evidence against a server.
func TestDescriptorExhaustionIsInconclusive(t *testing.T) {
	for err, want := range map[error]outcome.Status{
		unix.EMFILE:       outcome.Inconclusive,
		unix.ECONNREFUSED: outcome.ConnectFailed,
	} {
		if got := dialOutcome(fmt.Errorf("connect: %w", err)); got != want {
			t.Errorf("%v: %d", err, got)
		}
	}
}

// An attempt whose first line is not out whole can't have run.
func TestUnsentAttemptNeverRan(t *testing.T) {
	for sent, want := range map[bool]outcome.Status{false: outcome.ConnectFailed, true: outcome.Reset} {
		if got := attemptoutcome.OfUnanswered(outcome.Reset, sent); got != want {
			t.Errorf("sent %v: %d", sent, got)
		}
	}
}

// A client that leaves before it is served takes its attempt with it.
func TestClientLeavesEarly(t *testing.T) {
	g := newHarness(t, 1, sendToFirst, nil)
	client := g.client(openLine)
	server := g.acceptUpstream(0)
	server.line()
	g.check(client.Close())
	server.ended(true)
	if o := event[decision.AttemptEnded](g); o.Status != outcome.Cancelled || !o.RequestClosed {
		t.Errorf("%+v", o)
	}
	event[decision.RequestCancelled](g)
}
