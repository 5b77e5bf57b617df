package timeouts

import (
	"testing"

	"spurspread/decision/monotime"
)

const (
	ms  = monotime.Millisecond
	sec = monotime.Second
)

func TestCombinedLimits(t *testing.T) {
	for name, c := range map[string]struct{ got, want monotime.Micros }{
		"class deadline bounds the client": {Request(9*sec, 3*sec), 3 * sec},
		"client waits for less":            {Request(1*sec, 3*sec), 1 * sec},
		"reattaching is bounded":           {Reattach(60 * sec), MaxReattach},
		"reattaching, as announced":        {Reattach(2 * sec), 2 * sec},
		"reattaching, overdue":             {ReattachAttempt(-5), 1 * ms},
		"reattaching, time left":           {ReattachAttempt(2 * sec), 2 * sec},
		"attempt without its own timeout":  {Attempt(0, 2*sec), 2 * sec},
		"attempt longer than client waits": {Attempt(3*sec, 2*sec), 2 * sec},
		"attempt shorter":                  {Attempt(1*sec, 2*sec), 1 * sec},
		"client is overdue":                {Attempt(1*sec, -5), 0},
		"connecting":                       {Connect(2*sec, 100*ms), 100 * ms},
		"connecting with little left":      {Connect(50*ms, 100*ms), 50 * ms},
		"multiplexed set-up":               {MuxSetup(100 * ms), 300 * ms},
		"waiting for multiplexed set-up":   {MuxAttempt(200*ms, 100*ms), 200 * ms},
		"written request":                  {AnswerDeadline(5*sec, 2*sec, true), 5 * sec},
		"unwritten request":                {AnswerDeadline(5*sec, 2*sec, false), 2 * sec},
		"unwritten, without a window":      {AnswerDeadline(5*sec, 0, false), 5 * sec},
	} {
		if c.got != c.want {
			t.Errorf("%s: %d, want %d", name, c.got, c.want)
		}
	}
}

// Constants that the protocol depends on. A client has an answer or the end of its connection within 3 s of connecting,
// and an unresponsive server is abandoned within 7 s, including 0.9 s in which a line in transmission may end.
func TestProtocolLimits(t *testing.T) {
	for name, c := range map[string]struct{ got, want monotime.Micros }{
		"first line":           {FirstLine, 2 * sec},
		"health checker":       {HealthCheckIdleTimeout, 60 * sec},
		"reading the answer":   {Linger, 800 * ms},
		"reattaching":          {MaxReattach, 40 * sec},
		"half-closed":          {HalfClose, 5 * sec},
		"unresponsive":         {UnresponsiveTimeout, 5500 * ms},
		"first retry":          {ReattachRetry(1, 0.5), 250 * ms},
		"third retry":          {ReattachRetry(3, 0.5), sec},
		"later retries":        {ReattachRetry(1000, 0.5), 4 * sec},
		"shortest retry pause": {ReattachRetry(1, 0), 187500},
		"longest retry pause":  {ReattachRetry(1000, 1), 5 * sec},
		"answer to a probe":    {ProbeReply, 150 * ms},
		"restart of a watch":   {WatchRestartDelay, 500 * ms},
	} {
		if c.got != c.want {
			t.Errorf("%s: %d, want %d", name, c.got, c.want)
		}
	}
}

func TestWriteForbidden(t *testing.T) {
	if WriteForbidden(9*sec, 0) || WriteForbidden(sec-1, sec) || !WriteForbidden(sec, sec) {
		t.Error("writing must be forbidden from the end of the window on, and never without a window")
	}
}

func TestAnnouncedDeadline(t *testing.T) {
	for left, want := range map[monotime.Micros]int64{-sec: 1, 0: 1, ms: 1, 2*ms - 1: 1, 2 * ms: 2, 3 * sec: 3000} {
		if got := AnnouncedDeadline(left); got != want {
			t.Errorf("%d µs left: %d, want %d", left, got, want)
		}
	}
}

func TestUnresponsive(t *testing.T) {
	for name, c := range map[string]struct {
		lastReply, oldest monotime.Micros
		want              bool
	}{
		"answered recently":          {15 * sec, 15 * sec, false},
		"long pause, then a line":    {0, 19 * sec, false},
		"no reply":                   {13 * sec, 15 * sec, true},
		"at the limit":               {14500 * ms, 16500 * ms, false},
		"one microsecond beyond it":  {14500*ms - 1, 14500 * ms, true},
		"pause of the client":        {14500*ms - 1, 16500 * ms, false},
		"longer pause of the client": {14500*ms - 1, 16500*ms - 1, true},
		"recent reply to older line": {19 * sec, 10 * sec, false},
		"pause beyond one interval":  {0, 16*sec + 500*ms - 1, true},
	} {
		if got := Unresponsive(20*sec, c.lastReply, c.oldest); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}
