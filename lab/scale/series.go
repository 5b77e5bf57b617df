package scale

import "sort"

const (
	// windowMicros is the span over which costs are judged: the worst window counts.
	windowMicros = 10_000_000
	// windowStepMicros is the distance between the beginnings of two windows.
	windowStepMicros = 1_000_000
)

// series is a sum that only grows, as it was reported from time to time.
type series struct {
	times []int64   // wall clock, microseconds, ascending
	sums  []float64 // at these times
}

// add records that the sum has grown by an amount at a time. A time before the last one counts as the last one: the
// clock may have been set back.
func (s *series) add(at int64, amount float64) {
	sum := 0.0
	if last := len(s.sums) - 1; last >= 0 {
		sum = s.sums[last]
		at = max(at, s.times[last])
	}
	s.times = append(s.times, at)
	s.sums = append(s.sums, sum+amount)
}

// valueAt is the sum at a time: between two reports by linear interpolation, outside of them the nearest.
func (s *series) valueAt(at int64) float64 {
	if len(s.times) == 0 {
		return 0
	}
	after := sort.Search(len(s.times), func(i int) bool { return s.times[i] >= at })
	switch {
	case after == len(s.times):
		return s.sums[after-1]
	case after == 0 || s.times[after] == at:
		return s.sums[after]
	}
	part := float64(at-s.times[after-1]) / float64(s.times[after]-s.times[after-1])
	return s.sums[after-1] + part*(s.sums[after]-s.sums[after-1])
}

// span is a part of a run, wall clock in microseconds.
type span struct{ from, to int64 }

// seconds is the length of the span.
func (s span) seconds() float64 { return float64(s.to-s.from) / 1e6 }

// growth is what the sums of some series together grew by within a span.
func growth(all []*series, within span) float64 {
	sum := 0.0
	for _, one := range all {
		sum += one.valueAt(within.to) - one.valueAt(within.from)
	}
	return sum
}

// windowRates returns what the sums of some series together grew by per second in each window of a span, or in the
// span itself where that is shorter than a window.
func windowRates(all []*series, over span) []float64 {
	width := min(int64(windowMicros), over.to-over.from)
	if width <= 0 {
		return nil
	}
	var rates []float64
	for from := over.from; from+width <= over.to; from += windowStepMicros {
		window := span{from, from + width}
		rates = append(rates, growth(all, window)/window.seconds())
	}
	return rates
}

// maxRate is the largest of windowRates, 0 for an empty span.
func maxRate(all []*series, over span) float64 {
	highest := 0.0
	for _, rate := range windowRates(all, over) {
		highest = max(highest, rate)
	}
	return highest
}

// meanRate is what the sums of some series together grew by per second in a span, on average; 0 for an empty span.
func meanRate(all []*series, over span) float64 {
	if over.to <= over.from {
		return 0
	}
	return growth(all, over) / over.seconds()
}
