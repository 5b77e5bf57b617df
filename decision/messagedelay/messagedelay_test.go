package messagedelay

import (
	"testing"

	"pgregory.net/rapid"

	"spurspread/decision/monotime"
)

const millisecond = monotime.Millisecond

// Answered lines count with the time that they took, unanswered ones with their age. There is one report a second while
// the server is slow, and one when it no longer is.
func TestServerLatency(t *testing.T) {
	const limit = 16 * millisecond
	e := &Estimator{}
	steps := []struct {
		now, took, age monotime.Micros
		known, due     bool
	}{
		{0, 0, 0, false, false},
		{100 * millisecond, 2 * millisecond, 0, true, false},
		{200 * millisecond, 0, 300 * millisecond, true, true}, // an unanswered line
		{400 * millisecond, 0, 500 * millisecond, true, false},
		{1300 * millisecond, 40 * millisecond, 0, true, true},
		{2400 * millisecond, 3 * millisecond, 0, true, true}, // fast again
		{2600 * millisecond, 3 * millisecond, 10 * millisecond, true, false},
	}
	for i, c := range steps {
		if c.took > 0 {
			e.Record(c.now, c.took)
		}
		e.ResetUnanswered()
		if c.age > 0 {
			e.AddUnanswered(c.age)
		}
		slow, _ := e.IsSlow(c.now, limit)
		took, known := e.Median(c.now, limit)
		if slow != (took > limit) {
			t.Errorf("step %d: median %d, slow %v, want %v", i, took, slow, took > limit)
		}
		if known != c.known || known && e.reportDue(c.now, took > limit) != c.due {
			t.Errorf("step %d: median %d, known %v, want known %v and a report due: %v", i, took, known, c.known, c.due)
		}
	}
}

// Nothing is reported for a server that reports its own latency while its lines are answered quickly, nor without a
// connection.
func TestReportIsSuppressed(t *testing.T) {
	const limit = 16 * millisecond
	slowNow := func() *Estimator {
		e := &Estimator{}
		e.Record(0, 2*limit)
		return e
	}
	e := slowNow()
	if _, due := e.Report(0, limit, false); due {
		t.Error("reported without a connection")
	}
	if latency, due := e.Report(0, limit, true); !due || latency != 2*limit {
		t.Errorf("slow server: latency %d, due %v, want %d and true", latency, due, 2*limit)
	}
	e.SelfReported(1500 * millisecond)
	e.Record(1500*millisecond, 1)
	if _, due := e.Report(1500*millisecond, limit, true); due {
		t.Error("fast lines override the latency that the server reports")
	}
	if latency, due := e.Report(1500*millisecond+selfReportValidity, limit, true); due {
		t.Errorf("latency %d reported without a sample, want no report", latency)
	}
	e = slowNow()
	e.SelfReported(0)
	if _, due := e.Report(1, limit, true); !due {
		t.Error("slow lines of a server with its own reports are not reported")
	}
}

func TestSlowLimit(t *testing.T) {
	for want, objectives := range map[monotime.Micros][]monotime.Micros{
		0:                {},
		20 * millisecond: {0, 90 * millisecond, 60 * millisecond},
		10 * millisecond: {30 * millisecond, 0},
	} {
		if got := SlowLimit(objectives); got != want {
			t.Errorf("%v: %d, want %d", objectives, got, want)
		}
	}
}

func TestLoadLineIsLatency(t *testing.T) {
	if !LoadLineIsLatency(true, false) || LoadLineIsLatency(true, true) || LoadLineIsLatency(false, false) {
		t.Error("the number must be a latency only if servers report latency and no load")
	}
}

// IsSlow agrees with Median for any lines.
func TestSlowByTheMedian(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := monotime.Micros(rapid.Int64Range(1, 100).Draw(t, "limit"))
		e, now := &Estimator{}, monotime.Micros(0)
		for range rapid.IntRange(0, 20).Draw(t, "lines") {
			now += monotime.Micros(rapid.Int64Range(0, 300_000).Draw(t, "pause"))
			e.Record(now, monotime.Micros(rapid.Int64Range(0, 200).Draw(t, "took")))
		}
		for range rapid.IntRange(0, 10).Draw(t, "unanswered") {
			e.AddUnanswered(monotime.Micros(rapid.Int64Range(0, 200).Draw(t, "age")))
		}
		slow, known := e.IsSlow(now, limit)
		median, medianKnown := e.Median(now, limit)
		if known != medianKnown || slow != (median > limit) {
			t.Fatalf("slow %v, known %v; median %d, known %v; want slow only above %d, of %+v",
				slow, known, median, medianKnown, limit, e)
		}
	})
}
