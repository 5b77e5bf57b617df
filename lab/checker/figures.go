package checker

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Figures has the counts and durations of a period of a run. Create it with NewFigures.
type Figures struct {
	Messages         int // delivered to clients
	Lost             int // messages left out without an announcement
	Repeated         int // messages delivered that the client had already
	Corrupt          int // messages that differ from the index, or were delivered before they were due
	AnnouncedGaps    int // messages left out, as announced by the answer to the client's open
	Moves            int // MOVE lines that clients read, with a token or without
	TokensIssued     int // tokens in MOVE lines
	TokensAccepted   int // opens with a token that were established at a node
	MaxLivePerToken  int // most connections that one token established and that were live at the same time
	MaxUsesPerToken  int // most connections that one token established over the whole run
	MaxLivePerStream int // most connections of one stream at the same time, over all nodes
	// SecondCopies counts opens that a node established while the same open was established already.
	SecondCopies int

	// SessionOpens counts opens without a token that nodes read, by the client's reason. Each costs a session call.
	SessionOpens map[string]int
	// StartOvers counts opens without a token that clients sent, by the client's reason.
	StartOvers map[string]int
	// Answers counts the final answers to opens with a token that clients read: by their first word, STALE by the whole
	// line, and "end" if the connection ended without an answer.
	Answers map[string]int

	Watched       WatchedFigures
	Delays        []time.Duration // of messages, from when they were due until clients read them
	Gaps          []time.Duration // without an established connection, from the end of one to the next UP
	Reestablished []time.Time     // when connections were established, except for each stream's first
}

// WatchedFigures has the figures of the streams selected by Watch.
type WatchedFigures struct {
	Delays []time.Duration // of their messages
	Gap    time.Duration   // the longest time between two messages of a stream
	Ends   int             // established connections that ended
}

// NewFigures returns figures with all counts 0.
func NewFigures() Figures {
	return Figures{
		SessionOpens: map[string]int{},
		StartOvers:   map[string]int{},
		Answers:      map[string]int{},
	}
}

// Add adds the figures of a later period, except for Watched, which is meaningful for a single period only.
func (f *Figures) Add(later Figures) {
	f.Messages += later.Messages
	f.Lost += later.Lost
	f.Repeated += later.Repeated
	f.Corrupt += later.Corrupt
	f.AnnouncedGaps += later.AnnouncedGaps
	f.Moves += later.Moves
	f.TokensIssued += later.TokensIssued
	f.TokensAccepted += later.TokensAccepted
	f.SecondCopies += later.SecondCopies
	f.MaxLivePerToken = max(f.MaxLivePerToken, later.MaxLivePerToken)
	f.MaxUsesPerToken = max(f.MaxUsesPerToken, later.MaxUsesPerToken)
	f.MaxLivePerStream = max(f.MaxLivePerStream, later.MaxLivePerStream)
	addCounts(f.SessionOpens, later.SessionOpens)
	addCounts(f.StartOvers, later.StartOvers)
	addCounts(f.Answers, later.Answers)
	f.Delays = append(f.Delays, later.Delays...)
	f.Gaps = append(f.Gaps, later.Gaps...)
	f.Reestablished = append(f.Reestablished, later.Reestablished...)
}

func addCounts(to, from map[string]int) {
	for word, n := range from {
		to[word] += n
	}
}

// SessionCalls returns the sum of SessionOpens.
func (f *Figures) SessionCalls() int {
	sum := 0
	for _, n := range f.SessionOpens {
		sum += n
	}
	return sum
}

// FormatCounts returns the words with their counts as one line, the most frequent word first and words of equal counts
// in alphabetical order.
func FormatCounts(counts map[string]int) string {
	var words []string
	for word := range counts {
		words = append(words, word)
	}
	slices.SortFunc(words, func(a, b string) int {
		if difference := counts[b] - counts[a]; difference != 0 {
			return difference
		}
		return strings.Compare(a, b)
	})
	var parts []string
	for _, word := range words {
		parts = append(parts, fmt.Sprintf("%d %s", counts[word], word))
	}
	return strings.Join(parts, ", ")
}
