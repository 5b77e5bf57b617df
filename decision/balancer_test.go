package decision

import (
	"reflect"
	"testing"

	"spurspread/decision/outcome"
)

// The same settings, seed and events give the same actions.
func TestDeterminism(t *testing.T) {
	statuses := []outcome.Status{
		outcome.OK, outcome.ErrorResponse, outcome.TimedOut, outcome.ServerFull, outcome.Reset, outcome.ConnectFailed,
	}
	play := func() [][]Action {
		g := newHarness(t, testSettings(), serverList(12, 5))
		var log [][]Action
		for i := range 600 {
			g.now += 20 * ms
			g.next++
			actions := g.handle(
				Request{ID: g.next, TimeLeft: 2 * sec, LoadHint: float64(i%7 + 1), HasLoadHint: true},
			)
			log = append(log, actions)
			for _, sd := range actionsOf[StartAttempt](actions) {
				status := statuses[i%len(statuses)]
				if status == outcome.OK {
					log = append(
						log,
						g.handle(Established{ID: sd.ID, Server: sd.Server}),
						g.handle(
							ConnectionMetric{
								ID:     sd.ID,
								Server: sd.Server,
								Kind:   MessageLatencyMetric,
								Value:  float64(i % 200),
							},
						),
					)
				} else {
					log = append(log, g.endAttempt(sd.ID, sd.Server, 0, status))
				}
			}
			log = append(log, g.handle(TimerFired{tickTimer}))
		}
		return log
	}
	if a, b := play(), play(); !reflect.DeepEqual(a, b) {
		t.Fatal("two plays of the same events differ")
	}
}
