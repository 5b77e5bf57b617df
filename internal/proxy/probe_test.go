package proxy

import (
	"testing"

	"spurspread/decision"
	"spurspread/decision/outcome"
)

// Each probe reports one result, also if the server does not answer.
func TestProbes(t *testing.T) {
	for name, c := range map[string]struct {
		answer string
		want   outcome.Status
	}{
		"alive":   {"PONG\r\n", outcome.OK},
		"error":   {"ERR\r\n", outcome.ErrorResponse},
		"unknown": {"NO\r\n", outcome.ErrorResponse},
		"closed":  {"", outcome.Reset},
	} {
		h := newHarness(t, 1, nil, nil)
		h.loop.Post(func() { h.proxy.apply(decision.ProbeServer{Server: 0}) })
		server := h.acceptUpstream(0)
		server.expect("PING\r\n")
		server.send(c.answer)
		h.check(server.Close())
		if p := await[decision.ProbeResult](h); p.Status != c.want || p.Server != 0 {
			t.Errorf("%s: got %+v, want status %d of server 0", name, p, c.want)
		}
	}
	h := newHarness(t, 1, nil, func(cfg *Config) { cfg.Settings.ConnectTimeout = 500_000 })
	h.loop.Post(func() { h.proxy.apply(decision.ProbeServer{Server: 0}) })
	if p := await[decision.ProbeResult](h); p.Status != outcome.TimedOut {
		t.Errorf("silent server: got %+v, want status %d", p, outcome.TimedOut)
	}
}

// If the settings configure load reports, a probe asks the server for one. The values are passed on in the order of the
// settings' columns; a report that is incomplete or malformed is dropped as a whole.
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
		h := newHarness(
			t,
			1,
			nil,
			func(cfg *Config) { cfg.Settings.Decision.LoadReportColumns = []string{"depth", "tps", "x0"} },
		)
		h.loop.Post(func() { h.proxy.apply(decision.ProbeServer{Server: 0}) })
		server := h.acceptUpstream(0)
		server.expect("STATS\r\n")
		server.send(answer)
		if p := await[decision.ProbeResult](h); p.Status != outcome.OK || p.LoadReport != want {
			t.Errorf("%q: got %+v, want load report %+v", answer, p, want)
		}
	}
}
