package decision

import (
	"fmt"
	"math"
	"testing"
)

const (
	hintClients  = 200
	measuredLoad = 60_000 // of each connection, in microseconds of work per second
)

// hintPlay is a play of hintClients clients and so many servers that report the same load for each connection.
type hintPlay struct {
	servers  int
	isFalse  func(client int) bool // false clients claim the load hint, the others the measured load
	hint     float64               // in microseconds of work per second
	leaveOut bool                  // false clients don't come at all
}

// run returns how many of the clients that are not false are served, and the mean load, in cores, that the balancer
// assumes 10 s after the last client.
func (p hintPlay) run(t *testing.T) (served int, mean float64) {
	g := newHarness(t, loadReportingSettings(), twoCoreServers(p.servers))
	truthful := map[uint32]bool{}
	establish := func(actions []Action) {
		for _, a := range actionsOf[StartAttempt](actions) {
			if truthful[a.ID] {
				served++
			}
			g.handle(Established{ID: a.ID, Server: a.Server, SetupTime: 10 * ms})
			g.handle(ConnectionMetric{ID: a.ID, Server: a.Server, Kind: LoadMetric, Value: measuredLoad})
		}
	}
	for client := range hintClients {
		establish(g.advance(100 * ms))
		claimed := float64(measuredLoad)
		if p.isFalse(client) {
			claimed = p.hint
		}
		if p.leaveOut && p.isFalse(client) {
			continue
		}
		g.next++
		truthful[g.next] = !p.isFalse(client)
		group := uint64(1 + client%12)
		establish(g.handle(
			Request{ID: g.next, TimeLeft: 2 * sec, Group: group, LoadHint: claimed, HasLoadHint: true},
		))
	}
	establish(g.advance(10 * sec))
	return served, g.b.loadModel.MeanLoad()
}

// A server that reports impossible loads is avoided, and what clients get at the other servers stays as it is.
func TestImpossibleReportedLoads(t *testing.T) {
	const lying = 1
	for _, reported := range []float64{1e9, 1e12, math.MaxFloat64} {
		g := newHarness(t, loadReportingSettings(), twoCoreServers(9))
		served := 0
		for client := range hintClients / 2 { // fewer than eight honest servers can carry
			g.next++
			actions := g.handle(Request{ID: g.next, TimeLeft: 2 * sec, Group: uint64(1 + client%12)})
			for _, a := range append(actionsOf[StartAttempt](actions), actionsOf[StartAttempt](g.advance(100*ms))...) {
				load := float64(measuredLoad)
				if a.Server == lying {
					load = reported
				}
				served++
				g.handle(Established{ID: a.ID, Server: a.Server, SetupTime: 10 * ms})
				g.handle(ConnectionMetric{ID: a.ID, Server: a.Server, Kind: LoadMetric, Value: load})
			}
		}
		if served < hintClients/2 {
			t.Errorf("reported %g: %d of %d clients served", reported, served, hintClients/2)
		}
		if mean := g.b.loadModel.MeanLoad(); mean > 2*measuredLoad/microCoresPerCore {
			t.Errorf("reported %g: mean load %v, want at most twice that of the honest servers", reported, mean)
		}
	}
}

// A client's guess at its load shut all other clients out (incident 021). With false hints of any size the others are
// served as without those clients where there is room for all, and as with true hints where there is not, since all
// clients use the same load.
func TestFalseLoadHints(t *testing.T) {
	clients := map[string]func(int) bool{
		"the first client":    func(client int) bool { return client == 0 },
		"one client at once":  func(client int) bool { return client == 40 },
		"one client, often":   func(client int) bool { return client >= 40 && client < 60 },
		"a tenth":             func(client int) bool { return client%10 == 5 },
		"a tenth, from first": func(client int) bool { return client%10 == 0 },
	}
	for name, isFalse := range clients {
		for _, hint := range []float64{0, 1, 1e4, 1e8, 1e9, math.MaxUint32, math.MaxFloat64} {
			for _, want := range []hintPlay{
				{servers: 14, isFalse: isFalse, leaveOut: true},
				{servers: 9, isFalse: isFalse, hint: measuredLoad},
			} {
				t.Run(fmt.Sprintf("%s, h=%g, %d servers", name, hint, want.servers), func(t *testing.T) {
					wantServed, wantMean := want.run(t)
					served, mean := hintPlay{servers: want.servers, isFalse: isFalse, hint: hint}.run(t)
					if float64(served) < 0.95*float64(wantServed) {
						t.Errorf("%d truthful clients served, want at least 0.95 of %d", served, wantServed)
					}
					if math.Abs(mean-wantMean) > 0.05*wantMean {
						t.Errorf("mean load %v after 10 s, want %v", mean, wantMean)
					}
				})
			}
		}
	}
}
