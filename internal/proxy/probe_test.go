package proxy

import (
	"testing"

	"spurspread/decision"
	"spurspread/decision/outcome"
)

// Each probe brings one result.
func TestProbes(t *testing.T) {
	for name, c := range map[string]struct {
		answer string
		want   outcome.Status
	}{
		"alive":  {"PONG\r\n", outcome.OK},
		"sick":   {"ERR\r\n", outcome.ErrorResponse},
		"barred": {"NO\r\n", outcome.ErrorResponse},
		"ended":  {"", outcome.Reset},
	} {
		g := newHarness(t, 1, nil, nil)
		g.loop.Post(func() { g.proxy.apply(decision.ProbeServer{Server: 0}) })
		server := g.acceptUpstream(0)
		server.want("PING\r\n")
		server.say(c.answer)
		g.check(server.Close())
		if p := event[decision.ProbeResult](g); p.Status != c.want || p.Server != 0 {
			t.Errorf("%s: %+v", name, p)
		}
	}
	g := newHarness(t, 1, nil, func(cfg *Config) { cfg.Settings.ConnectTimeout = 500_000 })
	g.loop.Post(func() { g.proxy.apply(decision.ProbeServer{Server: 0}) })
	if p := event[decision.ProbeResult](g); p.Status != outcome.TimedOut {
		t.Errorf("silent: %+v", p)
	}
}

// Where load reports are promised a probe asks for one and passes it on in the settings' order, or nothing of one that
// can't be read.
func TestProbesReturnLoadReports(t *testing.T) {
	for answer, want := range map[string]decision.LoadReport{
		"PONG depth=2,tps=0.431,x0=1.25\r\n":   {Count: 3, Values: [4]float32{2, 0.431, 1.25}},
		"PONG x0=0.5,depth=0,more=9,tps=1\r\n": {Count: 3, Values: [4]float32{0, 1, 0.5}},
		"PONG\r\n":                             {},
		"PONG depth=2,x0=1.25\r\n":             {},
		"PONG depth=2,tps=x,x0=1.25\r\n":       {},
		"PONG depth=2,tps=1,x0=-1\r\n":         {},
		"PONG depth=2,tps=1,x0=NaN,x0=1\r\n":   {},
	} {
		g := newHarness(
			t,
			1,
			nil,
			func(cfg *Config) { cfg.Settings.Decision.LoadReportColumns = []string{"depth", "tps", "x0"} },
		)
		g.loop.Post(func() { g.proxy.apply(decision.ProbeServer{Server: 0}) })
		server := g.acceptUpstream(0)
		server.want("STATS\r\n")
		server.say(answer)
		if p := event[decision.ProbeResult](g); p.Status != outcome.OK || p.LoadReport != want {
			t.Errorf("%q: %+v", answer, p)
		}
	}
}
