// Package backoff has the exponential backoff that several policies share. It is a leaf: it imports nothing of this
// module, keeps no state and draws no jitter; the caller counts its failures and spreads the result.
package backoff

// Exponential returns the wait after a failure: base after the first, doubled with each further one in a row, at most
// maxDoublings times, and never above limit. doublings is the number of failures in a row before this one. Base and
// limit are in the same unit, as is the result. The bound on doublings keeps the shift from overflowing, however
// long a failure lasts.
func Exponential[T ~int64](base, limit T, doublings, maxDoublings int) T {
	return min(base<<min(doublings, maxDoublings), limit)
}
