package decision

import "spurspread/decision/monotime"

// Micros is a point in time or a span of time in microseconds; see package monotime.
type Micros = monotime.Micros

// Units of time, short for the constants of this package.
const (
	ms  = monotime.Millisecond
	sec = monotime.Second
)

// microCoresPerCore converts loads, which arrive in microseconds of work a second, to cores.
const microCoresPerCore = 1e6
