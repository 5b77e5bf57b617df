package proxy

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"spurspread/internal/eventloop"
)

// A request set holds each request that was added and not removed exactly once, and each request's index is its
// position. The method each yields all members, also if members are removed while it runs.
func TestRequestSet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := requestSet{index: func(r *request) *int32 { return &r.awaitingReplyIndex }}
		all := make([]*request, 8)
		for i := range all {
			all[i] = &request{}
		}
		in := map[*request]bool{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			r := rapid.SampledFrom(all).Draw(t, "request")
			if in[r] = rapid.Bool().Draw(t, "add"); in[r] {
				set.add(r)
			} else {
				set.remove(r)
			}
		}
		for _, r := range all {
			if slices.Contains(set.members, r) != in[r] || in[r] && set.members[r.awaitingReplyIndex-1] != r ||
				!in[r] && r.awaitingReplyIndex != 0 {
				t.Fatalf("want member: %v, in %v, index %d", in[r], set.members, r.awaitingReplyIndex)
			}
		}
		if seen := slices.Collect(set.each); len(seen) != len(slices.Compact(slices.Clone(set.members))) {
			t.Fatalf("each yielded %d requests, want %d", len(seen), len(set.members))
		}
		// Members may be removed during an iteration; those that stay must still be yielded.
		seen := map[*request]bool{}
		for r := range set.each {
			seen[r] = true
			other := rapid.SampledFrom(all).Draw(t, "other")
			in[other] = in[other] && seen[other]
			if seen[other] {
				set.remove(other)
			}
		}
		for r, stays := range in {
			if stays && !seen[r] {
				t.Fatal("each did not yield a request that was not removed during the iteration")
			}
		}
	})
}

// A request is in the sets that its state requires, and in none once it is closed.
func TestRequestSetsFollowRequests(t *testing.T) {
	h := newHarness(t, 1, sendToFirst, nil)
	expect := func(want [3]int) {
		t.Helper()
		var got [3]int
		for until := eventloop.Micros(0); got != want && until < 500; until++ { // the loop reads lines with a delay
			h.onLoop(
				func() {
					got = [3]int{
						len(h.proxy.requests.unanswered.members),
						len(h.proxy.requests.awaitingReply.members),
						len(h.proxy.latencies.forServer(0).established.members),
					}
				},
			)
		}
		if got != want {
			t.Fatalf("unanswered, awaiting a reply, established: %v, want %v", got, want)
		}
	}
	client, server := h.establish()
	expect([3]int{0, 0, 1})
	client.send("T 1\r\n")
	server.expect("T 1\r\n")
	expect([3]int{0, 1, 1})
	server.send("T 1\r\n")
	client.expect("T 1\r\n")
	expect([3]int{0, 0, 1})
	_ = client.Close()
	server.expectEnd(true)
	_ = server.Close()
	expect([3]int{})
}
