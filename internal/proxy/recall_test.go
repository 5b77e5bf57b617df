package proxy

import (
	"fmt"
	"strings"
	"testing"

	"spurspread/decision"
	"spurspread/decision/outcome"
)

// A change of the server list while a connection came up counts before the first line goes out on it.
func TestRecalledBeforeTheLine(t *testing.T) {
	for name, entry := range map[string]string{
		"drains":       `"lifecycle":"Terminating"`,
		"is gone":      `"lifecycle":"Gone"`,
		"began anew":   `"lifecycle":"Ready","startedAtMs":1700000000000`,
		"is elsewhere": `"lifecycle":"Ready","hostPort":"127.0.0.1:1"`,
		"not in list":  "",
	} {
		t.Run(name, func(t *testing.T) {
			g := newHarness(t, 1, decideNothing, nil)
			_, s := g.pendingRequest(1)
			list := `{"generation":2,"reset":true,"instances":[]}`
			if entry != "" {
				if !strings.Contains(entry, "hostPort") {
					entry += fmt.Sprintf(`,"hostPort":%q`, g.servers[0].Addr())
				}
				list = fmt.Sprintf(`{"generation":2,"instances":[{"instanceId":"s0","weight":1,%s}]}`, entry)
			}
			g.inLoop(func() {
				g.proxy.apply(decision.StartAttempt{ID: uint32(s.ref), Timeout: longTimeout})
				c, err := g.proxy.servers.list.Apply([]byte(list))
				g.check(err)
				g.proxy.servers.ListUpdated(c)
			})
			g.outcome(outcome.Inconclusive, false)
			g.noRequest()
		})
	}
}

// A server that is listed otherwise only in what does not matter keeps what is on its way.
func TestNotRecalledForOtherChanges(t *testing.T) {
	g := newHarness(t, 1, decideNothing, nil)
	_, s := g.pendingRequest(1)
	g.inLoop(func() {
		g.proxy.apply(decision.StartAttempt{ID: uint32(s.ref), Timeout: longTimeout})
		c, err := g.proxy.servers.list.Apply(
			[]byte(
				`{"generation":2,"instances":[` + strings.Replace(
					listEntry("s0", g.servers[0].Addr().String(), "Ready"),
					`"weight":1`,
					`"weight":2`,
					1,
				) + `]}`,
			),
		)
		g.check(err)
		g.proxy.servers.ListUpdated(c)
	})
	g.acceptUpstream(0).line()
}

// Once the first line is out, its attempt is not cancelled: it may have run, and its answer counts.
func TestNotRecalledOnceSent(t *testing.T) {
	for name, entry := range map[string]string{
		"drains":  `{"instanceId":"s0","hostPort":"127.0.0.1:1","weight":1,"lifecycle":"Terminating"}`,
		"is gone": `{"instanceId":"s0","hostPort":"127.0.0.1:1","weight":1,"lifecycle":"Gone"}`,
		"began anew": `{"instanceId":"s0","hostPort":"127.0.0.1:1","weight":1,"lifecycle":"Ready",` +
			`"startedAtMs":1700000000000}`,
	} {
		t.Run(name, func(t *testing.T) {
			g := newHarness(t, 1, sendToFirst, nil)
			client := g.client(openLine)
			server := g.acceptUpstream(0)
			server.line()
			g.inLoop(func() {
				c, err := g.proxy.servers.list.Apply([]byte(`{"generation":2,"instances":[` + entry + `]}`))
				g.check(err)
				g.proxy.servers.ListUpdated(c)
				server.say("UP r1\r\n")
			})
			client.want("UP r1\r\n")
			event[decision.Established](g)
		})
	}
}
