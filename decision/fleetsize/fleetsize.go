// Package fleetsize estimates how much of the fleet of servers is there, against the most that was there lately,
// and how many clients are still to come back from what is out: while a part is gone, what comes back is let in
// more slowly. It does not know servers, requests or clocks; times are microseconds.
package fleetsize

import "spurspread/decision/monotime"

const (
	reducedPart = 0.07 // of the fleet is out: what comes back is more than the rest had
	returnPrice = 2.5  // of the filling rate, for each of those
	returnDecay = 0.1  // a second, of those that are still to come back
	peakMemory  = 60   // seconds of the most that was there
)

// Estimate says how much of the fleet is there. New makes one.
type Estimate struct {
	peakSize        float64 // size of what was there lately
	presentPart     float64 // the part of that which is there now
	expectedReturns float64 // connections that servers ended, and that may come back
	updatedAt       monotime.Micros
}

// New returns the estimate for a fleet that is all there.
func New(now monotime.Micros) Estimate { return Estimate{presentPart: 1, updatedAt: now} }

// Update notes the size of all that is there now.
func (e *Estimate) Update(now monotime.Micros, size float64) {
	span := float64(now-e.updatedAt) / 1e6
	e.expectedReturns *= max(1-returnDecay*span, 0)
	e.peakSize = max(size, e.peakSize*max(1-span/peakMemory, 0))
	e.presentPart, e.updatedAt = size/max(e.peakSize, 1), now
}

// PresentPart is how much is there of what was, 0 to 1.
func (e *Estimate) PresentPart() float64 { return e.presentPart }

// Reduced tells that a part is out.
func (e *Estimate) Reduced() bool { return e.presentPart < 1-reducedPart }

// ExpectReturn notes a client that may come back, since a server ended its connection.
func (e *Estimate) ExpectReturn() { e.expectedReturns++ }

// TakeReturn is the price, of a filling rate, of a client that has come back.
func (e *Estimate) TakeReturn() float64 {
	if !e.Reduced() || e.expectedReturns < 1 {
		return 1
	}
	e.expectedReturns--
	return returnPrice
}
