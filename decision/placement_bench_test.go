package decision

import (
	"fmt"
	"math"
	"testing"
)

// BenchmarkHeldRequest measures the placement of a held request, by the reason for which it is held and the number of
// servers.
func BenchmarkHeldRequest(b *testing.B) {
	for _, c := range []struct {
		name string
		hold func(*Balancer)
	}{
		{"setup-limit", func(bal *Balancer) { bal.setupLimiter.Limit = 0 }},
		{"no-tokens", func(bal *Balancer) {
			for _, s := range bal.servers {
				s.budget.Tokens, s.budget.RefilledAt = 0, start+sec
			}
		}},
		{"paused", func(bal *Balancer) {
			for _, s := range bal.servers {
				s.pausedUntil = math.MaxInt64
			}
		}},
	} {
		for _, servers := range []int{100, 400, 1600, 3200} {
			b.Run(fmt.Sprintf("%s/servers=%d", c.name, servers), func(b *testing.B) {
				bal := New(testSettings(), 1, start)
				bal.Handle(start, ServerListUpdate{Kind: UpdateCached, Entries: serverList(servers, 0)}, nil)
				c.hold(bal)
				bal.Handle(start+sec, Request{ID: 1, TimeLeft: 1000 * sec}, nil)
				timer := TimerFired{holdTimer.forRequest(1)}
				var actions []Action
				for b.Loop() {
					actions = bal.Handle(start+sec, timer, actions[:0])
				}
			})
		}
	}
}
