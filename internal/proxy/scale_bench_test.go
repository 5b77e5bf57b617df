package proxy

import (
	"fmt"
	"testing"

	"github.com/sirupsen/logrus"

	"spurspread/decision/messagedelay"
	"spurspread/decision/monotime"
	"spurspread/internal/discovery"
	"spurspread/internal/eventloop"
)

// benchSizes are the numbers of established connections to measure with.
var benchSizes = []int{2_000, 5_000, 20_000, 80_000}

// benchServers is the number of servers over which these connections are spread.
const benchServers = 400

// proxyWithRequests returns a proxy with n established requests without sockets; busy of them have an unanswered line.
func proxyWithRequests(b *testing.B, n, busy int) *Proxy {
	b.Helper()
	l, err := eventloop.New()
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = l.Close() })
	p := newProxy(l, Config{}, logrus.New(), nil)
	var servers []*discovery.Server
	for i := range benchServers {
		servers = append(servers, &discovery.Server{Number: uint32(i)})
	}
	for i := range n {
		r := &request{
			proxy:             p,
			downstream:        &downstreamConn{proxy: p, conn: &eventloop.Conn{}},
			state:             stateEstablished,
			registered:        true,
			establishedStream: establishedStream{lastReply: l.Now()},
		}
		r.attempt = &attempt{
			proxy:     p,
			request:   r,
			server:    servers[i%benchServers],
			written:   true,
			connected: true,
			upstream:  &eventloop.Conn{},
		}
		p.requests.put(r)
		r.joinServer()
		if i < busy {
			r.awaitReply(l.Now())
		}
	}
	return p
}

// BenchmarkSweep measures the sweep, which runs five times a second and blocks the loop while it runs.
func BenchmarkSweep(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := proxyWithRequests(b, n, n/100)
			for b.Loop() {
				p.latencies.sweep()
			}
		})
	}
}

// BenchmarkListed measures a change of the server list, for which all requests without an answer are checked.
func BenchmarkListed(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := proxyWithRequests(b, n, 0)
			for b.Loop() {
				p.requests.handleServerListUpdate()
			}
		})
	}
}

// BenchmarkDelay measures the estimate of message latency, by the number of lines answered in the last second.
func BenchmarkDelay(b *testing.B) {
	for _, lines := range []int{2_000, 20_000, 70_000} {
		b.Run(fmt.Sprint(lines), func(b *testing.B) {
			var e messagedelay.Estimator
			for i := range lines {
				e.Record(monotime.Second, eventloop.Micros(i*7919%lines))
			}
			for b.Loop() {
				e.IsSlow(monotime.Second, eventloop.Micros(lines))
			}
		})
	}
}
