package checker

import (
	"strings"
	"testing"
	"time"

	"spurspread/lab/packageindex"
	"spurspread/lab/recorder"
)

func testIndex(now time.Time) *packageindex.Index {
	return &packageindex.Index{
		Epoch:            now.Add(-time.Hour),
		Interval:         10 * time.Millisecond,
		RetainedMessages: 1000,
		MessageBytes:     20,
	}
}

// observe passes the events of a script to a new checker, all with the time now. A script has a line for each event:
// "SIDE CONN > LINE" for a line sent, "SIDE CONN < LINE" for a line read, "SIDE CONN end" for an end. A LINE "#N" with
// one digit is replaced by the index's message N.
func observe(t *testing.T, now time.Time, script string) *Checker {
	t.Helper()
	index := testIndex(now)
	c := New(index)
	for _, step := range strings.Split(strings.TrimSpace(script), "\n") {
		if step = strings.TrimSpace(step); step == "" {
			continue
		}
		fields := strings.SplitN(step, " ", 4)
		e := recorder.Event{At: now, Side: recorder.Client, Name: fields[0], Conn: uint64(fields[1][0])}
		if fields[0] != "c" {
			e.Side = recorder.Node
		}
		switch fields[2] {
		case "end":
			e.End = true
		case ">":
			e.Sent = true
		case "<":
		default:
			t.Fatalf("unknown event in the script: %q", step)
		}
		if !e.End {
			e.Line = []byte(fields[3])
			if n := strings.TrimPrefix(fields[3], "#"); n != fields[3] && len(n) == 1 {
				e.Line = index.AppendMessage(nil, 5, uint64(n[0]-'0'))
				e.Line = e.Line[:len(e.Line)-2]
			}
		}
		c.Record(e)
	}
	return c
}

// The checker must detect each fault of the protocol, and accept correct runs.
func TestChecker(t *testing.T) {
	const begin = `
		c 1 > OPEN a 5 c=s,d=1,tok=ask
		n 1 < OPEN a 5 c=s,d=1,tok=ask
		n 1 > UP r from=2
		c 1 < UP r from=2
		c 1 < #3
		c 1 < #4`
	const moved = begin + `
		c 1 < MOVE T
		n 1 end
		c 1 end
		c 2 > OPEN b 5 c=s,d=1,cur=4,tok=T
		n 2 < OPEN b 5 c=s,d=1,cur=4,tok=T
		n 2 > UP r from=4
		c 2 < UP r from=4`
	for name, c := range map[string]struct {
		script string
		want   func(f *Figures) bool
	}{
		"correct run": {moved + "\nc 2 < #5", func(f *Figures) bool {
			return f.Lost+f.Repeated+f.Corrupt == 0 && f.MaxLivePerToken == 1 && f.Messages == 3 && len(f.Gaps) == 1
		}},
		"lost":                {moved + "\nc 2 < #7", func(f *Figures) bool { return f.Lost == 2 }},
		"repeated":            {moved + "\nc 2 < #4", func(f *Figures) bool { return f.Repeated == 1 }},
		"corrupt":             {moved + "\nc 2 < #5 abc", func(f *Figures) bool { return f.Corrupt == 1 }},
		"before it is due":    {moved + "\nc 2 < #9999999 abc", func(f *Figures) bool { return f.Corrupt == 1 }},
		"answer, not message": {moved + "\nc 2 < OK #9 x", func(f *Figures) bool { return f.Lost+f.Corrupt == 0 }},
		"announced gap": {
			strings.ReplaceAll(moved, "from=4", "from=6") + "\nc 2 < #7",
			func(f *Figures) bool { return f.Lost == 0 && f.AnnouncedGaps == 2 },
		},
		"two live connections of a token": {
			moved + "\nn 3 < OPEN c 5 c=s,d=1,cur=4,tok=T\nn 3 > UP r from=4",
			func(f *Figures) bool { return f.MaxLivePerToken == 2 },
		},
		"successive connections of a token": {
			moved + "\nn 2 end\nn 3 < OPEN c 5 c=s,d=1,cur=4,tok=T\nn 3 > UP r from=4",
			func(f *Figures) bool { return f.MaxLivePerToken == 1 && f.MaxUsesPerToken == 2 },
		},
		"two live connections of a stream": {
			strings.ReplaceAll(moved, "n 1 end", "") + "",
			func(f *Figures) bool { return f.MaxLivePerToken == 1 && f.MaxLivePerStream == 2 },
		},
		"refused token": {begin +
			"\nc 1 < MOVE T\nc 2 > OPEN b 5 c=s,d=1,cur=4,tok=T\nc 2 < STALE gone\nc 2 end\nc 3 > OPEN d 5 " +
			"c=s,d=1,cur=4,tok=ask\nn 3 < OPEN d 5 c=s,d=1,cur=4,tok=ask", func(f *Figures) bool {
			return f.Answers["STALE gone"] == 1 && f.SessionOpens["token, then STALE gone"] == 1 &&
				f.SessionOpens["first"] == 1 && f.SessionCalls() == 2
		}},
		"end without MOVE": {
			begin +
				"\nc 1 end\nc 3 > OPEN d 5 c=s,d=1,cur=4\nn 3 < OPEN d 5 c=s,d=1,cur=4",
			func(f *Figures) bool { return f.SessionOpens["end without MOVE"] == 1 },
		},
		"second copy of an open": {
			begin + "\nn 3 < OPEN a 5 c=s,d=1\nn 3 > UP r",
			func(f *Figures) bool { return f.SecondCopies == 1 },
		},
		"retry of an open after its end": {
			begin + "\nn 1 end\nn 3 < OPEN a 5 c=s,d=1\nn 3 > UP r",
			func(f *Figures) bool { return f.SecondCopies == 0 },
		},
		"without from=, the first message sets the cursor": {
			"c 1 > OPEN a 5 c=s,d=1\nc 1 < UP r\nc 1 < #7\nc 1 < #9",
			func(f *Figures) bool { return f.Lost == 1 && f.Messages == 2 },
		},
	} {
		f := observe(t, time.Now(), c.script).TakeFigures()
		if !c.want(&f) {
			t.Errorf("%s: unexpected figures %+v", name, f)
		}
	}
}

func TestEstablished(t *testing.T) {
	now := time.Now()
	c := observe(t, now, "c 1 > OPEN a 5 c=s,d=1,tok=ask\nc 1 < UP r from=2")
	if established, behind := c.Established(now, 0); established != 1 || behind != 1 {
		t.Errorf("%d streams established, %d behind, want 1 and 1", established, behind)
	}
	if established, behind := c.Established(now, time.Hour); established != 1 || behind != 0 {
		t.Errorf("with a slack of 1h: %d streams established, %d behind, want 1 and 0", established, behind)
	}
	c.Record(recorder.Event{At: now, Side: recorder.Client, Conn: '1', End: true})
	if established, _ := c.Established(now, 0); established != 0 {
		t.Error("the stream is established although its connection has ended")
	}
}
