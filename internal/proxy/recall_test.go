package proxy

import (
	"fmt"
	"strings"
	"testing"

	"spurspread/decision"
	"spurspread/decision/outcome"
)

// If the server's listing changes while an attempt is connecting, the attempt ends before the request is sent.
func TestListChangeEndsUnsentAttempt(t *testing.T) {
	for name, entry := range map[string]string{
		"draining":      `"lifecycle":"Terminating"`,
		"gone":          `"lifecycle":"Gone"`,
		"restarted":     `"lifecycle":"Ready","startedAtMs":1700000000000`,
		"other address": `"lifecycle":"Ready","hostPort":"127.0.0.1:1"`,
		"not listed":    "",
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1, decideNothing, nil)
			_, r := h.pendingRequest(1)
			list := `{"generation":2,"reset":true,"instances":[]}`
			if entry != "" {
				if !strings.Contains(entry, "hostPort") {
					entry += fmt.Sprintf(`,"hostPort":%q`, h.servers[0].Addr())
				}
				list = fmt.Sprintf(`{"generation":2,"instances":[{"instanceId":"s0","weight":1,%s}]}`, entry)
			}
			h.onLoop(func() {
				h.proxy.apply(decision.StartAttempt{ID: uint32(r.ref), Timeout: longTimeout})
				c, err := h.proxy.servers.list.Apply([]byte(list))
				h.check(err)
				h.proxy.servers.ListUpdated(c)
			})
			h.expectOutcome(outcome.Inconclusive, false)
			h.expectNothingSent()
		})
	}
}

// A change of the listing that does not matter to the attempt, such as of the weight, does not end it.
func TestUnrelatedListChangeKeepsAttempt(t *testing.T) {
	h := newHarness(t, 1, decideNothing, nil)
	_, r := h.pendingRequest(1)
	h.onLoop(func() {
		h.proxy.apply(decision.StartAttempt{ID: uint32(r.ref), Timeout: longTimeout})
		c, err := h.proxy.servers.list.Apply(
			[]byte(
				`{"generation":2,"instances":[` + strings.Replace(
					listEntry("s0", h.servers[0].Addr().String(), "Ready"),
					`"weight":1`,
					`"weight":2`,
					1,
				) + `]}`,
			),
		)
		h.check(err)
		h.proxy.servers.ListUpdated(c)
	})
	h.acceptUpstream(0).readLine()
}

// Once the request is sent, a change of the server's listing does not end the attempt: the server may have executed the
// request, and its answer counts.
func TestListChangeKeepsSentAttempt(t *testing.T) {
	for name, entry := range map[string]string{
		"draining": `{"instanceId":"s0","hostPort":"127.0.0.1:1","weight":1,"lifecycle":"Terminating"}`,
		"gone":     `{"instanceId":"s0","hostPort":"127.0.0.1:1","weight":1,"lifecycle":"Gone"}`,
		"restarted": `{"instanceId":"s0","hostPort":"127.0.0.1:1","weight":1,"lifecycle":"Ready",` +
			`"startedAtMs":1700000000000}`,
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1, sendToFirst, nil)
			client := h.connect(openLine)
			server := h.acceptUpstream(0)
			server.readLine()
			h.onLoop(func() {
				c, err := h.proxy.servers.list.Apply([]byte(`{"generation":2,"instances":[` + entry + `]}`))
				h.check(err)
				h.proxy.servers.ListUpdated(c)
				server.send("UP r1\r\n")
			})
			client.expect("UP r1\r\n")
			await[decision.Established](h)
		})
	}
}
