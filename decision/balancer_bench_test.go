package decision

import (
	"fmt"
	"spurspread/decision/outcome"
	"testing"
)

// benchSizes are the numbers of standing connections over which a cost is looked at.
var benchSizes = []int{2_000, 5_000, 20_000, 80_000}

// balancerWithConnections is a balancer whose n connections stand at so many servers.
func balancerWithConnections(servers, n int) (*Balancer, uint32) {
	b := New(Settings{
		Balancers: 1, Zones: 1, MaxAttempts: 4, AllowCancel: true, AllowRetryAfter: true, MaxRetryAfter: sec, WarmupTime: 23 * sec,
		InitialCapacity: 0.13, OverloadFactor: 3, OverloadWindow: sec, Classes: []Class{{LatencyObjective: 300 * ms, Deadline: 1200 * ms, MessageLatencyObjective: 250 * ms}},
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

// playSetup is one connection's life: asked for, established, left again. It returns how often it was sent to a server.
func playSetup(b *Balancer, now Micros, id uint32) (sent int) {
	for _, a := range b.Handle(now, Request{ID: id, Key: uint64(id), TimeLeft: 1200 * ms}, nil) {
		if s, ok := a.(StartAttempt); ok {
			sent++
			b.Handle(now, Established{ID: id, Server: s.Server, SetupTime: ms}, nil)
			b.Handle(now, RequestCancelled{ID: id}, nil)
			b.Handle(
				now,
				AttemptEnded{ID: id, Server: s.Server, Status: outcome.Cancelled, RequestClosed: true},
				nil,
			)
		}
	}
	return sent
}

// A set-up while n stand.
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
	now, sent := sec, 0
	for b.Loop() {
		id++
		now += 100 * ms // so that no budget is spent
		sent += playSetup(bal, now, id)
	}
	if sent < b.N {
		b.Fatalf("%d of %d set-ups were sent", sent, b.N)
	}
}

// A tick, four times a second, while n stand.
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

// A look at a request that has to wait, 25 times a second for each that does: the limit of set-ups under way is
// reached.
func BenchmarkHeld(b *testing.B) {
	for _, servers := range []int{10, 100, 400, 1_000, 5_000} {
		b.Run(fmt.Sprint("servers-", servers), func(b *testing.B) {
			bal, id := balancerWithConnections(servers, 0)
			for range 100 { // more than may be under way
				id++
				bal.Handle(sec, Request{ID: id, Key: uint64(id), TimeLeft: 3600 * sec}, nil)
			}
			for b.Loop() {
				bal.Handle(sec, TimerFired{Token: holdTimer.forRequest(id)}, nil)
			}
		})
	}
}
