// Package fleetsize estimates how much of the fleet of servers is there, against the most that was there lately,
// and how many clients are still to come back from what is out: while a part is gone, what comes back is let in
// more slowly. It does not know servers, requests or clocks; times are microseconds.
package fleetsize

import "spurspread/decision/monotime"

const (
	thinPart  = 0.07 // of the fleet is out: what comes back is more than the rest had
	thinPrice = 2.5  // of the filling rate, for each of those
	owedFade  = 0.1  // a second, of those that are still to come back
	memory    = 60   // seconds of the most that was there
)

// Estimate says how much of the fleet is there. New makes one.
type Estimate struct {
	most    float64 // size of what was there lately
	part    float64 // the part of that which is there now
	owed    float64 // connections that servers ended, and that may come back
	counted monotime.Micros
}

// New returns the estimate for a fleet that is all there.
func New(now monotime.Micros) Estimate { return Estimate{part: 1, counted: now} }

// Count notes the size of all that is there now.
func (e *Estimate) Count(now monotime.Micros, size float64) {
	span := float64(now-e.counted) / 1e6
	e.owed *= max(1-owedFade*span, 0)
	e.most = max(size, e.most*max(1-span/memory, 0))
	e.part, e.counted = size/max(e.most, 1), now
}

// Part is how much is there of what was, 0 to 1.
func (e *Estimate) Part() float64 { return e.part }

// Thin tells that a part is out.
func (e *Estimate) Thin() bool { return e.part < 1-thinPart }

// Owe notes a client that may come back, since a server ended its connection.
func (e *Estimate) Owe() { e.owed++ }

// Returned is the price, of a filling rate, of a client that has come back.
func (e *Estimate) Returned() float64 {
	if !e.Thin() || e.owed < 1 {
		return 1
	}
	e.owed--
	return thinPrice
}
