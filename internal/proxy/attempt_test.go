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

// Each attempt reports one outcome, derived from the server's answer, and closes its connection before the next attempt
// starts.
func TestAttemptOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		answer func(*peer)
		want   outcome.Status
	}{
		"error":      {func(p *peer) { p.send("ERR\r\n") }, outcome.ErrorResponse},
		"full":       {func(p *peer) { p.send("BUSY\r\n") }, outcome.ServerFull},
		"moved":      {func(p *peer) { p.send("MOVE\r\n") }, outcome.Cancelled},
		"unknown":    {func(p *peer) { p.send("\x00\xff what\r\n") }, outcome.ErrorResponse},
		"too long":   {func(p *peer) { p.send(strings.Repeat("x", lineproto.MaxLine)) }, outcome.ErrorResponse},
		"closed":     {func(p *peer) { _ = p.Close() }, outcome.Reset},
		"reset":      {func(p *peer) { _ = p.SetLinger(0); _ = p.Close() }, outcome.Reset},
		"no answer":  {func(*peer) {}, outcome.TimedOut},
		"cut off UP": {func(p *peer) { p.send("UP r1") }, outcome.TimedOut},
	} {
		t.Run(name, func(t *testing.T) {
			timeout := decision.Micros(longTimeout)
			if c.want == outcome.TimedOut {
				timeout = 100_000
			}
			h := newHarness(t, 2, func(ev decision.Event) []decision.Action {
				switch ev := ev.(type) {
				case decision.Request:
					return []decision.Action{decision.StartAttempt{ID: ev.ID, Timeout: timeout}}
				case decision.AttemptEnded:
					if !ev.RequestClosed {
						return []decision.Action{decision.StartAttempt{ID: ev.ID, Timeout: longTimeout, Server: 1}}
					}
				}
				return nil
			}, nil)
			client := h.connect(openLine)
			first := h.acceptUpstream(0)
			first.readLine()
			c.answer(first)
			if o := await[decision.AttemptEnded](h); o.Status != c.want || o.RequestClosed || o.Attempt != 0 ||
				o.Server != 0 {
				t.Errorf("got %+v, want status %d of attempt 0 at server 0, request not closed", o, c.want)
			}
			second := h.acceptUpstream(1)
			second.readLine()
			second.send("UP r2\r\n")
			client.expect("UP r2\r\n")
			if name == "no answer" {
				first.expectEnd(true) // one attempt at a time
			}
			if e := await[decision.Established](h); e.Attempt != 1 || e.Server != 1 {
				t.Errorf("got %+v, want attempt 1 at server 1", e)
			}
		})
	}
}

// A refused connection is reported as ConnectFailed: the request was not sent, so it can't have been executed.
func TestFailedDialIsConnectFailed(t *testing.T) {
	h := newHarness(t, 1, sendToFirst, nil)
	h.check(h.servers[0].Close())
	h.connect(openLine)
	if o := await[decision.AttemptEnded](h); o.Status != outcome.ConnectFailed || o.RequestClosed {
		t.Errorf("got %+v, want status %d, request not closed", o, outcome.ConnectFailed)
	}
}

// Reject and Fail are answered at once, Reject with its retry delay. The attempt that was cancelled just before still
// reports its outcome.
func TestFinalAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		final func(id uint32) decision.Action
		want  string
	}{
		"rejected": {
			func(id uint32) decision.Action { return decision.Reject{ID: id, RetryAfter: 340_000} },
			"BUSY 340\r\n",
		},
		"rejected without delay": {func(id uint32) decision.Action { return decision.Reject{ID: id} }, "BUSY\r\n"},
		"failed":                 {func(id uint32) decision.Action { return decision.Fail{ID: id} }, "ERR\r\n"},
	} {
		h := newHarness(t, 1, func(ev decision.Event) []decision.Action {
			if req, ok := ev.(decision.Request); ok {
				return []decision.Action{
					decision.StartAttempt{ID: req.ID, Timeout: longTimeout},
					decision.CancelAttempt{ID: req.ID},
					c.final(req.ID),
				}
			}
			return nil
		}, nil)
		client := h.connect(openLine)
		client.expect(c.want)
		client.expectEnd(true)
		if o := await[decision.AttemptEnded](h); o.Status != outcome.Cancelled {
			t.Errorf("%s: got %+v, want status %d", name, o, outcome.Cancelled)
		}
	}
}

// A dial that fails because this process has no descriptors left does not count against the server.
func TestDescriptorExhaustionIsInconclusive(t *testing.T) {
	for err, want := range map[error]outcome.Status{
		unix.EMFILE:       outcome.Inconclusive,
		unix.ECONNREFUSED: outcome.ConnectFailed,
	} {
		if got := dialOutcome(fmt.Errorf("connect: %w", err)); got != want {
			t.Errorf("dialOutcome(%v) = %d, want %d", err, got, want)
		}
	}
}

// A server can't have executed a request that was not written completely, so a reset counts as a failed connect.
func TestResetBeforeWriteIsConnectFailed(t *testing.T) {
	for written, want := range map[bool]outcome.Status{false: outcome.ConnectFailed, true: outcome.Reset} {
		if got := attemptoutcome.OfUnanswered(outcome.Reset, written); got != want {
			t.Errorf("reset with written = %v: outcome %d, want %d", written, got, want)
		}
	}
}

// If the client disconnects before the server has answered, the attempt is cancelled and its connection closed.
func TestClientLeavesDuringAttempt(t *testing.T) {
	h := newHarness(t, 1, sendToFirst, nil)
	client := h.connect(openLine)
	server := h.acceptUpstream(0)
	server.readLine()
	h.check(client.Close())
	server.expectEnd(true)
	if o := await[decision.AttemptEnded](h); o.Status != outcome.Cancelled || !o.RequestClosed {
		t.Errorf("got %+v, want status %d of a closed request", o, outcome.Cancelled)
	}
	await[decision.RequestCancelled](h)
}
