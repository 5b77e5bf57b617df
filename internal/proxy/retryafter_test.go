package proxy

import (
	"strconv"
	"strings"
	"testing"

	"spurspread/decision/timeouts"
)

// Clients that the proxy itself rejects get different retry delays, so that they don't all come back at the same time.
func TestRetryDelaysAreSpread(t *testing.T) {
	const clients, parts = 500, 8
	h := newHarness(t, 1, decideNothing, func(cfg *Config) { cfg.Settings.Decision.MaxHeldRequests = 0 })
	var retries [parts]int
	for i := range clients {
		text, ok := strings.CutPrefix(strings.TrimSpace(h.connect(openLineWithID(i)).readLine()), "BUSY ")
		millis, err := strconv.Atoi(text)
		if !ok || err != nil || millis < 200 || millis > 600 {
			t.Fatalf("rejected with retry delay %q, want 200 to 600 ms", text)
		}
		retries[(millis-200)*parts/401]++
	}
	for part, n := range retries {
		if n > 2*clients/parts {
			t.Errorf("%d of %d retry in part %d of %d, want at most %d", n, clients, part, parts, 2*clients/parts)
		}
	}
}

// If the settings forbid retry delays, the proxy's own rejections have none either.
func TestNoRetryDelayIfForbidden(t *testing.T) {
	h := newHarness(t, 1, decideNothing, func(cfg *Config) {
		cfg.Settings.Decision.MaxHeldRequests = 0
		cfg.Settings.Decision.AllowRetryAfter = false
	})
	h.connect(openLine).expect("BUSY\r\n")
}

// A request that reattaches to a server that stays unreachable makes at most 20 attempts before it is answered.
func TestReattachingBacksOff(t *testing.T) {
	attempts := 0
	for waited := timeouts.Reattach(timeouts.MaxReattach); waited > 0; attempts++ {
		waited -= timeouts.ReattachRetry(attempts+1, 0)
	}
	if attempts > 20 {
		t.Errorf("%d attempts in %d s, want at most 20", attempts, timeouts.MaxReattach/1_000_000)
	}
}
