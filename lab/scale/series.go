package scale

import "sort"

// series is a sum that grows, as it was told from time to time: wall clock in microseconds, and the sum.
type series struct {
	at  []int64
	sum []float64
}

// add notes that the sum has grown by so much.
func (s *series) add(at int64, more float64) {
	last := 0.0
	if n := len(s.sum); n > 0 {
		last, at = s.sum[n-1], max(at, s.at[n-1])
	}
	s.at, s.sum = append(s.at, at), append(s.sum, last+more)
}

// value is the sum at a time; between two notes it is taken to have grown evenly.
func (s *series) value(at int64) float64 {
	i := sort.Search(len(s.at), func(i int) bool { return s.at[i] >= at })
	switch {
	case len(s.at) == 0:
		return 0
	case i == len(s.at):
		return s.sum[i-1]
	case i == 0 || s.at[i] == at:
		return s.sum[i]
	}
	part := float64(at-s.at[i-1]) / float64(s.at[i]-s.at[i-1])
	return s.sum[i-1] + part*(s.sum[i]-s.sum[i-1])
}

// window is the span over which costs are judged, and step that between the beginnings of two.
const (
	window     = 10_000_000 // microseconds
	windowStep = 1_000_000
)

// span is a part of a run, wall clock in microseconds.
type span struct{ from, to int64 }

// rates are what the sums of some series grew by a second, in each window of a span; in the whole of it where that
// is shorter.
func rates(all []*series, over span) (out []float64) {
	width := min(int64(window), over.to-over.from)
	if width <= 0 {
		return nil
	}
	for from := over.from; from+width <= over.to; from += windowStep {
		sum := 0.0
		for _, s := range all {
			sum += s.value(from+width) - s.value(from)
		}
		out = append(out, sum/(float64(width)/1e6))
	}
	return out
}

// mean is what the sums of some series grew by a second on average.
func mean(all []*series, over span) float64 {
	if over.to <= over.from {
		return 0
	}
	sum := 0.0
	for _, s := range all {
		sum += s.value(over.to) - s.value(over.from)
	}
	return sum / (float64(over.to-over.from) / 1e6)
}
