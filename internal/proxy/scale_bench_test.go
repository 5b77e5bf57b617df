package proxy

import (
	"fmt"
	"spurspread/internal/discovery"
	"spurspread/internal/eventloop"
	"testing"

	"github.com/sirupsen/logrus"
)

// benchSizes are the numbers of standing connections over which a cost is looked at.
var benchSizes = []int{2_000, 5_000, 20_000, 80_000}

// benchServers are the targets that they stand at.
const benchServers = 400

// proxyWithRequests is a relay with n standing sessions that have no sockets, busy of them with a line that is unanswered.
func proxyWithRequests(b *testing.B, n, busy int) *Proxy {
	b.Helper()
	l, err := eventloop.New()
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = l.Close() })
	r := &Proxy{
		loop:       l,
		log:        logrus.New(),
		maxPending: maxPendingBytes,
		requestIDs: newRequestIDs(),
		servers:    discovery.NewServerList(),
	}
	r.initRequestSets()
	var targets []*discovery.Server
	for i := range benchServers {
		targets = append(targets, &discovery.Server{Number: uint32(i)})
	}
	for i := range n {
		s := &request{
			proxy:       r,
			downstream:  &downstreamConn{proxy: r, conn: &eventloop.Conn{}},
			state:       stateEstablished,
			moduleKnows: true,
			lastReply:   l.Now(),
		}
		s.attempt = &upstreamAttempt{
			proxy:     r,
			request:   s,
			server:    targets[i%benchServers],
			sent:      true,
			connected: true,
			upstream:  &eventloop.Conn{},
		}
		s.ref = r.requests.Put(s)
		s.noteEstablished()
		if i < busy {
			s.awaitReply(l.Now())
		}
	}
	return r
}

// A sweep comes five times a second, and nothing else of the loop has its turn meanwhile.
func BenchmarkSweep(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := proxyWithRequests(b, n, n/100)
			for b.Loop() {
				r.sweep()
			}
		})
	}
}

// Each word of discovery has what is on its way looked at.
func BenchmarkListed(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := proxyWithRequests(b, n, 0)
			for b.Loop() {
				r.recallUnsent()
				for s := range r.unanswered.each {
					s.reattach()
				}
			}
		})
	}
}

// So many lines were answered in the last second, of all targets together.
func BenchmarkDelay(b *testing.B) {
	for _, lines := range []int{2_000, 20_000, 70_000} {
		b.Run(fmt.Sprint(lines), func(b *testing.B) {
			var p serverLatency
			for i := range lines {
				p.record(second, eventloop.Micros(i*7919%lines))
			}
			for b.Loop() {
				p.isSlow(second, eventloop.Micros(lines))
			}
		})
	}
}
