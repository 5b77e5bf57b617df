package decision

import (
	"fmt"
	"testing"

	"spurspread/decision/outcome"
)

// benchSizes are the numbers of established connections for which costs are measured.
var benchSizes = []int{2_000, 5_000, 20_000, 80_000}

// balancerWithConnections returns a balancer with n established connections, spread over the given number of servers,
// and the last request's ID.
func balancerWithConnections(servers, n int) (*Balancer, uint32) {
	class := Class{LatencyObjective: 300 * ms, Deadline: 1200 * ms, MessageLatencyObjective: 250 * ms}
	b := New(Settings{
		Balancers: 1, Zones: 1, MaxAttempts: 4, AllowCancel: true, AllowRetryAfter: true, MaxRetryAfter: sec,
		WarmupTime: 23 * sec, InitialCapacity: 0.13, OverloadFactor: 3, OverloadWindow: sec, Classes: []Class{class},
	}, 1, sec)
	u := ServerListUpdate{Kind: UpdateFull}
	for i := range servers {
		u.Entries = append(
			u.Entries,
			ServerEntry{Server: uint32(i), StableID: uint64(i) * 0x9e3779b97f4a7c15, State: Ready, Weight: 1},
		)
	}
	b.Handle(sec, u, nil)
	id := uint32(0)
	for range n {
		id++
		q := Request{ID: id, Key: uint64(id), TimeLeft: 1200 * ms}
		b.Handle(sec, ExistingConnection{Request: q, Server: id % uint32(servers)}, nil)
	}
	return b, id
}

// runSetup passes the events of one connection to b, from its request to its end. It returns the number of attempts.
func runSetup(b *Balancer, now Micros, id uint32) (attempts int) {
	for _, a := range b.Handle(now, Request{ID: id, Key: uint64(id), TimeLeft: 1200 * ms}, nil) {
		if s, ok := a.(StartAttempt); ok {
			attempts++
			b.Handle(now, Established{ID: id, Server: s.Server, SetupTime: ms}, nil)
			b.Handle(now, RequestCancelled{ID: id}, nil)
			b.Handle(
				now,
				AttemptEnded{ID: id, Server: s.Server, Status: outcome.Cancelled, RequestClosed: true},
				nil,
			)
		}
	}
	return attempts
}

// BenchmarkSetup measures a set-up by the number of established connections and by the number of servers.
func BenchmarkSetup(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint("connections-", n), func(b *testing.B) { benchSetup(b, 400, n) })
	}
	for _, servers := range []int{10, 100, 1_000, 5_000} {
		b.Run(fmt.Sprint("servers-", servers), func(b *testing.B) { benchSetup(b, servers, 5_000) })
	}
}

func benchSetup(b *testing.B, servers, n int) {
	bal, id := balancerWithConnections(servers, n)
	now, attempts := sec, 0
	for b.Loop() {
		id++
		now += 100 * ms // keeps the budgets from running out
		attempts += runSetup(bal, now, id)
	}
	if attempts < b.N {
		b.Fatalf("%d attempts for %d set-ups", attempts, b.N)
	}
}

// BenchmarkTick measures a tick, of which there are four a second, by the number of established connections and by the
// number of servers.
func BenchmarkTick(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint("connections-", n), func(b *testing.B) { benchTick(b, 400, n) })
	}
	for _, servers := range []int{10, 100, 1_000, 5_000} {
		b.Run(fmt.Sprint("servers-", servers), func(b *testing.B) { benchTick(b, servers, 5_000) })
	}
}

func benchTick(b *testing.B, servers, n int) {
	bal, _ := balancerWithConnections(servers, n)
	now := sec
	for b.Loop() {
		now += tickInterval
		bal.Handle(now, TimerFired{Token: tickTimer}, nil)
	}
}

// BenchmarkHeld measures the placement of a held request while the concurrency limit of set-ups is reached. Each held
// request is placed 25 times a second.
func BenchmarkHeld(b *testing.B) {
	for _, servers := range []int{10, 100, 400, 1_000, 5_000} {
		b.Run(fmt.Sprint("servers-", servers), func(b *testing.B) {
			bal, id := balancerWithConnections(servers, 0)
			for range 100 { // more than the concurrency limit
				id++
				bal.Handle(sec, Request{ID: id, Key: uint64(id), TimeLeft: 3600 * sec}, nil)
			}
			for b.Loop() {
				bal.Handle(sec, TimerFired{Token: holdTimer.forRequest(id)}, nil)
			}
		})
	}
}
