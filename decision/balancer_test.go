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
	run := func() [][]Action {
		g := newHarness(t, testSettings(), serverList(12, 5))
		var log [][]Action
		for i := range 600 {
			g.now += 20 * ms
			g.next++
			actions := g.handle(
				Request{ID: g.next, TimeLeft: 2 * sec, LoadHint: float64(i%7 + 1), HasLoadHint: true},
			)
			log = append(log, actions)
			for _, attempt := range actionsOf[StartAttempt](actions) {
				status := statuses[i%len(statuses)]
				if status == outcome.OK {
					log = append(
						log,
						g.handle(Established{ID: attempt.ID, Server: attempt.Server}),
						g.handle(
							ConnectionMetric{
								ID:     attempt.ID,
								Server: attempt.Server,
								Kind:   MessageLatencyMetric,
								Value:  float64(i % 200),
							},
						),
					)
				} else {
					log = append(log, g.endAttempt(attempt.ID, attempt.Server, 0, status))
				}
			}
			log = append(log, g.handle(TimerFired{tickTimer}))
		}
		return log
	}
	if a, b := run(), run(); !reflect.DeepEqual(a, b) {
		t.Fatal("two runs with the same events have different actions")
	}
}
