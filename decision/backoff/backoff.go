// Package backoff implements the exponential backoff that several policies share. It imports nothing of this module,
// keeps no state and adds no jitter; the caller counts its failures and spreads the result.
package backoff

// Exponential returns the wait after a failure: base after the first one, doubled with each further failure in a row,
// at most maxDoublings times and never above limit. doublings is the number of failures in a row before this one. The
// result has the unit of base and limit. The bound on doublings keeps the shift from overflowing, however long the
// failures last.
func Exponential[T ~int64](base, limit T, doublings, maxDoublings int) T {
	return min(base<<min(doublings, maxDoublings), limit)
}
