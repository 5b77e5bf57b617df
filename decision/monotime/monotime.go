// Package monotime defines the type for times and spans of time that all decisions share. It imports nothing of this
// module and reads no clock: the caller of a decision passes the time of a monotonic clock.
package monotime

// Micros is a point in time on the caller's monotonic clock, or a span of time, in microseconds.
type Micros int64

// Units of time.
const (
	Microsecond Micros = 1
	Millisecond        = 1000 * Microsecond
	Second             = 1000 * Millisecond
)

// Seconds returns the span in seconds.
func (d Micros) Seconds() float64 { return float64(d) / float64(Second) }
