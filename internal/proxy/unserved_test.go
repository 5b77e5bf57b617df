package proxy

import (
	"fmt"
	"testing"

	"github.com/sirupsen/logrus"

	"spurspread/decision"
	"spurspread/decision/answercause"
	"spurspread/decision/lifecycle"
)

// Each final answer that a server did not give is counted by class and cause, in the statistics and the admin reply.
func TestUnservedIsCountedByCause(t *testing.T) {
	g := newHarness(t, 1, func(ev decision.Event) []decision.Action {
		if q, ok := ev.(decision.Request); ok {
			return []decision.Action{decision.Reject{ID: q.ID, Cause: answercause.NoCapacity}}
		}
		return nil
	}, func(cfg *Config) { cfg.Settings.Decision.MaxRetryAfter = 150_000 }) // less than is ever drawn
	for _, line := range []string{
		openLine, openLine, "OPEN 9b21 7f3a c=none,d=60000\r\n", "HELLO\r\n", another + "x\r\n",
	} {
		g.client(line).line()
	}
	g.inLoop(func() { g.proxy.drain.active, g.proxy.drain.stopping = true, true })
	g.client("OPEN 9b22 7f3a c=sync,d=60000\r\n").want("BUSY 150\r\n")
	g.inLoop(func() {
		g.proxy.drain.active, g.proxy.drain.stopping = false, false
		want := "+OK sync/no_capacity=1 sync/shutting_down=1 " +
			"unread/malformed=1 unread/unknown_class=1 unread/duplicate_id=1 unread/client_too_early=1"
		if got := g.proxy.HandleAdminCommand(lifecycle.CommandUnserved); got != want {
			t.Errorf("%q, want %q", got, want)
		}
		fields := logrus.Fields{}
		if g.proxy.stats.unserved.addTo(fields); fields["unserved_no_capacity_sync"] != 1 || len(fields) != 6 {
			t.Errorf("%v", fields)
		}
	})
}

// Classes that ever new settings bring do not grow the counters without end.
func TestUnservedClassesAreBounded(t *testing.T) {
	var counters unservedCounters
	for i := range 1000 {
		counters.add(fmt.Sprint("class", i), answercause.Shed)
	}
	if n := len(counters.byClass); n > maxUnservedClasses+2 {
		t.Errorf("%d classes", n)
	}
	if counters.byClass[otherClass] == nil {
		t.Error("further classes are not counted")
	}
}
