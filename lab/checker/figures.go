package checker

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Figures are the counts of a stretch of a run. Make them with NewFigures.
type Figures struct {
	Messages         int // delivered to clients
	Lost             int // left out without an announcement
	Repeated         int // delivered though the client had them
	Corrupt          int // not what the index has, or delivered before they were due
	AnnouncedGaps    int // left out, and announced by the answer to the client's open
	Moves            int // MOVE lines that clients read, with a token or without
	TokensIssued     int // issued with MOVE
	TokensAccepted   int // opens with a token that were established at a node
	MaxLivePerToken  int // connections of one token at the same time
	MaxUsesPerToken  int // connections of one token over the whole run
	MaxLivePerStream int // connections of one stream at the same time, at all nodes
	// SecondCopies counts first lines that were established at a node while the same line was established already.
	SecondCopies int

	// SessionOpens are first lines without a token that nodes read, by why the client opened: each costs a call.
	SessionOpens map[string]int
	// StartOvers are first lines without a token that clients sent, by why.
	StartOvers map[string]int
	// Answers are the final answers that clients read to a token, by their first words.
	Answers map[string]int

	Watched       WatchedFigures
	Delays        []time.Duration // of messages, from when they were due until they were read
	Gaps          []time.Duration // without an established connection, from each end to the next UP
	Reestablished []time.Time     // when connections were established that were not their stream's first
}

// WatchedFigures are the counts of the streams that Watch chose.
type WatchedFigures struct {
	Delays []time.Duration // of their messages
	Gap    time.Duration   // the longest between two messages of one of them
	Ends   int             // of their connections
}

// NewFigures are figures with all counts 0.
func NewFigures() Figures {
	return Figures{
		SessionOpens: map[string]int{},
		StartOvers:   map[string]int{},
		Answers:      map[string]int{},
	}
}

// Add adds the figures of a later stretch, except for Focus, which belongs to one stretch.
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

// SessionCalls is the sum of SessionOpens.
func (f *Figures) SessionCalls() int {
	sum := 0
	for _, n := range f.SessionOpens {
		sum += n
	}
	return sum
}

// FormatCounts lists counted words, the most frequent first and equal ones in alphabetical order.
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
