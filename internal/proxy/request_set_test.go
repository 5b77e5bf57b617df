package proxy

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"spurspread/internal/eventloop"
)

// A request set has what was put in and not taken out again, each once, and knows where.
func TestRequestSet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := requestSet{index: func(s *request) *int32 { return &s.awaitingReplyIndex }}
		all := make([]*request, 8)
		for i := range all {
			all[i] = &request{}
		}
		in := map[*request]bool{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			s := rapid.SampledFrom(all).Draw(t, "request")
			if in[s] = rapid.Bool().Draw(t, "add"); in[s] {
				q.add(s)
			} else {
				q.remove(s)
			}
		}
		for _, s := range all {
			if slices.Contains(q.members, s) != in[s] || in[s] && q.members[s.awaitingReplyIndex-1] != s ||
				!in[s] && s.awaitingReplyIndex != 0 {
				t.Fatalf("%v in %v, place %d", in[s], q.members, s.awaitingReplyIndex)
			}
		}
		if seen := slices.Collect(q.each); len(seen) != len(slices.Compact(slices.Clone(q.members))) {
			t.Fatalf("%d yielded of %d", len(seen), len(q.members))
		}
		// Whoever leaves while all are looked at, those that stay are seen.
		seen := map[*request]bool{}
		for s := range q.each {
			seen[s] = true
			other := rapid.SampledFrom(all).Draw(t, "other")
			in[other] = in[other] && seen[other]
			if seen[other] {
				q.remove(other)
			}
		}
		for s, stays := range in {
			if stays && !seen[s] {
				t.Fatal("one that stayed was not yielded")
			}
		}
	})
}

// Requests are in the sets that concern them, and in none once they are over.
func TestRequestSetsFollowRequests(t *testing.T) {
	g := newHarness(t, 1, sendToFirst, nil)
	look := func(want [3]int) {
		t.Helper()
		var got [3]int
		for until := eventloop.Micros(0); got != want && until < 500; until++ { // lines come a moment later
			g.inLoop(
				func() {
					got = [3]int{
						len(g.proxy.requests.unanswered.members),
						len(g.proxy.requests.awaitingReply.members),
						len(g.proxy.latencies.forServer(0).established.members),
					}
				},
			)
		}
		if got != want {
			t.Fatalf("unanswered, awaiting a reply, established: %v, want %v", got, want)
		}
	}
	client, server := g.establish()
	look([3]int{0, 0, 1})
	client.say("T 1\r\n")
	server.want("T 1\r\n")
	look([3]int{0, 1, 1})
	server.say("T 1\r\n")
	client.want("T 1\r\n")
	look([3]int{0, 0, 1})
	_ = client.Close()
	server.ended(true)
	_ = server.Close()
	look([3]int{})
}
