package proxy

import (
	"slices"
	"spurspread/internal/eventloop"
	"testing"

	"pgregory.net/rapid"
)

// A roster has what was put in and not taken out again, each once, and knows where.
func TestRoster(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := roster{place: func(s *session) *int32 { return &s.inAwaited }}
		all := make([]*session, 8)
		for i := range all {
			all[i] = &session{}
		}
		in := map[*session]bool{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			s := rapid.SampledFrom(all).Draw(t, "session")
			if in[s] = rapid.Bool().Draw(t, "add"); in[s] {
				q.add(s)
			} else {
				q.drop(s)
			}
		}
		for _, s := range all {
			if slices.Contains(q.all, s) != in[s] || in[s] && q.all[s.inAwaited-1] != s ||
				!in[s] && s.inAwaited != 0 {
				t.Fatalf("%v in %v, place %d", in[s], q.all, s.inAwaited)
			}
		}
		if seen := slices.Collect(q.each); len(seen) != len(slices.Compact(slices.Clone(q.all))) {
			t.Fatalf("%d yielded of %d", len(seen), len(q.all))
		}
		// Whoever leaves while all are looked at, those that stay are seen.
		seen := map[*session]bool{}
		for s := range q.each {
			seen[s] = true
			other := rapid.SampledFrom(all).Draw(t, "other")
			in[other] = in[other] && seen[other]
			if seen[other] {
				q.drop(other)
			}
		}
		for s, stays := range in {
			if stays && !seen[s] {
				t.Fatal("one that stayed was not yielded")
			}
		}
	})
}

// Where nobody expects notes of slow messages, what lines took is not kept: it would grow for as long as lines come.
func TestTimesAreNotKeptForNobody(t *testing.T) {
	g := newRig(t, 1, to, func(cfg *Config) { cfg.Settings.TellsDelay = false })
	client, target := g.stand()
	for range 3 {
		client.say("T 1\r\n")
		target.want("T 1\r\n")
		target.say("T 1\r\n")
		client.want("T 1\r\n")
	}
	kept := -1
	g.inLoop(func() {
		g.r.sweep()
		kept = len(g.r.pace(0).samples)
	})
	if kept != 0 {
		t.Fatalf("%d times are kept", kept)
	}
}

// Sessions are in the rosters that concern them, and in none once they are over.
func TestRostersFollowSessions(t *testing.T) {
	g := newRig(t, 1, to, nil)
	look := func(want [3]int) {
		t.Helper()
		var got [3]int
		for until := eventloop.Micros(0); got != want && until < 500; until++ { // lines come a moment later
			g.inLoop(
				func() { got = [3]int{len(g.r.underWay.all), len(g.r.awaited.all), len(g.r.pace(0).stands.all)} },
			)
		}
		if got != want {
			t.Fatalf("under way, awaited, standing: %v, want %v", got, want)
		}
	}
	client, target := g.stand()
	look([3]int{0, 0, 1})
	client.say("T 1\r\n")
	target.want("T 1\r\n")
	look([3]int{0, 1, 1})
	target.say("T 1\r\n")
	client.want("T 1\r\n")
	look([3]int{0, 0, 1})
	_ = client.Close()
	target.ended(true)
	_ = target.Close()
	look([3]int{})
}
