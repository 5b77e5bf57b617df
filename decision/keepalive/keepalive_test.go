package keepalive

import (
	"testing"

	"spurspread/decision/monotime"
)

// An upstream connection is pinged after 2 s without data, at most every 2 s, and closed after 5 s.
func TestUpstream(t *testing.T) {
	const now, ms = 100 * monotime.Second, monotime.Millisecond
	for name, c := range map[string]struct {
		received, ping monotime.Micros // before now
		want           Verdict
	}{
		"received recently":      {1999 * ms, 9000 * ms, Keep},
		"quiet":                  {2000 * ms, 9000 * ms, Ping},
		"quiet, pinged recently": {3000 * ms, 1999 * ms, Keep},
		"quiet, pinged earlier":  {3000 * ms, 2000 * ms, Ping},
		"just before timeout":    {4999 * ms, 1000 * ms, Keep},
		"timed out":              {5000 * ms, 1000 * ms, Close},
	} {
		if got := Upstream(now, now-c.received, now-c.ping); got != c.want {
			t.Errorf("%s: %d, want %d", name, got, c.want)
		}
	}
}

// A downstream connection is pinged after three quarters of the idle timeout. It is closed after the idle timeout, or
// after twice that time if it has channels.
func TestDownstream(t *testing.T) {
	const idle = 20 * monotime.Second
	for name, c := range map[string]struct {
		quiet    monotime.Micros
		channels int
		want     Verdict
	}{
		"data has just arrived":    {0, 0, Keep},
		"before the last interval": {15*monotime.Second - 1, 3, Keep},
		"nearly idle":              {15 * monotime.Second, 0, Ping},
		"idle without channels":    {idle, 0, Close},
		"idle with channels":       {idle, 1, Ping},
		"twice idle with channels": {2 * idle, 1, Close},
	} {
		if got := Downstream(c.quiet, idle, c.channels); got != c.want {
			t.Errorf("%s: %d, want %d", name, got, c.want)
		}
	}
	if got := DownstreamCheckInterval(idle); got != 5*monotime.Second {
		t.Errorf("checked every %d, want a quarter of the idle timeout", got)
	}
}
