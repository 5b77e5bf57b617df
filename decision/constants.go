package decision

import "spurspread/decision/monotime"

// Micros is a point in time or a span of time in microseconds; see package monotime.
type Micros = monotime.Micros

// Units of time, with short names for use in this package's constants.
const (
	ms  = monotime.Millisecond
	sec = monotime.Second
)

// microCoresPerCore converts loads, which events carry in microseconds of work per second, to cores.
const microCoresPerCore = 1e6
