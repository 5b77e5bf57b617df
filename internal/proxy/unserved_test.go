package proxy

import (
	"fmt"
	"testing"

	"github.com/sirupsen/logrus"

	"spurspread/decision"
	"spurspread/decision/answercause"
	"spurspread/decision/lifecycle"
)

// Each final answer that the proxy itself gives is counted by class and cause, in the statistics and the admin reply.
func TestUnservedIsCountedByCause(t *testing.T) {
	h := newHarness(t, 1, func(ev decision.Event) []decision.Action {
		if req, ok := ev.(decision.Request); ok {
			return []decision.Action{decision.Reject{ID: req.ID, Cause: answercause.NoCapacity}}
		}
		return nil
	}, func(cfg *Config) { cfg.Settings.Decision.MaxRetryAfter = 150_000 }) // caps every randomized delay
	for _, line := range []string{
		openLine, openLine, "OPEN 9b21 7f3a c=none,d=60000\r\n", "HELLO\r\n", otherOpenLine + "x\r\n",
	} {
		h.connect(line).readLine()
	}
	h.onLoop(func() { h.proxy.drain.active, h.proxy.drain.stopping = true, true })
	h.connect("OPEN 9b22 7f3a c=sync,d=60000\r\n").expect("BUSY 150\r\n")
	h.onLoop(func() {
		h.proxy.drain.active, h.proxy.drain.stopping = false, false
		want := "+OK sync/no_capacity=1 sync/shutting_down=1 " +
			"unread/malformed=1 unread/unknown_class=1 unread/duplicate_id=1 unread/client_too_early=1"
		if got := h.proxy.HandleAdminCommand(lifecycle.CommandUnserved); got != want {
			t.Errorf("UNSERVED answered %q, want %q", got, want)
		}
		fields := logrus.Fields{}
		if h.proxy.stats.unserved.addTo(fields); fields["unserved_no_capacity_sync"] != 1 || len(fields) != 6 {
			t.Errorf("statistics have %v, want 6 fields, and 1 for no_capacity of class sync", fields)
		}
	})
}

// The number of classes with counters is limited, even if reloads bring new class names again and again.
func TestUnservedClassesAreBounded(t *testing.T) {
	var counters unservedCounters
	for i := range 1000 {
		counters.add(fmt.Sprint("class", i), answercause.Shed)
	}
	if n := len(counters.byClass); n > maxUnservedClasses+2 {
		t.Errorf("counters for %d classes, want at most %d", n, maxUnservedClasses+2)
	}
	if counters.byClass[otherClass] == nil {
		t.Errorf("no counters for class %q, want the classes beyond the limit counted there", otherClass)
	}
}
