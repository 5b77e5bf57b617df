package scale

import "sort"

const (
	// windowMicros is the length of the window over which costs are averaged; the worst window is compared with the
	// bound.
	windowMicros = 10_000_000
	// windowStepMicros is the time between the starts of two windows.
	windowStepMicros = 1_000_000
)

// series holds a cumulative sum at the times at which it was reported.
type series struct {
	times []int64   // wall clock, microseconds, ascending
	sums  []float64 // cumulative, at these times
}

// add records that the sum has grown by an amount at a time. A time before the last one is replaced by that, since the
// wall clock may have been set back.
func (s *series) add(at int64, amount float64) {
	sum := 0.0
	if last := len(s.sums) - 1; last >= 0 {
		sum = s.sums[last]
		at = max(at, s.times[last])
	}
	s.times = append(s.times, at)
	s.sums = append(s.sums, sum+amount)
}

// valueAt returns the sum at a time: interpolated linearly between two reports, and that of the nearest report outside
// them.
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

// span is a period of a run, wall clock in microseconds.
type span struct{ from, to int64 }

// seconds returns the length of the span.
func (s span) seconds() float64 { return float64(s.to-s.from) / 1e6 }

// growth returns the amount by which the total of some series grows within a span.
func growth(all []*series, within span) float64 {
	sum := 0.0
	for _, one := range all {
		sum += one.valueAt(within.to) - one.valueAt(within.from)
	}
	return sum
}

// windowRates returns the growth per second of the total of some series in each window of a span. A span that is
// shorter than a window counts as one window.
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

// maxRate returns the greatest of windowRates, 0 for an empty span.
func maxRate(all []*series, over span) float64 {
	highest := 0.0
	for _, rate := range windowRates(all, over) {
		highest = max(highest, rate)
	}
	return highest
}

// meanRate returns the mean growth per second of the total of some series in a span, 0 for an empty span.
func meanRate(all []*series, over span) float64 {
	if over.to <= over.from {
		return 0
	}
	return growth(all, over) / over.seconds()
}
