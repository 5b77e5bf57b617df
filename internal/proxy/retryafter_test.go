package proxy

import (
	"strconv"
	"strings"
	"testing"

	"spurspread/decision/timeouts"
)

// Clients that the proxy itself rejects at one instant are not asked to come back at one instant.
func TestRejectedClientsComeBackSpread(t *testing.T) {
	const clients, parts = 500, 8
	g := newHarness(t, 1, decideNothing, func(cfg *Config) { cfg.Settings.Decision.MaxHeldRequests = 0 })
	var comeBack [parts]int
	for i := range clients {
		text, named := strings.CutPrefix(strings.TrimSpace(g.client(openLineWithID(i)).line()), "BUSY ")
		millis, err := strconv.Atoi(text)
		if !named || err != nil || millis < 200 || millis > 600 {
			t.Fatalf("rejected with %q", text)
		}
		comeBack[(millis-200)*parts/401]++
	}
	for part, n := range comeBack {
		if n > 2*clients/parts {
			t.Errorf("%d of %d come back in part %d of %d", n, clients, part, parts)
		}
	}
}

// Where the settings allow no advice none is given, by the proxy as by the core.
func TestNoAdviceWhereNoneIsAllowed(t *testing.T) {
	g := newHarness(t, 1, decideNothing, func(cfg *Config) {
		cfg.Settings.Decision.MaxHeldRequests = 0
		cfg.Settings.Decision.AllowRetryAfter = false
	})
	g.client(openLine).want("BUSY\r\n")
}

// A client whose server can't be reached for the whole of its wait costs few attempts.
func TestReattachingBacksOff(t *testing.T) {
	attempts := 0
	for waited := timeouts.Reattach(timeouts.MaxReattach); waited > 0; attempts++ {
		waited -= timeouts.ReattachRetry(attempts+1, 0)
	}
	if attempts > 20 {
		t.Errorf("%d attempts in %d s", attempts, timeouts.MaxReattach/1_000_000)
	}
}
